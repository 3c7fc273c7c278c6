package forwarder

import (
	"bufio"
	"context"
	"net/http"
	"time"
)

const (
	// maxInlineBody is the largest request body, in bytes, that is written
	// before the response is read; socket buffers hold it even if the upstream
	// does not read. A larger one is written by a separate goroutine, because an
	// upstream that responds before it has read the body would otherwise block
	// on its own write.
	maxInlineBody = 32 << 10
	// largeBodyBuffer is the size in bytes of the write buffer for larger
	// bodies; it saves system calls.
	largeBodyBuffer = 64 << 10
)

// exchange is one request and its response on one connection. Its Write passes
// the request to the socket and records whether any byte was written.
type exchange struct {
	ctx  context.Context
	conn *conn
	gate func() error
	// firstByte, if set, is closed after the first byte was written.
	firstByte chan struct{}
	// Invariant: set from the first written byte on.
	sent bool
	// gateErr is the error of the gate.
	// Invariant: set at most once, before the first byte is written.
	gateErr error
}

// Write calls the gate before it writes the first byte. The bufio.Writer on top
// does not call Write again after an error.
func (e *exchange) Write(p []byte) (int, error) {
	if !e.sent {
		if err := e.ctx.Err(); err != nil {
			return 0, err
		}
		if e.gate != nil {
			if e.gateErr = e.gate(); e.gateErr != nil {
				return 0, e.gateErr
			}
		}
	}
	n, err := e.conn.Conn.Write(p)
	if n > 0 && !e.sent {
		e.sent = true
		if e.firstByte != nil {
			close(e.firstByte)
		}
	}
	return n, err
}

// runUntil runs the exchange with a deadline for all reads and writes. The
// connection is closed when the context ends.
func (e *exchange) runUntil(deadline time.Time, req *http.Request, attemptID string) (*Response, bool, error) {
	if err := e.conn.SetDeadline(deadline); err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(e.ctx, func() { e.conn.Close() })
	answer, reusable, err := e.run(req, attemptID)
	return answer, stop() && reusable, err
}

// run sends the request and reads the complete response; reusable reports
// whether the connection may carry another request. A response is returned even
// if the rest of the request could not be written.
func (e *exchange) run(req *http.Request, attemptID string) (answer *Response, reusable bool, err error) {
	if req.ContentLength > maxInlineBody {
		return e.runLargeBody(req, attemptID)
	}
	e.conn.writer.Reset(e)
	writeErr := writeRequest(e.conn.writer, req)
	e.conn.writer.Reset(nil) // So that an idle connection keeps no request in memory.
	if !e.sent {
		return nil, false, writeErr
	}
	answer, reusable, err = e.receive(req, attemptID)
	return answer, reusable && writeErr == nil, err
}

// runLargeBody is run with the request written by a separate goroutine. If the
// response ends before the request does, the connection is closed.
func (e *exchange) runLargeBody(req *http.Request, attemptID string) (*Response, bool, error) {
	e.firstByte = make(chan struct{})
	written := make(chan error, 1)
	go func() { written <- writeRequest(bufio.NewWriterSize(e, largeBodyBuffer), req) }()
	select {
	case <-e.firstByte:
	case writeErr := <-written:
		if !e.sent {
			return nil, false, writeErr
		}
		written <- writeErr
	}
	answer, reusable, err := e.receive(req, attemptID)
	select {
	case writeErr := <-written:
		return answer, reusable && writeErr == nil, err
	default:
		e.conn.Close()
		<-written
		return answer, false, err
	}
}

func writeRequest(w *bufio.Writer, req *http.Request) error {
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// receive skips interim responses and reads the complete final one. The header
// limit applies to all their headers together.
func (e *exchange) receive(req *http.Request, attemptID string) (*Response, bool, error) {
	e.conn.limitHeader()
	for {
		resp, err := http.ReadResponse(e.conn.reader, req)
		if err != nil {
			return nil, false, err
		}
		if isInterim(resp.StatusCode) {
			continue
		}
		e.conn.liftHeaderLimit()
		reusable := !resp.Close
		answer, err := readResponse(resp, attemptID, MaxBodyBytes)
		return answer, reusable && err == nil && e.conn.reader.Buffered() == 0, err
	}
}

// isInterim reports whether another response follows one with this status. None
// follows 101, which the forwarder never requests.
func isInterim(status int) bool {
	return status >= 100 && status <= 199 && status != http.StatusSwitchingProtocols
}
