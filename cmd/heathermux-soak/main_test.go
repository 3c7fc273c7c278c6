package main_test

import (
	"log/slog"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/soaker"
)

// build builds the program under test and returns its path.
func build(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("runs real processes for several seconds")
	}
	program := filepath.Join(t.TempDir(), "heathermux-platform")
	out, err := exec.Command("go", "build", "-o", program, "../heathermux-platform").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// run runs a seed and fails the test if a guarantee is violated.
func run(t *testing.T, opts soaker.Options) {
	t.Helper()
	is := is.New(t)
	opts.Dir, opts.Logger = t.TempDir(), slog.New(slog.DiscardHandler)
	report, err := soaker.Run(opts)
	is.NoErr(err)
	is.Equal(report.Violations, nil)
	is.True(report.Completed > 0)
}

// Each case is a seed, named after what it covers. A seed that has failed is added
// here with the cause of the failure, as a regression test.
func TestSeeds(t *testing.T) {
	program := build(t)
	cases := map[string]uint64{
		"short run of mixed faults":                    1,
		"the same, orders carried by other core hosts": 2,
	}
	for name, seed := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, soaker.Options{
				Seed:    seed,
				Length:  6 * time.Second,
				Program: program,
			})
		})
	}
}

// Starts that are on their way to workers that have crashed are executed by their next
// incarnations, while the tasks run elsewhere (TWICE).
func TestTaskRunsOnceWhenWorkersRestartTogether(t *testing.T) {
	run(t, soaker.Options{
		Seed:    1601,
		Length:  8 * time.Second,
		Only:    "crash workers, silent",
		Program: build(t),
	})
}
