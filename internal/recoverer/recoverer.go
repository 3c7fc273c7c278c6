// Package recoverer runs functions whose panic must not end the process: an entry of the
// replicated log or an answer that makes one host panic would end each host that reads it,
// one after the other.
package recoverer

import (
	"log/slog"
	"runtime/debug"

	"github.com/pkg/errors"
)

// ErrPanicked is the cause of the error that Run returns after a panic.
var ErrPanicked = errors.New("recoverer: the function panicked")

// Run calls f. If f panics, Run logs the panic and its stack with the given message, and
// returns an error; f may then have had a part of its effect.
func Run(logger *slog.Logger, message string, f func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			logger.Error(message, "panic", p, "stack", string(debug.Stack()))
			err = errors.Wrapf(ErrPanicked, "%s: %v", message, p)
		}
	}()
	f()
	return nil
}
