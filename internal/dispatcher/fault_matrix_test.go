package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathermux/heathermux/internal/wire"
)

// steps are the rows of the fault matrix: the points at which a fault is injected.
// The names of rows and columns seed the choice of the occurrence in each cell.
var steps = []string{
	"before submit", "after submit", "before copy", "after copy", "acknowledgement",
	"before poll", "after poll", "before forward", "after forward", "start order", "start",
	"end report", "end acknowledgement", "change", "before fetch", "after fetch", "rebuild",
}

// faults are the columns. Each is injected into the target and ends by itself.
var faults = map[string]func(c *cluster, target string){
	"kill":              func(c *cluster, target string) { c.kill(target, 12*time.Second) },
	"restart":           func(c *cluster, target string) { c.kill(target, 300*time.Millisecond) },
	"lost state":        func(c *cluster, target string) { c.kill(target, 0) },
	"partition":         func(c *cluster, target string) { c.partition(target, "*>"+target, target+">*") },
	"partition in":      func(c *cluster, target string) { c.partition(target, "*>"+target) },
	"partition out":     func(c *cluster, target string) { c.partition(target, target+">*") },
	"cut from control":  func(c *cluster, target string) { c.partition("control", target+">control", "control>"+target) },
	"freeze":            func(c *cluster, target string) { c.freeze(target, 18*time.Second) },
	"delay":             func(c *cluster, _ string) { c.injectAllMethods("delay") },
	"duplicate":         func(c *cluster, _ string) { c.injectAllMethods("duplicate") },
	"reorder":           func(c *cluster, _ string) { c.injectAllMethods("reorder") },
	"kill, worker kill": func(c *cluster, target string) { c.kill(target, 12*time.Second); c.kill("w1", 12*time.Second) },
	"freeze, worker partition": func(c *cluster, target string) {
		c.freeze(target, 18*time.Second)
		c.partition("w1", "*>w1", "w1>*")
	},
	"partition, worker freeze": func(c *cluster, target string) {
		c.partition(target, "*>"+target, target+">*")
		c.freeze("w2", 18*time.Second)
	},
	"partition, restart worker": func(c *cluster, target string) {
		c.partition(target, "*>"+target, target+">*")
		c.kill("w2", 0)
	},
}

func (c *cluster) runAfter(d time.Duration, f func()) {
	c.scheduled = append(c.scheduled, scheduledCall{
		at:  c.clock.Now().Add(d),
		run: f,
	})
}

func (c *cluster) kill(target string, down time.Duration) {
	restart := func() { c.bootTarget(target) }
	if h := c.hosts[target]; h != nil {
		h.up = false
	} else {
		c.workers[target].up = false
		c.workers[target].tasks = nil
	}
	if down == 0 {
		restart()
		return
	}
	c.runAfter(down, restart)
}

func (c *cluster) bootTarget(target string) {
	if c.hosts[target] != nil {
		c.boot(target)
	} else {
		c.bootWorker(target)
	}
}

// partition drops the messages on the given links for 20 s. A partitioned entry
// host still reaches the workers, so that a former scheduler can go on renewing
// their leases.
func (c *cluster) partition(target string, cuts ...string) {
	expanded := cuts
	if c.hosts[target] != nil {
		expanded = nil
		for _, other := range []string{"a1", "a2", "b1", "control"} {
			if slices.Contains(cuts, "*>"+target) {
				expanded = append(expanded, other+">"+target)
			}
			if slices.Contains(cuts, target+">*") {
				expanded = append(expanded, target+">"+other)
			}
		}
	}
	for _, cut := range expanded {
		c.blocked[cut] = true
	}
	c.runAfter(20*time.Second, func() {
		for _, cut := range expanded {
			delete(c.blocked, cut)
		}
	})
}

func (c *cluster) freeze(target string, d time.Duration) {
	set := func(frozen bool) {
		if h := c.hosts[target]; h != nil {
			h.frozen = frozen
		} else {
			c.workers[target].frozen = frozen
		}
	}
	set(true)
	c.runAfter(d, func() { set(false) })
}

