package commander

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/heathermux/heathermux/internal/operator"
)

// Exit codes. Scripts depend on them; a number never changes its meaning.
const (
	// ExitDone means that the command did what it was asked to do.
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

// fault is an error with the exit code that it leads to.
type fault struct {
	code    int
	text    string
	problem *operator.Problem
	// operation is the ID to repeat the command with; empty for reading ones.
	operation string
}

func (f *fault) Error() string { return f.text }

func usage(format string, args ...any) error {
	return &fault{
		code: ExitUsage,
		text: fmt.Sprintf(format, args...),
	}
}

func failed(err error) error {
	return &fault{
		code: ExitFailed,
		text: err.Error(),
	}
}

// faultOf gives every error an exit code; those of the parser are usage errors.
func faultOf(err error) *fault {
	var f *fault
	if errors.As(err, &f) {
		return f
	}
	code := ExitFailed
	var parse *flags.Error
	if errors.As(err, &parse) {
		code = ExitUsage
	}
	return &fault{
		code: code,
		text: err.Error(),
	}
}

// errorOutput is an error in the form of --output json.
type errorOutput struct {
	Error       string            `json:"error"`
	ExitCode    int               `json:"exit-code"`
	OperationID string            `json:"operation-id,omitempty"`
	Problem     *operator.Problem `json:"problem,omitempty"`
}

// report writes the error to the standard error and returns its exit code.
func (s *session) report(err error) int {
	f := faultOf(err)
	if s.options.Output == "json" {
		data, _ := json.Marshal(errorOutput{
			Error:       f.text,
			ExitCode:    f.code,
			OperationID: f.operation,
			Problem:     f.problem,
		})
		fmt.Fprintf(s.stderr, "%s\n", data)
		return f.code
	}
	fmt.Fprintf(s.stderr, "heathermux: %s\n", f.text)
	return f.code
}
