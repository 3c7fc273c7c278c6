package jobscheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// startedByFormerLeader returns a harness in which a leader has recorded and sent the start of
// a long-running task on worker a and was then replaced; worker b is idle. It calls
// before, if it is not nil, before the term ends.
func startedByFormerLeader(t *testing.T, before func(h *harness, start jobscheduler.Start)) (*harness, jobscheduler.Start) {
	h := newHarness(t)
	h.addWorker("a")
	step := tasks(1, 1000)
	step.Lasting = true
	h.submit("job", step)
	h.startTerm()
	h.reconcileWorkers()
	start := h.recordStarts()[0]
	if before != nil {
		before(h, start)
	}
	h.addWorker("b")
	h.startTerm()
	return h, start
}

// firstStartAfter plays passes in which worker a does not answer until the first start, and
// returns when it came.
func (h *harness) firstStartAfter(limit time.Duration) (time.Duration, string) {
	since := h.now
	for h.now.Sub(since) < limit {
		h.advance(50 * time.Millisecond)
		h.failPolls("a")
		if starts := takeAll[jobscheduler.Start](h); len(starts) > 0 {
			return h.now.Sub(since), formatStarts(starts)
		}
	}
	return h.now.Sub(since), ""
}

// The worker of a recorded start answers the new leader and doesn't list the run: it refuses
// the order of the former leader from now on. A further wait would only delay the task.
func TestRecordedStartIsNotHeldOnceWorkerAnswers(t *testing.T) {
	h, _ := startedByFormerLeader(t, nil)
	h.reconcileWorkers()
	h.is.Equal(len(takeAll[jobscheduler.Start](h)), 1)
}

// The worker of a recorded start stays silent. Its task must not wait for longer than an order
// may be executed late.
func TestRecordedStartIsHeldForLateOrderTimeOnly(t *testing.T) {
	h, _ := startedByFormerLeader(t, nil)
	waited, starts := h.firstStartAfter(20 * time.Second)
	h.is.Equal(starts, "job.0.0@b ")
	h.is.True(waited >= 14*time.Second)
	h.is.True(waited <= 15500*time.Millisecond)
}

// A run that is known to have begun ends with the lease of its worker. If the worker and the
// leader are lost together, a long-running task must be back as soon as that lease has ended.
func TestBegunRunIsNotHeldBeyondItsLease(t *testing.T) {
	h, _ := startedByFormerLeader(t, func(h *harness, start jobscheduler.Start) {
		h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartAccepted, 0) })
		h.is.Equal(h.recordBegun(), 0) // who has accepted it is not known
		h.advance(20 * time.Millisecond)
		h.answerPolls(map[string]jobscheduler.PollAnswer{
			"a": {
				Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
			},
		})
		h.advance(time.Millisecond)
		h.advance(250 * time.Millisecond)
		h.is.Equal(h.recordBegun(), 1)
	})
	waited, starts := h.firstStartAfter(20 * time.Second)
	h.is.Equal(starts, "job.0.0@b ")
	h.is.True(waited >= lease)
	h.is.True(waited <= lease+time.Second)
}

// A run that began by the second copy of its start is no proof that the first one can't be
// executed later, by the next incarnation.
func TestRunOfRepeatedStartIsNotRecordedAsBegun(t *testing.T) {
	startedByFormerLeader(t, func(h *harness, start jobscheduler.Start) {
		h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartUnknown, 0) })
		for range 10 {
			h.advance(100 * time.Millisecond)
			h.answerPolls(map[string]jobscheduler.PollAnswer{
				"a": {
					Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
				},
			})
			h.is.Equal(h.recordBegun(), 0)
		}
	})
}

// Another worker answers at the address of the worker of a recorded start: nobody executes
// the order any more.
func TestRecordedStartIsNotHeldWhenWorkerIsGone(t *testing.T) {
	h, _ := startedByFormerLeader(t, nil)
	h.advance(0)
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		answer := jobscheduler.PollAnswer{
			Gone:   poll.Target.ID == "a",
			Clock:  h.clock(),
			SentAt: h.now,
		}
		h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
	}
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
}

// An old entry is no reason to wait: its order can't be executed any more.
func TestOldRecordedStartIsNotHeld(t *testing.T) {
	h, _ := startedByFormerLeader(t, func(h *harness, _ jobscheduler.Start) {
		h.now = h.now.Add(21 * time.Second)
	})
	waited, starts := h.firstStartAfter(20 * time.Second)
	h.is.Equal(starts, "job.0.0@b ")
	h.is.True(waited <= lease+time.Second)
}