func (c *cluster) injectAllMethods(fault string) {
	for _, method := range []string{"submit", "copy", "poll", "forward", "fetch"} {
		c.messageFaults[method] = fault
	}
}

// runLoad submits a fixed load, during which the scheduler is changed as planned
// and a data centre is taken out of service and returned.
func (c *cluster) runLoad() {
	for i := range 30 {
		seconds := 2 + i%4
		if i%7 == 1 {
			seconds = 17 // longer than a worker lease
		}
		c.submit([]string{"a1", "a2", "b1"}[i%3], &wire.Task{
			Size:         cores(1000),
			Idempotent:   i%2 == 0,
			Urgent:       i%10 == 9,
			RunTimeNanos: int64(time.Duration(seconds) * time.Second),
		})
		c.advance(400 * time.Millisecond)
		if i == 12 {
			if d, _ := c.state.DataCentre("dc-a"); c.hosts["a2"].heardAt.Equal(c.clock.Now()) && d.GetScheduler() == "a1" {
				c.assign("a2")
			}
		}
	}
	c.setServiceState(wire.ServiceState_SERVICE_STATE_OUT)
	c.advance(12 * time.Second)
	c.setServiceState(wire.ServiceState_SERVICE_STATE_IN)
	// All faults have ended after 30 s; the ramp and the longest task take longer.
	c.advance(30 * time.Second)
	for range 6 {
		if len(c.lost()) == 0 {
			return
		}
		c.advance(10 * time.Second)
	}
}

// lost describes the acknowledged tasks that did not succeed. A non-idempotent task
// that was assigned to a worker may also end as unknown or stopped.
func (c *cluster) lost() []string {
	var lost []string
	for id := range c.acknowledged {
		resp := c.hosts["b1"].d.Get(context.Background(), &wire.TaskRequest{
			Id:   id,
			Team: "team",
		})
		state := resp.GetStatus().GetState()
		ran := c.assigned[id] && !c.idempotent[id] && (state == wire.TaskState_TASK_STATE_UNKNOWN || state == wire.TaskState_TASK_STATE_STOPPED)
		if state != wire.TaskState_TASK_STATE_SUCCEEDED && !ran {
			lost = append(lost, fmt.Sprintf("lost: task %s is %v (%s)", id, state, resp.GetStatus().GetReason()))
		}
	}
	return lost
}

// Checks that the team's limit, the stop of starts in a data centre out of service,
// at-most-once execution and the durability of acknowledged tasks hold for each
// fault at each step, on the scheduler's host, on its backup and on a worker. The
// seed of a cell chooses the occurrence of the step at which the fault is injected.
func TestFaultMatrix(t *testing.T) {
	for _, row := range steps {
		for column, fault := range faults {
			for _, target := range []string{"a1", "a2", "w1"} {
				name := row + "/" + column + "/" + target
				seed := xxhash.Sum64String(name)
				occurrences := []int{1 + rand.New(rand.NewPCG(seed, 1)).IntN(12)}
				if column == "cut from control" {
					// Regression: in these cells a former scheduler was not fenced.
					occurrences = append(occurrences, 9)
				}
				for _, nth := range occurrences {
					t.Run(fmt.Sprint(name, "/", nth), func(t *testing.T) {
						t.Parallel()
						runCell(t, row, target, nth, fault)
					})
				}
			}
		}
	}
}

func runCell(t *testing.T, row, target string, nth int, fault func(*cluster, string)) {
	c := newCluster(t)
	c.advance(5 * time.Second)
	seen := 0
	if row == "change" || row == "rebuild" || strings.HasSuffix(row, "fetch") {
		nth = 1 + nth%2 // a run has one or two of these
	}
	c.step = func(name, _ string) {
		if name != row {
			return
		}
		if seen++; seen == nth {
			fault(c, target)
		}
	}
	c.runLoad()
	for _, problem := range append(c.violations, c.lost()...) {
		t.Error(problem)
	}
	if seen == 0 {
		t.Error("fault not injected: the step did not occur")
	}
	if len(c.acknowledged) == 0 {
		t.Error("no task was acknowledged")
	}
}
