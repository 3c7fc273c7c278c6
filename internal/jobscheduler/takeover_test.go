package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A new leader learns of an end that no former leader has recorded. Starting
// the task again before the end is recorded would run it twice.
func TestEndFoundByNewLeaderIsNotRunAgain(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.submit("job", tasks(1, 1000))
	w.lead()
	w.open()
	start := w.accept()[0]

	w.lead()
	w.pass(0)
	w.answerLooks(map[string]jobscheduler.LookAnswer{
		"a": {
			Ended: []jobscheduler.EndedTask{ended(1, task("job", 0, 0), start.Run, jobwire.Ending_ENDING_DONE)},
		},
	})
	w.pass(time.Millisecond)
	w.is.Equal(describe(takeAll[jobscheduler.Start](w)), "")
	w.record()
	w.pass(time.Millisecond)
	w.is.Equal(describe(takeAll[jobscheduler.Start](w)), "")
}

// A new leader takes over what still runs; only what no worker runs starts.
func TestNewLeaderTakesOverRuns(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.addWorker("b")
	w.submit("job", tasks(2, 1000))
	w.lead()
	w.open()
	starts := w.accept()
	w.is.Equal(len(starts), 2)

	w.lead()
	w.pass(0)
	w.answerLooks(map[string]jobscheduler.LookAnswer{
		starts[0].Target.ID: {
			Running: []jobscheduler.RunningTask{runningTask(starts[0].Task, starts[0].Run)},
		},
	})
	w.pass(time.Millisecond)
	again := takeAll[jobscheduler.Start](w)
	w.is.Equal(len(again), 1)
	w.is.Equal(again[0].Task.GetIndex(), starts[1].Task.GetIndex())
	w.is.True(again[0].Run > starts[1].Run)
}

// While a worker can't be asked, a former leader's run on it may go on until
// its lease has ended, so nothing starts before that.
func TestNewLeaderWaitsForLeaseOfSilentWorker(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.addWorker("b")
	w.submit("job", tasks(1, 1000))
	w.lead()
	w.pass(0)
	for _, look := range takeAll[jobscheduler.Look](w) {
		answer := jobscheduler.LookAnswer{
			Failed: look.Target.ID == "a",
			Clock:  w.clock(),
		}
		w.report(func() { w.sched.LookAnswered(look, answer) })
	}
	w.pass(lease)
	w.is.Equal(describe(takeAll[jobscheduler.Start](w)), "")
	w.pass(lease / 10)
	w.is.Equal(describe(takeAll[jobscheduler.Start](w)), "job.0.0@b ")
}

// While one worker can't be asked, work that it can't be running goes on: jobs
// of other pools, and jobs that came after the former leader.
func TestSilentWorkerHoldsUpOnlyWhatItMayRun(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.addWorker("b")
	w.submit("old", tasks(1, 1000))
	w.lead()
	w.submit("new", tasks(1, 1000))
	w.pass(0)
	for _, look := range takeAll[jobscheduler.Look](w) {
		answer := jobscheduler.LookAnswer{
			Failed: look.Target.ID == "a",
			Clock:  w.clock(),
		}
		w.report(func() { w.sched.LookAnswered(look, answer) })
	}
	w.pass(time.Millisecond)
	w.is.Equal(describe(takeAll[jobscheduler.Start](w)), "new.0.0@b ")
}

// A worker that has told what it runs and then falls silent runs on under the
// lease of the former leader; its tasks must not start elsewhere before that ends.
func TestAdoptedRunsKeepFormerLease(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.submit("job", tasks(1, 1000))
	w.lead()
	w.open()
	start := w.accept()[0]
	w.addWorker("b")
	w.lead()
	w.pass(0)
	w.answerLooks(map[string]jobscheduler.LookAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
		},
	})
	begun := w.now
	for w.now.Sub(begun) < 2*lease {
		w.pass(100 * time.Millisecond)
		for _, look := range takeAll[jobscheduler.Look](w) {
			// Each look that extends the lease is lost on its way.
			answer := jobscheduler.LookAnswer{
				Failed: look.Target.ID == "a",
				Clock:  w.clock(),
				SentAt: w.now,
			}
			w.report(func() { w.sched.LookAnswered(look, answer) })
		}
		if len(takeAll[jobscheduler.Start](w)) > 0 {
			break
		}
	}
	w.is.True(w.now.Sub(begun) >= lease)
	w.is.True(w.now.Sub(begun) < 2*lease)
}

// The same without any look after the first one: the leader's first order to
// the worker may be the one that is lost.
func TestAdoptedRunsKeepFormerLeaseWithoutClock(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.submit("job", tasks(1, 1000))
	w.lead()
	w.open()
	start := w.accept()[0]
	w.addWorker("b")
	w.lead()
	w.pass(0)
	for _, look := range takeAll[jobscheduler.Look](w) {
		answer := jobscheduler.LookAnswer{
			SentAt: w.now,
		}
		if look.Target.ID == "a" {
			answer.Running = []jobscheduler.RunningTask{runningTask(start.Task, start.Run)}
		}
		w.report(func() { w.sched.LookAnswered(look, answer) })
	}
	w.report(func() {
		w.sched.LookAnswered(jobscheduler.Look{
			Target: start.Target,
		}, jobscheduler.LookAnswer{
			Failed: true,
		})
	})
	w.pass(lease / 2)
	w.is.Equal(describe(takeAll[jobscheduler.Start](w)), "")
}
