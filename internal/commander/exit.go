package commander

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/heathermux/heathermux/internal/operator"
)

// Exit codes. Scripts depend on them, so the meaning of a code must not change.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that a check found problems or that serve or demo failed.
	ExitFailed = 1
	// ExitUsage means that the command line or an input file is wrong.
	ExitUsage = 2
	// ExitUnreachable means that no entry host or leader answered in time and
	// that the command changed nothing.
	ExitUnreachable = 3
	// ExitConflict means that another change of the same object came first.
	ExitConflict = 4
	// ExitRejected means that the change is not possible.
	ExitRejected = 5
	// ExitNotAllowed means that the key is missing, unknown, or of the wrong role
	// or team.
	ExitNotAllowed = 6
	// ExitUnknown means that the change may have been made; repeat the command
	// with the printed operation ID to find out.
	ExitUnknown = 7
)

// exitError is an error with the exit code of the command.
type exitError struct {
	code    int
	text    string
	problem *operator.Problem
	// operationID is the ID with which the user can repeat the command; empty for
	// commands that change nothing.
	operationID string
}

func (f *exitError) Error() string { return f.text }

func usageError(format string, args ...any) error {
	return &exitError{
		code: ExitUsage,
		text: fmt.Sprintf(format, args...),
	}
}

func failure(err error) error {
	return &exitError{
		code: ExitFailed,
		text: err.Error(),
	}
}

// toExitError converts err to an exitError. Errors of the parser get ExitUsage,
// other errors without an exit code ExitFailed.
func toExitError(err error) *exitError {
	var f *exitError
	if errors.As(err, &f) {
		return f
	}
	code := ExitFailed
	var parse *flags.Error
	if errors.As(err, &parse) {
		code = ExitUsage
	}
	return &exitError{
		code: code,
		text: err.Error(),
	}
}

// errorOutput is the output of an error with --output json.
type errorOutput struct {
	Error       string            `json:"error"`
	ExitCode    int               `json:"exit-code"`
	OperationID string            `json:"operation-id,omitempty"`
	Problem     *operator.Problem `json:"problem,omitempty"`
}

// report writes the error to standard error, in the format of --output, and
// returns its exit code.
func (s *session) report(err error) int {
	f := toExitError(err)
	if s.options.Output == "json" {
		data, _ := json.Marshal(errorOutput{
			Error:       f.text,
			ExitCode:    f.code,
			OperationID: f.operationID,
			Problem:     f.problem,
		})
		fmt.Fprintf(s.stderr, "%s\n", data)
		return f.code
	}
	fmt.Fprintf(s.stderr, "heathermux: %s\n", f.text)
	return f.code
}
