package forwarder

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// pool holds the connections to one target. It is safe for concurrent use.
type pool struct {
	target Target

	mu sync.Mutex
	// idle is ordered by the time of the last use, most recent last.
	idle []*conn
	// Invariant: the number of connections that are idle, in use or being
	// dialled; at most target.Connections.
	openCount int
	// waiters belong to the requests that wait for a connection, oldest first.
	// Each receives a connection, or nil as permission to dial a replacement
	// for a closed one. Invariant: empty while a connection is idle.
	waiters []chan *conn
	// closed is set by shutDown. Invariant: never reset; no connection becomes
	// idle once it is set.
	closed bool
	// sweepTimer calls sweep. It is started with the first idle connection, and
	// is nil after a sweep that leaves none.
	sweepTimer *time.Timer
}

func newPool(target Target) *pool {
	target.MaxConnections = max(target.MaxConnections, 1)
	return &pool{
		target: target,
	}
}

// get returns an idle or a new connection. At the connection limit it waits for
// one until the deadline or the end of the context.
func (p *pool) get(ctx context.Context, deadline time.Time) (*conn, error) {
	c, waiter := p.reserve()
	if waiter != nil {
		var err error
		if c, err = p.wait(ctx, deadline, waiter); err != nil {
			return nil, err
		}
	}
	if c != nil {
		if c.checkIdle() == nil {
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, deadline)
}

// reserve returns an idle connection, or a waiter to receive from, or neither,
// which is permission to dial.
func (p *pool) reserve() (*conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.openCount < p.target.MaxConnections {
		p.openCount++
		return nil, nil
	}
	waiter := make(chan *conn, 1)
	p.waiters = append(p.waiters, waiter)
	return nil, waiter
}

// wait receives from the waiter until the deadline or the end of the context.
// What the waiter receives too late goes back to the pool.
func (p *pool) wait(ctx context.Context, deadline time.Time, waiter chan *conn) (*conn, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	var err error
	select {
	case c := <-waiter:
		return c, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = context.DeadlineExceeded
	}
	if !p.removeWaiter(waiter) {
		p.put(<-waiter)
	}
	return nil, err
}

// removeWaiter returns false if the waiter has already been sent a connection
// or the permission to dial.
func (p *pool) removeWaiter(waiter chan *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, waiter)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

func (p *pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	dialer := net.Dialer{
		Timeout:  dialTimeout,
		Deadline: deadline,
	}
	c, err := dialer.DialContext(ctx, "tcp", p.target.Address)
	if err != nil {
		p.put(nil)
		return nil, err
	}
	wrapped, err := newConn(c)
	if err != nil {
		c.Close()
		p.put(nil)
		return nil, err
	}
	return wrapped, nil
}

// put returns a reusable connection to the pool, or frees the place of a closed
// one if c is nil. The oldest waiter, if any, receives c.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		p.waiters[0] <- c
		p.waiters = slices.Delete(p.waiters, 0, 1)
		return
	}
	if c == nil || p.closed {
		p.openCount--
		if c != nil {
			c.Close()
		}
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(sweepInterval, p.sweep)
	}
}

// discard closes a connection that must not be reused and frees its place.
func (p *pool) discard(c *conn) {
	c.Close()
	p.put(nil)
}

// shutDown closes the idle connections; those in use are closed after their
// request, or after that of the last waiter.
func (p *pool) shutDown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.openCount -= len(p.idle)
	p.idle = nil
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
		p.sweepTimer = nil
	}
}

// sweep closes connections that have been idle for idleTimeout, on which data
// has arrived, or that the upstream has closed. It skips those that were used
// within the last sweepInterval, because get checks a connection before use.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		idle := now.Sub(c.idleSince)
		if idle < sweepInterval || idle < idleTimeout && c.checkIdle() == nil {
			return false
		}
		c.Close()
		p.openCount--
		return true
	})
	p.sweepTimer = nil
	if len(p.idle) > 0 {
		p.sweepTimer = time.AfterFunc(sweepInterval, p.sweep)
	}
}
