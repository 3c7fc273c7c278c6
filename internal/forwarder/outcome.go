package forwarder

import "net/http"

// Kind classifies how an attempt ended.
type Kind int

const (
	// NotSent means that no byte was written to the upstream and that none
	// will be: this attempt did not run the request.
	NotSent Kind = iota + 1
	// Complete means that the complete response was received.
	Complete
	// Interrupted means that bytes were written, and that no complete response
	// was received or the response was rejected.
	Interrupted
	// TimedOut means that bytes were written, and that the timeout passed or
	// the context ended before a complete response was received.
	TimedOut
)

// String returns the name of the kind that is used in logs and spans.
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

// Response is a complete response of an upstream.
type Response struct {
	Status int
	// Header holds no hop-by-hop fields.
	Header http.Header
	Body   []byte
}

// Outcome is the result of one attempt.
type Outcome struct {
	Kind Kind
	// Response is set only if Kind is Complete.
	Response *Response
	// Err is the reason why there is no response; nil if Kind is Complete.
	Err error
}