// The order that the task waits for is executed after all. The run is the only one of its
// task; to stop it would take a long-running task away once more.
func TestLateRunOfRecordedStartIsAdopted(t *testing.T) {
	h, start := startedByFormerLeader(t, nil)
	for range 70 {
		h.advance(100 * time.Millisecond)
		h.failPolls("a")
	}
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	h.restartWorker("a")
	for range 20 {
		h.advance(100 * time.Millisecond)
		h.answerPolls(map[string]jobscheduler.PollAnswer{
			"a": {
				Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
			},
		})
	}
	h.is.Equal(len(takeAll[jobscheduler.Stop](h)), 0)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
}

// The worker of a recorded start has answered the new leader, and the task has started
// elsewhere. The next incarnation doesn't know the new leader; it has to be told to reject
// the start of the former one.
func TestLaterIncarnationRejectsRecordedStart(t *testing.T) {
	h, start := startedByFormerLeader(t, nil)
	h.reconcileWorkers()
	h.is.Equal(len(takeAll[jobscheduler.Start](h)), 1)
	h.now = h.now.Add(time.Second)
	h.restartWorker("a")
	h.advance(time.Millisecond)
	h.answerPolls(nil)
	h.advance(time.Millisecond)
	stops := takeAll[jobscheduler.Stop](h)
	h.is.True(slices.ContainsFunc(stops, func(s jobscheduler.Stop) bool { return s.Run == start.Run && s.Target.ID == "a" }))
}

// The write of a start takes its time. If the worker is found silent meanwhile, the order
// would only make its task wait; it is not sent, and the task starts elsewhere at once.
func TestStartIsNotSentToWorkerThatFellSilentDuringWrite(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.startTerm()
	h.reconcileWorkers()
	h.submit("job", tasks(1, 1000))
	h.advance(time.Millisecond)
	h.addWorker("b")
	h.advance(20 * time.Millisecond)
	h.failPolls("a")
	h.is.Equal(len(h.recordStarts()), 0)
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
}

// A worker ends while the start of a task is being written to the log. The order was not sent,
// so the task can't have crashed it.
func TestWorkerDoesNotCrashUnderStartThatIsBeingWritten(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.startTerm()
	h.reconcileWorkers()
	h.submit("job", tasks(1, 1000))
	h.advance(time.Millisecond)
	h.withScheduler(func() { h.sched.HoldStarts(h.actions) })
	h.restartWorker("a")
	h.advance(time.Millisecond)
	h.is.Equal(len(takeAll[jobscheduler.RecordCrashes](h)), 0)
	h.is.Equal(len(h.recordStarts()), 0)
}

// A start that may still be executed takes its part of what its account may have running.
// Another task in its place would break the ceiling of the account.
func TestHeldStartCountsTowardsCeiling(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	submit := func(id string) {
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_Submit{
				Submit: &jobwire.Job{
					Id:                  id,
					Queue:               "q",
					Account:             "small",
					Steps:               []*jobwire.Step{tasks(1, 2000)},
					AcceptedAtUnixNanos: h.wall().UnixNano(),
				},
			},
		})
	}
	submit("held")
	h.startTerm()
	h.reconcileWorkers()
	h.is.Equal(len(h.recordStarts()), 1)
	h.addWorker("b")
	h.startTerm()
	submit("next")
	waited, starts := h.firstStartAfter(20 * time.Second)
	h.is.True(starts != "")
	h.is.True(waited >= 14*time.Second)
}

// The end of a run that a former leader had recorded as started leaves nothing to wait for.
func TestRecordedStartOfEndedRunIsNotHeld(t *testing.T) {
	h, start := startedByFormerLeader(t, nil)
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Ends{
			Ends: &jobwire.Ends{
				Ends: []*jobwire.End{
					{
						Task:   start.Task,
						Run:    start.Run,
						Ending: jobwire.Ending_ENDING_LAPSED,
					},
				},
			},
		},
	})
	h.startTerm()
	waited, starts := h.firstStartAfter(20 * time.Second)
	h.is.Equal(starts, "job.0.0@b ")
	h.is.True(waited <= lease+time.Second)
}

// Each start of a batch task that waits for a log write lengthens a peak, so only those of
// long-running tasks wait for it unless the settings ask for more.
func TestStartsToRecord(t *testing.T) {
	tests := map[string]struct {
		lasting, recordBatchStarts, want bool
	}{
		"batch task":                        {},
		"batch task, asked for by settings": {recordBatchStarts: true, want: true},
		"long-running task":                 {lasting: true, want: true},
		"long-running task, asked for, too": {lasting: true, recordBatchStarts: true, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.skipBatchStarts = !test.recordBatchStarts
			h.addWorker("a")
			step := tasks(1, 1000)
			step.Lasting = test.lasting
			h.submit("job", step)
			h.startTerm()
			h.reconcileWorkers()
			h.is.Equal(takeAll[jobscheduler.Start](h)[0].ToRecord, test.want)
		})
	}
}
