package jobscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// replaceWorker lets another worker register at the address of one that has ended.
func (h *harness) replaceWorker(id, by string) {
	h.forget(id)
	h.addWorker(by)
}

func (h *harness) forget(id string) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_ForgetWorker{
			ForgetWorker: &jobwire.ForgetWorker{
				Id:   id,
				Born: h.bornOf(id),
			},
		},
	})
}

// disconnectPolls fails the pending polls of a worker as a crash does, and answers the
// others.
func (h *harness) disconnectPolls(id string) {
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		answer := jobscheduler.PollAnswer{
			Failed:       poll.Target.ID == id,
			Disconnected: poll.Target.ID == id,
			Clock:        h.clock(),
			SentAt:       h.now,
		}
		h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
	}
}

// drain reports that a worker drains.
func (h *harness) drain(id string) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:         id,
				Born:       1,
				Pool:       "p",
				Address:    id + ":1",
				DataCentre: "dc",
				Draining:   true,
				Capacity: &wire.Resources{
					MilliCores:  8000,
					MemoryBytes: 1 << 30,
				},
			},
		},
	})
}

// A worker that drains, leaves, goes into maintenance or is only cut off has not been
// crashed by its tasks, and a harmless task must not be given up for it.
func TestOnlyCrashesCount(t *testing.T) {
	tests := map[string]struct {
		end  func(h *harness)
		want int
	}{
		"crash": {
			end: func(h *harness) {
				h.disconnectPolls("a")
				h.replaceWorker("a", "b")
			},
			want: 2,
		},
		"crash of a silent worker after its lease": {
			end: func(h *harness) {
				for range 50 {
					h.advance(100 * time.Millisecond)
					h.failPolls("a")
				}
				h.replaceWorker("a", "b")
			},
			want: 2,
		},
		"crash of a worker that takes long to come back": {
			end: func(h *harness) {
				for range 300 {
					h.advance(100 * time.Millisecond)
					h.disconnectPolls("a")
				}
				h.replaceWorker("a", "b")
			},
			want: 2,
		},
		"crash that is noticed long after the lease": {
			end: func(h *harness) {
				for range 200 {
					h.advance(100 * time.Millisecond)
					h.failPolls("a")
				}
				h.replaceWorker("a", "b")
			},
		},
		"another worker answers": {
			end: func(h *harness) {
				for _, poll := range takeAll[jobscheduler.Poll](h) {
					h.withScheduler(func() {
						h.sched.PollAnswered(poll, jobscheduler.PollAnswer{
							Gone: true,
						})
					})
				}
			},
			want: 2,
		},
		"drains and ends": {
			end: func(h *harness) {
				h.answerPolls(nil)
				h.drain("a")
				h.forget("a")
			},
		},
		"announces its end": {
			end: func(h *harness) {
				h.withScheduler(func() { h.sched.WorkerShuttingDown("a", 1) })
				h.disconnectPolls("a")
				h.forget("a")
			},
		},
		"cut off and back": {
			end: func(h *harness) {
				for range 80 {
					h.advance(100 * time.Millisecond)
					h.failPolls("a")
				}
				h.withScheduler(func() { h.sched.HeartbeatReceived("a", 1, h.clock()) })
				h.advance(100 * time.Millisecond)
				h.answerPolls(nil)
			},
		},
		"an order for its host was announced": {
			end: func(h *harness) {
				h.withScheduler(func() {
					h.sched.HostsListed(h.now, []jobscheduler.Host{
						{
							Name:   "host",
							Pool:   "p",
							State:  jobscheduler.HostUp,
							Worker: "a",
						},
					})
				})
				h.apply(&jobwire.Command{
					Change: &jobwire.Command_HostOrders{
						HostOrders: &jobwire.HostOrders{
							Term:  9,
							Hosts: []string{"host"},
						},
					},
				})
				h.disconnectPolls("a")
				h.forget("a")
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("job", tasks(2, 1000))
			h.startTerm()
			h.reconcileWorkers()
			h.ageWorkers()
			h.is.Equal(len(h.acceptStarts()), 2)
			h.advance(100 * time.Millisecond)
			test.end(h)
			h.advance(100 * time.Millisecond)
			crashes := 0
			for _, r := range takeAll[jobscheduler.RecordCrashes](h) {
				crashes += len(r.Crashes)
			}
			h.is.Equal(crashes, test.want)
		})
	}
}

// crashed records that a worker crashed while it ran the first task of a job beside
// others.
func (h *harness) crashed(job string, run uint64) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Crashes{
			Crashes: &jobwire.TaskCrashes{
				Crashes: []*jobwire.TaskCrash{
					{
						Task: task(job, 0, 0),
						Run:  run,
					},
				},
			},
		},
	})
}

