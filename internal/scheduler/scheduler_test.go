package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

var oneTeam = []team{
	{
		name:  "a",
		share: 1,
		limit: 1 << 40,
	},
}

func always(state wire.TaskState) func(string, string) wire.TaskState {
	return func(string, string) wire.TaskState { return state }
}

// Guards against accepting tasks that can never run, which would stay queued for
// ever, and against a retry hint in their refusal.
func TestImpossibleTasksAreRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		team   string
		size   *wire.Resources
		reason string
	}{
		"larger than every host": {
			team:   "a",
			size:   size(65_000, 1),
			reason: `no host of pool "pool" in dc is large enough`,
		},
		"above the team's limit": {
			team:   "small",
			size:   size(2000, 1),
			reason: `the size is above the limit of team "small"`,
		},
		"without a size": {
			team:   "a",
			size:   size(0, 0),
			reason: "the size is missing",
		},
		"unknown team": {
			team:   "x",
			size:   size(1, 1),
			reason: `team "x" is not known`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, append([]team{{
				name:  "small",
				share: 1,
				limit: 1000,
			}}, oneTeam...))
			is.Equal(f.submit(&wire.Task{
				Id:   "1",
				Team: test.team,
				Size: test.size,
			}), scheduler.Action(scheduler.Refused{
				Reason: test.reason,
			}))
		})
	}
}

// Guards against a broken worker that attracts all tasks because it fails them
// quickly, and against one that never gets a task again after it was repaired.
func TestRepairedWorkerLeavesQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, oneTeam)
	broken := true
	f.outcome = func(worker, _ string) wire.TaskState {
		if worker == workerName(0) && broken {
			return wire.TaskState_TASK_STATE_FAILED
		}
		return wire.TaskState_TASK_STATE_SUCCEEDED
	}
	f.submitMany(2000, "a", size(8000, 1))
	quarantines := func() (n int) {
		for _, action := range f.actions {
			if _, ok := action.(scheduler.Quarantined); ok {
				n++
			}
		}
		return n
	}
	for range 5 {
		f.round()
	}
	is.Equal(quarantines(), 1)
	is.Equal(len(f.running[workerName(0)]), 0) // quarantined, so it gets no task
	is.True(len(f.running[workerName(1)]) > 0)
	f.now = f.now.Add(2 * time.Minute)
	f.pollAll()
	f.round()
	is.Equal(len(f.running[workerName(0)]), 1) // one task at a time on probation
	f.round()
	is.Equal(quarantines(), 2)
	broken = false
	f.now = f.now.Add(3 * time.Minute)
	f.pollAll()
	f.round()
	f.round()
	f.round()
	is.True(len(f.running[workerName(0)]) > 1)
	is.Equal(quarantines(), 2)
}

// Guards against a task that fails on every worker and is retried without end. The
// failures must not count against the workers.
func TestTaskFailingOnSeveralWorkersIsStopped(t *testing.T) {
	for name, workers := range map[string]int{"several workers": 6, "fewer workers than the limit": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(workers, oneTeam)
			f.outcome = always(wire.TaskState_TASK_STATE_FAILED)
			f.submitMany(1, "a", size(1000, 1))
			for range 6 {
				f.round()
			}
			is.Equal(f.state("a-0"), wire.TaskState_TASK_STATE_STOPPED)
			status, _ := f.s.Status(f.now, "a-0")
			is.Equal(status.GetAttempts(), int64(min(workers, scheduler.MaxFailedWorkers)))
		})
	}
}

// Guards against a task that crashes each worker that starts it and is started without
// end, and against harmless tasks that are stopped because they ran beside it.
func TestTaskThatCrashesWorkersIsStopped(t *testing.T) {
	for name, silence := range map[string]time.Duration{"restart within the lease": 0, "restart after the lease": 2 * scheduler.WorkerLeaseBound} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(6, []team{
				{
					name:  "deadly",
					share: 1,
					limit: 1 << 40,
				},
				{
					name:  "harmless",
					share: 1,
					limit: 1 << 40,
				},
			})
			polls := 0
			f.outcome = func(_, task string) wire.TaskState {
				if polls++; polls%10 == 0 && task != "deadly-0" {
					return wire.TaskState_TASK_STATE_SUCCEEDED
				}
				return wire.TaskState_TASK_STATE_UNSPECIFIED
			}
			f.submitMany(1, "deadly", size(1000, 1))
			f.submitMany(40, "harmless", size(8000, 1))
			crashes := 0
			for range 80 {
				f.round()
				for _, w := range f.workers {
					if !slices.ContainsFunc(f.running[w], func(r *wire.RunningTask) bool { return r.GetTask() == "deadly-0" }) {
						continue
					}
					crashes++
					f.crash(w, silence)
				}
			}
			is.True(crashes <= 5)
			is.Equal(f.state("deadly-0"), wire.TaskState_TASK_STATE_STOPPED)
			for i := range 40 {
				state := f.state(fmt.Sprint("harmless-", i))
				is.True(state != wire.TaskState_TASK_STATE_STOPPED && state != wire.TaskState_TASK_STATE_FAILED)
			}
		})
	}
}

