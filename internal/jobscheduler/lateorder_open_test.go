package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
)

// A new leader learns from the log which starts its predecessor may have sent without an
// answer. A later incarnation of a silent worker may execute such a start, so the task must
// not start elsewhere for as long as that is possible.
func TestUnansweredStartOfFormerLeaderIsNotGivenUp(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := h.recordStarts()[0]
	h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartUnknown, 0) })
	h.advance(time.Millisecond)
	takeAll[jobscheduler.Start](h) // the copy
	h.addWorker("b")
	h.startTerm()
	for range 140 {
		h.advance(100 * time.Millisecond)
		h.failPolls("a")
		h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	}
}

// A worker that has restarted executes a poll to its former incarnation seconds later, and
// holds the longest lease from then on. What it runs must not start elsewhere meanwhile.
func TestLatePollToFormerIncarnationProlongsLease(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.startTerm()
	h.reconcileWorkers()
	h.restartWorker("a")
	h.advance(time.Millisecond)
	h.answerPolls(nil)
	restartedAt := h.now
	h.submit("job", tasks(1, 1000))
	h.advance(time.Millisecond)
	start := h.acceptStarts()[0]
	h.addWorker("b")
	for h.now.Sub(restartedAt) < 9*time.Second {
		h.advance(100 * time.Millisecond)
		h.answerPolls(map[string]jobscheduler.PollAnswer{
			"a": {
				Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
			},
		})
	}
	lateAt := h.now
	for h.now.Sub(lateAt) < maxLease {
		h.advance(100 * time.Millisecond)
		h.failPolls("a")
		h.recordCrashes()
		h.recordPlacements()
		h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	}
}
