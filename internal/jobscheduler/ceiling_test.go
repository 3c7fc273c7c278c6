package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// An account must not have more running than its ceiling, also while one of its
// runs is being stopped and still uses what it took.
func TestCeilingHolds(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.addWorker("b")
	for _, id := range []string{"one", "two"} {
		w.apply(&jobwire.Command{
			Change: &jobwire.Command_Submit{
				Submit: &jobwire.Job{
					Id:                  id,
					Queue:               "q",
					Account:             "small",
					Steps:               []*jobwire.Step{tasks(4, 1000)},
					AcceptedAtUnixNanos: w.now.UnixNano(),
				},
			},
		})
	}
	w.lead()
	w.open()
	starts := w.accept()
	w.is.Equal(len(starts), 3)
	w.apply(&jobwire.Command{
		Change: &jobwire.Command_Cancel{
			Cancel: &jobwire.CancelJob{
				Id: starts[0].Task.GetJob(),
			},
		},
	})
	w.pass(time.Millisecond)
	w.is.Equal(describe(w.accept()), "")
}

// A step starts only when all tasks of the steps before it are done.
func TestDependentStepWaits(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	second := tasks(1, 1000)
	second.After = []int32{0}
	w.submit("job", tasks(2, 1000), second)
	w.lead()
	w.open()
	starts := w.accept()
	w.is.Equal(len(starts), 2)
	finish := func(i int) {
		w.apply(&jobwire.Command{
			Change: &jobwire.Command_Ends{
				Ends: &jobwire.Ends{
					Ends: []*jobwire.End{ended(1, starts[i].Task, starts[i].Run, jobwire.Ending_ENDING_DONE).End},
				},
			},
		})
		w.pass(time.Millisecond)
	}
	finish(0)
	w.is.Equal(describe(w.accept()), "")
	finish(1)
	w.is.Equal(describe(w.accept()), "job.1.0@a ")
}

// The members of a gang start together under one run number, or not at all.
func TestGangStartsWhole(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	gang := tasks(10, 1000)
	gang.Gang = true
	w.submit("job", gang)
	w.lead()
	w.open()
	w.is.Equal(describe(w.accept()), "")
	w.addWorker("b")
	w.pass(0)
	w.answerLooks(nil)
	w.pass(time.Millisecond)
	starts := w.accept()
	w.is.Equal(len(starts), 10)
	for _, s := range starts {
		w.is.Equal(s.Run, starts[0].Run)
	}
}

// A large step that finds no place must not keep a smaller one behind it from
// starting.
func TestSmallerStepStartsBehindOneThatDoesNotFit(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.submit("large", tasks(1, 9000))
	w.submit("small", tasks(1, 8000))
	w.lead()
	w.open()
	w.is.Equal(describe(w.accept()), "small.0.0@a ")
}
