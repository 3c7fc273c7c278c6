package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A worker may receive a poll whose answer is lost. If such polls extended the
// lease of an unresponsive worker, its runs would never count as lost.
func TestTasksOfSilentWorkerAreTakenBack(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	h.ageWorkers()
	h.is.Equal(len(h.acceptStarts()), 1)
	h.addWorker("b")
	for range 60 {
		h.advance(100 * time.Millisecond)
		for _, poll := range takeAll[jobscheduler.Poll](h) {
			answer := jobscheduler.PollAnswer{
				Failed: poll.Target.ID == "a",
				Clock:  h.clock(),
				SentAt: h.now,
			}
			h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
		}
	}
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
}

// Long-running tasks leave a draining worker while it still serves, so that they
// are unavailable for as short a time as possible.
func TestLastingTasksLeaveDrainingWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	step := tasks(1, 1000)
	step.Lasting = true
	h.submit("job", step)
	h.startTerm()
	h.reconcileWorkers()
	h.is.Equal(len(h.acceptStarts()), 1)
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:       "a",
				Born:     1,
				Pool:     "p",
				Address:  "a:1",
				Draining: true,
			},
		},
	})
	h.advance(time.Millisecond)
	h.is.Equal(len(takeAll[jobscheduler.Stop](h)), 1)
}

// The ends of two runs of one task may be waiting for the log at once: that of a
// lost run whose worker has returned, and that of the run that replaced it and is
// done. The task must not start again before both are recorded.
func TestOlderEndDoesNotRestartDoneTask(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(2, 1000))
	h.startTerm()
	h.reconcileWorkers()
	h.ageWorkers()
	first := h.acceptStarts()[0]
	h.addWorker("b")
	var second []jobscheduler.Start
	for range 60 {
		h.advance(100 * time.Millisecond)
		for _, poll := range takeAll[jobscheduler.Poll](h) {
			answer := jobscheduler.PollAnswer{
				Failed: poll.Target.ID == "a",
				Clock:  h.clock(),
				SentAt: h.now.Add(-time.Hour),
			}
			h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
		}
		second = append(second, h.acceptStarts()...)
	}
	h.is.Equal(len(second), 2)
	// A heartbeat of the unresponsive worker brings the next poll forward.
	h.addWorker("a")
	h.withScheduler(func() { h.sched.HeartbeatReceived("a", 1, h.clock()) })
	h.advance(time.Second)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Ended: []jobscheduler.EndedTask{endedTask(1, first.Task, first.Run, jobwire.Ending_ENDING_LAPSED)},
		},
		"b": {
			Ended: []jobscheduler.EndedTask{
				endedTask(1, second[0].Task, second[0].Run, jobwire.Ending_ENDING_DONE),
				endedTask(2, second[1].Task, second[1].Run, jobwire.Ending_ENDING_DONE),
			},
		},
	})
	records := takeAll[jobscheduler.RecordEnds](h)
	h.advance(0)
	records = append(records, takeAll[jobscheduler.RecordEnds](h)...)
	h.is.Equal(len(records), 2)
	for _, r := range records {
		if r.Target.ID == "a" {
			h.actions = append(h.actions, r)
		}
	}
	h.recordEnds()
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
}

// A removed worker may have listed an end in a poll answer that is still in
// flight. Its tasks must not start again before that answer has arrived or
// failed.
func TestEndListedByDepartingWorkerCounts(t *testing.T) {
	removals := map[string]func(h *harness){
		"forgotten": func(h *harness) {
			h.apply(&jobwire.Command{
				Change: &jobwire.Command_ForgetWorker{
					ForgetWorker: &jobwire.ForgetWorker{
						Id:   "a",
						Born: 1,
					},
				},
			})
		},
		"restarted": func(h *harness) {
			h.apply(&jobwire.Command{
				Change: &jobwire.Command_Worker{
					Worker: &jobwire.Worker{
						Id:   "a",
						Born: 2,
						Pool: "p",
					},
				},
			})
		},
	}
	for name, remove := range removals {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("job", tasks(2, 1000))
			h.startTerm()
			h.reconcileWorkers()
			h.ageWorkers()
			starts := h.acceptStarts()
			h.is.Equal(len(starts), 2)
			h.addWorker("b")
			h.advance(time.Second)
			var poll jobscheduler.Poll
			for _, l := range takeAll[jobscheduler.Poll](h) {
				if l.Target.ID == "a" {
					poll = l
					continue
				}
				h.withScheduler(func() {
					h.sched.PollAnswered(l, jobscheduler.PollAnswer{
						Clock: h.clock(),
					})
				})
			}
			remove(h)
			h.advance(time.Millisecond)
			h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
			h.withScheduler(func() {
				h.sched.PollAnswered(poll, jobscheduler.PollAnswer{
					Clock: h.clock(),
					Ended: []jobscheduler.EndedTask{endedTask(1, starts[0].Task, starts[0].Run, jobwire.Ending_ENDING_DONE)},
				})
			})
			h.advance(time.Millisecond)
			h.recordEnds()
			h.startAfterCrash()
			again := takeAll[jobscheduler.Start](h)
			h.is.Equal(len(again), 1)
			h.is.Equal(again[0].Task.GetIndex(), starts[1].Task.GetIndex())
		})
	}
}

