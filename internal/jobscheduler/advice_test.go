package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A step of an advised queue starts only on workers that the adviser allows, with
// their tickets, and never with an expired ticket.
func TestAdvisedStepStartsWithTicket(t *testing.T) {
	h := newHarness(t)
	h.apply(&jobwire.Command{
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
	h.addWorker("a")
	h.addWorker("b")
	h.submit("job", tasks(10, 1000))
	h.startTerm()
	h.reconcileWorkers()
	h.is.Equal(formatStarts(h.acceptStarts()), "")
	calls := takeAll[jobscheduler.Advise](h)
	h.is.Equal(len(calls), 1)
	h.is.Equal(len(calls[0].Workers), 2)
	h.withScheduler(func() {
		h.sched.Advised(calls[0], h.now, map[string]string{
			"b": "ticket",
		}, time.Second, true)
	})
	h.advance(time.Millisecond)
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 8)
	for _, s := range starts {
		h.is.Equal(s.Target.ID, "b")
		h.is.Equal(s.Ticket, "ticket")
	}
	h.advance(2 * time.Second)
	h.is.Equal(formatStarts(h.acceptStarts()), "")
	h.is.Equal(len(takeAll[jobscheduler.Advise](h)), 1)
}
