// Command heathermux is the daemon, the demo and the operators' command line.
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
	// net/http writes unsolicited bytes of an upstream to the standard logger;
	// they may hold what no log should.
	log.SetOutput(io.Discard)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commander.Run(ctx, os.Args[1:], programs(), os.Stdin, os.Stdout, os.Stderr)
}
