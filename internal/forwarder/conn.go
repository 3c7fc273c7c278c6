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
	errUnsolicitedData = errors.New("forwarder: upstream sent data on an idle connection")
	errClosedIdle      = errors.New("forwarder: upstream closed the idle connection")
	errHeaderTooLarge  = errors.New("forwarder: response header is larger than the limit of 64 KiB")
)

// conn is a connection to an upstream. It carries one request at a time and
// belongs to the goroutine that got it from the pool.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// readBytesLeft is the number of bytes that Read may still return.
	readBytesLeft int64
	// idleSince is set while the connection is idle in its pool.
	idleSince time.Time

	raw syscall.RawConn
	// peek is created once to avoid allocating a closure for each request.
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
	wrapped := &conn{
		Conn:   c,
		raw:    raw,
		writer: bufio.NewWriter(nil),
	}
	wrapped.reader = bufio.NewReader(wrapped)
	var buf [1]byte
	wrapped.peek = func(fd uintptr) {
		wrapped.peeked, _, wrapped.peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return wrapped, nil
}

// Read reads from the socket, up to the limit set by limitHeader.
func (c *conn) Read(p []byte) (int, error) {
	if c.readBytesLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.readBytesLeft)])
	c.readBytesLeft -= int64(n)
	return n, err
}

func (c *conn) limitHeader() { c.readBytesLeft = maxHeaderBytes }

// liftHeaderLimit is called after the header; the body has its own limit.
func (c *conn) liftHeaderLimit() { c.readBytesLeft = math.MaxInt64 }

// checkIdle returns an error if the upstream has sent data on the idle
// connection or has closed it. It peeks at the socket without blocking.
func (c *conn) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return errUnsolicitedData
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
		return errUnsolicitedData
	}
	return errClosedIdle
}
