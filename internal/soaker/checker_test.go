package soaker_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/heathermux/heathermux/internal/soaker"
)

// A checker that doesn't count a run on a worker that has restarted, or doesn't end the
// runs of one that has crashed, misses two runs of one task or sees them where none are.
func TestCheckerSeesSecondRun(t *testing.T) {
	const task = "0000000000000001.0.0.0"
	cases := map[string]struct {
		// play tells the ledgers of two incarnations of one worker, and of another one.
		play     func(first, next, other *soaker.Ledger)
		violated bool
	}{
		"run on the next incarnation beside one on another worker": {
			play: func(first, next, other *soaker.Ledger) {
				first.Started(task, 1)
				first.Ended(task, 1, emulator.JobWorkerKilled)
				next.Started(task, 1)
				other.Started(task, 2)
			},
			violated: true,
		},
		"run on the next incarnation of its worker": {
			play: func(first, next, _ *soaker.Ledger) {
				first.Started(task, 1)
				first.Ended(task, 1, emulator.JobWorkerKilled)
				next.Started(task, 2)
			},
		},
		"run after one that has ended unseen": {
			play: func(first, _, other *soaker.Ledger) {
				first.Started(task, 1)
				first.Ended(task, 1, emulator.JobDone)
				other.Started(task, 2)
			},
		},
		"run after an acknowledged completion": {
			play: func(first, _, other *soaker.Ledger) {
				first.Started(task, 1)
				first.Ended(task, 1, emulator.JobDone)
				first.Noted(task, 1, emulator.JobDone)
				other.Started(task, 2)
			},
			violated: true,
		},
		"completion acknowledged after the next run has started": {
			play: func(first, _, other *soaker.Ledger) {
				first.Started(task, 1)
				first.Ended(task, 1, emulator.JobDone)
				other.Started(task, 2)
				first.Noted(task, 1, emulator.JobDone)
			},
			violated: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			checker := soaker.NewRunChecker()
			c.play(soaker.NewLedger(checker, "w, start 1"), soaker.NewLedger(checker, "w, start 2"), soaker.NewLedger(checker, "v, start 1"))
			is.Equal(len(soaker.Violations(checker)) > 0, c.violated)
		})
	}
}
