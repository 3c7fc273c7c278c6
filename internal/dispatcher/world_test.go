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

// world is a small deployment on a fake clock: entry hosts a1 and a2 in dc-a
// and b1 in dc-b, workers w1 to w3 in dc-a, and an in-memory link.
type world struct {
	t       *testing.T
	clock   *timer.Fake
	state   controller.State
	hosts   map[string]*entryHost
	workers map[string]*workerHost
	// step is called at each named step; it may inject faults.
	step func(name, at string)
	// blocked lists one-way cuts as "from>to"; "*" stands for all.
	blocked map[string]bool
	// mangle, when set, says what happens to the next message of a method.
	mangle map[string]string
	later  []delayed
	runs   map[string]int
	acked  map[string]bool
	idem   map[string]bool
	// assigned holds the tasks that a copy names as running; only these may
	// end as unknown.
	assigned map[string]bool
	outAt    time.Time
	serial   int
	trouble  []string
	// removeAfter is when the control state gives up on a silent entry host.
	removeAfter time.Duration
}

type delayed struct {
	at      time.Time
	deliver func()
}

type entryHost struct {
	w       *world
	member  *wire.Member
	d       *dispatcher.Dispatcher
	view    follower.View
	up      bool
	frozen  bool
	heardAt time.Time
}

func newWorld(t *testing.T) *world {
	w := &world{
		t:           t,
		clock:       timer.NewFake(time.Unix(1000, 0)),
		hosts:       make(map[string]*entryHost),
		workers:     make(map[string]*workerHost),
		step:        func(string, string) {},
		blocked:     make(map[string]bool),
		mangle:      make(map[string]string),
		runs:        make(map[string]int),
		acked:       make(map[string]bool),
		idem:        make(map[string]bool),
		removeAfter: 4 * time.Second,
		assigned:    make(map[string]bool),
	}
	for _, name := range []string{"a1", "a2", "b1"} {
		w.hosts[name] = &entryHost{
			w: w,
			member: &wire.Member{
				Name:       name,
				DataCentre: "dc-" + name[:1],
			},
		}
		w.boot(name)
	}
	for _, name := range []string{"w1", "w2", "w3"} {
		w.workers[name] = &workerHost{
			w:    w,
			name: name,
			zone: "dc-a",
		}
		w.bootWorker(name)
	}
	w.apply(&wire.Command{
		Change: &wire.Command_Bootstrap{
			Bootstrap: &wire.Bootstrap{
				Snapshot: bootstrap(),
			},
		},
	})
	w.setView()
	w.allot(teamLimit, 0)
	w.assign("a1")
	return w
}

// allot sets what the team may run in each data centre.
func (w *world) allot(a, b int64) {
	set := &wire.SetAllotments{}
	for name, amount := range map[string]int64{"dc-a": a, "dc-b": b} {
		set.Allotments = append(set.Allotments, &wire.Allotment{
			Team:       "team",
			DataCentre: name,
			Amount:     cores(amount),
			Target:     cores(amount),
		})
	}
	w.apply(&wire.Command{
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

func (w *world) apply(cmd *wire.Command) {
	w.serial++
	cmd.OperationId = fmt.Sprint(w.serial)
	next, result := controller.Apply(w.state, cmd)
	if result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
		w.t.Fatal(result.GetReason())
	}
	w.state = next
}

// setView puts the entry hosts that the control state hears into its view.
func (w *world) setView() {
	v := &wire.View{
		Epoch: w.state.View().GetEpoch() + 1,
	}
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		if h := w.hosts[name]; w.clock.Now().Sub(h.heardAt) < w.removeAfter {
			v.Members = append(v.Members, proto.CloneOf(h.member))
		}
	}
	w.apply(&wire.Command{
		Change: &wire.Command_SetView{
			SetView: &wire.SetView{
				View: v,
			},
		},
	})
}

func (w *world) assign(host string) {
	w.apply(&wire.Command{
		Change: &wire.Command_AssignScheduler{
			AssignScheduler: &wire.AssignScheduler{
				DataCentre: "dc-a",
				EntryHost:  host,
			},
		},
	})
	w.step("change", host)
}

func (w *world) setZone(state wire.ServiceState) {
	d, _ := w.state.DataCentre("dc-a")
	w.apply(&wire.Command{
		ExpectedRevision:    d.GetRevision(),
		ProposedAtUnixNanos: w.clock.Now().UnixNano(),
		Change: &wire.Command_SetDataCentreState{
			SetDataCentreState: &wire.SetDataCentreState{
				Name:  "dc-a",
				State: state,
			},
		},
	})
	w.outAt = w.clock.Now()
	if state == wire.ServiceState_SERVICE_STATE_IN {
		w.outAt = time.Time{}
	}
}

// boot starts a new process of an entry host, without memory of the former one.
func (w *world) boot(name string) {
	h := w.hosts[name]
	w.serial++
	h.member.Incarnation = fmt.Sprint(w.serial)
	h.up = true
	h.view = follower.View{}
	h.heardAt = w.clock.Now()
	h.d = dispatcher.New(dispatcher.Options{
		Self:  proto.CloneOf(h.member),
		Clock: w.clock,
		View:  func() follower.View { return h.view },
		Peers: link{h},
		NewID: func() string {
			w.serial++
			return fmt.Sprint(w.serial)
		},
		Together: func(calls []func()) {
			for _, call := range calls {
				call()
			}
		},
		Logger: slog.New(rebuildWatch{slog.DiscardHandler, w, name}),
	})
}

// advance runs the world for d.
func (w *world) advance(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.clock.Advance(tick)
		w.deliverLater()
		w.control()
		for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
			if h := w.hosts[name]; h.up && !h.frozen {
				h.d.Tick(w.clock.Now())
			}
		}
		for _, name := range slices.Sorted(maps.Keys(w.workers)) {
			w.workers[name].advance()
		}
		w.check()
	}
}

