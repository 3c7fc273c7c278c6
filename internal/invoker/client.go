// Package invoker is the HTTP client for job workers: it sends them the leader's
// orders and decodes their answers.
package invoker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// idleConnTimeout is how long an unused connection to a worker stays open.
	idleConnTimeout = 30 * time.Second
	// maxConnsPerWorker allows one connection for the pending poll and a few for
	// other orders. Each connection costs the leader two goroutines.
	maxConnsPerWorker = 4
	// maxAnswerBytes is the most that is read of a worker's answer; the rest is cut
	// off.
	maxAnswerBytes = 4 << 20
	// dialTimeout limits one attempt to connect.
	dialTimeout = 500 * time.Millisecond
	// endpointTTL is how long an address without calls is kept. Workers restart
	// under new addresses, so the map would otherwise grow without bound.
	endpointTTL = 2 * time.Minute
)

// Client posts JSON requests to workers. Each address has an HTTP client and a
// connection pool of its own, so that a failed call closes the idle connections to
// that worker only. It is safe for concurrent use; create one with NewClient.
type Client struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	// evictedAt is when unused endpoints were last evicted.
	evictedAt time.Time
}

// endpoint is the HTTP client for one address.
type endpoint struct {
	client   *http.Client
	lastUsed time.Time
}

// Disconnected reports whether a call failed because the worker refused or broke the
// connection, as when its process has ended. A worker that is cut off does neither.
func Disconnected(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Refused reports whether a call failed because nothing listens at the worker's address,
// so that the call has not reached it.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// notSentError is the error of a call that failed before a connection for it was there.
type notSentError struct {
	cause error
}

func (e *notSentError) Error() string {
	return "invoker: no connection for the order: " + e.cause.Error()
}

func (e *notSentError) Unwrap() error { return e.cause }

// NotSent reports whether a call failed before a connection for it was there. No byte of it
// has left this host, so that it can't be executed later either.
func NotSent(err error) bool {
	var notSent *notSentError
	return errors.As(err, &notSent)
}

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{
		endpoints: make(map[string]*endpoint),
		evictedAt: time.Now(),
	}
}

// httpClient returns the HTTP client for an address, creating it on first use.
func (c *Client) httpClient(address string) *http.Client {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictUnused(now)
	e, ok := c.endpoints[address]
	if !ok {
		e = &endpoint{
			client: &http.Client{
				// A failure behind a redirect would say nothing about the order, which has
				// arrived at the address.
				CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
				Transport: &http.Transport{
					DialContext:         DialWithReset,
					MaxConnsPerHost:     maxConnsPerWorker,
					MaxIdleConnsPerHost: maxConnsPerWorker,
					IdleConnTimeout:     idleConnTimeout,
					DisableCompression:  true,
				},
			},
		}
		c.endpoints[address] = e
	}
	e.lastUsed = now
	return e.client
}

// evictUnused removes the endpoints that were not used for endpointTTL; c.mu is
// held.
func (c *Client) evictUnused(now time.Time) {
	if now.Sub(c.evictedAt) < endpointTTL {
		return
	}
	c.evictedAt = now
	for address, e := range c.endpoints {
		if now.Sub(e.lastUsed) >= endpointTTL {
			e.client.CloseIdleConnections()
			delete(c.endpoints, address)
		}
	}
}

// CloseIdle closes the connections to an address that carry no call. The next call has a new
// connection, or one that has just carried an answer. An older one may be silent without a
// sign of it: what is written to it is lost, and whether it arrived can't be told.
func (c *Client) CloseIdle(address string) { c.httpClient(address).CloseIdleConnections() }

// Post sends body as JSON and returns the status and the body of the response.
// After an error the outcome is unknown, unless it is NotSent: the worker may have executed
// the order, or may still do so.
func (c *Client) Post(ctx context.Context, address, path string, header http.Header, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "invoker: encode order")
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, errors.Wrap(err, "invoker: create request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	client := c.httpClient(address)
	resp, err := client.Do(req)
	if err != nil {
		// The other connections to the worker may be broken as well.
		client.CloseIdleConnections()
		if !connected.Load() {
			return 0, nil, &notSentError{
				cause: err,
			}
		}
		return 0, nil, errors.Wrap(err, "invoker: send order")
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		client.CloseIdleConnections()
		return resp.StatusCode, nil, errors.Wrap(err, "invoker: read answer")
	}
	return resp.StatusCode, respBody, nil
}

// DialWithReset connects to an address with SO_LINGER set to 0: closing the
// connection resets it and discards unsent data, so that a cancelled order is not
// delivered after a partition has healed.
func DialWithReset(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	return conn, nil
}
