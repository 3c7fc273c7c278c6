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
