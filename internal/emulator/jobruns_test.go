package emulator_test

import (
	"context"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/matryer/is"
)

// countingLedger counts the runs that have started and not ended.
type countingLedger struct{ active int }

func (l *countingLedger) Started(string, uint64) { l.active++ }

func (l *countingLedger) Ended(string, uint64, emulator.JobEnding) { l.active-- }

func (l *countingLedger) Noted(string, uint64, emulator.JobEnding) {}

// The handler of an order may go on after its worker was killed. A run that begins
// then would never end in the ledger, and each later run of its task, on any worker,
// would count as a second one (soak, seed 636).
func TestKilledWorkerStartsNoRun(t *testing.T) {
	is := is.New(t)
	ledger := &countingLedger{}
	runs := emulator.NewJobRuns(func(string) time.Duration { return time.Second }, ledger)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	runs.Run(ctx)
	deadline := runs.Clock() + time.Minute.Milliseconds()
	is.Equal(runs.Start(1, deadline, "task", 1), emulator.JobLate)
	is.Equal(ledger.active, 0)
}
