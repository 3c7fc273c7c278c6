package messenger

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"
)

// maxQueuedFrames bounds the frames that are queued for one connection.
const maxQueuedFrames = 1024

const (
	// writeTimeout bounds the writing of one chunk. The connection is closed when it
	// passes, as it does if the peer has stopped reading.
	writeTimeout = time.Second
	// maxChunkBytes is small enough that a peer which reads slowly, and still reads,
	// takes a chunk well within writeTimeout.
	maxChunkBytes = 64 << 10
)

// ErrBusy is returned when the maximum number of calls to the peer is in flight
// or the write queue of its connection is full. The call was not sent.
var ErrBusy error = notSentError("messenger: too many calls wait for this peer")

// frameWriter writes queued frames to a connection from one goroutine, so that a
// caller never blocks on a peer that does not read. Frames that are queued at
// the same time share a buffered write.
type frameWriter struct {
	conn      net.Conn
	frames    chan []byte
	done      chan struct{}
	closeOnce sync.Once
}

func newFrameWriter(conn net.Conn) *frameWriter {
	w := &frameWriter{
		conn:   conn,
		frames: make(chan []byte, maxQueuedFrames),
		done:   make(chan struct{}),
	}
	go w.run()
	return w
}

// enqueue queues a frame without blocking. It returns ErrBusy if the queue is
// full, and net.ErrClosed after close.
func (w *frameWriter) enqueue(frame []byte) error {
	select {
	case <-w.done:
		return net.ErrClosed
	default:
	}
	select {
	case w.frames <- frame:
		return nil
	default:
		return ErrBusy
	}
}

func (w *frameWriter) run() {
	buf := bufio.NewWriterSize(chunkWriter{
		conn: w.conn,
	}, connBufferBytes)
	for {
		select {
		case <-w.done:
			return
		case frame := <-w.frames:
			if err := w.writeBatch(buf, frame); err != nil {
				w.close()
				return
			}
		}
	}
}

// writeBatch writes the frame and all further queued ones.
func (w *frameWriter) writeBatch(buf *bufio.Writer, frame []byte) error {
	for {
		if _, err := buf.Write(frame); err != nil {
			return err
		}
		select {
		case frame = <-w.frames:
		default:
			return buf.Flush()
		}
	}
}

func (w *frameWriter) close() {
	w.closeOnce.Do(func() {
		close(w.done)
		_ = w.conn.Close()
	})
}

// chunkWriter writes to a connection in chunks, each with a deadline of its own. One
// deadline for a whole batch would close the connection of a peer that reads all the
// while, when the batch is large or callers add to it faster than it is written.
type chunkWriter struct {
	conn net.Conn
}

func (w chunkWriter) Write(p []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(p, maxChunkBytes) {
		if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := w.conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
