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
	// maxDeadline bounds how long a request may hold resources. Work that
	// takes longer is a task.
	maxDeadline = 5 * time.Minute
	// maxHeaderValue bounds the values that are parsed here, in bytes.
	maxHeaderValue = 255
)

// deadlineHeader carries the time that the caller gives a request.
const deadlineHeader = "Heathermux-Deadline"

// parseDuration reads a positive duration with a unit, such as "800ms".
func parseDuration(value string) (time.Duration, bool) {
	if len(value) > maxHeaderValue || strings.ContainsAny(value, "+-") {
		return 0, false
	}
	d, err := time.ParseDuration(value)
	return d, err == nil && d > 0
}

// deadline returns the time that the request has, from its arrival.
func (g *Ingress) deadline(h http.Header) (time.Duration, *Problem) {
	values := h[deadlineHeader]
	if len(values) == 0 {
		return g.cfg.Limits.Deadline, nil
	}
	d, ok := parseDuration(values[0])
	if len(values) > 1 || !ok || d > maxDeadline {
		return 0, problem(http.StatusBadRequest, "bad-deadline", "Deadline is not readable",
			deadlineHeader+` must be one positive duration with a unit (ns, us, ms, s, m) of at most 5m, such as "800ms"`)
	}
	return d, nil
}

// idempotencyKey returns the key of the request, or "" without one.
func idempotencyKey(h http.Header) (string, *Problem) {
	values := h["Idempotency-Key"]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || !validToken(values[0]) {
		return "", problem(http.StatusBadRequest, "bad-idempotency-key", "Idempotency key is not usable",
			"Idempotency-Key must be one value of 1 to "+strconv.Itoa(maxHeaderValue)+" visible ASCII characters")
	}
	return values[0], nil
}

// validToken reports whether a value has 1 to maxHeaderValue visible ASCII characters.
func validToken(value string) bool {
	if value == "" || len(value) > maxHeaderValue {
		return false
	}
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return false
		}
	}
	return true
}
