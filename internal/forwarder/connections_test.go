package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/forwarder"
)

// emptyResponse is a complete response after which the connection stays open.
const emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// A connection must not be reused after a response that rules out reuse.
func TestKeepAlive(t *testing.T) {
	tests := map[string]struct {
		response string
		reused   bool
	}{
		"HTTP/1.1": {
			response: emptyResponse,
			reused:   true,
		},
		"Connection: close": {
			response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		},
		"HTTP/1.0": {
			response: "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reused atomic.Bool
			target := startUpstream(t, func(c net.Conn, _ *http.Request, n int) bool {
				reused.Store(n > 0)
				fmt.Fprint(c, test.response)
				return true
			})
			f := forwarder.New()
			defer f.Close()
			for range 2 {
				is.NoErr(send(f, target, http.MethodPost, "/", nil, nil).Err)
			}
			is.Equal(reused.Load(), test.reused)
		})
	}
}

// Exceeding the connection limit would overload an upstream. A request whose
// context ends while it waits for a connection must be reported as not sent,
// and must not consume a connection meant for a later waiter.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	var current, peak atomic.Int64
	release := make(chan struct{})
	target := startUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
		peak.Store(max(peak.Load(), current.Add(1)))
		<-release
		current.Add(-1)
		fmt.Fprint(c, emptyResponse)
		return true
	})
	target.MaxConnections = 2
	f := forwarder.New()
	defer f.Close()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if got := send(f, target, http.MethodPost, "/", nil, nil); got.Err != nil {
				t.Error(got.Err)
			}
		})
	}
	for current.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	got := sendContext(ctx, f, target, http.MethodPost, "/", nil, nil)
	is.Equal(got.Kind, forwarder.NotSent)
	is.True(errors.Is(got.Err, context.DeadlineExceeded))
	close(release)
	wg.Wait()
	is.Equal(peak.Load(), int64(2))
}

// A cancelled request must end at once, close its connection and release its
// place in the connection limit.
func TestContextCancelled(t *testing.T) {
	is := is.New(t)
	reached, closed := make(chan struct{}), make(chan struct{}, 1)
	target := startUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.URL.Path == "/next" {
			fmt.Fprint(c, emptyResponse)
			return true
		}
		close(reached)
		_, _ = c.Read(make([]byte, 1))
		closed <- struct{}{}
		return false
	})
	target.MaxConnections = 1
	f := forwarder.New()
	defer f.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	got := f.Send(ctx, target, &forwarder.Request{
		Timeout: time.Hour,
		Method:  http.MethodPost,
		URL: &url.URL{
			Path: "/",
		},
		Header: http.Header{},
	})
	is.Equal(got.Kind, forwarder.TimedOut)
	is.True(errors.Is(got.Err, context.Canceled))
	<-closed
	is.NoErr(send(f, target, http.MethodPost, "/next", nil, nil).Err)
}

// Request.Timeout must apply when the context has no deadline.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	target := startUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	f := forwarder.New()
	defer f.Close()
	got := f.Send(t.Context(), target, &forwarder.Request{
		Timeout: 50 * time.Millisecond,
		Method:  http.MethodPost,
		URL: &url.URL{
			Path: "/",
		},
		Header: http.Header{},
	})
	is.Equal(got.Kind, forwarder.TimedOut)
	is.True(errors.Is(got.Err, context.DeadlineExceeded))
}
