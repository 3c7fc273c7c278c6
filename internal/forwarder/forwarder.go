// Package forwarder sends one request to one upstream and reports how far it
// came. It proves that a request was not sent, and it never reports an answer
// as complete unless every byte of it has arrived.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
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
	// error nothing is written. It is called from another goroutine.
	Gate func() error
}

// Forwarder holds the connections to all upstreams. Its methods may be called
// from any number of goroutines; make one with New.
type Forwarder struct {
	mu sync.RWMutex
	// Invariant: one pool for each target that was used and not forgotten.
	pools map[Target]*http.Transport
}

// New returns a forwarder without connections.
func New() *Forwarder {
	return &Forwarder{
		pools: make(map[Target]*http.Transport),
	}
}

// Send sends the request to the target and waits for the whole answer, for the
// timeout, or for the end of the context.
func (f *Forwarder) Send(ctx context.Context, to Target, r *Request) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	a := &attempt{
		gate:   r.Gate,
		cancel: cancel,
	}
	var conn *guardedConn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*guardedConn)
			conn.begin(a)
		},
	}
	resp, err := f.pool(to).RoundTrip(newRequest(httptrace.WithClientTrace(ctx, trace), to, r))
	if err != nil {
		return failed(ctx, a, err)
	}
	if sent, _ := a.seal(); !sent {
		// An answer to nothing: the connection held bytes of another request.
		conn.Close()
		resp.Body.Close()
		return failed(ctx, a, errUnsolicited)
	}
	answer, err := readWhole(resp, r.ID, MaxBody)
	conn.end(a)
	if err != nil {
		conn.Close()
		return failed(ctx, a, err)
	}
	return Outcome{
		Kind:   Complete,
		Answer: answer,
	}
}

// Forget closes the idle connections to a target that has left. Requests under
// way to it end as usual.
func (f *Forwarder) Forget(to Target) {
	f.mu.Lock()
	pool := f.pools[to]
	delete(f.pools, to)
	f.mu.Unlock()
	if pool != nil {
		pool.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	pools := f.pools
	f.pools = make(map[Target]*http.Transport)
	f.mu.Unlock()
	for _, pool := range pools {
		pool.CloseIdleConnections()
	}
}

func (f *Forwarder) pool(to Target) *http.Transport {
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

func newPool(to Target) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	connections := max(to.Connections, 1)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return guard(c)
		},
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		MaxResponseHeaderBytes: maxHeader,
	}
}

func newRequest(ctx context.Context, to Target, r *Request) *http.Request {
	u := *r.URL
	u.Scheme = "http"
	u.Host = to.Address
	req := (&http.Request{
		Method: r.Method,
		URL:    &u,
		Header: upstreamHeader(r.Header),
	}).WithContext(ctx)
	if r.ID != "" {
		req.Header[AttemptHeader] = []string{r.ID}
	}
	setBody(req, r.Body)
	return req
}

func failed(ctx context.Context, a *attempt, err error) Outcome {
	sent, refusal := a.seal()
	kind := NotSent
	switch {
	case sent && ctx.Err() != nil:
		kind = TimedOut
	case sent:
		kind = Interrupted
	case refusal != nil:
		err = refusal
	}
	return Outcome{
		Kind: kind,
		Err:  errors.WithMessage(err, "forwarder: "+kind.String()),
	}
}
