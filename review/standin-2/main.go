// Command standin-2 starts the programs of the project as a small deployment, with stand-ins
// for clients, workers and the platform, and plays one case of the review.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by name. Each returns an error if it could not run.
var cases = map[string]func(r *rig, trouble bool, seed uint64) error{
	"mixed":     mixed,
	"lasting":   lasting,
	"formation": formation,
	"absence":   absence,
	"crashes":   crashes,
	"odd":       odd,
	"born":      born,
	"clocks":    clocks,
	"many-ends": manyEnds,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/heathermux-platform", "path of the program under test")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	seed := flag.Uint64("seed", 1, "seed")
	keep := flag.String("keep", "", "folder for the logs of the processes, which is kept")
	cores := flag.Int("cores", 3, "core machines")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *keep, *cores, *trouble, *seed))
}

// play plays a case: 0 if no rule was broken, 1 if one was, 2 if it could not run.
func play(name, program, record, keep string, cores int, trouble bool, seed uint64) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-2-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if program, err = filepath.Abs(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	h := newHub(out)
	r, err := newRig(h, program, dir, cores, 2)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		r.close()
		os.Exit(2)
	}()
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	if err := f(r, trouble, seed); err != nil {
		h.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, text := range h.broken {
		fmt.Println("BROKEN", text)
	}
	if len(h.broken) > 0 {
		return 1
	}
	fmt.Println("held")
	return 0
}
