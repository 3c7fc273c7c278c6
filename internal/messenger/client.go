package messenger

import (
	"context"
	"crypto/tls"
	"sync"

	"google.golang.org/protobuf/proto"
)

// Client calls peers by address and keeps one connection to each. It may be
// used from any number of goroutines; make one with NewClient.
type Client struct {
	tls func() *tls.Config

	mu sync.Mutex
	// Invariant: holds one peer for each address that was called since the start.
	peers map[string]*peer
}

// NewClient returns a client. The function returns the configuration of each
// new connection; nil means plain TCP.
func NewClient(cfg func() *tls.Config) *Client {
	return &Client{
		tls:   cfg,
		peers: make(map[string]*peer),
	}
}

// Call calls a method, such as "Registry.Begin", of the peer at address. The
// context must have a deadline. ErrUnreachable and ErrBusy mean that nothing
// was sent; after any other error the peer may have acted.
func (c *Client) Call(ctx context.Context, address, method string, request, response proto.Message) error {
	return c.peer(address).call(ctx, method, request, response)
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = newPeer(address, c.tls)
		c.peers[address] = p
	}
	return p
}

// Close closes all connections; calls in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
}
