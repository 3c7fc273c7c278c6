// Package speculator decides which running tasks get a copy on another worker. The first end
// counts, and the other run is stopped. Only steps that allow it have copies.
//
// Load: single workers that are slow, stand still, or answer their health check and work on
// nothing. The jobs with a task there end late, while other workers have room.
package speculator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowFactor is how many times its expected run time a task takes before it counts as
	// slow. Run times within a step differ by less than half of themselves.
	slowFactor = 2
	// minExcess is the least time beyond the expected run time: ends of short tasks are known
	// some polls late.
	minExcess = 300 * time.Millisecond
	// maxCopyShare bounds the copies, as a part of the runs of a pool, and with them the work
	// that is done twice.
	maxCopyShare = 0.05
)

// Run is a running task of a step that allows copies.
type Run struct {
	// Expected is its expected run time, Elapsed how long it has run.
	Expected, Elapsed time.Duration
	// Slack is how long the job can still wait, if the task ended now.
	Slack time.Duration
}

// slow reports whether the task takes far longer than its like.
func (r Run) slow() bool {
	return r.Elapsed > slowFactor*r.Expected && r.Elapsed > r.Expected+minExcess
}

// useful reports whether a copy that takes the expected time can still end in time.
func (r Run) useful() bool { return r.Slack > r.Expected }

// Choose returns the indexes of the runs that get a copy, those with the least slack first.
// Running is the number of runs in the pool, and copies how many of them are copies.
func Choose(runs []Run, running, copies int) []int {
	var chosen []int
	for i, r := range runs {
		if r.slow() && r.useful() {
			chosen = append(chosen, i)
		}
	}
	slices.SortFunc(chosen, func(a, b int) int { return cmp.Or(cmp.Compare(runs[a].Slack, runs[b].Slack), cmp.Compare(a, b)) })
	budget := max(0, int(maxCopyShare*float64(running))-copies)
	return chosen[:min(budget, len(chosen))]
}
