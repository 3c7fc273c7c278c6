package ordersender

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// collectWait is how long a relay without answers waits before it returns
	// an empty batch, which tells the leader that the relay is alive.
	collectWait = 200 * time.Millisecond
	// callTimeout bounds a call to a relay, in addition to collectWait for
	// Collect; a call takes a few milliseconds.
	callTimeout = 250 * time.Millisecond
	// relayRetryDelay is the delay before a failed relay is called again.
	relayRetryDelay = 300 * time.Millisecond
	// hostDiscoveryInterval is the time between two checks for new hosts.
	hostDiscoveryInterval = time.Second
	// relayDelayMargin is how long an answer may be delayed by the hop through
	// a relay, beyond the timeout of its order.
	relayDelayMargin = 300 * time.Millisecond
)

// relayState is what the leader knows about a relay; the Sender's mutex
// guards it.
type relayState struct {
	host       string
	dataCentre string
	// up is true while the relay answers.
	up bool
	// incarnation identifies the relay's process; it changes with a restart.
	incarnation int64
	// queue holds the orders not yet sent to the relay, pending all that are
	// unanswered, by number.
	queue   []*jobwire.Order
	pending map[uint64]pendingOrder
	// queueReady holds a token when the queue may contain orders.
	queueReady chan struct{}
}

type pendingOrder struct {
	order     jobscheduler.Action
	sentAt    time.Time
	expiresAt time.Time
}

// startDelegating starts to search for relays on other hosts.
func (s *Sender) startDelegating() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delegating || s.ctx.Err() != nil {
		return
	}
	s.delegating = true
	s.opts.Logger.Info("courier: the fleet is large; sending orders through relays", "session", s.session)
	s.wg.Go(func() {
		for s.ctx.Err() == nil {
			for _, host := range s.opts.Hosts() {
				s.addRelay(host)
			}
			s.sleep(hostDiscoveryInterval)
		}
	})
}

// addRelay starts the goroutines that exchange orders and answers with a host's
// relay.
func (s *Sender) addRelay(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.relays[host]; ok || host == s.opts.Name {
		return
	}
	r := &relayState{
		host:       host,
		pending:    make(map[uint64]pendingOrder),
		queueReady: make(chan struct{}, 1),
	}
	s.relays[host] = r
	s.wg.Go(func() { s.collectLoop(r) })
	s.wg.Go(func() { s.sendLoop(r) })
}

// chooseRelay returns the relay for an order, or nil if none is up. All orders
// to a worker go to the same relay, in the worker's data centre if one is up
// there. The relay is chosen by rendezvous hashing. s.mu must be held.
func (s *Sender) chooseRelay(order jobscheduler.Action) *relayState {
	target, ok := TargetOf(order)
	if !ok {
		return nil
	}
	var best *relayState
	var bestSameDataCentre bool
	var bestScore uint64
	for _, r := range s.relays {
		if !r.up {
			continue
		}
		sameDataCentre := r.dataCentre == target.DataCentre
		score := xxhash.Sum64String(r.host + "/" + target.ID)
		if best == nil || (sameDataCentre && !bestSameDataCentre) || (sameDataCentre == bestSameDataCentre && score > bestScore) {
			best, bestSameDataCentre, bestScore = r, sameDataCentre, score
		}
	}
	return best
}

// enqueue queues an order; the Sender's mutex must be held.
func (r *relayState) enqueue(number uint64, order jobscheduler.Action, now time.Time) {
	r.queue = append(r.queue, encodeOrder(number, order))
	r.pending[number] = pendingOrder{
		order:     order,
		sentAt:    now,
		expiresAt: now.Add(timeoutOf(order) + relayDelayMargin),
	}
	select {
	case r.queueReady <- struct{}{}:
	default:
	}
}

// sendLoop sends queued orders to a relay, all that are waiting in one call.
func (s *Sender) sendLoop(r *relayState) {
	for {
		select {
		case <-r.queueReady:
		case <-s.ctx.Done():
			return
		}
		s.mu.Lock()
		orders := r.queue
		r.queue = nil
		s.mu.Unlock()
		if len(orders) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		err := s.opts.Caller.Call(ctx, r.host, CarryMethod, &jobwire.CarryRequest{
			Session: s.session,
			Fence:   s.fence,
			Orders:  orders,
		}, &jobwire.CarryResponse{})
		cancel()
		if err != nil {
			s.markDown(r, err)
		}
	}
}

// collectLoop collects answers from a relay until the term ends.
func (s *Sender) collectLoop(r *relayState) {
	for s.ctx.Err() == nil {
		resp := &jobwire.CollectResponse{}
		wait := s.collectWait(r)
		ctx, cancel := context.WithTimeout(s.ctx, wait+callTimeout)
		err := s.opts.Caller.Call(ctx, r.host, CollectMethod, &jobwire.CollectRequest{
			Session:   s.session,
			Fence:     s.fence,
			WaitNanos: int64(wait),
		}, resp)
		cancel()
		if err != nil {
			s.markDown(r, err)
			s.sleep(relayRetryDelay)
			continue
		}
		s.handleCollected(r, resp)
	}
}

// collectWait returns how long a relay may wait for answers. A relay that is
// not known to be up must answer at once, so that it can be used without delay.
func (s *Sender) collectWait(r *relayState) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.up {
		return 0
	}
	return collectWait
}

// handleCollected reports the answers of a relay, and reports overdue orders
// as unanswered.
func (s *Sender) handleCollected(r *relayState, resp *jobwire.CollectResponse) {
	if s.restarted(r, resp) {
		s.markDown(r, errors.New("courier: the relay's process has restarted"))
	}
	now := s.opts.Clock.Now()
	var answers []Answer
	s.mu.Lock()
	if !r.up {
		s.opts.Logger.Info("courier: relay is up", "host", r.host, "data-centre", resp.GetDataCentre())
	}
	r.up, r.incarnation, r.dataCentre = true, resp.GetBornUnixNanos(), resp.GetDataCentre()
	for _, message := range resp.GetAnswers() {
		p, ok := r.pending[message.GetNumber()]
		if !ok {
			continue
		}
		delete(r.pending, message.GetNumber())
		answers = append(answers, decodeAnswer(p.order, p.sentAt, message))
	}
	for number, p := range r.pending {
		if now.After(p.expiresAt) {
			delete(r.pending, number)
			answers = append(answers, unanswered(p.order))
		}
	}
	s.mu.Unlock()
	s.deliver(answers)
}

func (s *Sender) restarted(r *relayState, resp *jobwire.CollectResponse) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.up && r.incarnation != resp.GetBornUnixNanos()
}

// markDown takes a relay out of use. Its Polls are sent another way at once,
// because they may be repeated; its other orders count as unanswered.
func (s *Sender) markDown(r *relayState, cause error) {
	s.mu.Lock()
	if r.up && s.ctx.Err() == nil {
		s.opts.Logger.Info("courier: relay is down; its polls are sent another way, its other orders count as unanswered", "host", r.host, "orders", len(r.pending), "cause", cause)
	}
	lost := r.pending
	r.up, r.queue, r.pending = false, nil, make(map[uint64]pendingOrder)
	s.mu.Unlock()
	var answers []Answer
	for _, p := range lost {
		if _, ok := p.order.(jobscheduler.Poll); ok {
			s.send(p.order)
			continue
		}
		answers = append(answers, unanswered(p.order))
	}
	s.deliver(answers)
}

// sleep waits for d or until the term ends.
func (s *Sender) sleep(d time.Duration) {
	t := s.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-s.ctx.Done():
	}
}
