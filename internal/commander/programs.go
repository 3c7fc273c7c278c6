package commander

import (
	"errors"
	"io"
	"log/slog"

	"github.com/heathermux/heathermux/internal/loader"
)

func programCommands(s *session) []command {
	return []command{
		{
			name:  "serve",
			short: "Run the daemon of one entry host",
			long:  "Runs the daemon of one entry host until it is interrupted.",
			data: &serve{
				session: s,
			},
		},
		{
			name:  "check",
			short: "Check settings and deployment files",
			long:  "Reports every problem of a settings file and of the deployment file that it names. Exits with 1 when there is one.",
			data: &check{
				session: s,
			},
		},
		{
			name:  "demo",
			short: "Run a whole deployment in one process",
			long:  "Runs a whole deployment with emulated upstreams and workers on loopback.",
			data: &demo{
				session: s,
			},
		},
		{
			name:  "status",
			short: "Show the state of the deployment",
			long:  "Shows what the entry host knows of the deployment.",
			data: &status{
				session: s,
			},
		},
	}
}

var (
	errNoKey     = errors.New("the entry host granted the key, but its answer doesn't describe it; the new key is not shown")
	errNoProgram = errors.New("this program was built without the command")
)

type serve struct {
	session *session
	Config  string `long:"config" value-name:"FILE" required:"yes" description:"Settings file of the entry host"`
}

// Execute validates the settings and runs the daemon.
func (c *serve) Execute([]string) error {
	settings, problems := readFiles(c.Config, "")
	if len(problems) > 0 {
		return failure(problems.Err())
	}
	if c.session.programs.Serve == nil {
		return failure(errNoProgram)
	}
	if err := c.session.programs.Serve(c.session.ctx, settings, newLogger(settings.Log, c.session.stderr)); err != nil {
		return failure(err)
	}
	return nil
}

// newLogger returns a logger with the level and the format from the settings.
func newLogger(settings loader.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	// The settings are validated and name only levels that slog knows.
	_ = level.UnmarshalText([]byte(settings.Level))
	options := &slog.HandlerOptions{
		Level: level,
	}
	if settings.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

type demo struct {
	session    *session
	Seconds    int    `long:"seconds" value-name:"N" default:"5" description:"How long the demo runs"`
	Deployment string `long:"deployment" choice:"qhapaq" choice:"khomas" default:"qhapaq" description:"Deployment to run"`
}

// Execute runs the demo.
func (c *demo) Execute([]string) error {
	if c.Seconds < 1 || c.Seconds > 3600 {
		return usageError("seconds is %d; allowed: a whole number from 1 to 3600", c.Seconds)
	}
	if c.session.programs.Demo == nil {
		return failure(errNoProgram)
	}
	err := c.session.programs.Demo(c.session.ctx, DemoOptions{
		Seconds:    c.Seconds,
		Deployment: c.Deployment,
	})
	if err != nil {
		return failure(err)
	}
	return nil
}
