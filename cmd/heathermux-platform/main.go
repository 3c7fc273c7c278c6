// Command heathermux-platform runs one role of heathermux, front or core, on its
// users' platform, whose settings it reads with platform.ReadSettings.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/heathermux/heathermux/internal/linewriter"
	"github.com/heathermux/heathermux/platform"
)

type arguments struct {
	DelegateFrom int `long:"delegate-from" description:"number of workers from which on other hosts carry the leader's orders" default:"100"`
	Positional   struct {
		Role string `positional-arg-name:"ROLE" description:"front: takes jobs of submitters; core: keeps the state and runs the jobs" choice:"front" choice:"core"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		// The parser has already printed the error.
		os.Exit(2)
	}
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	settings.DelegateFrom = args.DelegateFrom
	lines := linewriter.New(os.Stdout)
	defer lines.Close()
	logger := slog.New(slog.NewJSONHandler(lines, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch args.Positional.Role {
	case "front":
		err = platform.RunFront(ctx, settings, logger)
	case "core":
		err = platform.RunCore(ctx, settings, logger)
	default:
		err = fmt.Errorf("heathermux-platform: unknown role %q", args.Positional.Role)
	}
	if err != nil {
		logger.Error("process exits because its role failed", "error", err)
	}
	return err
}
