package messenger

import (
	"bufio"
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// call is the argument that the client codec gets through net/rpc.
type call struct {
	message     proto.Message
	timeout     time.Duration
	traceparent string
}

func newCall(ctx context.Context, message proto.Message) (*call, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("messenger: the call has no deadline")
	}
	timeout := time.Until(deadline)
	if timeout <= 0 {
		return nil, context.DeadlineExceeded
	}
	return &call{
		message:     message,
		timeout:     timeout,
		traceparent: traceparentOf(ctx),
	}, nil
}

// clientCodec is the calling side of one connection.
type clientCodec struct {
	reader *bufio.Reader
	writer *frameWriter
	header wire.CallHeader
	// heard is called for each answer.
	heard func()
}

func newClientCodec(conn net.Conn, heard func()) *clientCodec {
	return &clientCodec{
		reader: bufio.NewReaderSize(conn, bufferBytes),
		writer: newFrameWriter(conn),
		heard:  heard,
	}
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	request, ok := body.(*call)
	if !ok {
		return errors.New("messenger: the argument is not a call")
	}
	frame, err := encodeFrame(&wire.CallHeader{
		Method:       r.ServiceMethod,
		Sequence:     r.Seq,
		TimeoutNanos: int64(request.timeout),
		Traceparent:  request.traceparent,
	}, request.message)
	if err != nil {
		return err
	}
	return c.writer.enqueue(frame)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	c.header.Reset()
	if err := readMessage(c.reader, &c.header); err != nil {
		return err
	}
	c.heard()
	r.ServiceMethod = c.header.GetMethod()
	r.Seq = c.header.GetSequence()
	r.Error = c.header.GetError()
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error {
	message, ok := body.(proto.Message)
	if !ok {
		message = &wire.Empty{}
	}
	return readMessage(c.reader, message)
}

func (c *clientCodec) Close() error {
	c.writer.close()
	return nil
}
