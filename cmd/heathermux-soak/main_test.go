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

// Each case is a seed, named after what it covers. A seed that has failed is added
// here with the cause of the failure, as a regression test.
func TestSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes for several seconds")
	}
	program := filepath.Join(t.TempDir(), "heathermux-platform")
	out, err := exec.Command("go", "build", "-o", program, "../heathermux-platform").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	cases := map[string]uint64{
		"short run of mixed faults":                    1,
		"the same, orders carried by other core hosts": 2,
	}
	for name, seed := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report, err := soaker.Run(soaker.Options{
				Seed:    seed,
				Length:  6 * time.Second,
				Program: program,
				Dir:     t.TempDir(),
				Logger:  slog.New(slog.DiscardHandler),
			})
			is.NoErr(err)
			is.Equal(report.Violations, nil)
			is.True(report.Completed > 0)
		})
	}
}
