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
		})
	}
}

// Each fault of an upstream must lead to the outcome that is true of it, and
// the request must reach the upstream no more often than stated: a repeat by
// the transport itself would break at-most-once.
func TestFaults(t *testing.T) {
	errGate := errors.New("lease ended")
	tests := map[string]struct {
		script script
		method string
		gate   func() error
		kind   forwarder.Kind
		runs   int64
	}{
		"answer cut half-way": {
			script: func(c net.Conn, _ *http.Request, _ int) bool {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
				return false
			},
			method: http.MethodPost,
			kind:   forwarder.Interrupted,
			runs:   1,
		},
		"chunks without an end": {
			script: func(c net.Conn, _ *http.Request, _ int) bool {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
				return false
			},
			method: http.MethodPost,
			kind:   forwarder.Interrupted,
			runs:   1,
		},
		"answer ended by the connection": {
			script: func(c net.Conn, _ *http.Request, _ int) bool {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nperhaps whole")
				return false
			},
			method: http.MethodGet,
			kind:   forwarder.Interrupted,
			runs:   1,
		},
		"answer with the ID of another attempt": {
			script: func(c net.Conn, _ *http.Request, _ int) bool {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nHeathermux-Attempt: other\r\nContent-Length: 0\r\n\r\n")
				return true
			},
			method: http.MethodPost,
			kind:   forwarder.Interrupted,
			runs:   1,
		},
		"answer above the cap": {
			script: func(c net.Conn, _ *http.Request, _ int) bool {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", forwarder.MaxBody+1)
				return true
			},
			method: http.MethodPost,
			kind:   forwarder.Interrupted,
			runs:   1,
		},
		"closed after reading a POST": {
			script: func(net.Conn, *http.Request, int) bool { return false },
			method: http.MethodPost,
			kind:   forwarder.Interrupted,
			runs:   1,
		},
		"closed after reading a GET": {
			script: func(net.Conn, *http.Request, int) bool { return false },
			method: http.MethodGet,
			kind:   forwarder.Interrupted,
			runs:   1,
		},
		"no answer in time": {
			script: func(net.Conn, *http.Request, int) bool {
				time.Sleep(300 * time.Millisecond)
				return true
			},
			method: http.MethodPost,
			kind:   forwarder.TimedOut,
			runs:   1,
		},
		"lease ended before the first byte": {
			script: func(net.Conn, *http.Request, int) bool { return true },
			method: http.MethodPost,
			gate:   func() error { return errGate },
			kind:   forwarder.NotSent,
			runs:   0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			// The first request on each connection succeeds, so that the fault
			// meets a reused connection, which http.Transport would repeat on.
			target := upstream(t, func(c net.Conn, r *http.Request, n int) bool {
				if n == 0 {
					fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
					return true
				}
				runs.Add(1)
				return test.script(c, r, n)
			})
			f := forwarder.New()
			defer f.Close()
			is.Equal(send(f, target, http.MethodGet, "/first", nil, nil).Kind, forwarder.Complete)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			got := sendWithin(ctx, f, target, test.method, "/second", nil, test.gate)
			is.Equal(got.Kind, test.kind)
			is.True(got.Answer == nil)
			if test.gate != nil {
				is.Equal(errors.Cause(got.Err), errGate)
			}
			is.Equal(runs.Load(), test.runs)
		})
	}
}

// An upstream that can't be reached must be reported as not sent, or a request
// that was not run would be refused for good.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	to := forwarder.Target{
		Address: l.Addr().String(),
	}
	l.Close()
	is.Equal(send(forwarder.New(), to, http.MethodPost, "/", nil, nil).Kind, forwarder.NotSent)
}

// A second answer that nobody asked for must not become the answer of the next
// request, whether it comes with the first answer or after it, whole or cut.
// Callers wait for the one connection, so that the next request takes it at
// the moment at which the transport returns it.
func TestUnaskedAnswers(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
	const wrong = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	tests := map[string]struct {
		extra   string
		later   bool
		callers int
	}{
		"with the answer": {
			extra:   wrong,
			callers: 8,
		},
		"cut, with the answer": {
			extra:   wrong[:20],
			callers: 8,
		},
		"after the answer": {
			extra:   wrong,
			later:   true,
			callers: 1,
		},
		"one byte, after the answer": {
			extra:   wrong[:1],
			later:   true,
			callers: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := make(chan struct{})
			target := upstream(t, func(c net.Conn, r *http.Request, _ int) bool {
				right := fmt.Sprintf(answer, len(r.URL.Path), r.URL.Path)
				if !test.later {
					fmt.Fprint(c, right+test.extra)
					return true
				}
				fmt.Fprint(c, right)
				<-sent
				fmt.Fprint(c, test.extra)
				sent <- struct{}{}
				return true
			})
			target.Connections = 1
			f := forwarder.New()
			defer f.Close()
			var wg sync.WaitGroup
			for caller := range test.callers {
				wg.Go(func() {
					for i := range 400 {
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
						if test.later {
							sent <- struct{}{}
							<-sent
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

// Answers must not be exchanged between callers that share connections.
func TestCrossedAnswers(t *testing.T) {
	target := upstream(t, func(c net.Conn, r *http.Request, n int) bool {
		if n%7 == 3 {
			time.Sleep(3 * time.Millisecond)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		return true
	})
	f := forwarder.New()
	defer f.Close()
	var wg sync.WaitGroup
	for caller := range 16 {
		wg.Go(func() {
			for i := range 100 {
				path := fmt.Sprintf("/%d/%d", caller, i)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
				got := sendWithin(ctx, f, target, http.MethodPost, path, nil, nil)
				cancel()
				if got.Kind == forwarder.Complete && string(got.Answer.Body) != path {
					t.Errorf("%s got the answer of %s", path, got.Answer.Body)
				}
			}
		})
	}
	wg.Wait()
}

// A caller that gives up while the first byte is being written must not be
// told that nothing was sent.
func TestGivenUpAtTheFirstByte(t *testing.T) {
	is := is.New(t)
	ran := make(chan struct{}, 1)
	target := upstream(t, func(net.Conn, *http.Request, int) bool {
		ran <- struct{}{}
		return false
	})
	f := forwarder.New()
	defer f.Close()
	ctx, cancel := context.WithCancel(context.Background())
	got := sendWithin(ctx, f, target, http.MethodPost, "/", nil, func() error {
		cancel()
		time.Sleep(20 * time.Millisecond)
		return nil
	})
	is.Equal(got.Kind, forwarder.TimedOut)
	<-ran
}
