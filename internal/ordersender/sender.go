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

// RPC methods served by the host of a relay.
const (
	CarryMethod   = "Courier.Carry"
	CollectMethod = "Courier.Collect"
)

// Options configures a Sender.
type Options struct {
	Local *LocalSender
	// Caller calls the relays; nil disables them.
	Caller Caller
	// Hosts returns the names of the other hosts that may run relays.
	Hosts func() []string
	// DelegateFrom is the number of workers from which on orders go through
	// relays. In a smaller fleet the extra hop costs more than it saves.
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
	// relays holds the known relays by host; empty while the fleet is small.
	relays map[string]*relayState
	// lastNumber is the number of the newest order sent through a relay.
	lastNumber uint64
	// delegating is set once the fleet has reached DelegateFrom workers in this
	// term.
	delegating bool
}

// New returns the Sender of a term, which passes outcomes to report. It may
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
		relays:  make(map[string]*relayState),
	}
}

// Close cancels all orders; their outcomes are no longer reported.
func (s *Sender) Close() {
	s.cancel()
	s.wg.Wait()
}

// Send sends orders to workers; workers is the size of the fleet.
func (s *Sender) Send(orders []jobscheduler.Action, workers int) {
	if s.opts.Caller != nil && workers >= s.opts.DelegateFrom {
		s.startDelegating()
	}
	for _, order := range orders {
		s.send(order)
	}
}

// SenderCount returns the number of hosts that send orders to workers: the
// relays that are up, or 1 for this host if there are none.
func (s *Sender) SenderCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.relays {
		if r.up {
			n++
		}
	}
	return max(n, 1)
}

// send passes an order to a relay, or sends it from this host if no relay is
// up.
func (s *Sender) send(order jobscheduler.Action) {
	s.mu.Lock()
	relay := s.chooseRelay(order)
	if relay != nil {
		s.lastNumber++
		relay.enqueue(s.lastNumber, order, s.opts.Clock.Now())
	}
	s.mu.Unlock()
	if relay == nil {
		s.opts.Local.Go(s.ctx, s.fence, order, func(a Answer) { s.deliver([]Answer{a}) })
	}
}

// deliver reports outcomes unless the Sender is closed.
func (s *Sender) deliver(answers []Answer) {
	if len(answers) > 0 && s.ctx.Err() == nil {
		s.report(answers)
	}
}
