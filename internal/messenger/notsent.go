package messenger

import "github.com/pkg/errors"

// unsentError is an error that proves that nothing was sent.
type unsentError string

// Error returns the text of the error.
func (e unsentError) Error() string { return string(e) }

// NotSent reports that the call did not leave this host.
func (unsentError) NotSent() bool { return true }

// NotSent reports whether err proves that the call did not leave this host.
func NotSent(err error) bool {
	var unsent interface{ NotSent() bool }
	return errors.As(err, &unsent) && unsent.NotSent()
}
