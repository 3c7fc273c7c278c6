package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// schedule submits a job of one step with one occurrence, which is due at the given time of
// day.
func (h *harness) schedule(id, account string, dueAt time.Time, step *jobwire.Step) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Submit{
			Submit: &jobwire.Job{
				Id:                  id,
				Queue:               "q",
				Account:             account,
				Steps:               []*jobwire.Step{step},
				RepeatCount:         1,
				StartAtUnixNanos:    dueAt.UnixNano(),
				AcceptedAtUnixNanos: h.wall().UnixNano(),
			},
		},
	})
}

// expectNoOrders lets the workers answer polls for d, and fails if a task is started or
// stopped meanwhile.
func (h *harness) expectNoOrders(d time.Duration, answers map[string]jobscheduler.PollAnswer) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.advance(50 * time.Millisecond)
		h.answerPolls(answers)
		h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
		h.is.Equal(len(takeAll[jobscheduler.Stop](h)), 0)
	}
}

// A leader whose clock is ahead accepts a job and starts it, and is lost. To the clock of the
// next leader the job was accepted in the future; its runs must be taken over all the same,
// and not be stopped and started again beside themselves.
func TestRunsOfLeaderWithClockAheadAreTakenOver(t *testing.T) {
	for name, clockAhead := range map[string]time.Duration{
		"within the usual difference": 2 * time.Second,
		"beyond it":                   20 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.clockAhead = clockAhead
			h.startTerm()
			h.submit("at-once", tasks(1, 1000))
			h.schedule("scheduled", "big", h.wall().Add(-time.Millisecond), tasks(1, 1000))
			h.reconcileWorkers()
			starts := h.acceptStarts()
			h.is.Equal(len(starts), 2)

			h.clockAhead = 0
			h.addWorker("b")
			h.startTerm()
			h.expectNoOrders(clockAhead+time.Second, map[string]jobscheduler.PollAnswer{
				"a": {
					Running: []jobscheduler.RunningTask{
						runningTask(starts[0].Task, starts[0].Run),
						runningTask(starts[1].Task, starts[1].Run),
					},
				},
			})
		})
	}
}

// A job that was accepted by a leader whose clock was ahead has no start time, so the next
// leader must not let it wait until its own clock has caught up.
func TestJobAcceptedByClockAheadStartsAtOnce(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.clockAhead = 2 * time.Second
	h.startTerm()
	h.submit("job", tasks(1, 1000))
	h.clockAhead = 0
	h.startTerm()
	h.reconcileWorkers()
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@a ")
}

// An occurrence that a leader with its clock ahead has begun is not due to the next one. That
// must not start the other tasks before their time.
func TestBegunOccurrenceStartsNoTaskBeforeItsTime(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	dueAt := h.now.Add(2 * time.Second)
	h.clockAhead = 2 * time.Second
	h.startTerm()
	h.schedule("job", "big", dueAt, tasks(2, 5000))
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 1)

	h.clockAhead = 0
	h.addWorker("b")
	h.startTerm()
	running := map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(starts[0].Task, starts[0].Run)},
		},
	}
	h.expectNoOrders(dueAt.Sub(h.now)-50*time.Millisecond, running)
	h.advance(100 * time.Millisecond)
	h.is.Equal(len(takeAll[jobscheduler.Start](h)), 1)
}

// The occurrence of a run opens while the end of the run is being written to the log. The task
// may be done, so it must not start again before that is known.
func TestOccurrenceOpensWhileItsEndIsWritten(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	dueAt := h.now.Add(10 * time.Second)
	h.clockAhead = 10 * time.Second
	h.startTerm()
	h.schedule("job", "big", dueAt, tasks(1, 1000))
	h.reconcileWorkers()
	start := h.acceptStarts()[0]

	h.clockAhead = 0
	h.startTerm()
	h.advance(0)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Ended: []jobscheduler.EndedTask{endedTask(1, start.Task, start.Run, jobwire.Ending_ENDING_DONE)},
		},
	})
	h.expectNoOrders(11*time.Second, nil)
	h.recordEnds()
	h.expectNoOrders(time.Second, nil)
}

// The tasks of an occurrence that a former leader may have begun count towards the ceiling of
// their account while a worker that may run them is silent.
func TestBegunOccurrenceCountsTowardsCeiling(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.clockAhead = 2 * time.Second
	h.startTerm()
	h.schedule("scheduled", "small", h.now.Add(2*time.Second), tasks(1, 2000))
	h.reconcileWorkers()
	h.is.Equal(len(h.acceptStarts()), 1)

	h.clockAhead = 0
	h.addWorker("b")
	h.startTerm()
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Submit{
			Submit: &jobwire.Job{
				Id:                  "other",
				Queue:               "q",
				Account:             "small",
				Steps:               []*jobwire.Step{tasks(1, 2000)},
				AcceptedAtUnixNanos: h.wall().UnixNano(),
			},
		},
	})
	for end := h.now.Add(time.Second); h.now.Before(end); {
		h.advance(50 * time.Millisecond)
		h.failPolls("a")
		h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	}
}
