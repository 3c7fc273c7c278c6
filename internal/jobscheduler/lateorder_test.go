package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// failPolls answers the polls of one worker as failed and those of the others.
func (h *harness) failPolls(id string) {
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		answer := jobscheduler.PollAnswer{
			Failed: poll.Target.ID == id,
			Clock:  h.clock(),
			SentAt: h.now,
		}
		h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
	}
}

// applyMarks applies the pending log writes of lapsed marks.
func (h *harness) applyMarks(marks []jobscheduler.MarkLapsed) {
	for _, mark := range marks {
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_LapsedMarks{
				LapsedMarks: &jobwire.LapsedMarks{
					Marks: []*jobwire.LapsedMark{
						{
							Id:     mark.ID,
							Born:   mark.Born,
							Lapsed: mark.Lapsed,
						},
					},
				},
			},
		})
		h.withScheduler(func() { h.sched.LapsedMarked(mark) })
	}
}

// A worker that was silent until its lease ended may still hold a start that it
// never answered, and would execute it under its next lease, while the task runs
// elsewhere. It must reject that start before it gets a lease again.
func TestSilentWorkerRejectsOldStartBeforeNextLease(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := takeAll[jobscheduler.Start](h)[0]
	h.addWorker("b")
	for range 60 {
		h.advance(100 * time.Millisecond)
		h.failPolls("a")
	}
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
	h.applyMarks(takeAll[jobscheduler.MarkLapsed](h))

	h.withScheduler(func() { h.sched.HeartbeatReceived("a", 1, h.clock()) })
	h.submit("more", tasks(16, 1000))
	h.advance(time.Millisecond)
	h.answerPolls(nil)
	h.advance(time.Second)
	h.applyMarks(takeAll[jobscheduler.MarkLapsed](h))
	h.advance(time.Millisecond)
	for _, s := range takeAll[jobscheduler.Start](h) {
		h.is.True(s.Target.ID != "a") // may still execute the old start
	}
	stops := takeAll[jobscheduler.Stop](h)
	h.is.Equal(len(stops), 1)
	h.is.Equal(stops[0].Run, start.Run)
	h.withScheduler(func() { h.sched.StopAnswered(stops[0], true, h.clock()) })
	h.advance(time.Millisecond)
	h.is.True(len(takeAll[jobscheduler.Start](h)) > 0) // a takes tasks again
}

// A new leader doesn't wait for workers that are marked as lapsed. A worker that
// answers again while the mark is being written must get no lease before the mark
// is cleared.
func TestWorkerGetsNoLeaseWhileItIsBeingMarked(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	h.ageWorkers()
	h.acceptStarts()
	for range 60 {
		h.advance(100 * time.Millisecond)
		h.failPolls("a")
	}
	marks := takeAll[jobscheduler.MarkLapsed](h)
	h.is.Equal(len(marks), 1)
	h.advance(time.Second)
	h.answerPolls(nil)
	h.advance(time.Second)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	h.applyMarks(marks)
	cleared := takeAll[jobscheduler.MarkLapsed](h)
	h.advance(0)
	cleared = append(cleared, takeAll[jobscheduler.MarkLapsed](h)...)
	h.is.Equal(len(cleared), 1)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	h.applyMarks(cleared)
	h.advance(time.Second)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@a ")
}

// laterClock is the clock in the answer of a later incarnation, which begins anew.
const laterClock = 1000

