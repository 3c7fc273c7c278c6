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

// closeWatcher reports the end of each connection that a script has answered
// once: the end is seen by the next read of the stand-in.
func closeWatcher(ended chan<- struct{}, answer string) script {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, answer)
		_, _ = c.Read(make([]byte, 1))
		ended <- struct{}{}
		return false
	}
}

// awaitEnd waits for less than the 30 s after which any idle connection ends.
func awaitEnd(t *testing.T, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(15 * time.Second):
		t.Fatal("the idle connection is still open")
	}
}

// A connection that the upstream closes after a whole answer must cost no later
// request, because one that is not idempotent could not be sent again.
func TestStaleConnections(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	target := upstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, empty)
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

// An idle connection must be closed when bytes arrive on it and when its
// upstream leaves; it would stay open for as long as the daemon runs.
func TestIdleConnectionsClosed(t *testing.T) {
	tests := map[string]struct {
		answer string
		forget bool
	}{
		"bytes with the answer": {
			answer: empty + "H",
		},
		"upstream leaves": {
			answer: empty,
			forget: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{}, 1)
			target := upstream(t, closeWatcher(ended, test.answer))
			f := forwarder.New()
			defer f.Close()
			is.NoErr(send(f, target, http.MethodGet, "/", nil, nil).Err)
			if test.forget {
				f.Forget(target)
			}
			awaitEnd(t, ended)
		})
	}
}

// Bytes that arrive on an idle connection must close it without a next request.
func TestBytesOnIdleConnection(t *testing.T) {
	is := is.New(t)
	idle, ended := make(chan struct{}), make(chan struct{}, 1)
	target := upstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, empty)
		<-idle
		fmt.Fprint(c, "H")
		_, _ = c.Read(make([]byte, 1))
		ended <- struct{}{}
		return false
	})
	f := forwarder.New()
	defer f.Close()
	is.NoErr(send(f, target, http.MethodGet, "/", nil, nil).Err)
	close(idle)
	awaitEnd(t, ended)
}
