// Package commander is the command line of heathermux: the daemon, the demo,
// the check of settings, and the operators' commands, which call the
// operators' HTTP API.
package commander

import (
	"context"
	"errors"
	"io"
	"log/slog"

	"github.com/jessevdk/go-flags"

	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/pkg/timer"
)

// DemoOptions are the options of the command demo.
type DemoOptions struct {
	// Seconds is how long the demo runs.
	Seconds int
	// Deployment is "qhapaq" or "khomas".
	Deployment string
}

// Programs are the parts that the command line starts but doesn't contain. A
// nil function makes its command fail.
type Programs struct {
	// Serve runs the daemon of one entry host until the context ends.
	Serve func(ctx context.Context, settings loader.Settings, log *slog.Logger) error
	// Demo runs a whole deployment in this process.
	Demo func(ctx context.Context, options DemoOptions) error
	// Clock paces resends; nil means the clock of the machine.
	Clock timer.Clock
}

// Run runs one command line without the program name and returns the exit
// code. The context ends long-running commands.
func Run(ctx context.Context, args []string, programs Programs, stdin io.Reader, stdout, stderr io.Writer) int {
	if programs.Clock == nil {
		programs.Clock = timer.System()
	}
	s := &session{
		ctx:      ctx,
		programs: programs,
		stdin:    stdin,
		stdout:   stdout,
		stderr:   stderr,
	}
	parser, err := newParser(s)
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		s.print("%s", help.Message)
		return ExitDone
	}
	if err != nil {
		return s.report(err)
	}
	return ExitDone
}
