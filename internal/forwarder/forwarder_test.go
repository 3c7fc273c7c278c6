package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/forwarder"
)

// A body that is cut, padded or mixed up would reach the caller as whole.
func TestBodies(t *testing.T) {
	target := upstream(t, func(c net.Conn, r *http.Request, _ int) bool {
		body, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodHead {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n")
			return true
		}
		if r.URL.Path == "/chunked" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			if len(body) > 0 {
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(body), body)
			}
			fmt.Fprint(c, "0\r\n\r\n")
			return true
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return true
	})
	f := forwarder.New()
	defer f.Close()
	for name, size := range map[string]int{
		"nothing":  0,
		"one byte": 1,
		"64 KiB":   64 << 10,
		"8 MiB":    8 << 20,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := bytes.Repeat([]byte{'x'}, size)
			for _, path := range []string{"/sized", "/chunked"} {
				got := send(f, target, http.MethodPost, path, body, nil)
				is.NoErr(got.Err)
				is.Equal(got.Kind, forwarder.Complete)
				is.True(bytes.Equal(got.Answer.Body, body))
			}
			is.Equal(send(f, target, http.MethodHead, "/", nil, nil).Kind, forwarder.Complete)
		})
	}
}

// says returns a script that sends a text and keeps the connection open or not.
func says(text string, open bool) script {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, text)
		return open
	}
}

// afterFirst counts the requests after the first one on each connection, which
// succeeds, so that a fault meets a reused connection, on which
// some HTTP clients repeat a request.
func afterFirst(runs *atomic.Int64, s script) script {
	return func(c net.Conn, r *http.Request, n int) bool {
		if n == 0 {
			fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
			return true
		}
		runs.Add(1)
		return s(c, r, n)
	}
}

// An answer that is not whole must be reported as such, and the request must
// run once: a repeat by the forwarder itself would break at-most-once.
func TestInterrupted(t *testing.T) {
	tests := map[string]script{
		"cut in the header":     says("HTTP/1.1 200 OK\r\nContent-", false),
		"cut half-way":          says("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false),
		"chunks without an end": says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false),
		"no length":             says("HTTP/1.1 200 OK\r\n\r\nperhaps whole", false),
		"of another attempt":    says("HTTP/1.1 200 OK\r\nHeathermux-Attempt: other\r\nContent-Length: 0\r\n\r\n", true),
		"above the cap":         says(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", forwarder.MaxBody+1), true),
		"none":                  says("", false),
		"status of two digits":  says("HTTP/1.1 042 OK\r\nContent-Length: 0\r\n\r\n", true),
		"not a final status":    says("HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", true),
	}
	for name, script := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				is := is.New(t)
				var runs atomic.Int64
				target := upstream(t, afterFirst(&runs, script))
				f := forwarder.New()
				defer f.Close()
				is.Equal(send(f, target, http.MethodGet, "/first", nil, nil).Kind, forwarder.Complete)
				got := send(f, target, method, "/second", nil, nil)
				is.Equal(got.Kind, forwarder.Interrupted)
				is.True(got.Answer == nil)
				is.Equal(runs.Load(), int64(1))
			})
		}
	}
}

// A late answer must end as timed out, and a refusal of the gate as not sent
// with the gate's reason and without a run.
func TestLateAndRefused(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	target := upstream(t, afterFirst(&runs, func(net.Conn, *http.Request, int) bool {
		time.Sleep(300 * time.Millisecond)
		return true
	}))
	f := forwarder.New()
	defer f.Close()
	is.Equal(send(f, target, http.MethodGet, "/first", nil, nil).Kind, forwarder.Complete)
	errGate := errors.New("lease ended")
	got := send(f, target, http.MethodPost, "/", nil, func() error { return errGate })
	is.Equal(got.Kind, forwarder.NotSent)
	is.Equal(errors.Cause(got.Err), errGate)
	is.Equal(runs.Load(), int64(0))
	is.Equal(send(f, target, http.MethodGet, "/first", nil, nil).Kind, forwarder.Complete)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.Equal(sendWithin(ctx, f, target, http.MethodPost, "/", nil, nil).Kind, forwarder.TimedOut)
	is.Equal(runs.Load(), int64(1))
}

// A second answer that nobody asked for must not become the answer of the next
// request, whether it comes with the first answer or after it, whole or cut.
// Callers wait for the one connection, so that the next request takes it at
// the moment at which it is returned.
func TestUnaskedAnswers(t *testing.T) {
	const wrong = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, extra := range []string{wrong, wrong[:20], wrong[:1]} {
		t.Run("with the answer: "+extra, func(t *testing.T) { unasked(t, extra, false, 8) })
		t.Run("after the answer: "+extra, func(t *testing.T) { unasked(t, extra, true, 1) })
	}
}

func unasked(t *testing.T, extra string, later bool, callers int) {
	sent := make(chan struct{})
	target := upstream(t, func(c net.Conn, r *http.Request, _ int) bool {
		right := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		if !later {
			fmt.Fprint(c, right+extra)
			return true
		}
		fmt.Fprint(c, right)
		<-sent
		fmt.Fprint(c, extra)
		sent <- struct{}{}
		return true
	})
	target.Connections = 1
	f := forwarder.New()
	defer f.Close()
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range 200 {
				path := fmt.Sprintf("/%d/%d", caller, i)
				got := send(f, target, http.MethodPost, path, nil, nil)
				switch {
				case got.Kind == forwarder.NotSent:
					continue
				case got.Kind != forwarder.Complete:
					t.Errorf("%s: %v", path, got.Err)
				case string(got.Answer.Body) != path:
					t.Errorf("%s got the answer %q", path, got.Answer.Body)
				}
				if later {
					sent <- struct{}{}
					<-sent
				}
			}
		})
	}
	wg.Wait()
}
