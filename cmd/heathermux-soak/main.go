// Command heathermux-soak runs the fault-injection test of package soaker against
// heathermux-platform, the program that runs on the users' platform. It runs one
// seed after the other and exits with status 1 if any of them fails.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/heathermux/heathermux/internal/soaker"
)

// arguments are the flags of the command.
type arguments struct {
	Program string  `long:"program" description:"path of heathermux-platform" default:"target/heathermux-platform"`
	Seed    uint64  `long:"seed" description:"first seed" default:"1"`
	Seeds   int     `long:"seeds" description:"number of seeds" default:"1"`
	Seconds float64 `long:"seconds" description:"time in which faults begin, for each seed" default:"20"`
	Only    string  `long:"only" description:"inject only the faults whose names contain this text"`
	Keep    bool    `long:"keep" description:"keep the folder of a seed that passes"`
}

func main() {
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		// The parser has already printed the error.
		os.Exit(2)
	}
	failed := 0
	for i := range args.Seeds {
		if !runSeed(args, args.Seed+uint64(i)) {
			failed++
		}
	}
	if failed > 0 {
		fmt.Printf("%d of %d seeds failed\n", failed, args.Seeds)
		os.Exit(1)
	}
}

// runSeed runs one seed, prints its result and reports whether it passed. It
// deletes the folder with settings, data and logs if the seed passed, unless the
// folder is to be kept.
func runSeed(args arguments, seed uint64) bool {
	dir, err := os.MkdirTemp("", fmt.Sprint("heathermux-soak-", seed, "-"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	report, err := soaker.Run(soaker.Options{
		Seed:    seed,
		Length:  time.Duration(args.Seconds * float64(time.Second)),
		Only:    args.Only,
		Program: args.Program,
		Dir:     dir,
		Logger:  slog.New(slog.NewTextHandler(os.Stderr, nil)),
	})
	passed := err == nil && len(report.Violations) == 0
	fmt.Printf("seed %d: passed %v, accepted %d, completed %d, given up %d, suspected %d, refused %d, unknown %d, faults %d\n",
		seed, passed, report.Accepted, report.Completed, report.GivenUp, report.Suspected, report.Refused, report.Unknown, report.Faults)
	if err != nil {
		fmt.Println("  ", err)
	}
	for _, b := range report.Violations {
		fmt.Println("  violation:", b)
	}
	if passed && !args.Keep {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("   logs:", dir)
	}
	return passed
}
