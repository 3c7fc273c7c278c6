// Command qhapaq sends a request that redeems a token, and submits a
// reconciliation as a task. It calls the deployment that scripts/try-local starts,
// and runs the upstream that serves the request itself.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/heathermux/heathermux/examples/internal/submitter"
)

// options are the command-line flags.
type options struct {
	Server  string `long:"server" value-name:"URL" default:"http://127.0.0.11:8080" description:"Entry host to call"`
	KeyFile string `long:"key-file" value-name:"FILE" default:"examples/qhapaq/keys/markets.key" description:"File with the key of the team markets"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(1)
	}
	test := submitter.SmokeTest{
		Server:     opts.Server,
		KeyFile:    opts.KeyFile,
		Queue:      "redeem",
		Path:       "tokens/cup-17",
		DataCentre: "lima-norte",
		TaskQueue:  "reconcile",
		Output:     os.Stdout,
	}
	if err := test.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "qhapaq:", err)
		os.Exit(1)
	}
}
