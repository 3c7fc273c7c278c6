package dispatcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

// Guards against a new scheduler that starts tasks while the former one may
// still hold an authority lease.
func TestNewSchedulerWaitsForForceBound(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.advance(5 * time.Second)
	w.assign("a2")
	assignedAt := w.clock.Now()
	var startedAt time.Time
	w.step = func(name, _ string) {
		if name == "start order" && startedAt.IsZero() {
			startedAt = w.clock.Now()
		}
	}
	w.advance(2 * tick)
	w.submit("a2", &wire.Task{
		Size:         cores(1000),
		RunTimeNanos: int64(time.Second),
	})
	w.advance(5 * time.Second)
	is.True(!startedAt.IsZero())                                     // it starts
	is.True(startedAt.Sub(assignedAt) >= follower.ForceBound)        // but not too early
	is.Equal(w.hosts["a1"].d.Report(), (*wire.SchedulerReport)(nil)) // and only there
}

// Guards against an acknowledgement of a task that one host holds, and against
// a refusal of a task that is held.
func TestAcknowledgementNeedsSecondCopy(t *testing.T) {
	tests := map[string]struct {
		single  bool
		refused bool
	}{
		"two copies asked for":    {refused: true},
		"one copy is good enough": {single: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.advance(5 * time.Second)
			w.partition("a2", "*>a2", "a2>*")
			w.partition("b1", "*>b1", "b1>*")
			req := &wire.SubmitRequest{
				AcceptSingleCopy: test.single,
				Task: &wire.Task{
					Team:  "team",
					Queue: "jobs",
					Size:  cores(1000),
				},
			}
			first := w.hosts["a1"].d.Submit(t.Context(), req)
			if !test.single {
				is.Equal(first.GetStatus().GetState(), wire.TaskState_TASK_STATE_UNKNOWN) // the copy may have arrived
			}
			second := w.hosts["a1"].d.Submit(t.Context(), req)
			is.Equal(second.GetRefusal() != "", test.refused)
			is.Equal(second.GetRetryAfterNanos() > 0, test.refused)
			if test.single {
				is.Equal(second.GetCopies(), int32(1))
			}
		})
	}
}
