package ingress

import (
	"time"

	"github.com/heathermux/heathermux/internal/forwarder"
)

// Limits bound what one request or task may take. A zero field means the default.
type Limits struct {
	// Header is the largest request header in bytes; the default is MaxHeader.
	Header int
	// Body is the largest request body in bytes; the default and the most is
	// forwarder.MaxBody.
	Body int64
	// TaskPayload is the largest payload of a task in bytes; the default is
	// that of Body.
	TaskPayload int
	// Deadline is the time that a request without a deadline has; the default
	// is five seconds.
	Deadline time.Duration
	// Waiting and TeamWaiting bound the requests that wait in one queue, in
	// total and of one team; the defaults are the admitter's.
	Waiting, TeamWaiting int
}

func (l Limits) withDefaults() Limits {
	if l.Header <= 0 {
		l.Header = MaxHeader
	}
	if l.Body <= 0 || l.Body > forwarder.MaxBody {
		l.Body = forwarder.MaxBody
	}
	if l.TaskPayload <= 0 {
		l.TaskPayload = int(l.Body)
	}
	if l.Deadline <= 0 {
		l.Deadline = defaultDeadline
	}
	return l
}
