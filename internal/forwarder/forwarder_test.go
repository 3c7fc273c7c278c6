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

// A body that is truncated, padded or mixed up with another must not be
// reported as complete.
func TestBodySizes(t *testing.T) {
	target := startUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
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
				is.True(bytes.Equal(got.Response.Body, body))
			}
			is.Equal(send(f, target, http.MethodHead, "/", nil, nil).Kind, forwarder.Complete)
		})
	}
}

// respondWith returns a handler that sends text and, if open is false, closes
// the connection.
func respondWith(text string, open bool) handler {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, text)
		return open
	}
}

// afterFirst lets the first request on each connection succeed, and passes the
// further ones to h and counts them. A fault thus occurs on a reused connection,
// on which some HTTP clients retry a request.
func afterFirst(requests *atomic.Int64, h handler) handler {
	return func(c net.Conn, r *http.Request, n int) bool {
		if n == 0 {
			fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
			return true
		}
		requests.Add(1)
		return h(c, r, n)
	}
}

// An incomplete response must be reported as such, and the request must be sent
// once: a retry by the forwarder itself would break at-most-once execution.
func TestInterrupted(t *testing.T) {
	tests := map[string]handler{
		"truncated header":    respondWith("HTTP/1.1 200 OK\r\nContent-", false),
		"truncated body":      respondWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false),
		"missing last chunk":  respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false),
		"not delimited":       respondWith("HTTP/1.1 200 OK\r\n\r\nperhaps whole", false),
		"of another attempt":  respondWith("HTTP/1.1 200 OK\r\nHeathermux-Attempt: other\r\nContent-Length: 0\r\n\r\n", true),
		"body too large":      respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", forwarder.MaxBodyBytes+1), true),
		"no response":         respondWith("", false),
		"two-digit status":    respondWith("HTTP/1.1 042 OK\r\nContent-Length: 0\r\n\r\n", true),
		"switching protocols": respondWith("HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", true),
	}
	for name, respond := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				is := is.New(t)
				var requests atomic.Int64
				target := startUpstream(t, afterFirst(&requests, respond))
				f := forwarder.New()
				defer f.Close()
				is.Equal(send(f, target, http.MethodGet, "/first", nil, nil).Kind, forwarder.Complete)
				got := send(f, target, method, "/second", nil, nil)
				is.Equal(got.Kind, forwarder.Interrupted)
				is.True(got.Response == nil)
				is.Equal(requests.Load(), int64(1))
			})
		}
	}
}

// A late response must be reported as timed out. An error of the gate must be
// reported as not sent with that error, and no request may reach the upstream.
func TestTimeoutAndGateError(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	target := startUpstream(t, afterFirst(&requests, func(net.Conn, *http.Request, int) bool {
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
	is.Equal(requests.Load(), int64(0))
	is.Equal(send(f, target, http.MethodGet, "/first", nil, nil).Kind, forwarder.Complete)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.Equal(sendContext(ctx, f, target, http.MethodPost, "/", nil, nil).Kind, forwarder.TimedOut)
	is.Equal(requests.Load(), int64(1))
}

// An unsolicited second response must not be taken for the response to the next
// request, whether it arrives with the first response or after it, complete or
// truncated. Callers wait for the only connection, so that the next request gets
// it at the moment when it is returned to the pool.
func TestUnsolicitedResponses(t *testing.T) {
	const wrong = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, extra := range []string{wrong, wrong[:20], wrong[:1]} {
		t.Run("with the response: "+extra, func(t *testing.T) { checkUnsolicitedResponse(t, extra, false, 8) })
		t.Run("after the response: "+extra, func(t *testing.T) { checkUnsolicitedResponse(t, extra, true, 1) })
	}
}

func checkUnsolicitedResponse(t *testing.T, extra string, afterResponse bool, callers int) {
	sent := make(chan struct{})
	target := startUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
		correct := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		if !afterResponse {
			fmt.Fprint(c, correct+extra)
			return true
		}
		fmt.Fprint(c, correct)
		<-sent
		fmt.Fprint(c, extra)
		sent <- struct{}{}
		return true
	})
	target.MaxConnections = 1
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
				case string(got.Response.Body) != path:
					t.Errorf("request %s got response body %q", path, got.Response.Body)
				}
				if afterResponse {
					sent <- struct{}{}
					<-sent
				}
			}
		})
	}
	wg.Wait()
}
