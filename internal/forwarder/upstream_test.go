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

// script answers one request on a connection by hand; it reports whether the
// connection stays open.
type script func(c net.Conn, r *http.Request, number int) bool

// upstream runs a scripted stand-in on loopback until the test ends.
func upstream(t testing.TB, s script) forwarder.Target {
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
			go converse(c, s)
		}
	}()
	return forwarder.Target{
		Address:     l.Addr().String(),
		Connections: 4,
	}
}

func converse(c net.Conn, s script) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil || !s(c, r, n) {
			return
		}
	}
}

func send(f *forwarder.Forwarder, to forwarder.Target, method, path string, body []byte, gate func() error) forwarder.Outcome {
	return sendWithin(context.Background(), f, to, method, path, body, gate)
}

func sendWithin(ctx context.Context, f *forwarder.Forwarder, to forwarder.Target, method, path string, body []byte, gate func() error) forwarder.Outcome {
	return f.Send(ctx, to, &forwarder.Request{
		Method: method,
		URL: &url.URL{
			Path: path,
		},
		Header: http.Header{
			"Idempotency-Key": {"k"},
		},
		Body:    body,
		ID:      path,
		Gate:    gate,
		Timeout: 2 * time.Second,
	})
}
