package courier

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Caller calls a method of another host by its name.
type Caller interface {
	Call(ctx context.Context, host, method string, request, response proto.Message) error
}

// The methods of an agent's host.
const (
	CarryMethod   = "Courier.Carry"
	CollectMethod = "Courier.Collect"
)

// Options set up a Courier.
type Options struct {
	Local *Local
	// Caller reaches the agents; nil means that there are none.
	Caller Caller
	// Hosts returns the names of the other hosts that may carry orders.
	Hosts func() []string
	// DelegateFrom is the number of workers from which on agents are used. In a
	// smaller fleet the way through an agent costs more than it spares.
	DelegateFrom int
	// Name is that of this host.
	Name   string
	Clock  timer.Clock
	Logger *slog.Logger
}

// Courier carries the orders of one term of a leader. It is safe for concurrent
// use; make one with New and end it with Close.
type Courier struct {
	opts   Options
	fence  uint64
	name   string
	report func([]Answer)
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu sync.Mutex
	// agents is empty while the fleet is small.
	agents map[string]*remote
	// number is that of the newest order.
	number uint64
	// delegating is true once the fleet has been large in this term.
	delegating bool
}

// New returns the courier of a term, which passes outcomes to report. Report
// may be called from any goroutine, but not from within Send.
func New(opts Options, fence uint64, report func([]Answer)) *Courier {
	ctx, cancel := context.WithCancel(context.Background())
	return &Courier{
		opts:   opts,
		fence:  fence,
		name:   fmt.Sprintf("%s/%d", opts.Name, fence),
		report: report,
		ctx:    ctx,
		cancel: cancel,
		agents: make(map[string]*remote),
	}
}

// Close gives up all orders; their outcomes are not reported any more.
func (c *Courier) Close() {
	c.cancel()
	c.group.Wait()
}

// Send carries orders to the workers of a fleet of the given size.
func (c *Courier) Send(orders []jobscheduler.Action, workers int) {
	if c.opts.Caller != nil && workers >= c.opts.DelegateFrom {
		c.delegate()
	}
	for _, order := range orders {
		c.send(order)
	}
}

// Carriers returns the number of hosts that carry orders.
func (c *Courier) Carriers() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.agents {
		if r.up {
			n++
		}
	}
	return max(n, 1)
}

// send gives an order to an agent, or carries it from here.
func (c *Courier) send(order jobscheduler.Action) {
	c.mu.Lock()
	agent := c.choose(order)
	if agent != nil {
		c.number++
		agent.add(c.number, order, c.opts.Clock.Now())
	}
	c.mu.Unlock()
	if agent == nil {
		c.opts.Local.Go(c.ctx, c.fence, order, func(a Answer) { c.deliver([]Answer{a}) })
	}
}

// deliver reports outcomes while the term lasts.
func (c *Courier) deliver(answers []Answer) {
	if len(answers) > 0 && c.ctx.Err() == nil {
		c.report(answers)
	}
}
