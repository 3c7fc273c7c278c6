package messenger

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// queuedFrames bounds the frames that wait for a connection to take them.
const queuedFrames = 1024

// writeTimeout is how long a connection may refuse bytes before it is closed.
const writeTimeout = time.Second

// ErrBusy is returned when a connection has its bounded number of calls or
// frames waiting. The call was not sent.
var ErrBusy error = unsentError("messenger: too many calls wait for this peer")

// frameWriter writes frames to a connection from one goroutine, so that a
// caller never blocks on a peer that does not read. Frames that wait together
// go out in one write.
type frameWriter struct {
	conn   net.Conn
	frames chan []byte
	done   chan struct{}
	once   sync.Once
}

func newFrameWriter(conn net.Conn) *frameWriter {
	w := &frameWriter{
		conn:   conn,
		frames: make(chan []byte, queuedFrames),
		done:   make(chan struct{}),
	}
	go w.run()
	return w
}

// enqueue hands a frame over; it never blocks.
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
	buf := bufio.NewWriterSize(w.conn, bufferBytes)
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

// writeBatch writes the frame and all that wait behind it.
func (w *frameWriter) writeBatch(buf *bufio.Writer, frame []byte) error {
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
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
	w.once.Do(func() {
		close(w.done)
		_ = w.conn.Close()
	})
}
