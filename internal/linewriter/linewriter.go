// Package linewriter writes log lines without blocking their writers. When the
// reader of the output is slow, further lines are dropped and counted.
package linewriter

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// waitingLines bounds the lines that wait for the output.
const waitingLines = 2048

// bufferBytes is the most that is written in one piece.
const bufferBytes = 64 << 10

// Writer is safe for concurrent use; make one with New.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{
		lines: make(chan []byte, waitingLines),
		done:  make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since New.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// run writes the lines that wait together in one piece, since each write costs
// the process a system call.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	buf := bufio.NewWriterSize(out, bufferBytes)
	reported := int64(0)
	for line := range w.lines {
		if n := w.dropped.Load(); n != reported {
			_, _ = fmt.Fprintf(buf, "{\"level\":\"WARN\",\"msg\":\"log: lines were dropped\",\"dropped\":%d}\n", n-reported)
			reported = n
		}
		// Nothing can be done about an output that fails.
		_, _ = buf.Write(line)
		if len(w.lines) == 0 {
			_ = buf.Flush()
		}
	}
	_ = buf.Flush()
}

// Close writes the lines that wait and ends the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
