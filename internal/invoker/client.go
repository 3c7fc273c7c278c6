// Package invoker calls workers: it carries the orders of the leader to job
// workers over HTTP.
package invoker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// idleTimeout is how long a connection to a worker is kept unused.
	idleTimeout = 30 * time.Second
	// connections bounds the connections to one worker: one for the look that
	// waits there, and a few for orders. Each costs the leader two goroutines.
	connections = 4
	// answerLimit bounds what is read of a worker's answer, in bytes.
	answerLimit = 4 << 20
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond
	// forgetTime is the time without a call after which an address is forgotten:
	// workers come and go under ever new ones.
	forgetTime = 2 * time.Minute
)

// Client posts orders. Each address has connections of its own, so that one
// that has gone silent is dropped with the others to the same worker only. It
// is safe for concurrent use; make one with NewClient.
type Client struct {
	mu    sync.Mutex
	peers map[string]*peer
	// sweptAt is when forgotten addresses were last removed.
	sweptAt time.Time
}

type peer struct {
	client *http.Client
	usedAt time.Time
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		peers:   make(map[string]*peer),
		sweptAt: time.Now(),
	}
}

func (c *Client) peer(address string) *http.Client {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	p, ok := c.peers[address]
	if !ok {
		p = &peer{
			client: &http.Client{
				Transport: &http.Transport{
					DialContext:         DialReset,
					MaxConnsPerHost:     connections,
					MaxIdleConnsPerHost: connections,
					IdleConnTimeout:     idleTimeout,
					DisableCompression:  true,
				},
			},
		}
		c.peers[address] = p
	}
	p.usedAt = now
	return p.client
}

// sweep removes addresses that nothing was sent to for long; c.mu is held.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < forgetTime {
		return
	}
	c.sweptAt = now
	for address, p := range c.peers {
		if now.Sub(p.usedAt) >= forgetTime {
			p.client.CloseIdleConnections()
			delete(c.peers, address)
		}
	}
}

// Post sends body as JSON and returns the status and the body of the answer.
// After an error the order may have been carried out or may still be.
func (c *Client) Post(ctx context.Context, address, path string, header http.Header, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, errors.Wrap(err, "invoker: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, errors.Wrap(err, "invoker: order")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	client := c.peer(address)
	resp, err := client.Do(req)
	if err != nil {
		// Other connections to the worker may have gone silent as well.
		client.CloseIdleConnections()
		return 0, nil, errors.Wrap(err, "invoker: order")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		client.CloseIdleConnections()
		return resp.StatusCode, nil, errors.Wrap(err, "invoker: read answer")
	}
	return resp.StatusCode, text, nil
}

// DialReset connects to an address. Closing the connection resets it, so that
// an order which was given up is not delivered after a partition has healed.
func DialReset(ctx context.Context, network, address string) (net.Conn, error) {
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
