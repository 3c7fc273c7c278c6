package ordersender

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Caller calls an RPC method of another host.
type Caller interface {
	Call(ctx context.Context, host, method string, request, response proto.Message) error
}

// RPC methods served by the host of an agent.
const (
	CarryMethod   = "Courier.Carry"
	CollectMethod = "Courier.Collect"
)

// Options configures a Courier.
type Options struct {
	Local *LocalSender
	// Caller calls the agents; nil disables them.
	Caller Caller
	// Hosts returns the names of the other hosts that may run agents.
	Hosts func() []string
	// DelegateFrom is the number of workers from which on orders go through
	// agents. In a smaller fleet the extra hop costs more than it saves.
	DelegateFrom int
	// Name is the name of this host.
	Name   string
	Clock  timer.Clock
	Logger *slog.Logger
}

// Sender sends the orders of one leader term to the workers. It is safe for
// concurrent use; create one with New and release it with Close.
type Sender struct {
	opts    Options
	fence   uint64
	session string
	report  func([]Answer)
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu sync.Mutex
	// agents holds the known agents by host; empty while the fleet is small.
	agents map[string]*agentState
	// lastNumber is the number of the newest order sent through an agent.
	lastNumber uint64
	// delegating is set once the fleet has reached DelegateFrom workers in this
	// term.
	delegating bool
}

// New returns the courier of a term, which passes outcomes to report. It may
// call report from any goroutine, but not from within Send.
func New(opts Options, fence uint64, report func([]Answer)) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		opts:    opts,
		fence:   fence,
		session: fmt.Sprintf("%s/%d", opts.Name, fence),
		report:  report,
		ctx:     ctx,
		cancel:  cancel,
		agents:  make(map[string]*agentState),
	}
}

// Close cancels all orders; their outcomes are no longer reported.
func (c *Sender) Close() {
	c.cancel()
	c.wg.Wait()
}

// Send sends orders to workers; workers is the size of the fleet.
func (c *Sender) Send(orders []jobscheduler.Action, workers int) {
	if c.opts.Caller != nil && workers >= c.opts.DelegateFrom {
		c.startDelegating()
	}
	for _, order := range orders {
		c.send(order)
	}
}

// SenderCount returns the number of hosts that send orders to workers: the
// agents that are up, or 1 for this host if there are none.
func (c *Sender) SenderCount() int {
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

// send passes an order to an agent, or sends it from this host if no agent is
// up.
func (c *Sender) send(order jobscheduler.Action) {
	c.mu.Lock()
	agent := c.chooseAgent(order)
	if agent != nil {
		c.lastNumber++
		agent.enqueue(c.lastNumber, order, c.opts.Clock.Now())
	}
	c.mu.Unlock()
	if agent == nil {
		c.opts.Local.Go(c.ctx, c.fence, order, func(a Answer) { c.deliver([]Answer{a}) })
	}
}

// deliver reports outcomes unless the courier is closed.
func (c *Sender) deliver(answers []Answer) {
	if len(answers) > 0 && c.ctx.Err() == nil {
		c.report(answers)
	}
}
