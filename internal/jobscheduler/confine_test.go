package jobscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// silenceWorkers answers the polls of all workers but those whose id begins with
// the prefix.
func (h *harness) silenceWorkers(prefix byte) {
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		answer := jobscheduler.PollAnswer{
			Failed: poll.Target.ID[0] == prefix,
			Clock:  h.clock(),
			SentAt: h.now,
		}
		h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
	}
}

// startedJobs returns the pending starts by job.
func (h *harness) startedJobs() map[string]int {
	started := make(map[string]int)
	for _, s := range h.acceptStarts() {
		started[s.Task.GetJob()]++
	}
	return started
}

// A leader is lost within a peak together with a data centre. Its successor must
// start the waiting jobs that can't be running there at once, and the others only
// once the leases there have ended.
func TestPeakGoesOnWhenLeaderAndDataCentreAreLost(t *testing.T) {
	h := newHarness(t)
	for i := range 4 {
		h.addWorkerIn(fmt.Sprint("a", i), "dc-a")
		h.addWorkerIn(fmt.Sprint("b", i), "dc-b")
	}
	confined := map[string][]string{
		"in-a":       {"dc-a"},
		"in-b":       {"dc-b"},
		"in-both":    {"dc-a", "dc-b"},
		"everywhere": nil,
	}
	for id, dataCentres := range confined {
		h.submit(id, tasks(2, 1000))
		h.confine(id, dataCentres...)
	}
	h.startTerm()
	h.advance(0)
	h.silenceWorkers('a')
	h.advance(time.Millisecond)
	h.is.Equal(h.startedJobs(), map[string]int{"in-b": 2})
	for range 50 {
		h.advance(100 * time.Millisecond)
		h.silenceWorkers('a')
	}
	late := h.startedJobs()
	h.is.Equal(late["everywhere"], 2)
	h.is.Equal(late["in-both"], 2)
}

// An account with a ceiling must not lose its turn because workers are silent on
// which it has nothing.
func TestCeilingCountsOnlyWhatMayRunOnSilentWorkers(t *testing.T) {
	h := newHarness(t)
	h.addWorkerIn("a0", "dc-a")
	h.addWorkerIn("b0", "dc-b")
	for _, id := range []string{"one", "two", "three"} {
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_Submit{
				Submit: &jobwire.Job{
					Id:                  id,
					Queue:               "q",
					Account:             "small",
					Steps:               []*jobwire.Step{tasks(2, 1000)},
					AcceptedAtUnixNanos: h.now.UnixNano(),
				},
			},
		})
	}
	h.confine("one", "dc-a")
	h.confine("two", "dc-b")
	h.confine("three", "dc-b")
	h.startTerm()
	h.advance(0)
	h.silenceWorkers('a')
	h.advance(time.Millisecond)
	// The ceiling is 3 cores; job one may hold 2 of them on the silent worker.
	starts := takeAll[jobscheduler.Start](h)
	h.is.Equal(len(starts), 1)
}

// Jobs of a peak are spread over the data centres, and one whose data centre is full
// moves to another, in the log, before its first task starts there.
func TestConfinedJobFindsPlaceElsewhere(t *testing.T) {
	h := newHarness(t)
	for i := range 8 {
		h.addWorkerIn(fmt.Sprint("a", i), "dc-a")
		h.addWorkerIn(fmt.Sprint("b", i), "dc-b")
	}
	h.orderSenders = 4
	h.startTerm()
	h.reconcileWorkers()
	q := &jobwire.Queue{
		Name: "q",
		Pool: "p",
	}
	homes := make(map[string]int)
	for i := range 20 {
		id := fmt.Sprint("job", i)
		spec := &jobwire.Job{
			Id:                  id,
			Queue:               "q",
			Steps:               []*jobwire.Step{tasks(4, 1000)},
			AcceptedAtUnixNanos: h.now.UnixNano(),
		}
		h.withScheduler(func() { spec.DataCentres = h.sched.Home(q, spec) })
		h.is.Equal(len(spec.GetDataCentres()), 1)
		homes[spec.GetDataCentres()[0]]++
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_Submit{
				Submit: spec,
			},
		})
	}
	h.is.Equal(homes, map[string]int{"dc-a": 10, "dc-b": 10})
	h.advance(time.Millisecond)
	h.is.Equal(len(h.acceptStarts()), 80)

	// dc-a has 24 cores left, dc-b as many.
	for i := range 7 {
		id := fmt.Sprint("more", i)
		h.submit(id, tasks(4, 1000))
		h.confine(id, "dc-a")
	}
	h.advance(time.Millisecond)
	h.is.Equal(len(h.acceptStarts()), 24)
	moves := takeAll[jobscheduler.ConfineJob](h)
	h.is.Equal(len(moves), 1)
	h.is.Equal(moves[0].DataCentres, []string{"dc-b"})
	h.advance(time.Millisecond)
	h.is.Equal(len(takeAll[jobscheduler.Start](h)), 0)
	h.confine(moves[0].Job, moves[0].DataCentres...)
	h.withScheduler(func() { h.sched.JobConfined(moves[0]) })
	h.advance(time.Millisecond)
	h.is.Equal(h.startedJobs(), map[string]int{moves[0].Job: 4})
}

// Jobs that need certain workers, or much of a data centre, run everywhere.
func TestJobsThatAreNotConfined(t *testing.T) {
	steps := map[string]*jobwire.Step{
		"lasting": {
			Tasks:   1,
			Lasting: true,
		},
		"label": {
			Tasks: 1,
			Label: "x",
		},
		"rack": {
			Tasks:    1,
			DataRack: "r1",
		},
		"gang": {
			Tasks: 2,
			Gang:  true,
		},
		"wide": {
			Tasks: 17,
			Each: &wire.Resources{
				MilliCores: 1000,
			},
		},
		"apart": {
			Tasks:         5,
			MostPerWorker: 1,
		},
	}
	h := newHarness(t)
	for i := range 8 {
		h.addWorkerIn(fmt.Sprint("a", i), "dc-a")
	}
	h.startTerm()
	h.reconcileWorkers()
	for name, step := range steps {
		t.Run(name, func(*testing.T) {
			h.withScheduler(func() {
				h.is.Equal(len(h.sched.Home(&jobwire.Queue{
					Pool: "p",
				}, &jobwire.Job{
					Steps: []*jobwire.Step{step},
				})), 0)
			})
		})
	}
}