// crashTwice records two crashes.
func crashTwice(h *harness, job string) {
	h.crashed(job, 1)
	h.crashed(job, 2)
}

// In a full pool no worker becomes idle by itself. One is kept free for a task under
// which workers have crashed, and nothing is started beside it.
func TestIsolatedTaskGetsWorkerOfItsOwn(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	h.submit("suspect", tasks(1, 1000))
	crashTwice(h, "suspect")
	h.submit("filler", tasks(40, 2000))
	h.startTerm()
	h.reconcileWorkers()
	running := make(map[string][]jobscheduler.RunningTask)
	suspectOn := ""
	for n := range 200 {
		h.advance(20 * time.Millisecond)
		h.recordPlacements()
		for _, start := range h.acceptStarts() {
			on := start.Target.ID
			if start.Task.GetJob() == "suspect" {
				h.is.Equal(len(running[on]), 0)
				suspectOn = on
			}
			h.is.True(suspectOn != on || start.Task.GetJob() == "suspect") // runs alone
			running[on] = append(running[on], runningTask(start.Task, start.Run))
		}
		answers := make(map[string]jobscheduler.PollAnswer)
		for id, list := range running {
			// Some task ends now and then, so that the others may go on.
			if n%20 == 19 && id != suspectOn && len(list) > 0 {
				ended := list[0]
				running[id] = list[1:]
				answers[id] = jobscheduler.PollAnswer{
					Running: running[id],
					Ended:   []jobscheduler.EndedTask{endedTask(uint64(n), ended.Task, ended.Run, jobwire.Ending_ENDING_DONE)},
				}
				continue
			}
			answers[id] = jobscheduler.PollAnswer{
				Running: list,
			}
		}
		h.answerPolls(answers)
		h.recordEnds()
	}
	h.is.True(suspectOn != "")
}

// A leader that is lost after a crash must not take the count along: the placement of
// the run is in the log, so its successor counts the crash.
func TestNewLeaderCountsCrashOfPlacedRun(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	h.acceptStarts()
	h.advance(100 * time.Millisecond)
	h.disconnectPolls("a")
	h.advance(time.Millisecond)
	placements := h.recordPlacements()
	h.is.Equal(len(placements), 1)
	h.is.True(placements[0].Alone && placements[0].Prompt)
	h.replaceWorker("a", "b")
	h.startTerm()
	h.advance(time.Millisecond)
	records := takeAll[jobscheduler.RecordCrashes](h)
	h.is.Equal(len(records), 1)
	h.is.True(records[0].Crashes[0].GetAlone() && records[0].Crashes[0].GetPrompt())
}

// A long-running task that runs for long after a crash has not caused it. Otherwise it
// would keep a worker for itself.
func TestSurvivingTaskIsCleared(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	step := tasks(1, 1000)
	step.Lasting = true
	h.submit("job", step)
	crashTwice(h, "job")
	h.startTerm()
	h.reconcileWorkers()
	h.startAfterCrash()
	start := h.acceptStarts()[0]
	for range 100 {
		h.advance(100 * time.Millisecond)
		h.answerPolls(map[string]jobscheduler.PollAnswer{
			"a": {
				Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
			},
		})
	}
	survivals := takeAll[jobscheduler.RecordSurvival](h)
	h.is.Equal(len(survivals), 1)
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_SurvivedRuns{
			SurvivedRuns: &jobwire.SurvivedRuns{
				Runs: []*jobwire.SurvivedRun{
					{
						Task: survivals[0].Task,
						Run:  survivals[0].Run,
					},
				},
			},
		},
	})
	h.machine.View(func(s *jobkeeper.State) {
		h.is.True(s.Jobs["job"].Task(start.Task).Crashes == nil)
	})
	h.submit("more", tasks(1, 1000))
	h.advance(200 * time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "more.0.0@a ")
}

