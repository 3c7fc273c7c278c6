package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// restart ends the process of a worker and lets the next one poll.
func (f *fleet) restart(name string) {
	f.incarnations[name]++
	f.running[name], f.ended[name] = nil, nil
	f.sequence++
	f.poll(name)
}

func (f *fleet) crashes(task string) int {
	status, _ := f.s.Status(f.now, task)
	return len(status.GetCrashes())
}

// A worker that leaves ends by plan. Its tasks have not crashed it, and an idempotent one
// that runs for long would be stopped after a few releases of the worker's program.
func TestRestartOfLeavingWorkerIsNoCrash(t *testing.T) {
	for name, leaving := range map[string]bool{"leaves": true, "crashes": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, oneTeam)
			f.submitMany(1, "a", size(1000, 1))
			f.round()
			is.Equal(len(f.running[workerName(0)]), 1)
			f.leaving = leaving
			f.round()
			f.leaving = false
			f.restart(workerName(0))
			want := 1
			if leaving {
				want = 0
			}
			is.Equal(f.crashes("a-0"), want)
		})
	}
}

// A worker may crash while no scheduler works. The next one knows from the replicas which
// incarnation ran a task, and must count the crash.
func TestNextSchedulerCountsCrash(t *testing.T) {
	for name, test := range map[string]struct {
		crashes bool
		partial bool
		silence time.Duration
		want    int
	}{
		"crash": {
			crashes: true,
			want:    1,
		},
		"no crash": {},
		"cut off until its lease has ended": {
			silence: 2 * scheduler.WorkerLeaseBound,
		},
		"crash and a silence until its lease has ended": {
			crashes: true,
			silence: 2 * scheduler.WorkerLeaseBound,
			want:    1,
		},
		"the task may not have been started": {
			crashes: true,
			partial: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, oneTeam)
			f.submitMany(1, "a", size(1000, 1))
			f.round()
			status, _ := f.s.Status(f.now, "a-0")
			is.Equal(status.GetState(), wire.TaskState_TASK_STATE_RUNNING)
			f.s = scheduler.New(scheduler.Options{
				DataCentre: "dc",
				Epoch:      2,
				State:      controller.FromSnapshot(snapshot(1, oneTeam)),
			})
			f.epoch = 2
			f.step(scheduler.Adopt{
				Tasks:   []*wire.TaskStatus{status},
				Partial: test.partial,

				UnpolledLeaseUntil: f.now.Add(scheduler.WorkerLeaseBound),
			})
			f.step(scheduler.Rebuilt{})
			f.now = f.now.Add(test.silence)
			f.pass()
			if test.crashes {
				f.restart(workerName(0))
			} else {
				f.pollAll()
			}
			is.Equal(f.crashes("a-0"), test.want)
		})
	}
}
