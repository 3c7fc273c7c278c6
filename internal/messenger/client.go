package messenger

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"
)

// Client calls peers by address and keeps one connection to each. It is created
// by NewClient and is safe for concurrent use.
type Client struct {
	opts   ClientOptions
	tracer trace.Tracer

	mu sync.Mutex
	// Invariant: holds one peer for each address that has been called.
	peers map[string]*peer
}

// NewClient returns a client. It connects to a peer on the first call.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts:   opts,
		tracer: tracerOf(opts.Tracer),
		peers:  make(map[string]*peer),
	}
}

// Call calls a method, such as "Registry.Begin", of the peer at address and
// merges its response into response. The context must have a deadline.
// ErrUnreachable and ErrBusy mean that nothing was sent; after any other error
// the peer may have executed the call.
func (c *Client) Call(ctx context.Context, address, method string, request, response proto.Message) error {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return c.peer(address).call(ctx, method, request, response)
	}
	ctx, span := c.tracer.Start(ctx, method, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	err := c.peer(address).call(ctx, method, request, response)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return err
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = newPeer(address, c.opts.TLS)
		c.peers[address] = p
	}
	return p
}

// Close closes all connections. Calls in flight and later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
}
