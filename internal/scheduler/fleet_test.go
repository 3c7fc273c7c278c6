package scheduler_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// TestMain sets a fixed seed for the property tests, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

// fleet drives a scheduler with emulated workers.
type fleet struct {
	s        *scheduler.Scheduler
	now      time.Time
	workers  []string
	capacity *wire.Resources
	sequence uint64
	epoch    uint64
	running  map[string][]*wire.RunningTask
	// ended holds the reports of ended tasks until they are acknowledged.
	ended map[string][]*wire.EndedTask
	// incarnations counts the crashes of each worker.
	incarnations map[string]int
	// leaving makes the workers report that they leave.
	leaving bool
	// outcome returns the state in which a task ends on a worker at its next
	// poll, or unspecified if it keeps running.
	outcome func(worker, task string) wire.TaskState
	// ignoreOrders makes the workers carry out no orders.
	ignoreOrders bool

	actions []scheduler.Action
}

type team struct {
	name  string
	share int64
	limit int64
}

const gib = 1 << 30

func hostSize() *wire.Resources { return size(64_000, 128) }

func size(milliCores, memoryGiB int64) *wire.Resources {
	return &wire.Resources{
		MilliCores:  milliCores,
		MemoryBytes: memoryGiB * gib,
	}
}

func snapshot(workers int, teams []team) *wire.Snapshot {
	snap := &wire.Snapshot{
		Revision: 1,
		DataCentres: []*wire.DataCentre{{
			Name:  "dc",
			State: wire.ServiceState_SERVICE_STATE_IN,
		}},
		Pools: []*wire.Pool{{
			Name:  "pool",
			State: wire.ServiceState_SERVICE_STATE_IN,
		}},
		Queues: []*wire.Queue{{
			Name: "jobs",
			Kind: wire.QueueKind_QUEUE_KIND_TASKS,
			Pool: "pool",
		}},
	}
	contract := &wire.Contract{
		Customer: "customer",
	}
	for _, t := range teams {
		limit := &wire.Resources{
			MilliCores:  t.limit,
			MemoryBytes: 1 << 50,
		}
		contract.Teams = append(contract.Teams, &wire.Team{
			Name:   t.name,
			Share:  t.share,
			Limit:  limit,
			Queues: []string{"jobs"},
		})
		snap.Allotments = append(snap.Allotments, &wire.Allotment{
			Team:       t.name,
			DataCentre: "dc",
			Amount:     limit,
			Target:     limit,
		})
	}
	snap.Contracts = append(snap.Contracts, contract)
	for i := range workers {
		snap.Hosts = append(snap.Hosts, &wire.Host{
			Name:       workerName(i),
			DataCentre: "dc",
			Pool:       "pool",
			State:      wire.HostState_HOST_STATE_ACTIVE,
			Capacity:   hostSize(),
		})
	}
	return snap
}

func workerName(i int) string { return fmt.Sprintf("w-%04d", i) }

func newFleet(workers int, teams []team) *fleet {
	f := &fleet{
		now:      time.Unix(1000, 0),
		capacity: hostSize(),
		running:  make(map[string][]*wire.RunningTask),
		ended:    make(map[string][]*wire.EndedTask),

		incarnations: make(map[string]int),

		outcome: func(string, string) wire.TaskState { return wire.TaskState_TASK_STATE_UNSPECIFIED },
		s: scheduler.New(scheduler.Options{
			DataCentre: "dc",
			Epoch:      1,
			State:      controller.FromSnapshot(snapshot(workers, teams)),
		}),
	}
	for i := range workers {
		f.workers = append(f.workers, workerName(i))
	}
	f.step(scheduler.Rebuilt{})
	f.pollAll()
	return f
}

func (f *fleet) step(event scheduler.Event) []scheduler.Action {
	actions := f.s.Step(f.now, event)
	f.s.ConfirmReplicated(f.s.TakeChanges(f.now).Through)
	f.actions = append(f.actions, actions...)
	return actions
}

