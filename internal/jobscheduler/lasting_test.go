package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// giveUp records three crashes of workers that ran only the given task.
func (h *harness) giveUp(t *jobwire.Task) {
	for run := uint64(1); run <= 3; run++ {
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_Crashes{
				Crashes: &jobwire.TaskCrashes{
					Crashes: []*jobwire.TaskCrash{
						{
							Task:   t,
							Run:    run,
							Alone:  true,
							Prompt: true,
							Begun:  true,
						},
					},
				},
			},
		})
	}
}

// play plays passes, in which the workers report what was started on them, and returns
// the starts and stops.
func (h *harness) play(d time.Duration, starts []jobscheduler.Start) (started []jobscheduler.Start, stopped []jobscheduler.Stop) {
	for range int(d / (100 * time.Millisecond)) {
		h.advance(100 * time.Millisecond)
		h.recordPlacements()
		started = append(started, h.acceptStarts()...)
		stopped = append(stopped, takeAll[jobscheduler.Stop](h)...)
		h.answerPolls(runningOf(append(starts[:len(starts):len(starts)], started...)))
	}
	return started, stopped
}

// Long-running tasks serve users. When one of them was given up, all others of its job
// were stopped at once, beyond what the step may miss.
func TestOtherLongRunningTasksOutliveOneThatIsGivenUp(t *testing.T) {
	tests := map[string]struct {
		gang bool
		// newLeader begins another term after the task was given up.
		newLeader   bool
		wantStopped int
	}{
		"tasks apart":                 {},
		"tasks apart, another leader": {newLeader: true},
		"a gang":                      {gang: true, wantStopped: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.addWorker("b")
			step := tasks(3, 1000)
			step.Lasting, step.MayMiss, step.Gang = true, 1, test.gang
			h.submit("job", step)
			h.startTerm()
			h.reconcileWorkers()
			starts := h.acceptStarts()
			h.is.Equal(len(starts), 3)
			h.play(2*time.Second, starts)

			others := starts[1:]
			h.giveUp(starts[0].Task)
			if test.newLeader {
				h.startTerm()
			}
			started, stopped := h.play(8*time.Second, others)
			h.is.Equal(len(started), 0) // the task is not started again
			numbers := make(map[int32]bool)
			for _, stop := range stopped {
				numbers[stop.Task.GetIndex()] = true
			}
			delete(numbers, starts[0].Task.GetIndex())
			h.is.Equal(len(numbers), test.wantStopped)
			if test.gang {
				return
			}
			h.apply(&jobwire.Command{
				Change: &jobwire.Command_Cancel{
					Cancel: &jobwire.CancelJob{
						Id: "job",
					},
				},
			})
			_, stopped = h.play(100*time.Millisecond, others)
			h.is.Equal(len(stopped), 2)
		})
	}
}

// The answers to a start may be lost while the task is at work. After three copies of the
// order it was stopped, whatever else of its step was down at that time.
func TestUnansweredStartIsNotStoppedWhileOthersAreAway(t *testing.T) {
	tests := map[string]struct {
		begun       bool
		wantStopped bool
	}{
		"the worker has begun the run": {begun: true},
		"the worker does not list it":  {wantStopped: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			step := tasks(2, 1000)
			step.Lasting, step.MostPerWorker, step.MayMiss = true, 1, 1
			h.submit("job", step)
			h.startTerm()
			h.reconcileWorkers()
			var start jobscheduler.Start
			for range 3 {
				start = takeAll[jobscheduler.Start](h)[0]
				h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartUnknown, 0) })
				h.advance(500 * time.Millisecond)
			}
			h.is.Equal(len(takeAll[jobscheduler.Stop](h)), 0) // the other task has no worker
			var begun []jobscheduler.Start
			if test.begun {
				begun = []jobscheduler.Start{start}
			}
			_, stopped := h.play(3*time.Second, begun)
			h.is.Equal(len(stopped) > 0, test.wantStopped)
		})
	}
}
