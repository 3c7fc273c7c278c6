package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// claimAddress registers another worker, born now, at the address of worker "a".
func (h *harness) claimAddress(id string) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:         id,
				Born:       h.now.UnixMilli(),
				Pool:       "p",
				Address:    "a:1",
				DataCentre: "dc",
				Capacity: &wire.Resources{
					MilliCores:  8000,
					MemoryBytes: 1 << 30,
				},
			},
		},
	})
}

// A heartbeat names the address of a worker that is up. That must not end the runs there: only
// an answer from the address tells which worker has it. The one that does not is removed.
func TestClaimToAddressEndsNoRuns(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := h.acceptStarts()[0]
	h.is.Equal(start.Target.ID, "a")
	h.claimAddress("x")
	h.expectNoOrders(2*lease, map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
		},
		"x": {
			Gone: true,
		},
	})
	removed := takeAll[jobscheduler.RemoveWorker](h)
	h.is.Equal(len(removed), 1)
	h.is.Equal(removed[0].ID, "x")
}

// A worker has ended and another one answers at its address. That is proof enough: the tasks
// must not wait until the lease of the former has ended.
func TestAnswerFromAddressEndsFormerWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := h.acceptStarts()[0]
	h.advance(time.Second)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
		},
	})
	h.claimAddress("x")
	begun := h.now
	started := ""
	for started == "" && h.now.Sub(begun) < lease {
		h.advance(20 * time.Millisecond)
		h.failPolls("a")
		h.recordCrashes()
		h.recordPlacements()
		started = formatStarts(takeAll[jobscheduler.Start](h))
	}
	h.is.Equal(started, "job.0.0@x ")
	h.is.True(h.now.Sub(begun) < time.Second)
}