// crash ends the process of a worker, which polls again as another one after a silence.
func (f *fleet) crash(name string, silence time.Duration) {
	f.incarnations[name]++
	f.running[name], f.ended[name] = nil, nil
	for end := f.now.Add(silence); f.now.Before(end); {
		f.now = f.now.Add(time.Second)
		f.sequence++
		for _, other := range f.workers {
			if other != name {
				f.poll(other)
			}
		}
		f.step(scheduler.Pass{
			MayStart: true,
		})
	}
	f.sequence++
	f.poll(name)
}

// pollAll makes every worker poll once and carry out its orders.
func (f *fleet) pollAll() {
	f.sequence++
	for _, name := range f.workers {
		f.poll(name)
	}
	f.epoch = 1
}

func (f *fleet) poll(name string) *wire.WorkerOrders {
	p := &wire.WorkerPoll{
		Worker:      name,
		DataCentre:  "dc",
		Capacity:    f.capacity,
		Epoch:       f.epoch,
		Incarnation: fmt.Sprint(1 + f.incarnations[name]),
		Sequence:    f.sequence,
		Leaving:     f.leaving,
	}
	p.Ended = f.ended[name]
	for _, r := range f.running[name] {
		if state := f.outcome(name, r.GetTask()); state != wire.TaskState_TASK_STATE_UNSPECIFIED {
			p.Ended = append(p.Ended, &wire.EndedTask{
				Task:  r.GetTask(),
				State: state,
				Peak:  r.GetDetail().GetSize(),
			})
			continue
		}
		p.Running = append(p.Running, r)
	}
	f.running[name] = p.Running
	f.ended[name] = p.Ended
	var orders *wire.WorkerOrders
	for _, action := range f.step(scheduler.Poll{
		Poll:     p,
		MayStart: true,
	}) {
		if ordered, ok := action.(scheduler.Ordered); ok {
			orders = ordered.Orders
		}
	}
	f.ended[name] = slices.DeleteFunc(f.ended[name], func(e *wire.EndedTask) bool {
		return slices.Contains(orders.GetAcknowledged(), e.GetTask())
	})
	if f.ignoreOrders {
		return orders
	}
	f.end(name, orders.GetStop(), wire.TaskState_TASK_STATE_STOPPED)
	f.end(name, orders.GetCheckpoint(), wire.TaskState_TASK_STATE_QUEUED)
	for _, t := range orders.GetStart() {
		f.running[name] = append(f.running[name], &wire.RunningTask{
			Task:   t.GetId(),
			Detail: t,
		})
	}
	return orders
}

// end carries out stop or checkpoint orders: the tasks end in the given state.
func (f *fleet) end(name string, ids []string, state wire.TaskState) {
	f.running[name] = slices.DeleteFunc(f.running[name], func(r *wire.RunningTask) bool {
		if !slices.Contains(ids, r.GetTask()) {
			return false
		}
		f.ended[name] = append(f.ended[name], &wire.EndedTask{
			Task:         r.GetTask(),
			State:        state,
			Checkpointed: state == wire.TaskState_TASK_STATE_QUEUED,
		})
		return true
	})
}

func (f *fleet) pass() []scheduler.Action {
	return f.step(scheduler.Pass{
		MayStart: true,
	})
}

// round advances the clock by one poll interval, then runs a pass and all polls.
func (f *fleet) round() {
	f.now = f.now.Add(scheduler.PollInterval)
	f.pass()
	f.pollAll()
}

func (f *fleet) submit(task *wire.Task) scheduler.Action {
	task.Queue = "jobs"
	actions := f.step(scheduler.Submit{
		Task: task,
	})
	return actions[len(actions)-1]
}

func (f *fleet) submitMany(n int, team string, each *wire.Resources) {
	for i := range n {
		f.submit(&wire.Task{
			Id:         fmt.Sprintf("%s-%d", team, i),
			Team:       team,
			Size:       each,
			Idempotent: true,
		})
	}
}

func (f *fleet) state(id string) wire.TaskState {
	status, _ := f.s.Status(f.now, id)
	return status.GetState()
}

// use returns the cores granted to the running tasks of each team, in millicores.
func (f *fleet) use() map[string]int64 {
	use := make(map[string]int64)
	for _, tasks := range f.running {
		for _, r := range tasks {
			use[r.GetDetail().GetTeam()] += r.GetDetail().GetSize().GetMilliCores()
		}
	}
	return use
}
