// Package commander implements the command line of heathermux: the commands that
// run the daemon and the demo and check settings, and the commands of operators
// and job submitters, which call the HTTP API of an entry host.
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
	// Deployment is the name of the example deployment, "qhapaq" or "khomas".
	Deployment string
}

// Programs are the programs that the command line starts but doesn't contain. The
// command of a nil function fails.
type Programs struct {
	// Serve runs the daemon of one entry host until the context ends.
	Serve func(ctx context.Context, settings loader.Settings, log *slog.Logger) error
	// Demo runs a whole deployment in this process.
	Demo func(ctx context.Context, options DemoOptions) error
	// Clock times resends; nil means the system clock.
	Clock timer.Clock
}

// Run executes one command line, given without the program name, and returns the
// exit code. Long-running commands and resends stop when ctx ends.
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
