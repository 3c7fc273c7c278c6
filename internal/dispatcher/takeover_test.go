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
	c := newCluster(t)
	c.advance(5 * time.Second)
	c.assign("a2")
	assignedAt := c.clock.Now()
	var startedAt time.Time
	c.step = func(name, _ string) {
		if name == "start order" && startedAt.IsZero() {
			startedAt = c.clock.Now()
		}
	}
	c.advance(2 * tick)
	c.submit("a2", &wire.Task{
		Size:         cores(1000),
		RunTimeNanos: int64(time.Second),
	})
	c.advance(5 * time.Second)
	is.True(!startedAt.IsZero())                                     // the task is started
	is.True(startedAt.Sub(assignedAt) >= follower.InForceBound)      // but not while the former scheduler may hold a lease
	is.Equal(c.hosts["a1"].d.Report(), (*wire.SchedulerReport)(nil)) // and the former scheduler has stopped
}

// Guards against a new deployment in which no task is started until worker leases
// have expired, although no former scheduler can have started any: a worker that
// has not joined yet and an entry host that is down must not delay the others.
func TestFirstSchedulerStartsSoon(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.workers["w3"].up = false
	c.hosts["b1"].up = false
	assignedAt := c.clock.Now()
	var startedAt time.Time
	c.step = func(name, _ string) {
		if name == "start order" && startedAt.IsZero() {
			startedAt = c.clock.Now()
		}
	}
	for range 40 {
		c.advance(250 * time.Millisecond)
		c.submit("a1", &wire.Task{
			Size:         cores(1000),
			RunTimeNanos: int64(time.Second),
		})
	}
	is.True(!startedAt.IsZero())
	is.True(startedAt.Sub(assignedAt) >= follower.InForceBound)
	is.True(startedAt.Sub(assignedAt) < 10*time.Second)
}

// Checks the team's limit, the stop of starts in a data centre out of service and
// at-most-once execution in long faults under full load, for which the runs of the
// fault matrix are too short.
func TestLongFaults(t *testing.T) {
	tests := map[string]func(c *cluster){
		"worker cut off for longer than its lease": func(c *cluster) {
			c.partition("w3", "*>w3", "w3>*")
		},
		"scheduler cut off from the control state, data centre out of service": func(c *cluster) {
			c.removeAfter = time.Minute
			c.partition("control", "a1>control", "control>a1")
			c.setServiceState(wire.ServiceState_SERVICE_STATE_OUT)
		},
		"scheduler cut off from the control state, replaced by its copy holder": func(c *cluster) {
			c.assign("a2")
			c.advance(5 * time.Second)
			c.partition("control", "a2>control", "control>a2")
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.advance(5 * time.Second)
			for i := range 120 {
				if i == 16 {
					fault(c)
				}
				seconds := 2
				if i%4 == 1 {
					seconds = 25
				}
				c.submit("a1", &wire.Task{
					Size:         cores(1000),
					Idempotent:   i%3 == 0,
					RunTimeNanos: int64(time.Duration(seconds) * time.Second),
				})
				c.advance(300 * time.Millisecond)
			}
			c.advance(10 * time.Second)
			for _, problem := range c.violations {
				t.Error(problem)
			}
		})
	}
}

// Guards against the acknowledgement of a task that only one host holds, and
// against the refusal of a task that a host may hold.
func TestAcknowledgementNeedsSecondCopy(t *testing.T) {
	tests := map[string]struct {
		single  bool
		refused bool
	}{
		"two copies required": {
			refused: true,
		},
		"one copy accepted": {
			single: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			c.advance(5 * time.Second)
			c.partition("a2", "*>a2", "a2>*")
			c.partition("b1", "*>b1", "b1>*")
			req := &wire.SubmitRequest{
				AcceptSingleCopy: test.single,
				Task: &wire.Task{
					Team:  "team",
					Queue: "jobs",
					Size:  cores(1000),
				},
			}
			first := c.hosts["a1"].d.Submit(t.Context(), req)
			if !test.single {
				is.Equal(first.GetStatus().GetState(), wire.TaskState_TASK_STATE_UNKNOWN) // the copy may have arrived
			}
			second := c.hosts["a1"].d.Submit(t.Context(), req)
			is.Equal(second.GetRefusal() != "", test.refused)
			is.Equal(second.GetRetryAfterNanos() > 0, test.refused)
			if test.single {
				is.Equal(second.GetCopies(), int32(1))
			}
		})
	}
}

// Guards against a scheduler that goes on with a new backup of which a later
// scheduler can't learn, because the majority of entry hosts is on the other side
// of a partition.
func TestNewBackupNeedsMajorityOfView(t *testing.T) {
	tests := map[string]struct {
		cut          []string
		acknowledged bool
	}{
		"majority reachable": {
			cut:          []string{"a2"},
			acknowledged: true,
		},
		"majority unreachable": {
			cut: []string{"a2", "b2", "b3"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			for _, name := range []string{"b2", "b3"} {
				c.hosts[name] = &entryHost{
					cluster: c,
					member: &wire.Member{
						Name:       name,
						DataCentre: "dc-b",
					},
				}
				c.boot(name)
			}
			c.advance(5 * time.Second)
			for _, name := range test.cut {
				c.partition(name, "*>"+name, name+">*")
			}
			resp := c.submit("a1", &wire.Task{
				Size: cores(1000),
			})
			is.Equal(resp.GetCopies() == 2, test.acknowledged)
		})
	}
}
