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

// callArgs is the argument that is passed to the client codec through net/rpc.
type callArgs struct {
	message     proto.Message
	timeout     time.Duration
	traceparent string
}

func newCallArgs(ctx context.Context, message proto.Message) (*callArgs, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("messenger: the call has no deadline")
	}
	timeout := time.Until(deadline)
	if timeout <= 0 {
		return nil, context.DeadlineExceeded
	}
	return &callArgs{
		message:     message,
		timeout:     timeout,
		traceparent: traceparentOf(ctx),
	}, nil
}

// clientCodec implements rpc.ClientCodec for one connection.
type clientCodec struct {
	reader *bufio.Reader
	writer *frameWriter
	header wire.CallHeader
	// onResponse is called for each response header.
	onResponse func()
}

func newClientCodec(conn net.Conn, onResponse func()) *clientCodec {
	return &clientCodec{
		reader:     bufio.NewReaderSize(conn, connBufferBytes),
		writer:     newFrameWriter(conn),
		onResponse: onResponse,
	}
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	request, ok := body.(*callArgs)
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
		return errors.Wrap(ErrNotEncodable, err.Error())
	}
	return c.writer.enqueue(frame)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	c.header.Reset()
	if err := readMessage(c.reader, &c.header); err != nil {
		return err
	}
	c.onResponse()
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
