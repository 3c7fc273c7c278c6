package forwarder_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/forwarder"
)

// An interim response, or the announced body of a response that has none, must
// not be taken for the response to this or the next request.
func TestAnswersWithoutBody(t *testing.T) {
	tests := map[string]struct {
		method, response string
		status           int
	}{
		"interim": {
			method:   http.MethodPost,
			response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + emptyResponse,
			status:   http.StatusOK,
		},
		"HEAD": {
			method:   http.MethodHead,
			response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
			status:   http.StatusOK,
		},
		"no content": {
			method:   http.MethodPost,
			response: "HTTP/1.1 204 No Content\r\n\r\n",
			status:   http.StatusNoContent,
		},
		"not modified": {
			method:   http.MethodGet,
			response: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
			status:   http.StatusNotModified,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := forwarder.New()
			defer f.Close()
			target := startUpstream(t, respondWith(test.response, true))
			for range 3 {
				got := send(f, target, test.method, "/", nil, nil)
				is.NoErr(got.Err)
				is.Equal(got.Response.Status, test.status)
				is.Equal(len(got.Response.Body), 0)
			}
		})
	}
}

// An upstream that responds while it reads the request must not block because
// the forwarder doesn't read yet, and the response of one that doesn't read
// must be received. With the small socket buffers a whole body doesn't fit.
func TestAnswerBeforeEndOfBody(t *testing.T) {
	received := make(chan struct{}, 1)
	tests := map[string]struct {
		rest func(c net.Conn, r *http.Request)
		size int
	}{
		"echo": {
			rest: func(c net.Conn, r *http.Request) { _, _ = io.Copy(c, r.Body) },
			size: forwarder.MaxBodyBytes,
		},
		"without reading": {
			rest: func(net.Conn, *http.Request) { <-received },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := forwarder.New()
			defer f.Close()
			target := startUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
				_ = c.(*net.TCPConn).SetReadBuffer(256 << 10)
				_ = c.(*net.TCPConn).SetWriteBuffer(256 << 10)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", test.size)
				test.rest(c, r)
				return false
			})
			body := bytes.Repeat([]byte("cup 7 . "), forwarder.MaxBodyBytes/8)
			got := send(f, target, http.MethodPost, "/", body, nil)
			received <- struct{}{}
			is.NoErr(got.Err)
			is.True(bytes.Equal(got.Response.Body, body[:test.size]))
		})
		select {
		case <-received:
		default:
		}
	}
}
