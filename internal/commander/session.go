package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// options are the options of all commands that call the operators' API.
type options struct {
	Servers  []string      `long:"server" value-name:"URL" env:"HEATHERMUX_SERVER" env-delim:"," default:"http://127.0.0.1:8080" description:"Entry host to call; with several, the next one is called when one doesn't answer"`
	KeyFile  string        `long:"key-file" value-name:"FILE" description:"File with the operator key; without it the key is in the environment variable HEATHERMUX_KEY"`
	CAFile   string        `long:"ca-file" value-name:"FILE" description:"PEM file with the certificate authority of the entry hosts"`
	CertFile string        `long:"cert-file" value-name:"FILE" description:"PEM file with a client certificate, for entry hosts that ask for one"`
	CertKey  string        `long:"cert-key" value-name:"FILE" description:"PEM file with the key of the client certificate"`
	Output   string        `long:"output" choice:"text" choice:"json" default:"text" description:"Form of the output"`
	Wait     time.Duration `long:"wait" value-name:"DURATION" default:"15s" description:"Time for resends after a lost answer"`
}

// session is the execution of one command line.
type session struct {
	ctx            context.Context
	programs       Programs
	stdin          io.Reader
	stdout, stderr io.Writer
	options        options
}

func (s *session) print(format string, args ...any) {
	fmt.Fprintf(s.stdout, format, args...)
}

// show prints value as JSON with --output json, and otherwise calls text to print it.
func (s *session) show(value any, text func()) error {
	if s.options.Output != "json" {
		text()
		return nil
	}
	return s.printJSON(value)
}

func (s *session) printJSON(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return failure(err)
	}
	s.print("%s\n", data)
	return nil
}

// table prints a tab-separated heading and the rows below it in aligned columns.
func (s *session) table(heading string, rows func(row func(cells ...any))) {
	w := tabwriter.NewWriter(s.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, heading)
	rows(func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, orDash(cell))
		}
		fmt.Fprintln(w)
	})
	w.Flush()
}

// orDash returns "-" for an empty cell, so that columns can be told apart.
func orDash(cell any) any {
	if cell == "" {
		return "-"
	}
	return cell
}
