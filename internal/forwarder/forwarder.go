// Package forwarder sends one request to one upstream and reports how far it
// came. It proves that a request was not sent, and it never reports an answer
// as complete unless every byte of it has arrived.
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

// MaxBody is the largest body of a request or an answer, in bytes.
const MaxBody = 8 << 20

const (
	// dialTimeout is far above a round trip between data centres (1 to 3 ms)
	// and leaves most of the default deadline of 5 s for another upstream.
	dialTimeout = time.Second
	// idleTimeout closes connections that a quiet queue does not use.
	idleTimeout = 30 * time.Second
	// sweepInterval is the time between checks of idle connections. One that
	// the upstream has closed or sent bytes on is closed within two intervals.
	sweepInterval = time.Second
	// maxHeader bounds the header of an answer, in bytes.
	maxHeader = 64 << 10
)

// Target is the upstream that a request goes to.
type Target struct {
	// Address as ip:port.
	Address string
	// Connections is the most connections to open; below 1 means 1.
	Connections int
}

// Request is one request as the upstream gets it.
type Request struct {
	// Timeout of the attempt on the machine's clock; not positive means none is left.
	Timeout time.Duration
	Method  string
	// URL holds the path and the query; scheme and host are replaced.
	URL *url.URL
	// Header is changed by Send and must not be used after it.
	Header http.Header
	// Body is only read.
	Body []byte
	// ID of this attempt, sent in AttemptHeader.
	ID string
	// Gate, if set, is called right before the first byte is written; on an
	// error nothing is written. It may be called from another goroutine.
	Gate func() error
}

// Forwarder holds the connections to all upstreams. Its methods may be called
// from any number of goroutines; make one with New.
type Forwarder struct {
	mu sync.RWMutex
	// Invariant: one pool for each target that was used and not forgotten.
	pools map[Target]*pool
}

// New returns a forwarder without connections.
func New() *Forwarder {
	return &Forwarder{
		pools: make(map[Target]*pool),
	}
}

// Send sends the request to the target and waits for the whole answer, for the
// timeout, or for the end of the context.
func (f *Forwarder) Send(ctx context.Context, to Target, r *Request) Outcome {
	deadline := time.Now().Add(r.Timeout)
	if r.Timeout <= 0 {
		return failed(NotSent, context.DeadlineExceeded)
	}
	if err := ctx.Err(); err != nil {
		return failed(NotSent, err)
	}
	p := f.pool(to)
	c, err := p.take(ctx, deadline)
	if err != nil {
		return failed(NotSent, reason(ctx, deadline, err))
	}
	e := &exchange{
		ctx:  ctx,
		conn: c,
		gate: r.Gate,
	}
	answer, reusable, err := e.within(deadline, newRequest(to, r), r.ID)
	if reusable {
		p.put(c)
	} else {
		p.discard(c)
	}
	switch {
	case err == nil:
		return Outcome{
			Kind:   Complete,
			Answer: answer,
		}
	case e.refusal != nil:
		return failed(NotSent, e.refusal)
	case !e.sent:
		return failed(NotSent, reason(ctx, deadline, err))
	case ended(ctx, deadline) != nil:
		return failed(TimedOut, ended(ctx, deadline))
	}
	return failed(Interrupted, err)
}

// Forget closes the idle connections to a target that has left. Requests under
// way to it end as usual.
func (f *Forwarder) Forget(to Target) {
	f.mu.Lock()
	pool := f.pools[to]
	delete(f.pools, to)
	f.mu.Unlock()
	if pool != nil {
		pool.leave()
	}
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	pools := f.pools
	f.pools = make(map[Target]*pool)
	f.mu.Unlock()
	for _, pool := range pools {
		pool.leave()
	}
}

func (f *Forwarder) pool(to Target) *pool {
	f.mu.RLock()
	pool := f.pools[to]
	f.mu.RUnlock()
	if pool != nil {
		return pool
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pools[to] == nil {
		f.pools[to] = newPool(to)
	}
	return f.pools[to]
}

func newRequest(to Target, r *Request) *http.Request {
	u := *r.URL
	u.Scheme = "http"
	u.Host = to.Address
	req := &http.Request{
		Method:        r.Method,
		URL:           &u,
		Header:        upstreamHeader(r.Header),
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

// ended returns why no time is left, or nil.
func ended(ctx context.Context, deadline time.Time) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// reason returns why no time is left, or else the error.
func reason(ctx context.Context, deadline time.Time, err error) error {
	if end := ended(ctx, deadline); end != nil {
		return end
	}
	return err
}

func failed(kind Kind, err error) Outcome {
	return Outcome{
		Kind: kind,
		Err:  errors.WithMessage(err, "forwarder: "+kind.String()),
	}
}
