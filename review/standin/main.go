// Command standin runs the scripts of the review. It starts the project's own programs
// as separate processes on loopback addresses, plays minions, clients, the operator and
// the platform against them, and checks one rule.
//
// Usage: standin CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case couldn't run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// maxDuration bounds one case.
const maxDuration = 110 * time.Second

// testCase plays one case. It reports whether the rule was broken; an error means that
// the case couldn't run.
type testCase func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]testCase{
	"foreign-heartbeat": foreignHeartbeat,
	"stale-evacuation":  staleEvacuation,
	"unreadable-config": unreadableConfig,
	"removed-route":     removedRoute,
	"many-ends":         manyEnds,
	"many-ends-cut":     manyEndsCut,
	"late-start":        lateStart,
	"late-poll":         latePoll,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitInvalid)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(play testCase, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer func() { _ = file.Close() }()
	rec := newRecord(file)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, maxDuration)
	defer cancelTimeout()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case starts, trouble=%v", trouble)
	d, err := newDeployment(rec)
	if err != nil {
		rec.note("the case couldn't run: %v", err)
		return exitInvalid
	}
	defer d.close()
	broken, err := play(ctx, d, trouble)
	switch {
	case broken:
		rec.note("RESULT: the rule was broken")
		return exitBroken
	case err != nil:
		rec.note("RESULT: the case couldn't run: %v", err)
		return exitInvalid
	}
	rec.note("RESULT: the rule held")
	return exitHeld
}