// Between the decision to place a task beside others and its start lies a log write, in
// which another crash may be counted. The task has to run alone then.
func TestTaskThatIsIsolatedMeanwhileDoesNotStartBesideOthers(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("filler", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	filler := h.acceptStarts()[0]
	h.submit("suspect", tasks(1, 1000))
	h.crashed("suspect", 1)
	h.advance(10 * time.Millisecond)
	h.is.Equal(len(h.actions), 2) // the placement and a poll
	h.crashed("suspect", 2)
	h.recordPlacements()
	for range 20 {
		h.advance(100 * time.Millisecond)
		h.answerPolls(map[string]jobscheduler.PollAnswer{
			"a": {
				Running: []jobscheduler.RunningTask{runningTask(filler.Task, filler.Run)},
			},
		})
		h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	}
}

// A task that is being placed anew may have ended on a worker that was cut off. What was
// kept free for it must become free again.
func TestPlacementOfFinishedTaskIsDropped(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("suspect", tasks(1, 8000))
	h.crashed("suspect", 1)
	h.startTerm()
	h.reconcileWorkers()
	h.startAfterCrash()
	start := h.acceptStarts()[0]
	h.advance(100 * time.Millisecond)
	h.addWorker("b")
	for len(takeAll[jobscheduler.RecordPlacement](h)) == 0 {
		h.advance(100 * time.Millisecond)
		h.failPolls("a")
	}
	ended := map[string]jobscheduler.PollAnswer{
		"a": {
			Ended: []jobscheduler.EndedTask{endedTask(1, start.Task, start.Run, jobwire.Ending_ENDING_DONE)},
		},
	}
	for range 3 {
		h.advance(100 * time.Millisecond)
		h.answerPolls(ended)
	}
	h.is.Equal(len(takeAll[jobscheduler.RecordEnds](h)), 1)
	h.submit("next", tasks(1, 8000))
	h.advance(time.Millisecond)
	h.drain("a")
	started := ""
	for range 50 {
		h.advance(100 * time.Millisecond)
		h.answerPolls(nil)
		started += formatStarts(takeAll[jobscheduler.Start](h))
	}
	h.is.Equal(started, "next.0.0@b ")
}

// A worker that drains, or whose host is about to go into maintenance or to move, ends by
// plan. A leader that comes after its end knows of it from the log only, and must not
// take it for a crash.
func TestNewLeaderDoesNotCountPlannedEnd(t *testing.T) {
	tests := map[string]struct {
		end  func(h *harness)
		want int
	}{
		"drains": {
			end: func(h *harness) { h.drain("a") },
		},
		"order for its host": {
			end: func(h *harness) { h.announceHostOrder("a", 1) },
		},
		"order for a former incarnation's host": {
			end:  func(h *harness) { h.announceHostOrder("a", 0) },
			want: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("suspect", tasks(1, 1000))
			h.crashed("suspect", 1)
			h.startTerm()
			h.reconcileWorkers()
			h.startAfterCrash()
			h.is.Equal(len(h.acceptStarts()), 1)
			test.end(h)
			h.replaceWorker("a", "b")
			h.startTerm()
			h.advance(time.Millisecond)
			h.is.Equal(len(takeAll[jobscheduler.RecordCrashes](h)), test.want)
		})
	}
}

// announceHostOrder announces an order for the host of a worker.
func (h *harness) announceHostOrder(worker string, born int64) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_HostOrders{
			HostOrders: &jobwire.HostOrders{
				Term:  h.term,
				Hosts: []string{"host"},
				Workers: []*jobwire.WorkerIncarnation{
					{
						Id:   worker,
						Born: born,
					},
				},
			},
		},
	})
}

// The connection of a worker that goes into maintenance breaks as well. Its runs must not
// be noted for the next leader then.
func TestPlannedEndLeavesNoPlacements(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	h.acceptStarts()
	h.advance(100 * time.Millisecond)
	h.drain("a")
	h.disconnectPolls("a")
	h.advance(time.Millisecond)
	h.is.Equal(len(takeAll[jobscheduler.RecordPlacement](h)), 0)
}

// Suspects start some time apart on a worker, so that its crash tells which it was.
func TestSuspectsStartApart(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("one", tasks(1, 1000))
	h.submit("two", tasks(1, 1000))
	h.crashed("one", 1)
	h.crashed("two", 1)
	h.startTerm()
	h.reconcileWorkers()
	var startedAt []time.Time
	var running []jobscheduler.RunningTask
	for n := range 40 {
		h.submit(fmt.Sprint("filler", n), tasks(1, 10)) // makes each pass place tasks
		h.recordPlacements()
		for _, start := range h.acceptStarts() {
			if job := start.Task.GetJob(); job == "one" || job == "two" {
				startedAt = append(startedAt, h.now)
			}
			running = append(running, runningTask(start.Task, start.Run))
		}
		h.answerPolls(map[string]jobscheduler.PollAnswer{
			"a": {
				Running: running,
			},
		})
		h.advance(5 * time.Millisecond)
	}
	h.is.Equal(len(startedAt), 2)
	h.is.True(startedAt[1].Sub(startedAt[0]) > 50*time.Millisecond)
}
