// Command heathermux-measure measures what each role costs at growing sizes and
// prints the cost at the target size of the design beside its bound.
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

// options are the flags of the command.
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
	return write(report, opts.Output, os.Stdout)
}

func write(r measurer.Report, output string, w io.Writer) error {
	if output == "json" {
		return r.WriteJSON(w)
	}
	return r.WriteText(w)
}
