package dispatcher_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/dispatcher"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/runner"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	tick      = 100 * time.Millisecond
	teamLimit = 6000
)

var errLink = errors.New("link: no response")

// cluster is a small simulated deployment on a fake clock: entry hosts a1 and a2 in
// dc-a and b1 in dc-b, workers w1 to w3 in dc-a, and an in-memory network.
type cluster struct {
	t       *testing.T
	clock   *timer.Fake
	state   controller.State
	hosts   map[string]*entryHost
	workers map[string]*workerHost
	// step is called at each named step of the protocol; it may inject faults.
	step func(name, at string)
	// blocked lists one-way links that drop messages, as "from>to"; "*" matches all.
	blocked map[string]bool
	// messageFaults maps a method to the fault of its next message: "delay",
	// "duplicate" or "reorder".
	messageFaults map[string]string
	scheduled     []scheduledCall
	startCount    map[string]int
	acknowledged  map[string]bool
	idempotent    map[string]bool
	// assigned holds the tasks that some copy listed as running; only these may end
	// as unknown.
	assigned   map[string]bool
	outAt      time.Time
	serial     int
	violations []string
	// removeAfter is how long an entry host may be silent before the control state
	// removes it from the view.
	removeAfter time.Duration
}

type scheduledCall struct {
	at  time.Time
	run func()
}

type entryHost struct {
	cluster *cluster
	member  *wire.Member
	d       *dispatcher.Dispatcher
	view    follower.View
	up      bool
	frozen  bool
	heardAt time.Time
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t:             t,
		clock:         timer.NewFake(time.Unix(1000, 0)),
		hosts:         make(map[string]*entryHost),
		workers:       make(map[string]*workerHost),
		step:          func(string, string) {},
		blocked:       make(map[string]bool),
		messageFaults: make(map[string]string),
		startCount:    make(map[string]int),
		acknowledged:  make(map[string]bool),
		idempotent:    make(map[string]bool),
		removeAfter:   4 * time.Second,
		assigned:      make(map[string]bool),
	}
	for _, name := range []string{"a1", "a2", "b1"} {
		c.hosts[name] = &entryHost{
			cluster: c,
			member: &wire.Member{
				Name:       name,
				DataCentre: "dc-" + name[:1],
			},
		}
		c.boot(name)
	}
	for _, name := range []string{"w1", "w2", "w3"} {
		c.workers[name] = &workerHost{
			cluster:    c,
			name:       name,
			dataCentre: "dc-a",
		}
		c.bootWorker(name)
	}
	c.apply(&wire.Command{
		Change: &wire.Command_Bootstrap{
			Bootstrap: &wire.Bootstrap{
				Snapshot: bootstrap(),
			},
		},
	})
	c.setView()
	c.setAllotments(teamLimit, 0)
	c.assign("a1")
	return c
}

// setAllotments sets the team's allotments in dc-a and dc-b, in millicores.
func (c *cluster) setAllotments(a, b int64) {
	set := &wire.SetAllotments{}
	for name, amount := range map[string]int64{"dc-a": a, "dc-b": b} {
		set.Allotments = append(set.Allotments, &wire.Allotment{
			Team:       "team",
			DataCentre: name,
			Amount:     cores(amount),
			Target:     cores(amount),
		})
	}
	c.apply(&wire.Command{
		Change: &wire.Command_SetAllotments{
			SetAllotments: set,
		},
	})
}

func cores(n int64) *wire.Resources {
	return &wire.Resources{
		MilliCores:  n,
		MemoryBytes: n,
	}
}

func bootstrap() *wire.Snapshot {
	snap := &wire.Snapshot{
		DataCentres: []*wire.DataCentre{{
			Name: "dc-a",
		}, {
			Name: "dc-b",
		}},
		Pools: []*wire.Pool{{
			Name:               "pool",
			AvailabilityBudget: 1,
			MaxHosts:           9,
		}},
		Queues: []*wire.Queue{{
			Name: "jobs",
			Pool: "pool",
			Kind: wire.QueueKind_QUEUE_KIND_TASKS,
		}},
		Contracts: []*wire.Contract{{
			Customer: "customer",
			Teams: []*wire.Team{{
				Name:   "team",
				Share:  1,
				Limit:  cores(teamLimit),
				Queues: []string{"jobs"},
			}},
		}},
	}
	for _, name := range []string{"w1", "w2", "w3"} {
		snap.Hosts = append(snap.Hosts, &wire.Host{
			Name:       name,
			DataCentre: "dc-a",
			Pool:       "pool",
			Capacity:   cores(4000),
		})
	}
	return snap
}

func (c *cluster) apply(cmd *wire.Command) {
	c.serial++
	cmd.OperationId = fmt.Sprint(c.serial)
	next, result := controller.Apply(c.state, cmd)
	if result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
		c.t.Fatal(result.GetReason())
	}
	c.state = next
}

