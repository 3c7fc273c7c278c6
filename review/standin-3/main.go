// Command standin-3 starts the project's programs on loopback with stand-ins of clients,
// minions and the platform, plays one case of the review and checks its rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases holds the cases by name.
var cases = map[string]func(r *rig, trouble bool) error{
	"advice":        caseAdvice,
	"failing":       caseFailing,
	"late-copy":     caseLateCopy,
	"replaced-core": caseReplacedCore,
	"upkeep":        caseUpkeep,
}

func main() {
	os.Exit(run())
}

// run returns 1 if a rule was broken, 0 if not, and 2 if the case couldn't run.
func run() int {
	seed := flag.Uint64("seed", 1, "seed of the search")
	seconds := flag.Int("seconds", 30, "length of the search")
	only := flag.String("only", "", "disruptions of the search")
	out := flag.String("record", "record.txt", "path of the record")
	name := flag.String("case", "", "case to play; a random search if empty")
	keep := flag.String("keep", "", "folder for the logs; a temporary one if empty")
	flag.Parse()
	dir := *keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			return fail(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	rec, err := newRecord(filepath.Clean(*out))
	if err != nil {
		return fail(err)
	}
	deployment, err := newRig(rec, dir)
	if err != nil {
		return fail(err)
	}
	defer deployment.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		deployment.close()
		os.Exit(2)
	}()
	play, ok := cases[*name]
	if *name == "" {
		play, ok = func(r *rig, _ bool) error { return explore(r, *seed, *seconds, *only) }, true
	}
	if !ok {
		return fail(fmt.Errorf("there is no case %q", *name))
	}
	if err := play(deployment, os.Getenv("TROUBLE") != "0"); err != nil {
		return fail(err)
	}
	broken := rec.brokenRules()
	for _, line := range broken {
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	return 2
}
