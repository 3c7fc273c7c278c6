// Command khomas sends a request that switches a circuit, and submits a task. It
// calls the deployment that scripts/try-local starts, and runs the upstream that
// serves the request itself.
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
	Server  string `long:"server" value-name:"URL" default:"http://127.0.0.21:8080" description:"Entry host to call"`
	KeyFile string `long:"key-file" value-name:"FILE" default:"examples/khomas/keys/street-lights.key" description:"File with the key of the team street-lights"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(1)
	}
	test := submitter.SmokeTest{
		Server:     opts.Server,
		KeyFile:    opts.KeyFile,
		Queue:      "switch",
		Path:       "circuits/lamp-17",
		DataCentre: "windhoek-north",
		TaskQueue:  "switch-tasks",
		Output:     os.Stdout,
	}
	if err := test.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "khomas:", err)
		os.Exit(1)
	}
}
