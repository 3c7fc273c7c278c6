package ingress

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/heathermux/heathermux/internal/forwarder"
)

// readBody reads the whole body within the deadline. The body is held in
// memory, because a retry sends it again and the registry needs its hash.
func (g *Ingress) readBody(w http.ResponseWriter, r *http.Request, left time.Duration) ([]byte, *Problem) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > g.cfg.Limits.Body {
		return nil, g.bodyTooLarge()
	}
	control := http.NewResponseController(w)
	// Sockets run on the machine's own clock.
	_ = control.SetReadDeadline(time.Now().Add(left))
	body, err := readUpTo(r, g.cfg.Limits.Body)
	if err != nil {
		return nil, problem(http.StatusBadRequest, "body-cut", "Body did not arrive",
			"the body did not arrive in whole before the deadline")
	}
	_ = control.SetReadDeadline(time.Time{})
	if int64(len(body)) > g.cfg.Limits.Body {
		return nil, g.bodyTooLarge()
	}
	return body, nil
}

func readUpTo(r *http.Request, most int64) ([]byte, error) {
	if n := r.ContentLength; n >= 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(r.Body, most+1))
}

// maxBodies bounds the memory of the request bodies that are held at once. It
// is 32 bodies of the largest size, and far more of the usual ones.
const maxBodies = 32 * forwarder.MaxBody

// bodyMemory counts the bytes of the bodies held.
type bodyMemory struct {
	held atomic.Int64
}

func (m *bodyMemory) reserve(size int64) bool {
	if m.held.Add(size) > maxBodies {
		m.held.Add(-size)
		return false
	}
	return true
}

func (m *bodyMemory) release(size int64) { m.held.Add(-size) }

// bodyReserve returns the most bytes that the body of a request may take.
func (g *Ingress) bodyReserve(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > g.cfg.Limits.Body {
		return g.cfg.Limits.Body
	}
	return r.ContentLength
}

func bodyMemoryFull() *Problem {
	return problem(http.StatusServiceUnavailable, "body-memory-full", "Too many large bodies",
		"this entry host holds as many request bodies as it may")
}

func (g *Ingress) bodyTooLarge() *Problem {
	return problem(http.StatusRequestEntityTooLarge, "body-too-large", "Body is too large",
		"a body has at most "+strconv.FormatInt(g.cfg.Limits.Body, 10)+" bytes")
}
