package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

func lastingTasks(n int32, milliCores int64) *jobwire.Step {
	step := tasks(n, milliCores)
	step.Lasting = true
	return step
}

// A start that never left the leader's host can't be executed. Its task waited for 16 s, as if
// the silent worker might still begin it.
func TestTaskOfStartThatWasNotSentStartsElsewhereAtOnce(t *testing.T) {
	tests := map[string]struct {
		step *jobwire.Step
		// before are the answers to the earlier copies of the start.
		before []jobscheduler.StartAnswer
		// longest is how long after the first copy the task starts elsewhere at the latest.
		longest time.Duration
		// shortest is how long it must not.
		shortest time.Duration
	}{
		"a batch task": {
			step:    tasks(1, 1000),
			longest: 100 * time.Millisecond,
		},
		"a long-running task": {
			step:    lastingTasks(1, 1000),
			longest: 100 * time.Millisecond,
		},
		"after a copy that may have arrived": {
			step:     tasks(1, 1000),
			before:   []jobscheduler.StartAnswer{jobscheduler.StartUnknown},
			longest:  15200 * time.Millisecond,
			shortest: 14900 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("job", test.step)
			h.startTerm()
			h.reconcileWorkers()
			start := takeAll[jobscheduler.Start](h)[0]
			sentAt := h.now
			h.addWorker("b")
			h.advance(50 * time.Millisecond)
			h.failPolls("a")
			for _, answer := range append(test.before, jobscheduler.StartNotSent) {
				h.withScheduler(func() { h.sched.StartAnswered(start, answer, 0) })
			}
			if len(test.before) > 0 {
				h.advance(0)
				takeAll[jobscheduler.Start](h) // the copies
			}
			for h.now.Sub(sentAt) <= test.shortest {
				h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
				h.advance(50 * time.Millisecond)
				h.failPolls("a")
			}
			for h.now.Sub(sentAt) < test.longest {
				h.advance(10 * time.Millisecond)
				h.failPolls("a")
			}
			h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
		})
	}
}

// An order on a connection that carried its last answer long ago may be lost unnoticed, and its
// task waits as long as if it might still be executed.
func TestStartAsksForNewConnection(t *testing.T) {
	tests := map[string]struct {
		lasting bool
		// silent is how long ago the worker has answered.
		silent time.Duration
		want   bool
	}{
		"batch task, worker has just answered":        {},
		"batch task, worker has not answered for 2 s": {silent: 2 * time.Second, want: true},
		"long-running task":                           {lasting: true, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.startTerm()
			h.reconcileWorkers()
			h.advance(test.silent)
			step := tasks(1, 1000)
			step.Lasting = test.lasting
			h.submit("job", step)
			h.advance(time.Millisecond)
			starts := takeAll[jobscheduler.Start](h)
			h.is.Equal(len(starts), 1)
			h.is.Equal(starts[0].NewConnection, test.want)
			h.withScheduler(func() { h.sched.StartAnswered(starts[0], jobscheduler.StartUnknown, 0) })
			h.advance(time.Millisecond)
			copies := takeAll[jobscheduler.Start](h)
			h.is.Equal(len(copies), 1)
			h.is.True(copies[0].NewConnection) // the first copy got no answer on its connection
		})
	}
}
