// Command heathermux runs the daemon of an entry host, the demo, or a command of
// the operators' and submitters' command line.
package main

import (
	"context"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/heathermux/heathermux/internal/commander"
)

func main() {
	os.Exit(run())
}

func run() int {
	// net/http writes unsolicited bytes of an upstream to the standard logger. They
	// may contain confidential data, so its output is discarded.
	log.SetOutput(io.Discard)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commander.Run(ctx, os.Args[1:], programs(), os.Stdin, os.Stdout, os.Stderr)
}
