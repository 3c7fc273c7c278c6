package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/forwarder"
)

// respondAndAwaitClose returns a handler that sends a response, waits in a read
// until the forwarder closes the connection, and reports this on closed.
func respondAndAwaitClose(closed chan<- struct{}, response string) handler {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, response)
		_, _ = c.Read(make([]byte, 1))
		closed <- struct{}{}
		return false
	}
}

// waitClosed waits 15 s for a report, which is less than the 30 s after which
// any idle connection is closed.
func waitClosed(t *testing.T, closed <-chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(15 * time.Second):
		t.Fatal("the idle connection is still open")
	}
}

// A connection that the upstream has closed after a complete response must not
// make a later request fail, because one that is not idempotent can't be retried.
func TestStaleConnections(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	target := startUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, emptyResponse)
		c.Close()
		closed <- struct{}{}
		return false
	})
	f := forwarder.New()
	defer f.Close()
	for range 20 {
		got := send(f, target, http.MethodPost, "/", []byte("cup 7"), nil)
		is.NoErr(got.Err)
		<-closed
	}
}

// An idle connection must be closed when data arrives on it and when its target
// is passed to Forget; otherwise it would leak until the daemon ends.
func TestIdleConnectionsClosed(t *testing.T) {
	tests := map[string]struct {
		response string
		forget   bool
	}{
		"data after the response": {
			response: emptyResponse + "H",
		},
		"target forgotten": {
			response: emptyResponse,
			forget:   true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{}, 1)
			target := startUpstream(t, respondAndAwaitClose(closed, test.response))
			f := forwarder.New()
			defer f.Close()
			is.NoErr(send(f, target, http.MethodGet, "/", nil, nil).Err)
			if test.forget {
				f.Forget(target)
			}
			waitClosed(t, closed)
		})
	}
}

// Data that arrives on an idle connection must cause it to be closed even if no
// further request is sent.
func TestBytesOnIdleConnection(t *testing.T) {
	is := is.New(t)
	idle, closed := make(chan struct{}), make(chan struct{}, 1)
	target := startUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, emptyResponse)
		<-idle
		fmt.Fprint(c, "H")
		_, _ = c.Read(make([]byte, 1))
		closed <- struct{}{}
		return false
	})
	f := forwarder.New()
	defer f.Close()
	is.NoErr(send(f, target, http.MethodGet, "/", nil, nil).Err)
	close(idle)
	waitClosed(t, closed)
}
