package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A new leader learns of an end that no former leader has recorded. If the task
// started again before the end is recorded, it would run twice.
func TestEndFoundByNewLeaderIsNotRunAgain(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := h.acceptStarts()[0]

	h.startTerm()
	h.advance(0)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Ended: []jobscheduler.EndedTask{endedTask(1, task("job", 0, 0), start.Run, jobwire.Ending_ENDING_DONE)},
		},
	})
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	h.recordEnds()
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
}

// A new leader adopts the runs that are still in progress; only tasks that no
// worker runs are started.
func TestNewLeaderTakesOverRuns(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	h.submit("job", tasks(2, 1000))
	h.startTerm()
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 2)

	h.startTerm()
	h.advance(0)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		starts[0].Target.ID: {
			Running: []jobscheduler.RunningTask{runningTask(starts[0].Task, starts[0].Run)},
		},
	})
	h.advance(time.Millisecond)
	again := takeAll[jobscheduler.Start](h)
	h.is.Equal(len(again), 1)
	h.is.Equal(again[0].Task.GetIndex(), starts[1].Task.GetIndex())
	h.is.True(again[0].Run > starts[1].Run)
}

// A worker that does not answer polls may go on with a run of the former leader
// until its lease has ended, so the task must not start elsewhere before that.
func TestNewLeaderWaitsForLeaseOfSilentWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.advance(0)
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		answer := jobscheduler.PollAnswer{
			Failed: poll.Target.ID == "a",
			Clock:  h.clock(),
		}
		h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
	}
	h.advance(lease)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	h.advance(lease / 10)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
}

// While a worker does not answer, jobs that it can't be running must go on: jobs
// of other pools, and jobs that were accepted in the new term.
func TestSilentWorkerHoldsUpOnlyWhatItMayRun(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	h.submit("old", tasks(1, 1000))
	h.startTerm()
	h.submit("new", tasks(1, 1000))
	h.advance(0)
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		answer := jobscheduler.PollAnswer{
			Failed: poll.Target.ID == "a",
			Clock:  h.clock(),
		}
		h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
	}
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "new.0.0@b ")
}

// A worker that has reported its runs and then stops answering keeps them running
// under the lease of the former leader. Its tasks must not start elsewhere before
// that lease has ended.
func TestAdoptedRunsKeepFormerLease(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := h.acceptStarts()[0]
	h.addWorker("b")
	h.startTerm()
	h.advance(0)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
		},
	})
	begun := h.now
	for h.now.Sub(begun) < 2*lease {
		h.advance(100 * time.Millisecond)
		for _, poll := range takeAll[jobscheduler.Poll](h) {
			// Each poll that would extend the lease is lost.
			answer := jobscheduler.PollAnswer{
				Failed: poll.Target.ID == "a",
				Clock:  h.clock(),
				SentAt: h.now,
			}
			h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
		}
		if len(takeAll[jobscheduler.Start](h)) > 0 {
			break
		}
	}
	h.is.True(h.now.Sub(begun) >= lease)
	h.is.True(h.now.Sub(begun) < 2*lease)
}

// The same with no successful poll after the first one: the first order that the
// leader sends to the worker may already be lost.
func TestAdoptedRunsKeepFormerLeaseWithoutClock(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := h.acceptStarts()[0]
	h.addWorker("b")
	h.startTerm()
	h.advance(0)
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		answer := jobscheduler.PollAnswer{
			SentAt: h.now,
		}
		if poll.Target.ID == "a" {
			answer.Running = []jobscheduler.RunningTask{runningTask(start.Task, start.Run)}
		}
		h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
	}
	h.withScheduler(func() {
		h.sched.PollAnswered(jobscheduler.Poll{
			Target: start.Target,
		}, jobscheduler.PollAnswer{
			Failed: true,
		})
	})
	h.advance(lease / 2)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
}
