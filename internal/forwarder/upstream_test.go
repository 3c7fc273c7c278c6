package forwarder_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/forwarder"
)

// handler writes the raw response to one request. The parameter n counts the
// requests on the connection from 0. The result tells whether the connection
// stays open.
type handler func(c net.Conn, r *http.Request, n int) bool

// startUpstream runs a fake upstream on the loopback interface until the test
// ends, and returns it as a target.
func startUpstream(t testing.TB, h handler) forwarder.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, h)
		}
	}()
	return forwarder.Target{
		Address:        l.Addr().String(),
		MaxConnections: 4,
	}
}

func serveConn(c net.Conn, h handler) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil || !h(c, r, n) {
			return
		}
	}
}

func send(f *forwarder.Forwarder, target forwarder.Target, method, path string, body []byte, gate func() error) forwarder.Outcome {
	return sendContext(context.Background(), f, target, method, path, body, gate)
}

func sendContext(ctx context.Context, f *forwarder.Forwarder, target forwarder.Target, method, path string, body []byte, gate func() error) forwarder.Outcome {
	return f.Send(ctx, target, &forwarder.Request{
		Method: method,
		URL: &url.URL{
			Path: path,
		},
		Header: http.Header{
			"Idempotency-Key": {"k"},
		},
		Body:        body,
		ID:          path,
		BeforeWrite: gate,
		Timeout:     2 * time.Second,
	})
}
