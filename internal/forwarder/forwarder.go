// Package forwarder sends HTTP requests to upstreams over pooled connections. It
// makes one attempt for each request and reports whether any byte was sent and
// whether the complete response was received. An outcome of NotSent is certain,
// and a response is reported as complete only if every byte of it has arrived.
package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// MaxBodyBytes is the largest body of a request or a response, in bytes.
const MaxBodyBytes = 8 << 20

const (
	// dialTimeout is far above a round trip between data centres (1 to 3 ms)
	// and leaves most of the default deadline of 5 s for another upstream.
	dialTimeout = time.Second
	// idleTimeout is the time after which an unused connection is closed, such
	// as one to an upstream whose queue has no traffic.
	idleTimeout = 30 * time.Second
	// sweepInterval is the time between checks of idle connections. One that
	// the upstream has closed or sent data on is closed within two intervals.
	sweepInterval = time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// Target is the upstream that a request goes to.
type Target struct {
	// Address is the ip:port of the upstream.
	Address string
	// MaxConnections is the maximum number of connections; below 1 means 1.
	MaxConnections int
}

// Request is one attempt to have an upstream handle a request.
type Request struct {
	// Timeout of the attempt, measured on the system clock. If it is zero or
	// negative, nothing is sent.
	Timeout time.Duration
	Method  string
	// URL provides the path and the query; its scheme and host are ignored.
	URL *url.URL
	// Header is modified by Send and must not be used afterwards.
	Header http.Header
	// Body is not modified.
	Body []byte
	// ID identifies this attempt. If set, it is sent in AttemptHeader.
	ID string
	// BeforeWrite, if set, is called immediately before the first byte is written; if
	// it returns an error, nothing is written and the outcome is NotSent with
	// that error. It may be called from another goroutine.
	BeforeWrite func() error
}

// Forwarder holds a connection pool for each upstream. It is created by New and
// is safe for concurrent use.
type Forwarder struct {
	mu sync.RWMutex
	// Invariant: one pool for each target that was used since the last Close
	// and not passed to Forget since.
	pools map[Target]*pool
}

// New returns a forwarder without connections.
func New() *Forwarder {
	return &Forwarder{
		pools: make(map[Target]*pool),
	}
}

// Send sends the request to the target and waits for the complete response, the
// timeout or the end of the context, whichever comes first.
func (f *Forwarder) Send(ctx context.Context, target Target, r *Request) Outcome {
	deadline := time.Now().Add(r.Timeout)
	if r.Timeout <= 0 {
		return failedOutcome(NotSent, context.DeadlineExceeded)
	}
	if err := ctx.Err(); err != nil {
		return failedOutcome(NotSent, err)
	}
	p := f.pool(target)
	c, err := p.get(ctx, deadline)
	if err != nil {
		return failedOutcome(NotSent, doneErrOr(ctx, deadline, err))
	}
	e := &exchange{
		ctx:  ctx,
		conn: c,
		gate: r.BeforeWrite,
	}
	answer, reusable, err := e.runUntil(deadline, newRequest(target, r), r.ID)
	if reusable {
		p.put(c)
	} else {
		p.discard(c)
	}
	switch {
	case err == nil:
		return Outcome{
			Kind:     Complete,
			Response: answer,
		}
	case e.gateErr != nil:
		return failedOutcome(NotSent, e.gateErr)
	case !e.sent:
		return failedOutcome(NotSent, doneErrOr(ctx, deadline, err))
	case doneErr(ctx, deadline) != nil:
		return failedOutcome(TimedOut, doneErr(ctx, deadline))
	}
	return failedOutcome(Interrupted, err)
}

// Forget closes the idle connections to a target that is no longer used.
// Requests in progress are completed; their connections are closed afterwards.
func (f *Forwarder) Forget(target Target) {
	f.mu.Lock()
	pool := f.pools[target]
	delete(f.pools, target)
	f.mu.Unlock()
	if pool != nil {
		pool.shutDown()
	}
}

// Close closes all idle connections, and those in use after their request.
func (f *Forwarder) Close() {
	f.mu.Lock()
	pools := f.pools
	f.pools = make(map[Target]*pool)
	f.mu.Unlock()
	for _, pool := range pools {
		pool.shutDown()
	}
}

func (f *Forwarder) pool(target Target) *pool {
	f.mu.RLock()
	pool := f.pools[target]
	f.mu.RUnlock()
	if pool != nil {
		return pool
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pools[target] == nil {
		f.pools[target] = newPool(target)
	}
	return f.pools[target]
}

func newRequest(target Target, r *Request) *http.Request {
	u := *r.URL
	u.Scheme = "http"
	u.Host = target.Address
	req := &http.Request{
		Method:        r.Method,
		URL:           &u,
		Header:        toUpstreamHeader(r.Header),
		Body:          http.NoBody,
		ContentLength: int64(len(r.Body)),
	}
	if r.ID != "" {
		req.Header[AttemptHeader] = []string{r.ID}
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return req
}

// doneErr returns the error of the context, DeadlineExceeded if the deadline has
// passed, or nil.
func doneErr(ctx context.Context, deadline time.Time) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// doneErrOr returns doneErr if that is not nil, and err otherwise. A dial or
// write that fails because time ran out is thus reported as such.
func doneErrOr(ctx context.Context, deadline time.Time, err error) error {
	if done := doneErr(ctx, deadline); done != nil {
		return done
	}
	return err
}

func failedOutcome(kind Kind, err error) Outcome {
	return Outcome{
		Kind: kind,
		Err:  errors.WithMessage(err, "forwarder: "+kind.String()),
	}
}