// setView sets the view to the entry hosts that were heard within removeAfter.
func (c *cluster) setView() {
	v := &wire.View{
		Epoch: c.state.View().GetEpoch() + 1,
	}
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		if h := c.hosts[name]; c.clock.Now().Sub(h.heardAt) < c.removeAfter {
			v.Members = append(v.Members, proto.CloneOf(h.member))
		}
	}
	c.apply(&wire.Command{
		Change: &wire.Command_SetView{
			SetView: &wire.SetView{
				View: v,
			},
		},
	})
}

func (c *cluster) assign(host string) {
	c.apply(&wire.Command{
		Change: &wire.Command_AssignScheduler{
			AssignScheduler: &wire.AssignScheduler{
				DataCentre: "dc-a",
				EntryHost:  host,
			},
		},
	})
	c.step("change", host)
}

func (c *cluster) setServiceState(state wire.ServiceState) {
	d, _ := c.state.DataCentre("dc-a")
	c.apply(&wire.Command{
		ExpectedRevision:    d.GetRevision(),
		ProposedAtUnixNanos: c.clock.Now().UnixNano(),
		Change: &wire.Command_SetDataCentreState{
			SetDataCentreState: &wire.SetDataCentreState{
				Name:  "dc-a",
				State: state,
			},
		},
	})
	c.outAt = c.clock.Now()
	if state == wire.ServiceState_SERVICE_STATE_IN {
		c.outAt = time.Time{}
	}
}

// boot starts a new process of an entry host, without the state of the former one.
func (c *cluster) boot(name string) {
	h := c.hosts[name]
	c.serial++
	h.member.Incarnation = fmt.Sprint(c.serial)
	h.up = true
	h.view = follower.View{}
	h.heardAt = c.clock.Now()
	h.d = dispatcher.New(dispatcher.Options{
		Self:  proto.CloneOf(h.member),
		Clock: c.clock,
		View:  func() follower.View { return h.view },
		Peers: link{h},
		NewID: func() string {
			c.serial++
			return fmt.Sprint(c.serial)
		},
		RunAll: func(calls []func()) {
			for _, call := range calls {
				call()
			}
		},
		Logger: slog.New(rebuildLogHandler{slog.DiscardHandler, c, name}),
	})
}

// advance runs the cluster for d, in steps of one tick.
func (c *cluster) advance(d time.Duration) {
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		c.clock.Advance(tick)
		c.runScheduled()
		c.runControl()
		for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
			if h := c.hosts[name]; h.up && !h.frozen {
				h.d.Tick(c.clock.Now())
			}
		}
		for _, name := range slices.Sorted(maps.Keys(c.workers)) {
			c.workers[name].advance()
		}
		c.checkTeamLimit()
	}
}

func (c *cluster) runScheduled() {
	due := c.scheduled
	c.scheduled = nil
	for _, d := range due {
		if d.at.After(c.clock.Now()) {
			c.scheduled = append(c.scheduled, d)
			continue
		}
		d.run()
	}
}

// runControl simulates the controller: it grants authority leases, updates the view
// and replaces the scheduler of dc-a if it is silent.
func (c *cluster) runControl() {
	now := c.clock.Now()
	changed := false
	incarnations := make(map[string]string)
	for _, m := range c.state.View().GetMembers() {
		incarnations[m.GetName()] = m.GetIncarnation()
	}
	for name, h := range c.hosts {
		if h.up && !h.frozen && !c.isCut(name, "control") && !c.isCut("control", name) {
			h.heardAt = now
		}
		alive := now.Sub(h.heardAt) < c.removeAfter
		incarnation, member := incarnations[name]
		changed = changed || member != alive || (alive && member && incarnation != h.member.GetIncarnation())
	}
	if changed {
		c.setView()
	}
	d, _ := c.state.DataCentre("dc-a")
	if now.Sub(c.hosts[d.GetScheduler()].heardAt) >= c.removeAfter {
		for _, name := range []string{"a1", "a2", "b1"} {
			if now.Sub(c.hosts[name].heardAt) < c.removeAfter {
				c.assign(name)
				break
			}
		}
	}
	for _, h := range c.hosts {
		if h.heardAt.Equal(now) {
			if h.view.State.Revision() != c.state.Revision() {
				h.view.State = c.state
			}
			h.view.LeaseUntil = now.Add(follower.LeaseLength)
		}
	}
}

func (c *cluster) isCut(from, to string) bool {
	return c.blocked[from+">"+to] || c.blocked["*>"+to] || c.blocked[from+">*"]
}

// checkTeamLimit records a violation if the workers run more than the team's limit.
func (c *cluster) checkTeamLimit() {
	var running int64
	for _, h := range c.workers {
		running += h.running()
	}
	if running > teamLimit {
		c.violations = append(c.violations, fmt.Sprintf("upper-limit: %d millicores running at Unix time %v s", running, c.clock.Now().Unix()))
	}
}

func (c *cluster) recordStart(dataCentre string, task *wire.Task) {
	c.startCount[task.GetId()]++
	if c.startCount[task.GetId()] > 1 && !task.GetIdempotent() {
		c.violations = append(c.violations, "at-most-once: task "+task.GetId()+" ran twice")
	}
	if dataCentre == "dc-a" && !c.outAt.IsZero() && c.clock.Now().Sub(c.outAt) > follower.InForceBound+scheduler.StartWindow {
		c.violations = append(c.violations, "zone-out: task "+task.GetId()+" started after its data centre was taken out of service")
	}
}

