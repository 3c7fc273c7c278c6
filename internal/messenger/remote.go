package messenger

import (
	"context"
	"net/rpc"
	"strings"
)

// remoteError is an error of a handler that was caused by a context error. Only
// the text of a handler's error is sent to the caller.
type remoteError struct {
	text rpc.ServerError
	// Invariant: context.DeadlineExceeded or context.Canceled.
	cause error
}

// newRemoteError restores the context error if the text of the handler's error
// ends with that of one, so that a caller gets the same error whether its own
// context or that of the handler ends first. Other texts are returned as they
// are.
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

// Error returns the text that was received from the peer.
func (e *remoteError) Error() string { return e.text.Error() }

// Unwrap returns the text as an rpc.ServerError, and the context error.
func (e *remoteError) Unwrap() []error { return []error{e.text, e.cause} }