// A worker that reports a task which the job does not have must not crash the
// leader, and its run of that task is stopped.
func TestRunOfUnknownTaskIsStopped(t *testing.T) {
	cases := map[string]*jobwire.Task{
		"index too high": task("job", 0, 1000),
		"negative index": task("job", 0, -1),
		"step too high":  task("job", 9, 0),
		"negative step":  task("job", -1, 0),
		"occurrence": {
			Job:        "job",
			Occurrence: 7,
		},
		"negative occurrence": {
			Job:        "job",
			Occurrence: -7,
		},
		"other job": task("none", 0, 0),
	}
	for name, named := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("job", tasks(2, 1000))
			h.startTerm()
			h.advance(0)
			h.answerPolls(map[string]jobscheduler.PollAnswer{
				"a": {
					Running: []jobscheduler.RunningTask{runningTask(named, 3)},
					Ended:   []jobscheduler.EndedTask{endedTask(1, named, 2, jobwire.Ending_ENDING_FAILED)},
				},
			})
			h.recordEnds()
			h.advance(time.Millisecond)
			stops := takeAll[jobscheduler.Stop](h)
			h.is.Equal(len(stops), 1)
			h.is.Equal(len(takeAll[jobscheduler.Start](h)), 0) // what the run reserves is unknown
			h.withScheduler(func() { h.sched.StopAnswered(stops[0], true, h.clock()) })
			for range 3 {
				h.advance(100 * time.Millisecond)
				h.recordEnds()
				h.answerPolls(nil)
			}
			h.is.Equal(len(takeAll[jobscheduler.Start](h)), 2)
		})
	}
}

// A worker that crashes while it runs nothing is not polled. If it were not found to
// be silent, each new leader would wait for its leases with all open jobs, and tasks
// would be placed on it.
func TestNewLeaderDoesNotWaitForWorkerThatCrashedIdle(t *testing.T) {
	h := newHarness(t)
	h.heartbeat = 1500 * time.Millisecond
	h.addWorker("a")
	h.addWorker("b")
	h.startTerm()
	h.reconcileWorkers()
	for range 60 {
		h.advance(100 * time.Millisecond)
		h.withScheduler(func() { h.sched.HeartbeatReceived("b", 1, h.clock()) })
		h.failPolls("a")
		h.applyMarks(takeAll[jobscheduler.MarkLapsed](h))
	}
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.advance(0)
	h.failPolls("a")
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")

	// Its heartbeat brings it back.
	h.withScheduler(func() { h.sched.HeartbeatReceived("a", 1, h.clock()) })
	h.advance(time.Millisecond)
	h.answerPolls(nil)
	h.advance(time.Millisecond)
	h.applyMarks(takeAll[jobscheduler.MarkLapsed](h))
	h.submit("more", tasks(16, 1000))
	h.advance(time.Millisecond)
	placed := make(map[string]int)
	for _, start := range takeAll[jobscheduler.Start](h) {
		placed[start.Target.ID]++
	}
	h.is.True(placed["a"] > 0)

	// A lapsed worker that stays silent is removed.
	h.startTerm()
	for range 700 {
		h.advance(100 * time.Millisecond)
		h.withScheduler(func() { h.sched.HeartbeatReceived("b", 1, h.clock()) })
		h.failPolls("a")
		h.applyMarks(takeAll[jobscheduler.MarkLapsed](h))
	}
	removed := takeAll[jobscheduler.RemoveWorker](h)
	h.is.Equal(len(removed), 1)
	h.is.Equal(removed[0].ID, "a")
}

// A worker without runs that misses one poll is used again with its next answer; only
// one that is silent for several heartbeats is marked in the log.
func TestIdleWorkerThatMissesOnePollIsNotMarked(t *testing.T) {
	h := newHarness(t)
	h.heartbeat = 1500 * time.Millisecond
	h.addWorker("a")
	h.submit("first", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := h.acceptStarts()[0]
	h.advance(time.Second)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Ended: []jobscheduler.EndedTask{endedTask(1, start.Task, start.Run, jobwire.Ending_ENDING_DONE)},
		},
	})
	h.advance(time.Millisecond)
	h.recordEnds()
	h.now = h.now.Add(lease) // all leases of the worker have ended
	h.withScheduler(func() { h.sched.HeartbeatReceived("a", 1, h.clock()) })
	h.advance(time.Millisecond)
	h.failPolls("a") // the poll that acknowledges the end
	h.advance(time.Millisecond)
	h.is.Equal(len(takeAll[jobscheduler.MarkLapsed](h)), 0)
	h.advance(time.Second)
	h.answerPolls(nil)
	h.submit("second", tasks(1, 1000))
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "second.0.0@a ")
}

// A poll that a later incarnation of the worker executes makes it drop the ends up to a
// number of the former one, also those that nobody has read; their tasks would run again.
func TestEndsAreAcknowledgedOnce(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(2, 1000))
	h.startTerm()
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.advance(100 * time.Millisecond)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(starts[1].Task, starts[1].Run)},
			Ended:   []jobscheduler.EndedTask{endedTask(7, starts[0].Task, starts[0].Run, jobwire.Ending_ENDING_DONE)},
		},
	})
	h.advance(time.Millisecond)
	h.recordEnds()
	for _, number := range []uint64{7, 0} {
		h.advance(100 * time.Millisecond)
		polls := takeAll[jobscheduler.Poll](h)
		h.is.Equal(len(polls), 1)
		h.is.Equal(polls[0].LastRecordedEnd, number)
		h.withScheduler(func() {
			h.sched.PollAnswered(polls[0], jobscheduler.PollAnswer{
				Clock:   h.clock(),
				SentAt:  h.now,
				Running: []jobscheduler.RunningTask{runningTask(starts[1].Task, starts[1].Run)},
			})
		})
	}
}
