package measurer

import (
	"fmt"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// start is when all emulated fleets begin.
var start = time.Unix(1_800_000_000, 0)

// site is the scheduler of one data centre with workers that all polled.
type site struct {
	shape    shape
	state    controller.State
	sched    *scheduler.Scheduler
	now      time.Time
	sequence uint64
	// tasks is the number of tasks on each worker.
	tasks int
	// session is that of the scheduler once it knows all tasks, as in the polls
	// of a worker that goes on.
	session string
}

// newSite returns a scheduler whose workers run the given number of tasks each.
func newSite(s shape, tasks int) *site {
	state := s.state()
	t := &site{
		shape: s,
		state: state,
		sched: scheduler.New(scheduler.Options{
			DataCentre: dataCentreName(0),
			Epoch:      1,
			State:      state,
		}),
		now:   start,
		tasks: tasks,
	}
	t.sched.Step(t.now, scheduler.Rebuilt{})
	for i := range s.hosts {
		t.poll(i)
	}
	t.session = incarnation("scheduler") + "/1"
	return t
}

func (t *site) poll(host int) {
	t.sequence++
	t.sched.Step(t.now, scheduler.Poll{
		Poll:     t.pollOf(host),
		MayStart: true,
	})
}

// pollOf is the report of one worker whose tasks use less than they declared.
func (t *site) pollOf(host int) *wire.WorkerPoll {
	h := t.shape.host(host)
	p := &wire.WorkerPoll{
		Worker:      h.GetName(),
		Incarnation: incarnation(h.GetName()),
		DataCentre:  h.GetDataCentre(),
		Rack:        h.GetRack(),
		Capacity:    h.GetCapacity(),
		PoolEpoch:   1,
		Epoch:       1,
		Sequence:    t.sequence,
		DescribedTo: t.session,
	}
	for i := range t.tasks {
		task := t.task(host, i)
		p.Running = append(p.Running, &wire.RunningTask{
			Task:     task.GetId(),
			Epoch:    1,
			Used:     part(task.GetSize(), 80, 100),
			RunNanos: int64(time.Minute),
		})
		if t.session == "" {
			p.Running[i].Detail = task
		}
	}
	return p
}

// task is the i-th task of a host; together they fill it.
func (t *site) task(host, i int) *wire.Task {
	size := part(workerSize(), 1, max(t.tasks, 1))
	size.Accelerators = 0
	return &wire.Task{
		Id:            fmt.Sprintf("%s-%04d-%032d", dataCentreName(0), host, i),
		Team:          teamName((host + i) % t.shape.teams),
		Queue:         queueName(host / t.shape.dataCentres % t.shape.pools),
		Size:          size,
		DeadlineNanos: int64(time.Hour),
		RunTimeNanos:  int64(time.Minute),
		Idempotent:    true,
	}
}

// submit queues tasks that ask for a share of a worker.
func (t *site) submit(count, share int) {
	size := part(workerSize(), 1, share)
	size.Accelerators = 0
	for i := range count {
		t.sched.Step(t.now, scheduler.Submit{
			Task: &wire.Task{
				Id:            fmt.Sprintf("queued-%08d", i),
				Team:          teamName(i % t.shape.teams),
				Queue:         queueName(i / t.shape.teams % t.shape.pools),
				Size:          size,
				DeadlineNanos: int64(time.Hour),
				Idempotent:    true,
			},
		})
	}
}

func (t *site) pass() []scheduler.Action {
	return t.sched.Step(t.now, scheduler.Pass{
		MayStart: true,
	})
}

// report is what the scheduler tells of its hosts, teams and pools.
func (t *site) report() *wire.SchedulerReport { return t.sched.Report(t.now) }
