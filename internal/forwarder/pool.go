package forwarder

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// pool holds the connections to one target under its own lock.
type pool struct {
	to Target

	mu sync.Mutex
	// idle is ordered by the time of the last use, newest last.
	idle []*conn
	// Invariant: the connections that are idle, in use or being dialled; at
	// most to.Connections.
	open int
	// waiting are the requests that wait, oldest first. Each receives a
	// connection, or nil as the permission to dial in place of a closed one.
	// Invariant: empty while a connection is idle.
	waiting []chan *conn
	// Invariant: set once; no connection becomes idle from then on.
	left bool
	// sweeper runs sweep; it is nil while no connection is idle.
	sweeper *time.Timer
}

func newPool(to Target) *pool {
	to.Connections = max(to.Connections, 1)
	return &pool{
		to: to,
	}
}

// take returns a connection on which nothing is under way, and waits for one
// until the deadline or the end of the context.
func (p *pool) take(ctx context.Context, deadline time.Time) (*conn, error) {
	c, turn := p.reserve()
	if turn != nil {
		var err error
		if c, err = p.wait(ctx, deadline, turn); err != nil {
			return nil, err
		}
	}
	if c != nil {
		if c.checkQuiet() == nil {
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, deadline)
}

// reserve returns an idle connection, a turn to wait for, or neither, which is
// the permission to dial.
func (p *pool) reserve() (*conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open < p.to.Connections {
		p.open++
		return nil, nil
	}
	turn := make(chan *conn, 1)
	p.waiting = append(p.waiting, turn)
	return nil, turn
}

func (p *pool) wait(ctx context.Context, deadline time.Time, turn chan *conn) (*conn, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	var err error
	select {
	case c := <-turn:
		return c, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = context.DeadlineExceeded
	}
	if !p.abandon(turn) {
		p.put(<-turn)
	}
	return nil, err
}

// abandon reports false if the turn has come already.
func (p *pool) abandon(turn chan *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, turn)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

func (p *pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	dialer := net.Dialer{
		Timeout:  dialTimeout,
		Deadline: deadline,
	}
	c, err := dialer.DialContext(ctx, "tcp", p.to.Address)
	if err != nil {
		p.put(nil)
		return nil, err
	}
	own, err := newConn(c)
	if err != nil {
		c.Close()
		p.put(nil)
		return nil, err
	}
	return own, nil
}

// put takes back a connection that may be used again, or nil for one that was
// closed.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 {
		p.waiting[0] <- c
		p.waiting = slices.Delete(p.waiting, 0, 1)
		return
	}
	if c == nil || p.left {
		p.open--
		if c != nil {
			c.Close()
		}
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(sweepInterval, p.sweep)
	}
}

// discard closes a connection that must not be used again.
func (p *pool) discard(c *conn) {
	c.Close()
	p.put(nil)
}

// leave closes the idle connections, and those in use after their request.
func (p *pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left = true
	for _, c := range p.idle {
		c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
	if p.sweeper != nil {
		p.sweeper.Stop()
		p.sweeper = nil
	}
}

// sweep closes idle connections that were idle for too long, on which bytes
// arrived, or that the upstream has closed. Those that were used since the
// previous sweep are left out: take checks them.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		idle := now.Sub(c.idleSince)
		if idle < sweepInterval || idle < idleTimeout && c.checkQuiet() == nil {
			return false
		}
		c.Close()
		p.open--
		return true
	})
	p.sweeper = nil
	if len(p.idle) > 0 {
		p.sweeper = time.AfterFunc(sweepInterval, p.sweep)
	}
}
