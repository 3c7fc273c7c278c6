package jobscheduler_test

import (
	"strings"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// startWave starts a maintenance wave for the host of worker a.
func startWave(h *harness) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Wave{
			Wave: &jobwire.Wave{
				Id:               "1",
				Hosts:            []string{"host-a"},
				Ceiling:          1,
				DurationNanos:    int64(20 * time.Second),
				StartedUnixNanos: h.now.UnixNano(),
			},
		},
	})
}

// answerHostLists answers all pending host listings.
func answerHostLists(h *harness) {
	for range takeAll[jobscheduler.ListHosts](h) {
		h.withScheduler(func() {
			h.sched.HostsListed(h.now, []jobscheduler.Host{
				{
					Name:   "host-a",
					Pool:   "p",
					State:  jobscheduler.HostUp,
					Worker: "a",
				},
				{
					Name:   "host-b",
					Pool:   "p",
					State:  jobscheduler.HostUp,
					Worker: "b",
				},
			})
		})
	}
}

// A task counts as unavailable as soon as the order to stop it is sent. If only
// the other tasks were counted, a host with two tasks of a step would go into
// maintenance at once.
func TestMaintenanceCountsTasksThatAreStopping(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	step := tasks(2, 1000)
	step.Lasting, step.MayMiss = true, 1
	h.submit("job", step)
	h.startTerm()
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 2)
	h.addWorker("b")
	startWave(h)
	running := map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{
				runningTask(starts[0].Task, starts[0].Run),
				runningTask(starts[1].Task, starts[1].Run),
			},
		},
	}
	stopped := make(map[int32]bool)
	for range 50 {
		h.advance(100 * time.Millisecond)
		answerHostLists(h)
		h.answerPolls(running)
		for _, stop := range takeAll[jobscheduler.Stop](h) {
			stopped[stop.Task.GetIndex()] = true
		}
		h.is.Equal(len(takeAll[jobscheduler.Maintain](h)), 0)
	}
	h.is.Equal(len(stopped), 1)
}

// A crashed host may be missing from listings for a while. If the wave counted it
// as done, it would be shown as completed too early.
func TestMissingHostIsNotCountedAsMaintained(t *testing.T) {
	h := newHarness(t)
	h.addWorker("b")
	h.startTerm()
	h.reconcileWorkers()
	startWave(h)
	noted := 0
	for range 100 {
		h.advance(100 * time.Millisecond)
		for range takeAll[jobscheduler.ListHosts](h) {
			h.withScheduler(func() {
				h.sched.HostsListed(h.now, []jobscheduler.Host{
					{
						Name:  "host-b",
						Pool:  "p",
						State: jobscheduler.HostUp,
					},
				})
			})
		}
		h.answerPolls(nil)
		if n := len(takeAll[jobscheduler.RecordWaveHost](h)); n > 0 {
			noted += n
			break
		}
	}
	h.is.True(noted > 0)
	h.is.True(h.now.Sub(time.Unix(1_000_000, 0)) > 8*time.Second)
}

// An order to maintain a host whose answer is lost may have ended the tasks there. If
// they still counted as healthy, a second host of the step would go into maintenance.
func TestUnansweredMaintenanceCountsAsUnavailable(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	step := tasks(2, 1000)
	step.Lasting, step.MayMiss, step.MostPerWorker = true, 1, 1
	h.submit("job", step)
	h.startTerm()
	h.reconcileWorkers()
	running := make(map[string]jobscheduler.PollAnswer)
	for _, start := range h.acceptStarts() {
		running[start.Target.ID] = jobscheduler.PollAnswer{
			Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
		}
	}
	h.is.Equal(len(running), 2)
	for _, id := range []string{"c", "d", "e", "f", "g", "h"} {
		// In a larger pool two hosts may be prepared at once.
		h.addWorker(id)
	}
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Wave{
			Wave: &jobwire.Wave{
				Id:               "1",
				Hosts:            []string{"host-a", "host-b"},
				Ceiling:          2,
				DurationNanos:    int64(20 * time.Second),
				StartedUnixNanos: h.now.UnixNano(),
			},
		},
	})
	ordered := make(map[string]bool)
	for range 100 {
		h.advance(100 * time.Millisecond)
		answerHostLists(h)
		h.answerPolls(running)
		for _, m := range takeAll[jobscheduler.Maintain](h) {
			ordered[m.Host] = true
			h.withScheduler(func() { h.sched.Maintained(m, jobscheduler.HostOrderUnknown) })
		}
	}
	h.is.Equal(len(ordered), 1)
}

