package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// The running tasks of an account must not exceed its ceiling, also while one of
// its runs is being stopped and still holds its resources.
func TestCeilingHolds(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	for _, id := range []string{"one", "two"} {
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_Submit{
				Submit: &jobwire.Job{
					Id:                  id,
					Queue:               "q",
					Account:             "small",
					Steps:               []*jobwire.Step{tasks(4, 1000)},
					AcceptedAtUnixNanos: h.now.UnixNano(),
				},
			},
		})
	}
	h.startTerm()
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 3)
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Cancel{
			Cancel: &jobwire.CancelJob{
				Id: starts[0].Task.GetJob(),
			},
		},
	})
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(h.acceptStarts()), "")
}

// A step starts only when all tasks of the steps before it are done.
func TestDependentStepWaits(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	second := tasks(1, 1000)
	second.After = []int32{0}
	h.submit("job", tasks(2, 1000), second)
	h.startTerm()
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 2)
	finishTask := func(i int) {
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_Ends{
				Ends: &jobwire.Ends{
					Ends: []*jobwire.End{endedTask(1, starts[i].Task, starts[i].Run, jobwire.Ending_ENDING_DONE).End},
				},
			},
		})
		h.advance(time.Millisecond)
	}
	finishTask(0)
	h.is.Equal(formatStarts(h.acceptStarts()), "")
	finishTask(1)
	h.is.Equal(formatStarts(h.acceptStarts()), "job.1.0@a ")
}

// The members of a gang start together with one run number, or not at all.
func TestGangStartsWhole(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	gang := tasks(10, 1000)
	gang.Gang = true
	h.submit("job", gang)
	h.startTerm()
	h.reconcileWorkers()
	h.is.Equal(formatStarts(h.acceptStarts()), "")
	h.addWorker("b")
	h.advance(0)
	h.answerPolls(nil)
	h.advance(time.Millisecond)
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 10)
	for _, s := range starts {
		h.is.Equal(s.Run, starts[0].Run)
	}
}

// A large step that finds no place must not keep a smaller step of lower rank
// from starting.
func TestSmallerStepStartsBehindOneThatDoesNotFit(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("large", tasks(1, 9000))
	h.submit("small", tasks(1, 8000))
	h.startTerm()
	h.reconcileWorkers()
	h.is.Equal(formatStarts(h.acceptStarts()), "small.0.0@a ")
}
