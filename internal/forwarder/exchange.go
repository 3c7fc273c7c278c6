package forwarder

import (
	"bufio"
	"context"
	"net/http"
	"time"
)

const (
	// inlineBody is the largest body that is written before the answer is
	// read; socket buffers hold it even if the upstream does not read. A larger
	// one is written by a goroutine, because an upstream may answer before it
	// has read the body, and would else block on its own write.
	inlineBody = 32 << 10
	// largeBuffer saves system calls on a larger body, in bytes.
	largeBuffer = 64 << 10
)

// exchange is one request on one connection. Its Write passes the request to
// the socket and notes whether a byte may have been written.
type exchange struct {
	ctx  context.Context
	conn *conn
	gate func() error
	// first, if set, is closed after the first byte.
	first chan struct{}
	// Invariant: set from the first byte on.
	sent bool
	// Invariant: set once, by a refusal of the gate before the first byte.
	refusal error
}

// Write asks the gate before the first byte. The buffered writer above it
// calls it no more after an error.
func (e *exchange) Write(p []byte) (int, error) {
	if !e.sent {
		if err := e.ctx.Err(); err != nil {
			return 0, err
		}
		if e.gate != nil {
			if e.refusal = e.gate(); e.refusal != nil {
				return 0, e.refusal
			}
		}
	}
	n, err := e.conn.Conn.Write(p)
	if n > 0 && !e.sent {
		e.sent = true
		if e.first != nil {
			close(e.first)
		}
	}
	return n, err
}

// within runs the exchange until the deadline. The end of the context closes
// the connection.
func (e *exchange) within(deadline time.Time, req *http.Request, id string) (*Answer, bool, error) {
	if err := e.conn.SetDeadline(deadline); err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(e.ctx, func() { e.conn.Close() })
	answer, reusable, err := e.run(req, id)
	return answer, stop() && reusable, err
}

// run sends the request and reads the whole answer; reusable tells whether the
// connection may carry another request. An answer that comes although the rest
// of the request could not be written counts.
func (e *exchange) run(req *http.Request, id string) (answer *Answer, reusable bool, err error) {
	if req.ContentLength > inlineBody {
		return e.runLarge(req, id)
	}
	e.conn.writer.Reset(e)
	writeErr := write(e.conn.writer, req)
	e.conn.writer.Reset(nil) // An idle connection keeps no request in memory.
	if !e.sent {
		return nil, false, writeErr
	}
	answer, reusable, err = e.receive(req, id)
	return answer, reusable && writeErr == nil, err
}

func (e *exchange) runLarge(req *http.Request, id string) (*Answer, bool, error) {
	e.first = make(chan struct{})
	written := make(chan error, 1)
	go func() { written <- write(bufio.NewWriterSize(e, largeBuffer), req) }()
	select {
	case <-e.first:
	case writeErr := <-written:
		if !e.sent {
			return nil, false, writeErr
		}
		written <- writeErr
	}
	answer, reusable, err := e.receive(req, id)
	select {
	case writeErr := <-written:
		return answer, reusable && writeErr == nil, err
	default:
		e.conn.Close()
		<-written
		return answer, false, err
	}
}

func write(w *bufio.Writer, req *http.Request) error {
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads the whole answer and skips the interim ones before it. All
// their headers together are bounded.
func (e *exchange) receive(req *http.Request, id string) (*Answer, bool, error) {
	e.conn.limitHeader()
	for {
		resp, err := http.ReadResponse(e.conn.reader, req)
		if err != nil {
			return nil, false, err
		}
		if interim(resp.StatusCode) {
			continue
		}
		e.conn.liftLimit()
		reusable := !resp.Close
		answer, err := readWhole(resp, id, MaxBody)
		return answer, reusable && err == nil && e.conn.reader.Buffered() == 0, err
	}
}

// interim reports whether another answer follows. None follows 101, which no
// request of the forwarder asks for.
func interim(status int) bool {
	return status >= 100 && status <= 199 && status != http.StatusSwitchingProtocols
}
