package forwarder

import (
	"bytes"
	"io"
	"net/http"
)

// onceBody is a body that the transport can't read again. A request with a
// body of this type and no GetBody is never sent twice by http.Transport on
// its own: each attempt is counted and decided here.
type onceBody struct {
	bytes.Reader
}

func (*onceBody) Close() error { return nil }

func newOnceBody(body []byte) *onceBody {
	b := &onceBody{}
	b.Reset(body)
	return b
}

// setBody gives the request its body. An empty body of a method that usually
// has none is still set, because http.Transport would repeat such a request;
// it notices that the body is empty and sends none.
func setBody(r *http.Request, body []byte) {
	r.ContentLength = int64(len(body))
	if len(body) > 0 {
		r.Body = newOnceBody(body)
		return
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		r.Body = newOnceBody(nil)
	default:
		r.Body = http.NoBody
	}
}

var _ io.ReadCloser = (*onceBody)(nil)