// A worker that restarts under its id may execute a start that was sent to its
// former incarnation, and answers it like any other. The task must not start elsewhere
// before that run is stopped.
func TestStartForFormerIncarnationIsStopped(t *testing.T) {
	tests := map[string]struct {
		answered bool
		outcome  jobscheduler.StartAnswer
		// listed is true when the first poll of the later incarnation reports the run;
		// else the worker executes that poll before the start.
		listed bool
	}{
		"not answered": {},
		"not answered, and executed before the first poll": {
			listed: true,
		},
		"accepted by the later incarnation": {
			answered: true,
			outcome:  jobscheduler.StartAccepted,
		},
		"rejected by the later incarnation, after an order to stop": {
			answered: true,
			outcome:  jobscheduler.StartOutdated,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("job", tasks(1, 1000))
			h.startTerm()
			h.reconcileWorkers()
			start := takeAll[jobscheduler.Start](h)[0]
			h.addWorker("b")
			h.advance(time.Second)
			h.answerPolls(nil) // b may take tasks now
			if test.answered {
				h.withScheduler(func() { h.sched.StartAnswered(start, test.outcome, laterClock) })
			}
			h.restartWorker("a")
			h.advance(time.Millisecond)
			var first jobscheduler.PollAnswer
			if test.listed {
				first.Running = []jobscheduler.RunningTask{runningTask(start.Task, start.Run)}
			}
			h.answerPolls(map[string]jobscheduler.PollAnswer{
				"a": first,
			})
			h.startAfterCrash()
			h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
			stops := takeAll[jobscheduler.Stop](h)
			h.is.True(len(stops) > 0)
			h.is.Equal(stops[0].Target.Born, h.bornOf("a"))
			h.withScheduler(func() { h.sched.StopAnswered(stops[0], true, h.clock()) })
			h.advance(time.Second)
			h.answerPolls(nil)
			h.startAfterCrash()
			h.is.Equal(len(takeAll[jobscheduler.Start](h)), 1)
		})
	}
}

// A worker that has ended may have left the order to start a task unanswered, and a later
// incarnation under its id may execute it: its clock begins anew, so that the deadline in
// the order does not hold it back. The task must not start elsewhere when the lease ends.
func TestUnansweredStartOfSilentWorkerIsNotGivenUpAtLeaseEnd(t *testing.T) {
	tests := map[string]struct {
		answers []jobscheduler.StartAnswer
		waits   bool
	}{
		"not answered": {
			answers: []jobscheduler.StartAnswer{jobscheduler.StartUnknown, jobscheduler.StartUnknown, jobscheduler.StartUnknown},
			waits:   true,
		},
		"accepted, but not known by which incarnation": {
			answers: []jobscheduler.StartAnswer{jobscheduler.StartAccepted},
			waits:   true,
		},
		"refused the connection": {
			answers: []jobscheduler.StartAnswer{jobscheduler.StartUndelivered, jobscheduler.StartUndelivered, jobscheduler.StartUndelivered},
		},
		"broke the connection, then refused it": {
			answers: []jobscheduler.StartAnswer{jobscheduler.StartDisconnected, jobscheduler.StartUndelivered, jobscheduler.StartUndelivered},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("job", tasks(1, 1000))
			h.startTerm()
			h.reconcileWorkers()
			start := takeAll[jobscheduler.Start](h)[0]
			h.addWorker("b")
			for _, answer := range test.answers {
				h.withScheduler(func() { h.sched.StartAnswered(start, answer, laterClock) })
			}
			h.advance(time.Millisecond)
			takeAll[jobscheduler.Start](h) // the copies
			for range 60 {
				h.advance(100 * time.Millisecond)
				h.failPolls("a")
			}
			if !test.waits {
				h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
				return
			}
			h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
			h.restartWorker("a")
			h.advance(time.Millisecond)
			h.answerPolls(nil)
			h.startAfterCrash()
			h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
			for _, stop := range takeAll[jobscheduler.Stop](h) {
				h.withScheduler(func() { h.sched.StopAnswered(stop, true, h.clock()) })
			}
			h.advance(time.Second)
			h.answerPolls(nil)
			h.startAfterCrash()
			h.is.Equal(len(takeAll[jobscheduler.Start](h)), 1)
		})
	}
}