// A host that the provider refuses to maintain is not up, whatever the last listing
// says. If it were ordered again at once, a wave would send an order with each pass.
func TestRefusedMaintenanceWaitsForNextListing(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.startTerm()
	h.reconcileWorkers()
	startWave(h)
	h.advance(time.Millisecond)
	answerHostLists(h)
	orders := 0
	for range 20 {
		h.advance(20 * time.Millisecond)
		for _, m := range takeAll[jobscheduler.Maintain](h) {
			orders++
			h.withScheduler(func() { h.sched.Maintained(m, jobscheduler.HostOrderBusy) })
		}
	}
	h.is.Equal(orders, 1)
	h.advance(time.Second)
	answerHostLists(h)
	h.advance(time.Millisecond)
	h.is.Equal(len(takeAll[jobscheduler.Maintain](h)), 1)
}

// listHost answers all pending host listings with one host.
func listHost(h *harness, host jobscheduler.Host) {
	for range takeAll[jobscheduler.ListHosts](h) {
		h.withScheduler(func() { h.sched.HostsListed(h.now, []jobscheduler.Host{host}) })
	}
}

// A listing may name a worker that has ended, while the next one on the host has
// registered and serves. If the host were ordered into maintenance by that listing,
// nothing would compare its tasks with what their step may miss.
func TestMaintenanceWaitsForWorkerOfHost(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	step := tasks(2, 1000)
	step.Lasting, step.MayMiss = true, 1
	h.submit("job", step)
	h.startTerm()
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 2)
	running := map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{
				runningTask(starts[0].Task, starts[0].Run),
				runningTask(starts[1].Task, starts[1].Run),
			},
		},
	}
	startWave(h)
	host := jobscheduler.Host{
		Name:   "host-a",
		Pool:   "p",
		State:  jobscheduler.HostUp,
		Worker: "ended",
	}
	for range 30 {
		h.advance(100 * time.Millisecond)
		listHost(h, host)
		h.answerPolls(running)
		h.is.Equal(len(takeAll[jobscheduler.Maintain](h)), 0)
		host.Worker = "a" // as the next listing has it
	}
}

// A host without any worker is maintained all the same, once two listings say so.
func TestHostWithoutWorkerIsMaintained(t *testing.T) {
	h := newHarness(t)
	h.addWorker("b")
	h.startTerm()
	h.reconcileWorkers()
	startWave(h)
	orders := 0
	for range 30 {
		h.advance(100 * time.Millisecond)
		listHost(h, jobscheduler.Host{
			Name:  "host-a",
			Pool:  "p",
			State: jobscheduler.HostUp,
		})
		h.answerPolls(nil)
		for _, m := range takeAll[jobscheduler.Maintain](h) {
			orders++
			h.withScheduler(func() { h.sched.Maintained(m, jobscheduler.HostOrderDone) })
		}
		for _, begun := range takeAll[jobscheduler.RecordWaveHost](h) {
			h.apply(&jobwire.Command{
				Change: &jobwire.Command_WaveProgress{
					WaveProgress: &jobwire.WaveProgress{
						Id:    begun.Wave,
						Begun: []string{begun.Host},
					},
				},
			})
		}
	}
	h.is.Equal(orders, 1)
}

