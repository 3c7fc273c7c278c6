package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A look that is not answered may still be carried out, so that one which
// extends the lease of a silent worker would keep its tasks from ever being
// taken back.
func TestTasksOfSilentWorkerAreTakenBack(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.submit("job", tasks(1, 1000))
	w.lead()
	w.open()
	w.is.Equal(len(w.accept()), 1)
	w.addWorker("b")
	for range 60 {
		w.pass(100 * time.Millisecond)
		for _, look := range takeAll[jobscheduler.Look](w) {
			answer := jobscheduler.LookAnswer{
				Failed: look.Target.ID == "a",
				Clock:  w.clock(),
				SentAt: w.now,
			}
			w.report(func() { w.sched.LookAnswered(look, answer) })
		}
	}
	w.is.Equal(describe(takeAll[jobscheduler.Start](w)), "job.0.0@b ")
}

// Lasting tasks leave a worker that drains while it still serves, so that they
// are away for as short a time as possible.
func TestLastingTasksLeaveDrainingWorker(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	step := tasks(1, 1000)
	step.Lasting = true
	w.submit("job", step)
	w.lead()
	w.open()
	w.is.Equal(len(w.accept()), 1)
	w.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:       "a",
				Born:     1,
				Pool:     "p",
				Address:  "a:1",
				Draining: true,
			},
		},
	})
	w.pass(time.Millisecond)
	w.is.Equal(len(takeAll[jobscheduler.Stop](w)), 1)
}
