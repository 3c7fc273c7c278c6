package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultDeadline is the default of Limits.Deadline.
	defaultDeadline = 5 * time.Second
	// maxDeadline limits how long a request may hold resources. Longer work is
	// submitted as a task.
	maxDeadline = 5 * time.Minute
	// maxHeaderValueBytes limits the durations and idempotency keys that callers
	// send.
	maxHeaderValueBytes = 255
)

// deadlineHeader is the header with the time that a request may take.
const deadlineHeader = "Heathermux-Deadline"

// parseDuration parses a positive duration with a unit, such as "800ms". Signs
// are not allowed.
func parseDuration(value string) (time.Duration, bool) {
	if len(value) > maxHeaderValueBytes || strings.ContainsAny(value, "+-") {
		return 0, false
	}
	d, err := time.ParseDuration(value)
	return d, err == nil && d > 0
}

// requestTimeout returns the time from the arrival of a request to its deadline.
func (g *Ingress) requestTimeout(h http.Header) (time.Duration, *Problem) {
	values := h[deadlineHeader]
	if len(values) == 0 {
		return g.cfg.Limits.DefaultDeadline, nil
	}
	d, ok := parseDuration(values[0])
	if len(values) > 1 || !ok || d > maxDeadline {
		return 0, newProblem(http.StatusBadRequest, "bad-deadline", "Deadline is not readable",
			deadlineHeader+` must be one positive duration with a unit (ns, us, ms, s, m) of at most 5m, such as "800ms"`)
	}
	return d, nil
}

// idempotencyKey returns the value of Idempotency-Key, or "" without one.
func idempotencyKey(h http.Header) (string, *Problem) {
	values := h["Idempotency-Key"]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || !validIdempotencyKey(values[0]) {
		return "", newProblem(http.StatusBadRequest, "bad-idempotency-key", "Idempotency key is not usable",
			"Idempotency-Key must be one value of 1 to "+strconv.Itoa(maxHeaderValueBytes)+" visible ASCII characters")
	}
	return values[0], nil
}

// validIdempotencyKey reports whether a value consists of 1 to
// maxHeaderValueBytes visible ASCII characters.
func validIdempotencyKey(value string) bool {
	if value == "" || len(value) > maxHeaderValueBytes {
		return false
	}
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return false
		}
	}
	return true
}