// A host that moves comes back with a worker that the last listing does not name. A
// wave must leave it alone until the move is over: its order would end what has
// started there, unchecked.
func TestMovingHostIsNotMaintained(t *testing.T) {
	h := newHarness(t)
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: 2,
				Pools: []*jobwire.Pool{
					{
						Name: "p",
					},
					{
						Name:    "reserve",
						Standby: true,
					},
				},
			},
		},
	})
	h.startTerm()
	host := jobscheduler.Host{
		Name:  "host-a",
		Pool:  "reserve",
		State: jobscheduler.HostUp,
	}
	moved := false
	for range 20 {
		h.advance(100 * time.Millisecond)
		listHost(h, host)
		for _, m := range takeAll[jobscheduler.MoveHost](h) {
			h.withScheduler(func() { h.sched.HostMoved(m, jobscheduler.HostOrderDone) })
			if !moved {
				startWave(h)
			}
			moved = true
		}
		h.is.Equal(len(takeAll[jobscheduler.Maintain](h)), 0)
	}
	h.is.True(moved)
	host.Pool = "p" // the move is over
	maintained := 0
	for range 20 {
		h.advance(100 * time.Millisecond)
		listHost(h, host)
		maintained += len(takeAll[jobscheduler.Maintain](h))
	}
	h.is.Equal(maintained, 1)
}

// servingStep starts a step of two lasting tasks, of which one may be away, on the
// workers a and b, and a wave for the host of a. It returns the answers of both.
func servingStep(h *harness) map[string]jobscheduler.PollAnswer {
	h.addWorker("a")
	h.addWorker("b")
	step := tasks(2, 1000)
	step.Lasting, step.MayMiss, step.MostPerWorker = true, 1, 1
	h.submit("job", step)
	h.startTerm()
	h.reconcileWorkers()
	running := make(map[string]jobscheduler.PollAnswer)
	for _, start := range h.acceptStarts() {
		running[start.Target.ID] = jobscheduler.PollAnswer{
			Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
		}
	}
	h.is.Equal(len(running), 2)
	startWave(h)
	return running
}

// awaitMaintenance plays passes until the maintenance of host-a is ordered; it gives up
// after 5 s.
func awaitMaintenance(h *harness, running map[string]jobscheduler.PollAnswer) (jobscheduler.Maintain, bool) {
	for range 50 {
		h.advance(100 * time.Millisecond)
		answerHostLists(h)
		h.answerPolls(running)
		if orders := takeAll[jobscheduler.Maintain](h); len(orders) > 0 {
			return orders[0], true
		}
	}
	return jobscheduler.Maintain{}, false
}

// drainWorker applies the announcement of a worker that it drains.
func drainWorker(h *harness, id string) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:       id,
				Born:     1,
				Pool:     "p",
				Address:  id + ":1",
				Draining: true,
			},
		},
	})
}

// Between the decision to maintain a host and the order lies a log write, in which
// another worker of the step may begin to drain. Its tasks are about to go away, so the
// order must not be sent then.
func TestMaintenanceIsDecidedAgainBeforeItsOrder(t *testing.T) {
	h := newHarness(t)
	running := servingStep(h)
	order, ordered := awaitMaintenance(h, running)
	h.is.True(ordered)
	h.withScheduler(func() { h.is.True(h.sched.MayOrder(order)) })
	drainWorker(h, "b")
	h.withScheduler(func() { h.is.True(!h.sched.MayOrder(order)) })
	h.is.Equal(len(takeAll[jobscheduler.Stop](h)), 0) // asking stops nothing
}

// While the maintenance order of a host is on its way, the other tasks of its step stay
// where they are, on draining workers too.
func TestDrainWaitsForMaintenanceOrder(t *testing.T) {
	h := newHarness(t)
	running := servingStep(h)
	order, ordered := awaitMaintenance(h, running)
	h.is.True(ordered)
	drainWorker(h, "b")
	h.advance(50 * time.Millisecond)
	h.is.Equal(len(takeAll[jobscheduler.Stop](h)), 0)
	h.withScheduler(func() { h.sched.Maintained(order, jobscheduler.HostOrderBusy) })
	h.advance(time.Millisecond)
	stops := takeAll[jobscheduler.Stop](h)
	h.is.Equal(len(stops), 1)
	h.is.Equal(stops[0].Target.ID, "b")
}

