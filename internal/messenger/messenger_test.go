package messenger_test

import (
	"context"
	"net"
	"sync"
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

// registry answers Begin with the key as the reason, or waits for the end of the call.
type registry struct {
	ended  chan struct{}
	tracer trace.TracerProvider
	// failure is what Fetch fails with; nil means that there is no such slot.
	failure error
}

func (registry) Begin(r *messenger.Request[wire.BeginRequest], answer *wire.BeginResponse) error {
	answer.Reason = r.Message.GetKey()
	return nil
}

func (r registry) Finish(request *messenger.Request[wire.FinishRequest], _ *wire.FinishResponse) error {
	<-request.Context().Done()
	close(r.ended)
	return request.Context().Err()
}

func (r registry) Fetch(*messenger.Request[wire.FetchRequest], *wire.FetchResponse) error {
	if r.failure != nil {
		return r.failure
	}
	return errors.New("no such slot")
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func serve(t *testing.T, service registry) string {
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

// Concurrent calls on one connection must not get each other's answers.
func TestAnswersBelongToTheirCalls(t *testing.T) {
	address := serve(t, registry{})
	c := newClient(t)
	ctx := withTimeout(t, 10*time.Second)
	var group sync.WaitGroup
	for i := range 200 {
		key := string(rune('a' + i%26))
		group.Go(func() {
			var answer wire.BeginResponse
			err := c.Call(ctx, address, "Registry.Begin", &wire.BeginRequest{
				Key: key,
			}, &answer)
			if err != nil || answer.GetReason() != key {
				t.Errorf("key %q: answer %q, error %v", key, answer.GetReason(), err)
			}
		})
	}
	group.Wait()
}

// A call without an end would hold the caller as long as the peer is frozen.
func TestCallNeedsDeadline(t *testing.T) {
	is := is.New(t)
	err := newClient(t).Call(context.Background(), serve(t, registry{}), "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{})
	is.True(err != nil)
}

// The called host must stop working for a caller that has given up.
func TestDeadlineReachesHandler(t *testing.T) {
	is := is.New(t)
	service := registry{
		ended: make(chan struct{}),
	}
	address := serve(t, service)
	err := newClient(t).Call(withTimeout(t, 20*time.Millisecond), address, "Registry.Finish", &wire.FinishRequest{}, &wire.FinishResponse{})
	is.True(errors.Is(err, context.DeadlineExceeded))
	<-service.ended
}

// The called host may notice the end of a call before its caller does, and its
// answer may win the race. The caller must see the same error either way.
func TestDeadlineNoticedByHandlerFirst(t *testing.T) {
	tests := map[string]struct {
		reason string
		want   error
	}{
		"deadline": {
			reason: context.DeadlineExceeded.Error(),
			want:   context.DeadlineExceeded,
		},
		"wrapped deadline": {
			reason: "registry: wait: " + context.DeadlineExceeded.Error(),
			want:   context.DeadlineExceeded,
		},
		"cancelled": {
			reason: context.Canceled.Error(),
			want:   context.Canceled,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, registry{
				failure: errors.New(test.reason),
			})
			err := newClient(t).Call(withTimeout(t, 10*time.Second), address, "Registry.Fetch", &wire.FetchRequest{}, &wire.FetchResponse{})
			is.True(errors.Is(err, test.want))
			is.Equal(err.Error(), test.reason)
			is.True(!messenger.NotSent(err))
		})
	}
}

// A call must be a span of its caller's trace on both sides, and calls in the
// background must make none.
func TestTraceCrossesHosts(t *testing.T) {
	is := is.New(t)
	spans := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	address := serve(t, registry{
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
	address := serve(t, registry{})
	c := newClient(t)
	ctx := withTimeout(t, 10*time.Second)
	err := c.Call(ctx, address, "Registry.Fetch", &wire.FetchRequest{}, &wire.FetchResponse{})
	is.True(err != nil)
	is.Equal(err.Error(), "no such slot")
	err = c.Call(ctx, address, "Registry.Unknown", &wire.FetchRequest{}, &wire.FetchResponse{})
	is.True(err != nil)
	is.NoErr(c.Call(ctx, address, "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{}))
}

// A peer that accepts and then freezes must cost each caller its timeout and
// nothing else: calls in flight stay bounded and other peers are not affected.
func TestFrozenPeer(t *testing.T) {
	is := is.New(t)
	frozen := listen(t)
	defer frozen.Close()
	healthy := serve(t, registry{})
	c := newClient(t)
	var group sync.WaitGroup
	for range 2000 {
		ctx := withTimeout(t, 50*time.Millisecond)
		group.Go(func() {
			err := c.Call(ctx, frozen.Addr().String(), "Registry.Begin", &wire.BeginRequest{
				Key: "x",
			}, &wire.BeginResponse{})
			if err == nil {
				t.Error("a frozen peer answered")
			}
		})
	}
	is.NoErr(c.Call(withTimeout(t, 10*time.Second), healthy, "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{}))
	group.Wait()
}

// Nothing may be reported as possibly done when no connection could be made.
func TestUnreachablePeer(t *testing.T) {
	is := is.New(t)
	// No test listens on this loopback address.
	const address = "127.254.254.254:1"
	err := newClient(t).Call(withTimeout(t, time.Second), address, "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{})
	is.True(errors.Is(err, messenger.ErrUnreachable))
}

// A call that was handed to a connection may have been carried out, also when
// this host closes the connection because of another call. Reporting it as not
// sent would let a caller be told that its work never runs.
func TestCallOnDroppedConnectionMayHaveActed(t *testing.T) {
	frozen := listen(t)
	defer frozen.Close()
	c := newClient(t)
	var group sync.WaitGroup
	for _, timeout := range []time.Duration{50 * time.Millisecond, 5 * time.Second} {
		ctx := withTimeout(t, timeout)
		group.Go(func() {
			err := c.Call(ctx, frozen.Addr().String(), "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{})
			if messenger.NotSent(err) {
				t.Errorf("a call that was handed over is said not to be sent: %v", err)
			}
		})
	}
	group.Wait()
}
