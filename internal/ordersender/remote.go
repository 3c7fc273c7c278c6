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
	// collectWait is how long an agent without answers waits before it returns
	// an empty batch, which tells the leader that the agent is alive.
	collectWait = 200 * time.Millisecond
	// callTimeout bounds a call to an agent, in addition to collectWait for
	// Collect; a call takes a few milliseconds.
	callTimeout = 250 * time.Millisecond
	// agentRetryDelay is the delay before a failed agent is called again.
	agentRetryDelay = 300 * time.Millisecond
	// hostDiscoveryInterval is the time between two checks for new hosts.
	hostDiscoveryInterval = time.Second
	// agentDelayMargin is how long an answer may be delayed by the hop through
	// an agent, beyond the timeout of its order.
	agentDelayMargin = 300 * time.Millisecond
)

// agentState is what the leader knows about an agent; the courier's mutex
// guards it.
type agentState struct {
	host       string
	dataCentre string
	// up is true while the agent answers.
	up bool
	// incarnation identifies the agent's process; it changes with a restart.
	incarnation int64
	// queue holds the orders not yet sent to the agent, pending all that are
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

// startDelegating starts to look for agents on other hosts.
func (c *Sender) startDelegating() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delegating || c.ctx.Err() != nil {
		return
	}
	c.delegating = true
	c.opts.Logger.Info("courier: the fleet is large; sending orders through agents", "session", c.session)
	c.wg.Go(func() {
		for c.ctx.Err() == nil {
			for _, host := range c.opts.Hosts() {
				c.addAgent(host)
			}
			c.sleep(hostDiscoveryInterval)
		}
	})
}

// addAgent starts the goroutines that exchange orders and answers with a host's
// agent.
func (c *Sender) addAgent(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.agents[host]; ok || host == c.opts.Name {
		return
	}
	r := &agentState{
		host:       host,
		pending:    make(map[uint64]pendingOrder),
		queueReady: make(chan struct{}, 1),
	}
	c.agents[host] = r
	c.wg.Go(func() { c.collectLoop(r) })
	c.wg.Go(func() { c.sendLoop(r) })
}

// chooseAgent returns the agent for an order, or nil if none is up. All orders
// to a worker go to the same agent, in the worker's data centre if one is up
// there. The agent is chosen by rendezvous hashing. c.mu must be held.
func (c *Sender) chooseAgent(order jobscheduler.Action) *agentState {
	target, ok := TargetOf(order)
	if !ok {
		return nil
	}
	var best *agentState
	var bestSameDataCentre bool
	var bestScore uint64
	for _, r := range c.agents {
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

// enqueue queues an order; the courier's mutex must be held.
func (r *agentState) enqueue(number uint64, order jobscheduler.Action, now time.Time) {
	r.queue = append(r.queue, encodeOrder(number, order))
	r.pending[number] = pendingOrder{
		order:     order,
		sentAt:    now,
		expiresAt: now.Add(timeoutOf(order) + agentDelayMargin),
	}
	select {
	case r.queueReady <- struct{}{}:
	default:
	}
}

// sendLoop sends queued orders to an agent, all that are waiting in one call.
func (c *Sender) sendLoop(r *agentState) {
	for {
		select {
		case <-r.queueReady:
		case <-c.ctx.Done():
			return
		}
		c.mu.Lock()
		orders := r.queue
		r.queue = nil
		c.mu.Unlock()
		if len(orders) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		err := c.opts.Caller.Call(ctx, r.host, CarryMethod, &jobwire.CarryRequest{
			Session: c.session,
			Fence:   c.fence,
			Orders:  orders,
		}, &jobwire.CarryResponse{})
		cancel()
		if err != nil {
			c.markDown(r, err)
		}
	}
}

// collectLoop collects answers from an agent until the term ends.
func (c *Sender) collectLoop(r *agentState) {
	for c.ctx.Err() == nil {
		resp := &jobwire.CollectResponse{}
		wait := c.collectWait(r)
		ctx, cancel := context.WithTimeout(c.ctx, wait+callTimeout)
		err := c.opts.Caller.Call(ctx, r.host, CollectMethod, &jobwire.CollectRequest{
			Session:   c.session,
			Fence:     c.fence,
			WaitNanos: int64(wait),
		}, resp)
		cancel()
		if err != nil {
			c.markDown(r, err)
			c.sleep(agentRetryDelay)
			continue
		}
		c.handleCollected(r, resp)
	}
}

// collectWait returns how long an agent may wait for answers. An agent that is
// not known to be up must answer at once, so that it can be used without delay.
func (c *Sender) collectWait(r *agentState) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.up {
		return 0
	}
	return collectWait
}

// handleCollected reports the answers of an agent, and reports overdue orders
// as unanswered.
func (c *Sender) handleCollected(r *agentState, resp *jobwire.CollectResponse) {
	if c.restarted(r, resp) {
		c.markDown(r, errors.New("courier: the agent's process has restarted"))
	}
	now := c.opts.Clock.Now()
	var answers []Answer
	c.mu.Lock()
	if !r.up {
		c.opts.Logger.Info("courier: agent is up", "host", r.host, "data-centre", resp.GetDataCentre())
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
	c.mu.Unlock()
	c.deliver(answers)
}

func (c *Sender) restarted(r *agentState, resp *jobwire.CollectResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.up && r.incarnation != resp.GetBornUnixNanos()
}

// markDown takes an agent out of use. Its Looks are sent another way at once,
// because they may be repeated; its other orders count as unanswered.
func (c *Sender) markDown(r *agentState, cause error) {
	c.mu.Lock()
	if r.up && c.ctx.Err() == nil {
		c.opts.Logger.Info("courier: agent is down; its looks are sent another way, its other orders count as unanswered", "host", r.host, "orders", len(r.pending), "cause", cause)
	}
	lost := r.pending
	r.up, r.queue, r.pending = false, nil, make(map[uint64]pendingOrder)
	c.mu.Unlock()
	var answers []Answer
	for _, p := range lost {
		if _, ok := p.order.(jobscheduler.Poll); ok {
			c.send(p.order)
			continue
		}
		answers = append(answers, unanswered(p.order))
	}
	c.deliver(answers)
}

// sleep waits for d or until the term ends.
func (c *Sender) sleep(d time.Duration) {
	t := c.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.ctx.Done():
	}
}
