// Package linewriter provides a non-blocking writer for log lines. If the output
// is too slow, lines are dropped and counted.
package linewriter

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines limits the lines that wait to be written to the output.
const maxQueuedLines = 2048

// writeBufferBytes limits how many bytes of queued lines are combined in one
// write.
const writeBufferBytes = 64 << 10

// Writer queues lines and writes them to an output in the background. It is safe
// for concurrent use. Create a Writer with New and release it with Close.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{
		lines: make(chan []byte, maxQueuedLines),
		done:  make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write queues a copy of one line. It never blocks and never fails: a line is
// dropped if the queue is full, and ignored after Close.
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

// Dropped returns the number of lines dropped since New because the queue was
// full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// run writes queued lines to out until the queue is closed. It combines lines that
// are queued at the same time, because each write costs a system call. If lines
// were dropped, it writes a log line with their number.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	buf := bufio.NewWriterSize(out, writeBufferBytes)
	reported := int64(0)
	for line := range w.lines {
		if n := w.dropped.Load(); n != reported {
			_, _ = fmt.Fprintf(buf, "{\"level\":\"WARN\",\"msg\":\"log: lines were dropped\",\"dropped\":%d}\n", n-reported)
			reported = n
		}
		// There is nowhere to report that the log output fails.
		_, _ = buf.Write(line)
		if len(w.lines) == 0 {
			_ = buf.Flush()
		}
	}
	_ = buf.Flush()
}

// Close writes all queued lines and stops the writer. It blocks until the output
// has taken them.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