// submit submits a task at an entry host and records whether it was acknowledged.
func (c *cluster) submit(host string, task *wire.Task) *wire.SubmitResponse {
	h := c.hosts[host]
	if !h.up || h.frozen {
		return nil
	}
	task.Team = "team"
	task.Queue = "jobs"
	resp := h.d.Submit(context.Background(), &wire.SubmitRequest{
		Task: task,
	})
	if resp.GetCopies() >= 2 {
		id := resp.GetStatus().GetTask().GetId()
		c.acknowledged[id] = true
		c.idempotent[id] = task.GetIdempotent()
		c.step("acknowledgement", host)
	}
	return resp
}

// link implements dispatcher.Peers for the calls of one entry host.
type link struct{ h *entryHost }

func call[Q, R proto.Message](l link, method string, m *wire.Member, req Q, serve func(*dispatcher.Dispatcher, Q) R) (R, error) {
	return deliver(l.h.cluster, l.h.member.GetName(), m.GetName(), method, req, serve)
}

// deliver calls the target entry host, subject to the injected faults.
func deliver[Q, R proto.Message](c *cluster, from, to, method string, req Q, serve func(*dispatcher.Dispatcher, Q) R) (R, error) {
	var none R
	target := c.hosts[to]
	serveOnce := func() R { return proto.CloneOf(serve(target.d, proto.CloneOf(req))) }
	c.step("before "+method, to)
	if !target.up || target.frozen || c.isCut(from, to) {
		return none, errLink
	}
	fault := c.messageFaults[method]
	delete(c.messageFaults, method)
	switch fault {
	case "delay", "reorder":
		redelivery := scheduledCall{
			at:  c.clock.Now().Add(1500 * time.Millisecond),
			run: func() { serveOnce() },
		}
		if fault == "reorder" {
			redelivery.at = c.clock.Now()
		}
		c.scheduled = append(c.scheduled, redelivery)
		return none, errLink
	case "duplicate":
		serveOnce()
	}
	resp := serveOnce()
	c.step("after "+method, to)
	if !c.hosts[to].up || c.hosts[to].d != target.d || c.hosts[to].frozen || c.isCut(to, from) {
		return none, errLink
	}
	return resp, nil
}

func (l link) Submit(ctx context.Context, m *wire.Member, req *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	return call(l, "submit", m, req, func(d *dispatcher.Dispatcher, q *wire.SubmitRequest) *wire.SubmitResponse {
		return d.ServeSubmit(ctx, q)
	})
}

func (l link) Get(ctx context.Context, m *wire.Member, req *wire.TaskRequest) (*wire.TaskResponse, error) {
	return call(l, "get", m, req, func(d *dispatcher.Dispatcher, q *wire.TaskRequest) *wire.TaskResponse { return d.ServeGet(ctx, q) })
}

func (l link) Cancel(ctx context.Context, m *wire.Member, req *wire.TaskRequest) (*wire.TaskResponse, error) {
	return call(l, "cancel", m, req, func(d *dispatcher.Dispatcher, q *wire.TaskRequest) *wire.TaskResponse { return d.ServeCancel(ctx, q) })
}

func (l link) CopyTasks(ctx context.Context, m *wire.Member, req *wire.CopyTasksRequest) (*wire.CopyTasksResponse, error) {
	for _, status := range req.GetTasks() {
		if status.GetState() == wire.TaskState_TASK_STATE_RUNNING {
			l.h.cluster.assigned[status.GetTask().GetId()] = true
		}
	}
	return call(l, "copy", m, req, func(d *dispatcher.Dispatcher, q *wire.CopyTasksRequest) *wire.CopyTasksResponse {
		return d.ServeCopyTasks(ctx, q)
	})
}

func (l link) FetchTasks(ctx context.Context, m *wire.Member, req *wire.FetchTasksRequest) (*wire.FetchTasksResponse, error) {
	return call(l, "fetch", m, req, func(d *dispatcher.Dispatcher, q *wire.FetchTasksRequest) *wire.FetchTasksResponse {
		return d.ServeFetchTasks(ctx, q)
	})
}

func (l link) Poll(ctx context.Context, m *wire.Member, req *wire.WorkerPoll) (*wire.WorkerOrders, error) {
	return call(l, "forward", m, req, func(d *dispatcher.Dispatcher, q *wire.WorkerPoll) *wire.WorkerOrders { return d.ServePoll(ctx, q) })
}

var _ runner.Poller = (*workerHost)(nil)

// rebuildLogHandler reports the log message of a rebuild as a step.
type rebuildLogHandler struct {
	slog.Handler
	cluster *cluster
	host    string
}

// Enabled implements slog.Handler.
func (rebuildLogHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (r rebuildLogHandler) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "dispatcher: tasks rebuilt from copies; starts begin once former leases have expired" {
		r.cluster.step("rebuild", r.host)
	}
	return nil
}
