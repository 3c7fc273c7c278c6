package courier

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// collectWait is how long an agent without answers waits before it says so.
	// It tells the leader that the agent is alive.
	collectWait = 200 * time.Millisecond
	// callTimeout bounds a call to an agent beyond that; a call takes a few
	// milliseconds.
	callTimeout = 250 * time.Millisecond
	// retryPause is the time before an agent that failed is asked again.
	retryPause = 300 * time.Millisecond
	// hostsInterval is the time between two looks for further hosts.
	hostsInterval = time.Second
	// answerSlack is how long an answer may take on its way through an agent,
	// beyond the timeout of its order.
	answerSlack = 300 * time.Millisecond
)

// remote is what the leader knows of an agent; the courier's lock guards it.
type remote struct {
	host       string
	dataCentre string
	// up is true while the agent answers.
	up bool
	// born tells the processes of one host apart.
	born int64
	// queue holds the orders that have not left, pending all without an answer.
	queue   []*jobwire.Order
	pending map[uint64]pendingOrder
	// kick holds a token when the queue may hold orders.
	kick chan struct{}
}

type pendingOrder struct {
	order   jobscheduler.Action
	sent    time.Time
	expires time.Time
}

// delegate begins to look for agents.
func (c *Courier) delegate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delegating || c.ctx.Err() != nil {
		return
	}
	c.delegating = true
	c.opts.Logger.Info("courier: the fleet is large; agents carry the orders", "session", c.name)
	c.group.Go(func() {
		for c.ctx.Err() == nil {
			for _, host := range c.opts.Hosts() {
				c.join(host)
			}
			c.pause(hostsInterval)
		}
	})
}

// join begins to ask a host whether it carries orders.
func (c *Courier) join(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.agents[host]; ok || host == c.opts.Name {
		return
	}
	r := &remote{
		host:    host,
		pending: make(map[uint64]pendingOrder),
		kick:    make(chan struct{}, 1),
	}
	c.agents[host] = r
	c.group.Go(func() { c.collectAll(r) })
	c.group.Go(func() { c.carryAll(r) })
}

// choose returns the agent for an order: the same one for all orders to a
// worker, in the worker's data centre if there is one; nil when none is up.
// c.mu is held.
func (c *Courier) choose(order jobscheduler.Action) *remote {
	target, ok := TargetOf(order)
	if !ok {
		return nil
	}
	var best *remote
	var bestNear bool
	var bestScore uint64
	for _, r := range c.agents {
		if !r.up {
			continue
		}
		near := r.dataCentre == target.DataCentre
		score := xxhash.Sum64String(r.host + "/" + target.ID)
		if best == nil || (near && !bestNear) || (near == bestNear && score > bestScore) {
			best, bestNear, bestScore = r, near, score
		}
	}
	return best
}

// add queues an order; the courier's lock is held.
func (r *remote) add(number uint64, order jobscheduler.Action, now time.Time) {
	r.queue = append(r.queue, encodeOrder(number, order))
	r.pending[number] = pendingOrder{
		order:   order,
		sent:    now,
		expires: now.Add(timeoutOf(order) + answerSlack),
	}
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// carryAll hands queued orders to an agent, all that wait in one call.
func (c *Courier) carryAll(r *remote) {
	for {
		select {
		case <-r.kick:
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
			Session: c.name,
			Fence:   c.fence,
			Orders:  orders,
		}, &jobwire.CarryResponse{})
		cancel()
		if err != nil {
			c.fail(r, err)
		}
	}
}

// collectAll asks an agent for answers again and again.
func (c *Courier) collectAll(r *remote) {
	for c.ctx.Err() == nil {
		resp := &jobwire.CollectResponse{}
		wait := c.collectWait(r)
		ctx, cancel := context.WithTimeout(c.ctx, wait+callTimeout)
		err := c.opts.Caller.Call(ctx, r.host, CollectMethod, &jobwire.CollectRequest{
			Session:   c.name,
			Fence:     c.fence,
			WaitNanos: int64(wait),
		}, resp)
		cancel()
		if err != nil {
			c.fail(r, err)
			c.pause(retryPause)
			continue
		}
		c.collected(r, resp)
	}
}

// collectWait returns how long an agent may wait for answers. One that is not
// known to be up is not to wait, so that it can be used at once.
func (c *Courier) collectWait(r *remote) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.up {
		return 0
	}
	return collectWait
}

// collected takes the answers of an agent and gives up orders that are overdue.
func (c *Courier) collected(r *remote, resp *jobwire.CollectResponse) {
	if c.restarted(r, resp) {
		c.fail(r, errors.New("courier: the agent has started again"))
	}
	now := c.opts.Clock.Now()
	var answers []Answer
	c.mu.Lock()
	if !r.up {
		c.opts.Logger.Info("courier: agent answers", "host", r.host, "data-centre", resp.GetDataCentre())
	}
	r.up, r.born, r.dataCentre = true, resp.GetBornUnixNanos(), resp.GetDataCentre()
	for _, message := range resp.GetAnswers() {
		p, ok := r.pending[message.GetNumber()]
		if !ok {
			continue
		}
		delete(r.pending, message.GetNumber())
		answers = append(answers, decodeAnswer(p.order, p.sent, message))
	}
	for number, p := range r.pending {
		if now.After(p.expires) {
			delete(r.pending, number)
			answers = append(answers, unanswered(p.order))
		}
	}
	c.mu.Unlock()
	c.deliver(answers)
}

func (c *Courier) restarted(r *remote, resp *jobwire.CollectResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.up && r.born != resp.GetBornUnixNanos()
}

// fail takes an agent out of use. Looks go another way at once, since they may
// be repeated; what else it was carrying counts as not answered.
func (c *Courier) fail(r *remote, cause error) {
	c.mu.Lock()
	if r.up && c.ctx.Err() == nil {
		c.opts.Logger.Info("courier: agent does not answer", "host", r.host, "orders", len(r.pending), "cause", cause)
	}
	lost := r.pending
	r.up, r.queue, r.pending = false, nil, make(map[uint64]pendingOrder)
	c.mu.Unlock()
	var answers []Answer
	for _, p := range lost {
		if _, ok := p.order.(jobscheduler.Look); ok {
			c.send(p.order)
			continue
		}
		answers = append(answers, unanswered(p.order))
	}
	c.deliver(answers)
}

// pause waits for some time or the end of the term.
func (c *Courier) pause(d time.Duration) {
	t := c.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.ctx.Done():
	}
}
