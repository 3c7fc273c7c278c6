package messenger

import (
	"log/slog"
	"runtime/debug"

	"github.com/pkg/errors"
)

// ErrHandlerPanicked is returned by a handler that has panicked. The call may have
// had its effect or a part of it.
var ErrHandlerPanicked = errors.New("messenger: the handler panicked")

// RecoverHandler turns a panic of a handler into ErrHandlerPanicked, so that one
// message ends its call and not the process. A handler defers it with a pointer to
// its named result.
func RecoverHandler(err *error) {
	if p := recover(); p != nil {
		slog.Error("messenger: handler panicked; its call failed and the process goes on", "panic", p, "stack", string(debug.Stack()))
		*err = ErrHandlerPanicked
	}
}
