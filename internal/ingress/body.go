package ingress

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/heathermux/heathermux/internal/forwarder"
)

// readBody reads the whole body within the timeout. The body is held in memory,
// because a retry sends it again and the registry needs its hash.
func (g *Ingress) readBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) ([]byte, *Problem) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > g.cfg.Limits.Body {
		return nil, g.bodyTooLargeProblem()
	}
	controller := http.NewResponseController(w)
	// Deadlines of sockets are on the system clock, not on cfg.Clock.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	body, err := readUpTo(r, g.cfg.Limits.Body)
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, "body-cut", "Body did not arrive",
			"the body did not arrive in whole before the deadline")
	}
	_ = controller.SetReadDeadline(time.Time{})
	if int64(len(body)) > g.cfg.Limits.Body {
		return nil, g.bodyTooLargeProblem()
	}
	return body, nil
}

// readUpTo reads the body. For a body of unknown length it reads at most one byte
// more than the limit, which shows that the body is too large.
func readUpTo(r *http.Request, limit int64) ([]byte, error) {
	if n := r.ContentLength; n >= 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(r.Body, limit+1))
}

// maxBodyMemory limits the bytes of all request bodies held at once. It has room
// for 32 bodies of the largest size and for far more of the usual size.
const maxBodyMemory = 32 * forwarder.MaxBodyBytes

// bodyMemory counts the bytes reserved for request bodies.
type bodyMemory struct {
	held atomic.Int64
}

// reserve reports whether the bytes were free and are now reserved.
func (m *bodyMemory) reserve(size int64) bool {
	if m.held.Add(size) > maxBodyMemory {
		m.held.Add(-size)
		return false
	}
	return true
}

func (m *bodyMemory) release(size int64) { m.held.Add(-size) }

// maxBodySize returns the maximum size of the body of a request: its
// Content-Length, or the limit when that is unknown or larger.
func (g *Ingress) maxBodySize(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > g.cfg.Limits.Body {
		return g.cfg.Limits.Body
	}
	return r.ContentLength
}

// bodyMemoryFullProblem returns the refusal of a request whose body does not fit
// into maxBodyMemory.
func bodyMemoryFullProblem() *Problem {
	return newProblem(http.StatusServiceUnavailable, "body-memory-full", "Too many large bodies",
		"this entry host holds as many request bodies as it may")
}

// bodyTooLargeProblem returns the refusal of a body larger than Limits.Body.
func (g *Ingress) bodyTooLargeProblem() *Problem {
	return newProblem(http.StatusRequestEntityTooLarge, "body-too-large", "Body is too large",
		"a body has at most "+strconv.FormatInt(g.cfg.Limits.Body, 10)+" bytes")
}
