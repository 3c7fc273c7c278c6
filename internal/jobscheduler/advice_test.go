package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A step of an advised queue starts only on workers that the adviser allows,
// with their tickets, and never with one that has ended.
func TestAdvisedStepStartsWithTicket(t *testing.T) {
	w := newWorld(t)
	w.apply(&jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: 2,
				Queues: []*jobwire.Queue{
					{
						Name:     "q",
						Pool:     "p",
						Attempts: 2,
						Advised:  true,
					},
				},
			},
		},
	})
	w.addWorker("a")
	w.addWorker("b")
	w.submit("job", tasks(10, 1000))
	w.lead()
	w.open()
	w.is.Equal(describe(w.accept()), "")
	calls := takeAll[jobscheduler.Advise](w)
	w.is.Equal(len(calls), 1)
	w.is.Equal(len(calls[0].Workers), 2)
	w.report(func() {
		w.sched.Advised(calls[0], w.now, map[string]string{
			"b": "ticket",
		}, time.Second, true)
	})
	w.pass(time.Millisecond)
	starts := w.accept()
	w.is.Equal(len(starts), 8)
	for _, s := range starts {
		w.is.Equal(s.Target.ID, "b")
		w.is.Equal(s.Ticket, "ticket")
	}
	w.pass(2 * time.Second)
	w.is.Equal(describe(w.accept()), "")
	w.is.Equal(len(takeAll[jobscheduler.Advise](w)), 1)
}
