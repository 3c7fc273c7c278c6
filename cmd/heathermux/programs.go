package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/heathermux/heathermux/internal/commander"
	"github.com/heathermux/heathermux/internal/daemon"
	"github.com/heathermux/heathermux/internal/demonstrator"
	"github.com/heathermux/heathermux/internal/loader"
)

func programs() commander.Programs {
	return commander.Programs{
		Serve: serve,
		Demo:  demo,
	}
}

func serve(ctx context.Context, settings loader.Settings, log *slog.Logger) error {
	d, err := daemon.New(ctx, daemon.Options{
		Settings: settings,
		Logger:   log,
	})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// demo runs the demo. It logs only warnings and errors, so that the table of
// results is easy to find.
func demo(ctx context.Context, options commander.DemoOptions) error {
	return demonstrator.Run(ctx, demonstrator.Options{
		Seconds:    options.Seconds,
		Deployment: options.Deployment,
		Output:     os.Stdout,
		Progress:   os.Stderr,
		Logger: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{
			Level: slog.LevelWarn,
		})),
	})
}
