package jobscheduler_test

import (
	"math"
	"testing"
	"time"
)

// A queue whose target lies beyond all times has jobs that are always in time. The sum overflowed,
// so that they counted as too late from the start and let late jobs go first.
func TestTargetBeyondAllTimes(t *testing.T) {
	cases := map[string]struct {
		stretch float64
		target  time.Duration
	}{
		"large":   {stretch: 1000, target: time.Hour},
		"stretch": {stretch: 1e300, target: time.Second},
		"target":  {stretch: 2, target: math.MaxInt64},
		"both":    {stretch: math.MaxFloat64, target: math.MaxInt64},
		"a third": {stretch: 1, target: math.MaxInt64 / 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			late, patient := queueWithTarget("late", 0, 0), queueWithTarget("patient", c.stretch, c.target)
			h.replaceQueues(2, late, patient)
			h.submitTo(late, "late", 50*time.Millisecond)
			h.submitTo(patient, "patient", 100*time.Millisecond)
			h.startTerm()
			h.reconcileWorkers()
			h.is.Equal(formatStarts(h.acceptStarts()), "patient.0.0@a ")
		})
	}
}
