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

// empty is a whole answer after which the connection stays open.
const empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// A connection must not be used again after an answer that refuses it.
func TestKeepAlive(t *testing.T) {
	tests := map[string]struct {
		answer string
		reused bool
	}{
		"HTTP/1.1": {
			answer: empty,
			reused: true,
		},
		"connection is to be closed": {
			answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		},
		"HTTP/1.0": {
			answer: "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var again atomic.Bool
			target := upstream(t, func(c net.Conn, _ *http.Request, n int) bool {
				again.Store(n > 0)
				fmt.Fprint(c, test.answer)
				return true
			})
			f := forwarder.New()
			defer f.Close()
			for range 2 {
				is.NoErr(send(f, target, http.MethodPost, "/", nil, nil).Err)
			}
			is.Equal(again.Load(), test.reused)
		})
	}
}

// More connections than allowed would overload an upstream. A request that
// waits for one until its end must be reported as not sent, and must not take
// the turn of a later one with it.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	var now, most atomic.Int64
	goOn := make(chan struct{})
	target := upstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
		most.Store(max(most.Load(), now.Add(1)))
		<-goOn
		now.Add(-1)
		fmt.Fprint(c, empty)
		return true
	})
	target.Connections = 2
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
	for now.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	got := sendWithin(ctx, f, target, http.MethodPost, "/", nil, nil)
	is.Equal(got.Kind, forwarder.NotSent)
	is.True(errors.Is(got.Err, context.DeadlineExceeded))
	close(goOn)
	wg.Wait()
	is.Equal(most.Load(), int64(2))
}

// A cancelled request must end at once, close its connection and free its place.
func TestCancelled(t *testing.T) {
	is := is.New(t)
	reached, ended := make(chan struct{}), make(chan struct{}, 1)
	target := upstream(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.URL.Path == "/next" {
			fmt.Fprint(c, empty)
			return true
		}
		close(reached)
		_, _ = c.Read(make([]byte, 1))
		ended <- struct{}{}
		return false
	})
	target.Connections = 1
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
	<-ended
	is.NoErr(send(f, target, http.MethodPost, "/next", nil, nil).Err)
}

// A request must end at its own timeout when its context has no deadline.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	target := upstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
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
