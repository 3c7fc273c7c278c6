package messenger

import "github.com/pkg/errors"

// notSentError is an error of a call that was not sent.
type notSentError string

// Error returns the text of the error.
func (e notSentError) Error() string { return string(e) }

// NotSent reports that the call was not sent. It is detected by the function
// NotSent.
func (notSentError) NotSent() bool { return true }

// NotSent reports whether err proves that the call was not sent to the peer. A
// false result means that the call may have been executed.
func NotSent(err error) bool {
	var notSent interface{ NotSent() bool }
	return errors.As(err, &notSent) && notSent.NotSent()
}
