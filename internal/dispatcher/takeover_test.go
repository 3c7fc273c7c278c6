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

// Guards against a new deployment in which nothing starts for the lease of the
// workers, although no former scheduler can have started anything: a worker that
// is not there yet and a host that is down must not hold up the others.
func TestFirstSchedulerStartsSoon(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.workers["w3"].up = false
	w.hosts["b1"].up = false
	assignedAt := w.clock.Now()
	var startedAt time.Time
	w.step = func(name, _ string) {
		if name == "start order" && startedAt.IsZero() {
			startedAt = w.clock.Now()
		}
	}
	for range 40 {
		w.advance(250 * time.Millisecond)
		w.submit("a1", &wire.Task{
			Size:         cores(1000),
			RunTimeNanos: int64(time.Second),
		})
	}
	is.True(!startedAt.IsZero())
	is.True(startedAt.Sub(assignedAt) >= follower.ForceBound)
	is.True(startedAt.Sub(assignedAt) < 10*time.Second)
}

// Guards upper-limit, zone-out and at-most-once in long faults on a full fleet,
// which the cells of the matrix are too short for.
func TestLongFaults(t *testing.T) {
	tests := map[string]func(w *world){
		"worker cut off for longer than its lease": func(w *world) {
			w.partition("w3", "*>w3", "w3>*")
		},
		"scheduler cut off from the control state, zone out": func(w *world) {
			w.removeAfter = time.Minute
			w.partition("control", "a1>control", "control>a1")
			w.setZone(wire.ServiceState_SERVICE_STATE_OUT)
		},
		"scheduler cut off from the control state, replaced by its copy holder": func(w *world) {
			w.assign("a2")
			w.advance(5 * time.Second)
			w.partition("control", "a2>control", "control>a2")
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.advance(5 * time.Second)
			for i := range 120 {
				if i == 16 {
					fault(w)
				}
				seconds := 2
				if i%4 == 1 {
					seconds = 25
				}
				w.submit("a1", &wire.Task{
					Size:         cores(1000),
					Idempotent:   i%3 == 0,
					RunTimeNanos: int64(time.Duration(seconds) * time.Second),
				})
				w.advance(300 * time.Millisecond)
			}
			w.advance(10 * time.Second)
			for _, problem := range w.trouble {
				t.Error(problem)
			}
		})
	}
}

// Guards against an acknowledgement of a task that one host holds, and against
// a refusal of a task that is held.
func TestAcknowledgementNeedsSecondCopy(t *testing.T) {
	tests := map[string]struct {
		single  bool
		refused bool
	}{
		"two copies asked for": {
			refused: true,
		},
		"one copy is good enough": {
			single: true,
		},
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

// Guards against a scheduler that goes on with a new copy holder which a later
// scheduler can't learn of, because most entry hosts are on the other side.
func TestNewCopyHolderMustBeKnownToMost(t *testing.T) {
	tests := map[string]struct {
		cut          []string
		acknowledged bool
	}{
		"most can be told": {
			cut:          []string{"a2"},
			acknowledged: true,
		},
		"most can't be told": {
			cut: []string{"a2", "b2", "b3"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			for _, name := range []string{"b2", "b3"} {
				w.hosts[name] = &entryHost{
					w: w,
					member: &wire.Member{
						Name:       name,
						DataCentre: "dc-b",
					},
				}
				w.boot(name)
			}
			w.advance(5 * time.Second)
			for _, name := range test.cut {
				w.partition(name, "*>"+name, name+">*")
			}
			resp := w.submit("a1", &wire.Task{
				Size: cores(1000),
			})
			is.Equal(resp.GetCopies() == 2, test.acknowledged)
		})
	}
}
