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

// maxServedCalls bounds the calls of one connection that are handled
// concurrently. Further calls are not read from the connection until one ends.
const maxServedCalls = 512

// serverCodec implements rpc.ServerCodec for one connection.
type serverCodec struct {
	reader *bufio.Reader
	writer *frameWriter
	ctx    context.Context
	cancel context.CancelFunc
	tracer trace.Tracer
	// slots is a semaphore with one slot for each call that is handled.
	slots  chan struct{}
	header wire.CallHeader

	mu sync.Mutex
	// cleanups hold, by sequence number, the function that ends the context and
	// the span of a call. Invariant: one entry for each call of a registered
	// method that has no response yet.
	cleanups map[uint64]func()
}

func newServerCodec(ctx context.Context, conn net.Conn, tracer trace.Tracer) *serverCodec {
	ctx, cancel := context.WithCancel(ctx)
	return &serverCodec{
		reader:   bufio.NewReaderSize(conn, connBufferBytes),
		writer:   newFrameWriter(conn),
		ctx:      ctx,
		cancel:   cancel,
		tracer:   tracer,
		slots:    make(chan struct{}, maxServedCalls),
		cleanups: make(map[uint64]func()),
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
		// The method is unknown; the body is read and discarded.
		return readMessage(c.reader, &wire.Empty{})
	}
	request, ok := body.(binder)
	if !ok {
		return errors.Errorf("messenger: method %s does not take a Request", c.header.GetMethod())
	}
	return readMessage(c.reader, request.bind(c.callContext()))
}

// callContext returns the context for the call whose header was read last, with
// the caller's timeout and trace, and stores its cleanup function.
func (c *serverCodec) callContext() context.Context {
	ctx := withTraceparent(c.ctx, c.header.GetTraceparent())
	ctx, cleanup := context.WithTimeout(ctx, time.Duration(c.header.GetTimeoutNanos()))
	if trace.SpanContextFromContext(ctx).IsValid() {
		var span trace.Span
		cancel := cleanup
		ctx, span = c.tracer.Start(ctx, c.header.GetMethod(), trace.WithSpanKind(trace.SpanKindServer))
		cleanup = func() {
			span.End()
			cancel()
		}
	}
	c.mu.Lock()
	c.cleanups[c.header.GetSequence()] = cleanup
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
		// The peer doesn't read responses. Closing the connection fails its
		// call, which would otherwise wait for a response that is not sent.
		c.writer.close()
	}
	return err
}

// release ends the context and the span of a call and frees its slot.
func (c *serverCodec) release(sequence uint64) {
	c.mu.Lock()
	cleanup := c.cleanups[sequence]
	delete(c.cleanups, sequence)
	c.mu.Unlock()
	if cleanup != nil {
		cleanup()
	}
	<-c.slots
}

func (c *serverCodec) Close() error {
	c.cancel()
	c.writer.close()
	return nil
}
