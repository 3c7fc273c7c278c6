package messenger

import (
	"bufio"
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// servedCalls bounds the calls of one connection that are handled at once;
// further ones wait unread in the connection.
const servedCalls = 512

// serverCodec is the called side of one connection.
type serverCodec struct {
	reader *bufio.Reader
	writer *frameWriter
	ctx    context.Context
	cancel context.CancelFunc
	tracer trace.Tracer
	slots  chan struct{}
	header wire.CallHeader

	mu sync.Mutex
	// Invariant: holds one entry for each call that has not been answered. It
	// ends the context and the span of the call.
	ends map[uint64]func()
}

func newServerCodec(ctx context.Context, conn net.Conn, tracer trace.Tracer) *serverCodec {
	ctx, cancel := context.WithCancel(ctx)
	return &serverCodec{
		reader: bufio.NewReaderSize(conn, bufferBytes),
		writer: newFrameWriter(conn),
		ctx:    ctx,
		cancel: cancel,
		tracer: tracer,
		slots:  make(chan struct{}, servedCalls),
		ends:   make(map[uint64]func()),
	}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
	c.header.Reset()
	if err := readMessage(c.reader, &c.header); err != nil {
		return err
	}
	r.ServiceMethod = c.header.GetMethod()
	r.Seq = c.header.GetSequence()
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error {
	if body == nil {
		// The method is not known; the body is read and dropped.
		return readMessage(c.reader, &wire.Empty{})
	}
	request, ok := body.(binder)
	if !ok {
		return errors.Errorf("messenger: method %s does not take a Request", c.header.GetMethod())
	}
	return readMessage(c.reader, request.bind(c.callContext()))
}

func (c *serverCodec) callContext() context.Context {
	ctx := withTraceparent(c.ctx, c.header.GetTraceparent())
	ctx, end := context.WithTimeout(ctx, time.Duration(c.header.GetTimeoutNanos()))
	if trace.SpanContextFromContext(ctx).IsValid() {
		var span trace.Span
		cancel := end
		ctx, span = c.tracer.Start(ctx, c.header.GetMethod(), trace.WithSpanKind(trace.SpanKindServer))
		end = func() {
			span.End()
			cancel()
		}
	}
	c.mu.Lock()
	c.ends[c.header.GetSequence()] = end
	c.mu.Unlock()
	return ctx
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.release(r.Seq)
	header := &wire.CallHeader{
		Method:   r.ServiceMethod,
		Sequence: r.Seq,
		Error:    r.Error,
	}
	message, ok := body.(proto.Message)
	if !ok || r.Error != "" {
		message = &wire.Empty{}
	}
	frame, err := encodeFrame(header, message)
	if err != nil {
		header.Error = err.Error()
		if frame, err = encodeFrame(header, &wire.Empty{}); err != nil {
			return err
		}
	}
	err = c.writer.enqueue(frame)
	if errors.Is(err, ErrBusy) {
		// The peer reads no answers; it would wait for this one in vain.
		c.writer.close()
	}
	return err
}

func (c *serverCodec) release(sequence uint64) {
	c.mu.Lock()
	end := c.ends[sequence]
	delete(c.ends, sequence)
	c.mu.Unlock()
	if end != nil {
		end()
	}
	<-c.slots
}

func (c *serverCodec) Close() error {
	c.cancel()
	c.writer.close()
	return nil
}