func (w *world) deliverLater() {
	due := w.later
	w.later = nil
	for _, d := range due {
		if d.at.After(w.clock.Now()) {
			w.later = append(w.later, d)
			continue
		}
		d.deliver()
	}
}

// control plays the control state: leases, the view and the scheduler.
func (w *world) control() {
	now := w.clock.Now()
	changed := false
	in := make(map[string]string)
	for _, m := range w.state.View().GetMembers() {
		in[m.GetName()] = m.GetIncarnation()
	}
	for name, h := range w.hosts {
		if h.up && !h.frozen && !w.cut(name, "control") && !w.cut("control", name) {
			h.heardAt = now
		}
		alive := now.Sub(h.heardAt) < w.removeAfter
		incarnation, member := in[name]
		changed = changed || member != alive || (alive && member && incarnation != h.member.GetIncarnation())
	}
	if changed {
		w.setView()
	}
	d, _ := w.state.DataCentre("dc-a")
	if now.Sub(w.hosts[d.GetScheduler()].heardAt) >= w.removeAfter {
		for _, name := range []string{"a1", "a2", "b1"} {
			if now.Sub(w.hosts[name].heardAt) < w.removeAfter {
				w.assign(name)
				break
			}
		}
	}
	for _, h := range w.hosts {
		if h.heardAt.Equal(now) {
			if h.view.State.Revision() != w.state.Revision() {
				h.view.State = w.state
			}
			h.view.LeaseUntil = now.Add(follower.LeaseLength)
		}
	}
}

func (w *world) cut(from, to string) bool {
	return w.blocked[from+">"+to] || w.blocked["*>"+to] || w.blocked[from+">*"]
}

// check tests upper-limit and zone-out on what the workers really run.
func (w *world) check() {
	var running int64
	for _, h := range w.workers {
		running += h.running()
	}
	if running > teamLimit {
		w.trouble = append(w.trouble, fmt.Sprintf("upper-limit: %d running at %v", running, w.clock.Now().Unix()))
	}
}

func (w *world) noteStart(zone string, task *wire.Task) {
	w.runs[task.GetId()]++
	if w.runs[task.GetId()] > 1 && !task.GetIdempotent() {
		w.trouble = append(w.trouble, "at-most-once: task "+task.GetId()+" ran twice")
	}
	if zone == "dc-a" && !w.outAt.IsZero() && w.clock.Now().Sub(w.outAt) > follower.ForceBound+scheduler.StartWindow {
		w.trouble = append(w.trouble, "zone-out: task "+task.GetId()+" started after its zone was out")
	}
}

// submit hands in a task at an entry host and notes an acknowledgement.
func (w *world) submit(host string, task *wire.Task) *wire.SubmitResponse {
	h := w.hosts[host]
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
		w.acked[id] = true
		w.idem[id] = task.GetIdempotent()
		w.step("acknowledgement", host)
	}
	return resp
}

// link carries the calls of one entry host.
type link struct{ h *entryHost }

func call[Q, R proto.Message](l link, method string, m *wire.Member, req Q, serve func(*dispatcher.Dispatcher, Q) R) (R, error) {
	return deliver(l.h.w, l.h.member.GetName(), m.GetName(), method, req, serve)
}

// deliver carries one message, with the faults that are in force.
func deliver[Q, R proto.Message](w *world, from, to, method string, req Q, serve func(*dispatcher.Dispatcher, Q) R) (R, error) {
	var none R
	target := w.hosts[to]
	once := func() R { return proto.CloneOf(serve(target.d, proto.CloneOf(req))) }
	w.step("before "+method, to)
	if !target.up || target.frozen || w.cut(from, to) {
		return none, errLink
	}
	how := w.mangle[method]
	delete(w.mangle, method)
	switch how {
	case "delay", "reorder":
		late := delayed{
			at:      w.clock.Now().Add(1500 * time.Millisecond),
			deliver: func() { once() },
		}
		if how == "reorder" {
			late.at = w.clock.Now()
		}
		w.later = append(w.later, late)
		return none, errLink
	case "duplicate":
		once()
	}
	resp := once()
	w.step("after "+method, to)
	if !w.hosts[to].up || w.hosts[to].d != target.d || w.hosts[to].frozen || w.cut(to, from) {
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
			l.h.w.assigned[status.GetTask().GetId()] = true
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

// rebuildWatch turns the log message of a rebuild into a step.
type rebuildWatch struct {
	slog.Handler
	w    *world
	host string
}

// Enabled implements slog.Handler.
func (rebuildWatch) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (r rebuildWatch) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "dispatcher: tasks rebuilt" {
		r.w.step("rebuild", r.host)
	}
	return nil
}