// Guards against urgent tasks that wait while the fleet is full, and against
// preempted tasks that stay throttled or checkpointed after the urgent task has
// ended.
func TestUrgentWorkDisplacesOtherWork(t *testing.T) {
	for name, idempotent := range map[string]bool{"checkpoint": true, "throttle": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, oneTeam)
			f.submit(&wire.Task{
				Id:         "long",
				Team:       "a",
				Size:       size(64_000, 4),
				Idempotent: idempotent,
			})
			f.round()
			f.submit(&wire.Task{
				Id:     "urgent",
				Team:   "a",
				Size:   size(4000, 4),
				Urgent: true,
			})
			f.pass()
			f.sequence++
			orders := f.poll(workerName(0))
			is.Equal(len(orders.GetStart()), 1)
			is.Equal(orders.GetThrottle(), []string{"long"})
			is.Equal(len(orders.GetCheckpoint()) == 1, idempotent)
			f.outcome = func(_, task string) wire.TaskState {
				if task == "urgent" {
					return wire.TaskState_TASK_STATE_SUCCEEDED
				}
				return wire.TaskState_TASK_STATE_UNSPECIFIED
			}
			f.sequence++
			is.Equal(len(f.poll(workerName(0)).GetThrottle()), 0)
			f.outcome = always(wire.TaskState_TASK_STATE_UNSPECIFIED)
			for range 3 {
				f.round()
			}
			is.Equal(f.use()["a"], int64(64_000)) // the preempted task runs at its full size again
		})
	}
}

// Guards against tasks that start, or keep running without a checkpoint order, on
// hosts where the control state does not allow tasks to start.
func TestNothingStartsWhereStateForbids(t *testing.T) {
	tests := map[string]func(*wire.Snapshot){
		"data centre out": func(s *wire.Snapshot) { s.DataCentres[0].State = wire.ServiceState_SERVICE_STATE_OUT },
		"pool out":        func(s *wire.Snapshot) { s.Pools[0].State = wire.ServiceState_SERVICE_STATE_OUT },
		"host draining":   func(s *wire.Snapshot) { s.Hosts[0].State = wire.HostState_HOST_STATE_DRAINING },
		"host moved":      func(s *wire.Snapshot) { s.Hosts[0].PoolEpoch = 9 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, oneTeam)
			f.submitMany(3, "a", size(1000, 1))
			f.round()
			f.submitMany(5, "a", size(1000, 1))
			f.pass() // assigned, start not yet sent
			snap := snapshot(1, oneTeam)
			snap.Revision = 2
			change(snap)
			f.step(scheduler.ControlStateUpdate{
				State: controller.FromSnapshot(snap),
			})
			f.sequence++
			orders := f.poll(workerName(0))
			is.Equal(len(orders.GetStart()), 0)
			is.Equal(len(orders.GetCheckpoint()), 3)
			f.outcome = always(wire.TaskState_TASK_STATE_QUEUED)
			f.round()
			f.round()
			is.Equal(f.s.Report(f.now).GetHosts()[0].GetTasks(), int64(0)) // nothing assigned
		})
	}
}

// Guards against a burst of load right after a data centre returns to service.
func TestRampAfterReturn(t *testing.T) {
	is := is.New(t)
	f := newFleet(10, oneTeam)
	f.submitMany(1000, "a", size(1000, 1))
	for i, state := range []wire.ServiceState{wire.ServiceState_SERVICE_STATE_OUT, wire.ServiceState_SERVICE_STATE_IN} {
		snap := snapshot(10, oneTeam)
		snap.Revision = uint64(2 + i)
		snap.DataCentres[0].State = state
		f.step(scheduler.ControlStateUpdate{
			State: controller.FromSnapshot(snap),
		})
		if state == wire.ServiceState_SERVICE_STATE_OUT {
			f.round()
		}
	}
	returned := f.now
	for range 70 {
		f.round()
		age := f.now.Sub(returned)
		fraction := min(1, float64(age)/float64(scheduler.RampLength))
		is.True(float64(f.use()["a"]) <= fraction*640_000)
	}
	is.Equal(f.use()["a"], int64(640_000))
}

// Guards against counting a task as idle because a usage report made right after its
// start shows none yet, which would give its team more than its share.
func TestUsageLagIsCorrected(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, []team{{
		name:  "a",
		share: 1,
		limit: 1 << 40,
	}, {
		name:  "b",
		share: 1,
		limit: 1 << 40,
	}})
	f.submitMany(32, "a", size(1000, 1))
	f.round()
	for _, r := range f.running[workerName(0)] {
		r.Used = size(0, 0)
		r.RunNanos = int64(time.Second)
	}
	f.pollAll()
	f.submitMany(64, "a", size(1000, 1))
	for i := range 64 {
		f.submit(&wire.Task{
			Id:   fmt.Sprint("more-", i),
			Team: "b",
			Size: size(1000, 1),
		})
	}
	f.round()
	is.Equal(f.use()["b"], int64(32_000))
}

// Guards against unbounded memory under a flood of submissions: tasks beyond
// MaxTasks are refused. Submitting a known task again is still answered.
func TestMaxTasks(t *testing.T) {
	is := is.New(t)
	s := scheduler.New(scheduler.Options{
		DataCentre: "dc",
		Epoch:      1,
		State:      controller.FromSnapshot(snapshot(1, oneTeam)),
		MaxTasks:   2,
	})
	now := time.Unix(1000, 0)
	s.Step(now, scheduler.Rebuilt{})
	accepts := func(id string) bool {
		actions := s.Step(now, scheduler.Submit{
			Task: &wire.Task{
				Id:            id,
				Team:          "a",
				Queue:         "jobs",
				Size:          size(1000, 1),
				DeadlineNanos: int64(time.Minute),
			},
		})
		_, ok := actions[0].(scheduler.Answered)
		return ok
	}
	is.True(accepts("1"))
	is.True(accepts("2"))
	is.True(!accepts("3"))
	is.True(accepts("2"))
}
