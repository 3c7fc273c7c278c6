// Command heathermux-check examines a configuration for the users' platform before it is sent.
// It sends nothing. It prints errors, entries that can never have an effect, limits that
// contradict each other, and what differs from the configuration in force.
//
// It exits with 0 if there is nothing to tell, 1 if a file or an address can't be read, 2 for
// wrong arguments, 10 if the leader would refuse the configuration, 11 with warnings, and 12 with
// differences only.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/configchecker"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/platform"
)

// The exit codes.
const (
	exitUnreadable = 1
	exitUsage      = 2
	exitInvalid    = 10
	exitDoubtful   = 11
	exitChanged    = 12
)

type arguments struct {
	InForce    string `long:"in-force" value-name:"FILE" description:"file with the configuration in force"`
	Server     string `long:"server" value-name:"ADDRESS" description:"control address, as IP:PORT, of a deployment whose configuration is in force"`
	JSON       bool   `long:"json" description:"print the findings as a JSON list"`
	Positional struct {
		File string `positional-arg-name:"FILE" description:"configuration to check; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	var args arguments
	parser := flags.NewParser(&args, flags.Default)
	parser.LongDescription = "Exit codes: 0 nothing to tell, 1 unreadable, 2 wrong arguments, 10 errors, 11 warnings, 12 differences."
	if _, err := parser.Parse(); err != nil {
		// The parser has already printed the error.
		os.Exit(exitUsage)
	}
	if args.InForce != "" && args.Server != "" {
		fmt.Fprintln(os.Stderr, "heathermux-check: --in-force and --server exclude each other")
		os.Exit(exitUsage)
	}
	findings, err := run(args, os.Stdin)
	if err == nil {
		err = write(os.Stdout, findings, args.JSON)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "heathermux-check:", err)
		os.Exit(exitUnreadable)
	}
	os.Exit(exitCode(findings))
}

// run reads the configurations and examines the new one. One that can't be read is a finding,
// since the leader would refuse it.
func run(args arguments, stdin io.Reader) ([]configchecker.Finding, error) {
	document, err := read(args.Positional.File, stdin)
	if err != nil {
		return nil, err
	}
	inForce, err := readInForce(args)
	if err != nil {
		return nil, err
	}
	next, err := platform.DecodeConfiguration(document)
	if err != nil {
		return []configchecker.Finding{
			{
				Severity: configchecker.Invalid,
				Entry:    "configuration",
				Text:     err.Error(),
			},
		}, nil
	}
	return configchecker.Check(next, inForce), nil
}

// readInForce returns the configuration in force; nil if none is named.
func readInForce(args arguments) (*jobwire.Configuration, error) {
	switch {
	case args.Server != "":
		return platform.FetchConfiguration(context.Background(), args.Server)
	case args.InForce != "":
		document, err := os.ReadFile(args.InForce)
		if err != nil {
			return nil, errors.Wrap(err, "read the configuration in force")
		}
		cfg, err := platform.DecodeConfiguration(document)
		return cfg, errors.WithMessage(err, args.InForce)
	}
	return nil, nil
}

func read(file string, stdin io.Reader) ([]byte, error) {
	if file == "-" {
		document, err := io.ReadAll(stdin)
		return document, errors.Wrap(err, "read standard input")
	}
	document, err := os.ReadFile(file)
	return document, errors.Wrap(err, "read the configuration")
}

func write(w io.Writer, findings []configchecker.Finding, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(append([]configchecker.Finding{}, findings...))
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	return nil
}

func exitCode(findings []configchecker.Finding) int {
	switch configchecker.Worst(findings) {
	case configchecker.Invalid:
		return exitInvalid
	case configchecker.Doubtful:
		return exitDoubtful
	case configchecker.Changed:
		return exitChanged
	}
	return 0
}
