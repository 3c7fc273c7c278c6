package ingress

import (
	"time"

	"github.com/heathermux/heathermux/internal/forwarder"
)

// Limits are the limits of requests and tasks. A zero field means its default.
type Limits struct {
	// Header is the maximum size of a request header in bytes; the default is
	// DefaultMaxHeaderBytes.
	Header int
	// Body is the maximum size of a request body in bytes; the default, and the
	// largest value used, is forwarder.MaxBody.
	Body int64
	// TaskPayload is the maximum size of the payload of a task or job in bytes;
	// the default is Body.
	TaskPayload int
	// DefaultDeadline is the timeout of requests that come without a deadline; the
	// default is 5 s.
	DefaultDeadline time.Duration
	// MaxWaiting and MaxTeamWaiting limit the requests waiting in one queue, in total
	// and per team; the defaults are those of the admitter.
	MaxWaiting, MaxTeamWaiting int
}

// withDefaults returns the limits with each unset field replaced by its default.
func (l Limits) withDefaults() Limits {
	if l.Header <= 0 {
		l.Header = DefaultMaxHeaderBytes
	}
	if l.Body <= 0 || l.Body > forwarder.MaxBodyBytes {
		l.Body = forwarder.MaxBodyBytes
	}
	if l.TaskPayload <= 0 {
		l.TaskPayload = int(l.Body)
	}
	if l.DefaultDeadline <= 0 {
		l.DefaultDeadline = defaultDeadline
	}
	return l
}
