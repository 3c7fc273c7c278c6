// Package permitter keeps HTTP requests from being sent once the permission to send
// them has ended. A check before the call does not suffice: the request then waits
// for a connection, and the process may be suspended meanwhile, with timers that do
// not count that time.
package permitter

import (
	"context"
	"io"
	"net/http"
)

// Check returns an error once the permission has ended. It must compare a clock that
// includes time spent suspended, and is called from any goroutine.
type Check func() error

type checkKey struct{}

// With returns a context whose requests a Transport sends only while check returns
// nil.
func With(ctx context.Context, check Check) context.Context {
	return context.WithValue(ctx, checkKey{}, check)
}

// Transport is an http.RoundTripper that checks the permission right before it
// writes the body of a request. A request without permission fails with the error
// of the check, and its receiver gets no complete request. Requests without a Check
// are passed on as they are. It is safe for concurrent use.
type Transport struct {
	// Base sends the requests; it must not be nil.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	check, ok := req.Context().Value(checkKey{}).(Check)
	if !ok {
		return t.Base.RoundTrip(req)
	}
	if req.Body == nil || req.Body == http.NoBody {
		if err := check(); err != nil {
			return nil, err
		}
		return t.Base.RoundTrip(req)
	}
	guarded := req.Clone(req.Context())
	guarded.Body = &guardedBody{
		ReadCloser: req.Body,
		check:      check,
	}
	// The base would read the unguarded body when it repeats the request.
	guarded.GetBody = nil
	return t.Base.RoundTrip(guarded)
}

// guardedBody is the body of a request that may only be read with permission.
type guardedBody struct {
	io.ReadCloser

	check Check
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	if err := b.check(); err != nil {
		return 0, err
	}
	return b.ReadCloser.Read(p)
}
