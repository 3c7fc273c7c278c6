package forwarder

import "net/http"

// Kind tells how far an attempt came.
type Kind int

const (
	// NotSent means that no byte was written to the upstream and that none
	// will be: the request was not run by this attempt.
	NotSent Kind = iota + 1
	// Complete means that the whole answer was received.
	Complete
	// Interrupted means that bytes were written and that no whole answer came.
	Interrupted
	// TimedOut means that bytes were written and the context ended first.
	TimedOut
)

// String returns the kind in the form used in logs and spans.
func (k Kind) String() string {
	switch k {
	case NotSent:
		return "not-sent"
	case Complete:
		return "complete"
	case Interrupted:
		return "interrupted"
	case TimedOut:
		return "timed-out"
	default:
		return "unspecified"
	}
}

// Answer is a whole answer of an upstream.
type Answer struct {
	Status int
	// Header holds no hop-by-hop fields.
	Header http.Header
	Body   []byte
}

// Outcome is the result of one attempt.
type Outcome struct {
	Kind Kind
	// Answer is set for Complete only.
	Answer *Answer
	// Err tells why there is no answer; it is nil for Complete.
	Err error
}
