package messenger

import (
	"context"
	"net/rpc"
	"strings"
)

// remoteError is the error of a handler. Only its text crosses the connection.
type remoteError struct {
	text rpc.ServerError
	// Invariant: the context error that the handler ended with; nil for others.
	cause error
}

// newRemoteError recovers the context error in which a handler's text ends, so
// that a caller sees the same error whichever side notices the end first.
func newRemoteError(text rpc.ServerError) error {
	for _, cause := range []error{context.DeadlineExceeded, context.Canceled} {
		if strings.HasSuffix(text.Error(), cause.Error()) {
			return &remoteError{
				text:  text,
				cause: cause,
			}
		}
	}
	return text
}

// Error returns the text that the handler's host has sent.
func (e *remoteError) Error() string { return e.text.Error() }

// Unwrap returns the text as a ServerError and the context error.
func (e *remoteError) Unwrap() []error { return []error{e.text, e.cause} }
