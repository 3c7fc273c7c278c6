package forwarder

import (
	"bufio"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

var (
	errUnsolicited    = errors.New("forwarder: upstream sent bytes that no request asked for")
	errClosedIdle     = errors.New("forwarder: upstream closed the idle connection")
	errHeaderTooLarge = errors.New("forwarder: header of the answer is larger than the cap")
)

// conn is a connection to an upstream. It carries one request at a time and is
// used by the goroutine that took it from its pool.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// headerLeft is what Read may still return, in bytes.
	headerLeft int64
	// idleSince is set while the connection is idle in its pool.
	idleSince time.Time

	raw syscall.RawConn
	// peek is made once, because a closure for each request would be allocated.
	peek    func(fd uintptr)
	peeked  int
	peekErr error
}

func newConn(c net.Conn) (*conn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.New("forwarder: connection has no file descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "forwarder")
	}
	own := &conn{
		Conn:   c,
		raw:    raw,
		writer: bufio.NewWriter(nil),
	}
	own.reader = bufio.NewReader(own)
	var one [1]byte
	own.peek = func(fd uintptr) {
		own.peeked, _, own.peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return own, nil
}

// Read reads from the socket and bounds the header of an answer.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.headerLeft)])
	c.headerLeft -= int64(n)
	return n, err
}

func (c *conn) limitHeader() { c.headerLeft = maxHeader }

// liftLimit is called after the header: the body has a limit of its own.
func (c *conn) liftLimit() { c.headerLeft = math.MaxInt64 }

// checkQuiet returns an error if the upstream has sent bytes that no request
// asked for or has closed the connection.
func (c *conn) checkQuiet() error {
	if c.reader.Buffered() > 0 {
		return errUnsolicited
	}
	if err := c.raw.Control(c.peek); err != nil {
		return err
	}
	switch {
	case c.peekErr == syscall.EAGAIN || c.peekErr == syscall.EINTR:
		return nil
	case c.peekErr != nil:
		return c.peekErr
	case c.peeked > 0:
		return errUnsolicited
	}
	return errClosedIdle
}
