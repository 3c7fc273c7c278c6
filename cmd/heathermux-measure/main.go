// Command heathermux-measure measures the processor time, memory and traffic of
// each role at several sizes, and prints the cost extrapolated to the design's
// target size beside its bound.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/measurer"
)

// options are the command-line flags.
type options struct {
	Output string `long:"output" choice:"text" choice:"json" default:"text" description:"Form of the result"`
	Only   string `long:"only" value-name:"EXPRESSION" description:"Regular expression; measures only what has a matching \"role: name\""`
}

func main() {
	if err := run(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "heathermux-measure:", err)
		os.Exit(1)
	}
}

func run() error {
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := measurer.Run(ctx, measurer.Options{
		Only:     opts.Only,
		Progress: func(probe string) { fmt.Fprintln(os.Stderr, "measure:", probe) },
	})
	if err != nil {
		return err
	}
	return writeReport(report, opts.Output, os.Stdout)
}

// writeReport writes the report as JSON or, for any other output, as a text table.
func writeReport(r measurer.Report, output string, w io.Writer) error {
	if output == "json" {
		return r.WriteJSON(w)
	}
	return r.WriteText(w)
}
