package forwarder

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

var (
	errSealed      = errors.New("forwarder: attempt was given up before its first byte")
	errUnsolicited = errors.New("forwarder: upstream sent bytes that no request asked for")
	errClosedIdle  = errors.New("forwarder: upstream closed the idle connection")
)

// guardedConn is an upstream connection that knows which attempt uses it. It
// accepts bytes from the upstream only after the first byte of that attempt
// was written, so that bytes left over from an earlier request are never taken
// for the answer of a later one.
//
// http.Transport returns a connection to its pool before it looks for left
// over bytes, so a next request could receive them. begin therefore waits
// until the transport is blocked in Read, which it is only with an empty
// buffer and no answer under way.
type guardedConn struct {
	net.Conn
	raw syscall.RawConn

	mu      sync.Mutex
	changed sync.Cond
	attempt *attempt
	// Invariant: true from the first write of an attempt until the end of its
	// answer or the start of the next attempt.
	armed bool
	// Invariant: true while the transport waits in Read.
	reading bool
	// Invariant: set once; the connection is of no use from then on.
	broken error
}

func guard(c net.Conn) (net.Conn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.New("forwarder: connection has no file descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "forwarder")
	}
	g := &guardedConn{
		Conn: c,
		raw:  raw,
	}
	g.changed.L = &g.mu
	return g, nil
}

// begin hands the connection to an attempt once the transport has consumed
// everything that came before, or has closed the connection.
func (c *guardedConn) begin(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && c.broken == nil {
		c.changed.Wait()
	}
	c.attempt = a
	c.armed = false
}

// end refuses further bytes until the next attempt writes, if a is still the
// attempt that uses the connection.
func (c *guardedConn) end(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt == a {
		c.armed = false
	}
}

// Read reads under the lock, so that no byte that arrived before the first
// write is taken for one that arrived after it.
func (c *guardedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()
	var n int
	var err error
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = readNow(int(fd), p)
		if err == syscall.EAGAIN {
			return false
		}
		c.reading = false
		if n > 0 && !c.armed {
			n, err = 0, errUnsolicited
			c.breakLocked(err)
		}
		return true
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, err
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readNow returns EAGAIN when there is nothing to read yet.
func readNow(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err == syscall.EINTR {
			continue
		}
		return max(n, 0), err
	}
}

func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	a, first := c.attempt, !c.armed
	if first {
		if err := c.startLocked(a); err != nil {
			c.mu.Unlock()
			return 0, err
		}
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		a.unstart()
	}
	return n, err
}

func (c *guardedConn) startLocked(a *attempt) error {
	if c.broken != nil {
		return c.broken
	}
	if a == nil {
		return errSealed
	}
	if err := c.checkQuiet(); err != nil {
		c.breakLocked(err)
		return err
	}
	if err := a.start(); err != nil {
		c.breakLocked(err)
		return err
	}
	c.armed = true
	return nil
}

// checkQuiet looks for bytes or an end of stream that the transport has not
// read yet.
func (c *guardedConn) checkQuiet() error {
	var n int
	var err error
	var one [1]byte
	if rawErr := c.raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); rawErr != nil {
		return rawErr
	}
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return nil
	case err != nil:
		return err
	case n > 0:
		return errUnsolicited
	}
	return errClosedIdle
}

func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.breakLocked(net.ErrClosed)
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *guardedConn) breakLocked(err error) {
	if c.broken == nil {
		c.broken = err
	}
	c.changed.Broadcast()
}
