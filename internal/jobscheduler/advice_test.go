package jobscheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// advise configures a queue whose placement adviser takes the given times for a call.
func (h *harness) advise(decision, perWorker time.Duration) {
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

						AdviceNanos:          int64(decision),
						AdvicePerWorkerNanos: int64(perWorker),
					},
				},
			},
		},
	})
}

// serialAdviser handles one call at a time, in turn, and allows three quarters of the workers. It
// decides for callers that have given up, too.
type serialAdviser struct {
	decision, perWorker, validity time.Duration

	calls []adviserCall
	// idleAt is when the last call will have been handled.
	idleAt time.Time
}

type adviserCall struct {
	jobscheduler.Advise

	sentAt     time.Time
	answeredAt time.Time
}

// serve passes the calls of a harness to the adviser and its answers, or timeouts, back.
func (a *serialAdviser) serve(h *harness) {
	for _, call := range takeAll[jobscheduler.Advise](h) {
		if a.idleAt.Before(h.now) {
			a.idleAt = h.now
		}
		a.idleAt = a.idleAt.Add(a.decision + time.Duration(len(call.Workers))*a.perWorker)
		a.calls = append(a.calls, adviserCall{
			Advise:     call,
			sentAt:     h.now,
			answeredAt: a.idleAt,
		})
	}
	a.calls = slices.DeleteFunc(a.calls, func(c adviserCall) bool {
		gaveUpAt := c.sentAt.Add(c.Timeout)
		switch {
		case h.now.Before(c.answeredAt) && h.now.Before(gaveUpAt):
			return false
		case gaveUpAt.Before(c.answeredAt):
			h.withScheduler(func() { h.sched.Advised(c.Advise, nil, 0, false) })
			return true
		}
		tickets := make(map[string]string)
		for _, id := range c.Workers {
			if id[len(id)-1]%4 != 0 {
				tickets[id] = "ticket"
			}
		}
		h.withScheduler(func() { h.sched.Advised(c.Advise, tickets, a.validity, true) })
		return true
	})
}

// Calls for advice that waited for their turn at the adviser timed out there, each after the time of
// a single call, and were sent again at the end of its line: of ten jobs that came at once two ran.
// With tickets that are valid for less than the whole line they were of no use either.
func TestJobsThatNeedAdviceAtOnceAllStart(t *testing.T) {
	tests := map[string]struct {
		jobs     int
		validity time.Duration
		// within is the time of one call for each job, and a tenth of that.
		within time.Duration
	}{
		"ten jobs":             {jobs: 10, validity: 5 * time.Second, within: 11 * time.Second},
		"forty jobs":           {jobs: 40, validity: 5 * time.Second, within: 44 * time.Second},
		"short-lived tickets":  {jobs: 10, validity: 1200 * time.Millisecond, within: 11 * time.Second},
		"more jobs than lines": {jobs: 70, validity: 5 * time.Second, within: 77 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			adviser := &serialAdviser{
				decision:  400 * time.Millisecond,
				perWorker: 50 * time.Millisecond,
				validity:  test.validity,
			}
			h.advise(adviser.decision, adviser.perWorker)
			for n := range 12 {
				h.addSizedWorker(fmt.Sprintf("w%02d", n), "dc", 64_000)
			}
			h.startTerm()
			h.reconcileWorkers()
			for n := range test.jobs {
				h.submit(fmt.Sprintf("job%02d", n), tasks(1, 500))
			}
			began, started := h.now, 0
			for started < test.jobs && h.now.Sub(began) < 2*test.within {
				h.advance(10 * time.Millisecond)
				adviser.serve(h)
				started += len(h.acceptStarts())
			}
			t.Logf("%d of %d jobs started in %v", started, test.jobs, h.now.Sub(began))
			h.is.Equal(started, test.jobs)
			h.is.True(h.now.Sub(began) <= test.within)
		})
	}
}

// A step with one task asked about thirty workers, so that the others waited for as long.
func TestStepAsksForAsManyWorkersAsItNeeds(t *testing.T) {
	tests := map[string]struct {
		tasks int32
		most  int
	}{
		"one task":                    {tasks: 1, most: 4},
		"tasks that fit on one":       {tasks: 8, most: 4},
		"tasks for two workers":       {tasks: 16, most: 6},
		"more tasks than all can run": {tasks: 1000, most: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.advise(time.Second, time.Second)
			for n := range 100 {
				h.addWorker(fmt.Sprintf("w%02d", n))
			}
			h.startTerm()
			for range 10 {
				h.advance(100 * time.Millisecond)
				h.answerPolls(nil)
			}
			h.submit("job", tasks(test.tasks, 1000))
			h.advance(time.Millisecond)
			calls := takeAll[jobscheduler.Advise](h)
			h.is.Equal(len(calls), 1)
			h.is.Equal(len(calls[0].Workers), test.most)
		})
	}
}

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
		h.sched.Advised(calls[0], map[string]string{
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
