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

// An interim answer, or a body that an answer can't have, would be taken for
// the answer of this or of the next request.
func TestAnswersWithoutBody(t *testing.T) {
	tests := map[string]struct {
		method, answer string
		status         int
	}{
		"interim": {
			method: http.MethodPost,
			answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + empty,
			status: http.StatusOK,
		},
		"HEAD": {
			method: http.MethodHead,
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
			status: http.StatusOK,
		},
		"no content": {
			method: http.MethodPost,
			answer: "HTTP/1.1 204 No Content\r\n\r\n",
			status: http.StatusNoContent,
		},
		"not modified": {
			method: http.MethodGet,
			answer: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
			status: http.StatusNotModified,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := forwarder.New()
			defer f.Close()
			target := upstream(t, says(test.answer, true))
			for range 3 {
				got := send(f, target, test.method, "/", nil, nil)
				is.NoErr(got.Err)
				is.Equal(got.Answer.Status, test.status)
				is.Equal(len(got.Answer.Body), 0)
			}
		})
	}
}

// An upstream that answers while it reads must not block on an answer that the
// forwarder does not read yet, and one that answers without reading must be
// heard. The small buffers keep the sockets from holding a whole body.
func TestAnswerBeforeEndOfBody(t *testing.T) {
	answered := make(chan struct{}, 1)
	tests := map[string]struct {
		rest func(c net.Conn, r *http.Request)
		size int
	}{
		"echo": {
			rest: func(c net.Conn, r *http.Request) { _, _ = io.Copy(c, r.Body) },
			size: forwarder.MaxBody,
		},
		"without reading": {
			rest: func(net.Conn, *http.Request) { <-answered },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := forwarder.New()
			defer f.Close()
			target := upstream(t, func(c net.Conn, r *http.Request, _ int) bool {
				_ = c.(*net.TCPConn).SetReadBuffer(256 << 10)
				_ = c.(*net.TCPConn).SetWriteBuffer(256 << 10)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", test.size)
				test.rest(c, r)
				return false
			})
			body := bytes.Repeat([]byte("cup 7 . "), forwarder.MaxBody/8)
			got := send(f, target, http.MethodPost, "/", body, nil)
			answered <- struct{}{}
			is.NoErr(got.Err)
			is.True(bytes.Equal(got.Answer.Body, body[:test.size]))
		})
		select {
		case <-answered:
		default:
		}
	}
}