// The provider also answers that an order is done when a former leader has had it
// executed, and does nothing then. A worker that goes on answering was not ended by the
// order, and its tasks must not be started elsewhere.
func TestOrderDoneBeforeEndsNoWorker(t *testing.T) {
	h := newHarness(t)
	running := servingStep(h)
	order, ok := awaitMaintenance(h, running)
	h.is.True(ok)
	h.addWorker("c")
	h.withScheduler(func() { h.sched.Maintained(order, jobscheduler.HostOrderDone) })
	for range 20 {
		h.advance(100 * time.Millisecond)
		h.answerPolls(running)
		h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	}
	// The worker is used again once a listing has the host up.
	h.submit("more", tasks(20, 1000))
	started := ""
	for range 20 {
		h.advance(100 * time.Millisecond)
		answerHostLists(h)
		h.answerPolls(running)
		started += formatStarts(takeAll[jobscheduler.Start](h))
	}
	h.is.True(strings.Contains(started, "@a"))
	h.is.True(!strings.Contains(started, "job."))
}

// The tasks of a worker that the order has ended must not wait for the end of its lease.
func TestTasksOfMaintainedHostStartElsewhere(t *testing.T) {
	tests := map[string]struct {
		refuses bool
		breaks  bool
		listed  jobscheduler.HostState
		want    int
	}{
		"the worker refuses the connection": {
			refuses: true,
			listed:  jobscheduler.HostUp,
			want:    1,
		},
		"the host is listed in maintenance": {
			listed: jobscheduler.HostInMaintenance,
			want:   1,
		},
		"nothing is known": {
			listed: jobscheduler.HostUnknown,
		},
		"the connections break": {
			breaks: true,
			listed: jobscheduler.HostUnknown,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			running := servingStep(h)
			order, ok := awaitMaintenance(h, running)
			h.is.True(ok)
			h.addWorker("c")
			h.withScheduler(func() { h.sched.Maintained(order, jobscheduler.HostOrderDone) })
			running["a"] = jobscheduler.PollAnswer{
				Failed:       true,
				Refused:      test.refuses,
				Disconnected: test.refuses || test.breaks,
			}
			var starts []jobscheduler.Start
			for range 8 {
				h.advance(100 * time.Millisecond)
				h.answerPolls(running)
				if test.listed != jobscheduler.HostUnknown {
					listHost(h, jobscheduler.Host{
						Name:   "host-a",
						Pool:   "p",
						State:  test.listed,
						Worker: "a",
					})
				}
				starts = append(starts, takeAll[jobscheduler.Start](h)...)
			}
			h.is.Equal(len(starts), test.want)
			for _, start := range starts {
				h.is.Equal(start.Target.ID, "c")
			}
		})
	}
}

// An entry of a listing with a state that nobody knows ended the worker of its host, which was
// alive.
func TestHostListedInUnknownStateEndsNoWorker(t *testing.T) {
	h := newHarness(t)
	running := servingStep(h)
	order, ok := awaitMaintenance(h, running)
	h.is.True(ok)
	h.addWorker("c")
	h.withScheduler(func() { h.sched.Maintained(order, jobscheduler.HostOrderDone) })
	for range 20 {
		h.advance(100 * time.Millisecond)
		h.answerPolls(running)
		listHost(h, jobscheduler.Host{
			Name:   "host-a",
			Pool:   "p",
			State:  jobscheduler.HostUnknown,
			Worker: "a",
		})
		h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	}
}

// A second run of a task, for example of an order that was executed late, hid the first one
// once it was reported: when it had ended, the task counted as unavailable for good, and
// maintenance waited for it.
func TestSecondRunHidesNoFirstRun(t *testing.T) {
	tests := map[string]uint64{
		"with a lower number":  0,
		"with a higher number": 7,
	}
	for name, number := range tests {
		t.Run(name, func(t *testing.T) { secondRunIsStopped(newHarness(t), number) })
	}
}