// A worker has stopped a run of which a copy of the start was not answered, and restarts
// under its id. The later incarnation has to reject that copy too, before it gets a lease.
func TestLaterIncarnationRejectsCopyOfStoppedRun(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := takeAll[jobscheduler.Start](h)[0]
	h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartUnknown, 0) })
	h.advance(time.Millisecond)
	h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartAccepted, h.clock()) })
	h.advance(100 * time.Millisecond)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Ended: []jobscheduler.EndedTask{endedTask(1, start.Task, start.Run, jobwire.Ending_ENDING_STOPPED)},
		},
	})
	takeAll[jobscheduler.Start](h)
	h.restartWorker("a")
	h.submit("more", tasks(1, 1000))
	h.advance(time.Millisecond)
	h.answerPolls(nil)
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	stops := takeAll[jobscheduler.Stop](h)
	h.is.Equal(len(stops), 1)
	h.is.Equal(stops[0].Run, start.Run)
	h.is.Equal(stops[0].Target.Born, h.bornOf("a"))
	h.withScheduler(func() { h.sched.StopAnswered(stops[0], true, h.clock()) })
	h.advance(time.Millisecond)
	h.is.True(len(takeAll[jobscheduler.Start](h)) > 0)
}

// A worker that has left and is back under its id may execute an order to its former
// incarnation as well, though the leader had removed that one.
func TestWorkerThatHasLeftRejectsCopyOfStoppedRun(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := takeAll[jobscheduler.Start](h)[0]
	h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartUnknown, 0) })
	h.advance(100 * time.Millisecond)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Ended: []jobscheduler.EndedTask{endedTask(1, start.Task, start.Run, jobwire.Ending_ENDING_STOPPED)},
		},
	})
	takeAll[jobscheduler.Start](h)
	born := h.bornOf("a")
	h.withScheduler(func() { h.sched.WorkerShuttingDown("a", born) })
	h.forget("a")
	h.advance(time.Second)
	h.restartWorker("a")
	h.submit("more", tasks(1, 1000))
	h.advance(time.Millisecond)
	h.answerPolls(nil)
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	stops := takeAll[jobscheduler.Stop](h)
	h.is.Equal(len(stops), 1)
	h.is.Equal(stops[0].Run, start.Run)
}

// A worker that never comes back does not keep a task waiting for ever.
func TestUnansweredStartIsGivenUpWhenItCanNoLongerBeExecuted(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := takeAll[jobscheduler.Start](h)[0]
	h.addWorker("b")
	h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartUnknown, 0) })
	h.advance(time.Millisecond)
	takeAll[jobscheduler.Start](h) // the copy
	for range 200 {
		h.advance(100 * time.Millisecond)
		h.failPolls("a")
	}
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
}

// A worker that restarts under its id may execute a poll that was sent to its former
// incarnation, whose clock was ahead, and then holds a lease of up to the longest length.
// A start that it executes late must not run beside the next run of the task.
func TestRestartedWorkerMayHoldLongLease(t *testing.T) {
	tests := map[string]func(h *harness){
		"same leader": func(*harness) {},
		"new leader":  func(h *harness) { h.startTerm() },
	}
	for name, meanwhile := range tests {
		t.Run(name, func(t *testing.T) {
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
			h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@a ")
			h.addWorker("b")
			meanwhile(h)
			for h.now.Sub(restartedAt) < maxLease {
				h.advance(100 * time.Millisecond)
				h.failPolls("a")
				h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
			}
			for range 10 {
				h.advance(100 * time.Millisecond)
				h.failPolls("a")
			}
			h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
		})
	}
}

// A copy of a start that the first incarnation has not answered may also reach the third
// one, which doesn't know that the second has stopped the run.
func TestThirdIncarnationRejectsStartForFirst(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := takeAll[jobscheduler.Start](h)[0]
	h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartUnknown, 0) })
	h.restartWorker("a")
	h.advance(time.Millisecond)
	h.answerPolls(nil)
	h.advance(time.Millisecond)
	for _, stop := range takeAll[jobscheduler.Stop](h) {
		h.withScheduler(func() { h.sched.StopAnswered(stop, true, h.clock()) })
	}
	h.advance(time.Second)
	h.answerPolls(nil)
	h.restartWorker("a")
	h.advance(time.Millisecond)
	h.answerPolls(nil)
	h.advance(time.Millisecond)
	stops := takeAll[jobscheduler.Stop](h)
	h.is.Equal(len(stops), 1)
	h.is.Equal(stops[0].Run, start.Run)
	h.is.Equal(stops[0].Target.Born, h.bornOf("a"))
}
