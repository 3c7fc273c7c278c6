// Command heathermux-emulate runs emulated upstreams and workers of an example
// deployment, for trying out entry hosts by hand. It runs until it is interrupted
// or terminated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/examples"
	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/heathermux/heathermux/internal/loader"
)

// options are the flags of the command.
type options struct {
	Deployment string        `long:"deployment" choice:"qhapaq" choice:"khomas" default:"qhapaq" description:"Deployment whose hosts are emulated"`
	EntryHosts []string      `long:"entry-host" value-name:"URL" required:"yes" description:"URL of an entry host; repeat it for each one"`
	Service    time.Duration `long:"service-time" default:"5ms" description:"Mean time of a request"`
	RunTime    time.Duration `long:"run-time" default:"2s" description:"Mean run time of a task"`
}

func main() {
	if err := run(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "heathermux-emulate:", err)
		os.Exit(1)
	}
}

// run parses the flags, starts the emulated hosts and stops them on a signal.
func run() error {
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		return err
	}
	path, data, _ := examples.Deployment(opts.Deployment)
	d, problems := loader.ParseDeployment(path, data)
	if err := problems.Err(); err != nil {
		return err
	}
	hosts, err := emulator.NewHosts(emulator.HostsOptions{
		Deployment: d,
		EntryHosts: func(string) []string { return opts.EntryHosts },
		Service:    opts.Service,
		RunTime:    opts.RunTime,
		Ledger:     &emulator.Ledger{},
		Starts:     &emulator.Starts{},
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	hosts.Kill()
	return nil
}
