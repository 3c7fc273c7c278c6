package scheduler_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// Guards against unintended changes of scheduling decisions. The golden file shows
// the actions of a session with two teams, two workers, an urgent task, a failing
// task, a cancellation, a lost worker and a data centre that goes out of service
// and returns.
func TestSession(t *testing.T) {
	f := newFleet(2, []team{{
		name:  "a",
		share: 1,
		limit: 96_000,
	}, {
		name:  "b",
		share: 3,
		limit: 1 << 40,
	}})
	f.outcome = func(_, task string) wire.TaskState {
		if task == "a-1" {
			return wire.TaskState_TASK_STATE_FAILED
		}
		return wire.TaskState_TASK_STATE_UNSPECIFIED
	}
	var log bytes.Buffer
	var seen int
	note := func(format string, args ...any) {
		fmt.Fprintf(&log, "%6v  %s\n", f.now.Sub(time.Unix(1000, 0)), fmt.Sprintf(format, args...))
		for _, action := range f.actions[seen:] {
			if line := describe(action); line != "" {
				fmt.Fprintf(&log, "        %s\n", line)
			}
		}
		seen = len(f.actions)
	}
	f.submitMany(4, "a", size(16_000, 8))
	f.submitMany(4, "b", size(16_000, 8))
	note("eight tasks of two teams")
	f.round()
	note("first round")
	f.round()
	note("task a-1 fails")
	f.submit(&wire.Task{
		Id:     "urgent",
		Team:   "b",
		Size:   size(32_000, 8),
		Urgent: true,
	})
	f.round()
	note("an urgent task comes")
	f.step(scheduler.Cancel{
		ID:   "b-0",
		Team: "b",
	})
	f.round()
	note("task b-0 is cancelled")
	f.workers = f.workers[:1]
	for range 32 {
		f.round()
	}
	note("worker w-0001 is lost")
	for i, state := range []wire.ServiceState{wire.ServiceState_SERVICE_STATE_OUT, wire.ServiceState_SERVICE_STATE_IN} {
		snap := snapshot(2, []team{{
			name:  "a",
			share: 1,
			limit: 96_000,
		}, {
			name:  "b",
			share: 3,
			limit: 1 << 40,
		}})
		snap.Revision = uint64(2 + i)
		snap.DataCentres[0].State = state
		f.step(scheduler.ControlStateUpdate{
			State: controller.FromSnapshot(snap),
		})
		for range 4 {
			f.round()
		}
		note("the data centre is set to %v", state)
	}
	goldie.New(t).Assert(t, "session", log.Bytes())
}

func describe(action scheduler.Action) string {
	switch a := action.(type) {
	case scheduler.Ordered:
		o := a.Orders
		var starts []string
		for _, task := range o.GetStart() {
			starts = append(starts, task.GetId())
		}
		if len(starts)+len(o.GetStop())+len(o.GetCheckpoint())+len(o.GetThrottle())+len(o.GetAcknowledged()) == 0 {
			return ""
		}
		return fmt.Sprintf("ordered %s: start %v stop %v checkpoint %v throttle %v acknowledged %v",
			a.Worker, starts, o.GetStop(), o.GetCheckpoint(), o.GetThrottle(), o.GetAcknowledged())
	case scheduler.Answered:
		return fmt.Sprintf("answered %s: %v", a.Status.GetTask().GetId(), a.Status.GetState())
	default:
		return fmt.Sprintf("%T %v", action, action)
	}
}
