package messenger_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"

	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/internal/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testRegistry is a service whose Begin responds with the key as the reason,
// whose Finish waits for the end of the call, and whose Fetch fails.
type testRegistry struct {
	// handlerDone is closed when Finish sees the end of its context.
	handlerDone chan struct{}
	tracer      trace.TracerProvider
	// fetchErr is the error of Fetch; nil stands for "no such slot".
	fetchErr error
}

func (testRegistry) Begin(r *messenger.Request[wire.BeginRequest], response *wire.BeginResponse) error {
	response.Reason = r.Message.GetKey()
	return nil
}

func (r testRegistry) Finish(request *messenger.Request[wire.FinishRequest], _ *wire.FinishResponse) error {
	<-request.Context().Done()
	close(r.handlerDone)
	return request.Context().Err()
}

func (r testRegistry) Fetch(*messenger.Request[wire.FetchRequest], *wire.FetchResponse) error {
	if r.fetchErr != nil {
		return r.fetchErr
	}
	return errors.New("no such slot")
}

func (testRegistry) Copy(*messenger.Request[wire.CopyRequest], *wire.CopyResponse) (err error) {
	defer messenger.RecoverHandler(&err)
	panic("unexpected message")
}

// A message that makes its handler panic must fail its call only: the process and
// the other calls of the connection go on.
func TestPanicOfHandlerFailsItsCall(t *testing.T) {
	is := is.New(t)
	address := startServer(t, testRegistry{})
	client := messenger.NewClient(messenger.ClientOptions{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := client.Call(ctx, address, "Registry.Copy", &wire.CopyRequest{}, &wire.CopyResponse{})
	is.True(err != nil)
	is.Equal(err.Error(), messenger.ErrHandlerPanicked.Error())
	resp := &wire.BeginResponse{}
	is.NoErr(client.Call(ctx, address, "Registry.Begin", &wire.BeginRequest{
		Key: "k",
	}, resp))
	is.Equal(resp.GetReason(), "k")
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func startServer(t *testing.T, service testRegistry) string {
	t.Helper()
	l := listen(t)
	s := messenger.NewServer(messenger.ServerOptions{
		Listener: l,
		Tracer:   service.tracer,
	})
	if err := s.Register("Registry", service); err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve()
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-served
	})
	return l.Addr().String()
}

func newClient(t *testing.T) *messenger.Client {
	t.Helper()
	c := messenger.NewClient(messenger.ClientOptions{})
	t.Cleanup(c.Close)
	return c
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Concurrent calls on one connection must not get each other's responses.
func TestConcurrentCallsGetOwnResponses(t *testing.T) {
	address := startServer(t, testRegistry{})
	c := newClient(t)
	ctx := withTimeout(t, 10*time.Second)
	var group sync.WaitGroup
	for i := range 200 {
		key := string(rune('a' + i%26))
		group.Go(func() {
			var response wire.BeginResponse
			err := c.Call(ctx, address, "Registry.Begin", &wire.BeginRequest{
				Key: key,
			}, &response)
			if err != nil || response.GetReason() != key {
				t.Errorf("key %q: response has reason %q, error %v", key, response.GetReason(), err)
			}
		})
	}
	group.Wait()
}

// A call without a deadline must fail, because it would block its caller for as
// long as the peer doesn't respond.
func TestCallNeedsDeadline(t *testing.T) {
	is := is.New(t)
	err := newClient(t).Call(context.Background(), startServer(t, testRegistry{}), "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{})
	is.True(err != nil)
}

// The context of the handler must end when the deadline of the caller passes.
func TestDeadlineReachesHandler(t *testing.T) {
	is := is.New(t)
	service := testRegistry{
		handlerDone: make(chan struct{}),
	}
	address := startServer(t, service)
	err := newClient(t).Call(withTimeout(t, 20*time.Millisecond), address, "Registry.Finish", &wire.FinishRequest{}, &wire.FinishResponse{})
	is.True(errors.Is(err, context.DeadlineExceeded))
	<-service.handlerDone
}

// The handler's context may end before that of its caller, so that the handler's
// error arrives first. The caller must get the same error either way.
func TestContextErrorFromHandler(t *testing.T) {
	tests := map[string]struct {
		text string
		want error
	}{
		"deadline": {
			text: context.DeadlineExceeded.Error(),
			want: context.DeadlineExceeded,
		},
		"wrapped deadline": {
			text: "registry: wait: " + context.DeadlineExceeded.Error(),
			want: context.DeadlineExceeded,
		},
		"cancelled": {
			text: context.Canceled.Error(),
			want: context.Canceled,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, testRegistry{
				fetchErr: errors.New(test.text),
			})
			err := newClient(t).Call(withTimeout(t, 10*time.Second), address, "Registry.Fetch", &wire.FetchRequest{}, &wire.FetchResponse{})
			is.True(errors.Is(err, test.want))
			is.Equal(err.Error(), test.text)
			is.True(!messenger.NotSent(err))
		})
	}
}

// A call must record a span of its caller's trace on both sides. Calls without a
// trace must record none.
func TestTracePropagation(t *testing.T) {
	is := is.New(t)
	spans := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	address := startServer(t, testRegistry{
		tracer: provider,
	})
	c := messenger.NewClient(messenger.ClientOptions{
		Tracer: provider,
	})
	t.Cleanup(c.Close)
	ctx := withTimeout(t, 10*time.Second)
	is.NoErr(c.Call(ctx, address, "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{}))
	is.Equal(len(spans.Started()), 0)
	ctx, root := provider.Tracer("test").Start(ctx, "request")
	is.NoErr(c.Call(ctx, address, "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{}))
	root.End()
	started := spans.Started()
	is.Equal(len(started), 3)
	for _, span := range started {
		is.Equal(span.SpanContext().TraceID(), root.SpanContext().TraceID())
	}
	is.Equal(started[2].Parent().SpanID(), started[1].SpanContext().SpanID())
}

// A handler's error must reach the caller and leave the connection usable.
func TestHandlerError(t *testing.T) {
	is := is.New(t)
	address := startServer(t, testRegistry{})
	c := newClient(t)
	ctx := withTimeout(t, 10*time.Second)
	err := c.Call(ctx, address, "Registry.Fetch", &wire.FetchRequest{}, &wire.FetchResponse{})
	is.True(err != nil)
	is.Equal(err.Error(), "no such slot")
	err = c.Call(ctx, address, "Registry.Unknown", &wire.FetchRequest{}, &wire.FetchResponse{})
	is.True(err != nil)
	is.NoErr(c.Call(ctx, address, "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{}))
}

// Calls to a peer that accepts the connection and then never responds must fail
// within their own timeout, the calls in flight must stay bounded, and calls to
// other peers must not be affected.
func TestFrozenPeer(t *testing.T) {
	is := is.New(t)
	frozen := listen(t)
	defer frozen.Close()
	healthy := startServer(t, testRegistry{})
	c := newClient(t)
	const (
		calls = 2000
		// maxSent is twice the calls that may await a response of one peer, because the
		// slots of the first ones become free when the connection is given up.
		maxSent = 2 * 512
	)
	var sent atomic.Int64
	var group sync.WaitGroup
	for range calls {
		ctx := withTimeout(t, 50*time.Millisecond)
		group.Go(func() {
			err := c.Call(ctx, frozen.Addr().String(), "Registry.Begin", &wire.BeginRequest{
				Key: "x",
			}, &wire.BeginResponse{})
			if err == nil {
				t.Error("call to a frozen peer succeeded")
			}
			if !messenger.NotSent(err) {
				sent.Add(1)
			}
		})
	}
	is.NoErr(c.Call(withTimeout(t, 10*time.Second), healthy, "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{}))
	group.Wait()
	is.True(sent.Load() <= maxSent)
}

// A call for which no connection could be made must be reported as not sent.
func TestUnreachablePeer(t *testing.T) {
	is := is.New(t)
	// No test listens on this loopback address.
	const address = "127.254.254.254:1"
	err := newClient(t).Call(withTimeout(t, time.Second), address, "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{})
	is.True(errors.Is(err, messenger.ErrUnreachable))
}

// A call that was passed to a connection may have been executed, even if this
// host closes the connection because of another call. If it were reported as not
// sent, a caller would be told wrongly that its request was not run.
func TestCallOnDroppedConnectionIsNotReportedNotSent(t *testing.T) {
	frozen := listen(t)
	defer frozen.Close()
	c := newClient(t)
	var group sync.WaitGroup
	for _, timeout := range []time.Duration{50 * time.Millisecond, 5 * time.Second} {
		ctx := withTimeout(t, timeout)
		group.Go(func() {
			err := c.Call(ctx, frozen.Addr().String(), "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{})
			if messenger.NotSent(err) {
				t.Errorf("call that was passed to a connection is reported as not sent: %v", err)
			}
		})
	}
	group.Wait()
}

// A caller's text that is not UTF-8 can't be encoded. That must fail this call only, as one that
// was not sent: if it broke the connection, the calls of all others on it would be lost.
func TestMessageThatCannotBeEncodedFailsItsCallOnly(t *testing.T) {
	is := is.New(t)
	registry := testRegistry{
		handlerDone: make(chan struct{}),
	}
	address := startServer(t, registry)
	client := messenger.NewClient(messenger.ClientOptions{})
	defer client.Close()
	other, cancelOther := context.WithTimeout(context.Background(), time.Second)
	defer cancelOther()
	otherErr := make(chan error, 1)
	go func() {
		otherErr <- client.Call(other, address, "Registry.Finish", &wire.FinishRequest{}, &wire.FinishResponse{})
	}()
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := client.Call(ctx, address, "Registry.Begin", &wire.BeginRequest{
		Key: "\xff",
	}, &wire.BeginResponse{})
	is.True(errors.Is(err, messenger.ErrNotEncodable))
	is.True(messenger.NotSent(err))
	is.True(errors.Is(<-otherErr, context.DeadlineExceeded))
	resp := &wire.BeginResponse{}
	is.NoErr(client.Call(ctx, address, "Registry.Begin", &wire.BeginRequest{
		Key: "k",
	}, resp))
	is.Equal(resp.GetReason(), "k")
	<-registry.handlerDone
}