func secondRunIsStopped(h *harness, number uint64) {
	running := servingStep(h)
	h.addWorker("c")
	second := running["b"].Running[0]
	second.Run = number
	running["c"] = jobscheduler.PollAnswer{
		Running: []jobscheduler.RunningTask{second},
	}
	h.advance(time.Millisecond)
	h.answerPolls(running)
	h.advance(time.Millisecond)
	stops := takeAll[jobscheduler.Stop](h)
	h.is.Equal(len(stops), 1)
	h.is.Equal(stops[0].Target.ID, "c")
	running["c"] = jobscheduler.PollAnswer{
		Ended: []jobscheduler.EndedTask{endedTask(1, second.Task, second.Run, jobwire.Ending_ENDING_STOPPED)},
	}
	ordered := false
	for range 50 {
		h.advance(100 * time.Millisecond)
		answerHostLists(h)
		h.answerPolls(running)
		h.recordEnds()
		ordered = ordered || len(takeAll[jobscheduler.Maintain](h)) > 0
	}
	h.is.True(ordered)
}

// A new leader that reaches all workers but one doesn't know which tasks are at work
// there. It ordered the maintenance of that host as if none were, while the other task of
// the step was away.
func TestNewLeaderMaintainsNoHostWhoseRunsItDoesNotKnow(t *testing.T) {
	h := newHarness(t)
	h.providerOrderDelay = 3 * time.Second
	running := servingStep(h)
	h.forget("b")
	h.startTerm()
	for range 35 {
		h.advance(100 * time.Millisecond)
		answerHostLists(h)
		h.failPolls("a")
		h.is.Equal(len(takeAll[jobscheduler.Maintain](h)), 0)
	}
	// Once it has reported its task, the host waits because both would be away.
	_, ordered := awaitMaintenance(h, map[string]jobscheduler.PollAnswer{"a": running["a"]})
	h.is.True(!ordered)
}

// The former leader's order for a host may be executed after the change of leader. The
// next leader stopped another task of the step at once, on a worker that drains or has
// become smaller, so that more were away than the step may miss.
func TestNewLeaderWaitsForMaintenanceOrderOfFormerLeader(t *testing.T) {
	drain := func(h *harness) { drainWorker(h, "b") }
	shrink := func(h *harness) { h.resize("b", 500) }
	tests := map[string]struct {
		leave func(h *harness)
		// unreachable is true when the new leader does not reach the ordered worker.
		unreachable bool
	}{
		"another worker drains":                     {leave: drain},
		"another worker shrinks":                    {leave: shrink},
		"another worker drains, one is unreachable": {leave: drain, unreachable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.providerOrderDelay = 3 * time.Second
			running := servingStep(h)
			h.now = h.now.Add(10 * time.Second)
			h.announceHostOrder("a", 1)
			h.startTerm()
			test.leave(h)
			if test.unreachable {
				running["a"] = jobscheduler.PollAnswer{Failed: true}
			}
			stopped := func(d time.Duration) (n int) {
				for range int(d / (100 * time.Millisecond)) {
					h.advance(100 * time.Millisecond)
					h.answerPolls(running)
					n += len(takeAll[jobscheduler.Stop](h))
				}
				return n
			}
			h.is.Equal(stopped(2900*time.Millisecond), 0)
			h.is.True(stopped(time.Second) > 0)
		})
	}
}

// A new leader started tasks on a worker whose host the former leader had ordered into
// maintenance. They ended soon after, while others of their step were away.
func TestNewLeaderStartsNothingOnHostOrderedByFormerLeader(t *testing.T) {
	h := newHarness(t)
	h.providerOrderDelay = 3 * time.Second
	h.addWorker("a")
	h.now = h.now.Add(10 * time.Second)
	h.announceHostOrder("a", 1)
	h.term = 1
	h.startTerm()
	h.submit("job", tasks(1, 1000))
	started, _ := h.play(2900*time.Millisecond, nil)
	h.is.Equal(len(started), 0)
	started, _ = h.play(time.Second, nil)
	h.is.Equal(len(started), 1)
}
