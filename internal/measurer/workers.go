package measurer

import (
	"fmt"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// startTime is the time at which the clock of every emulated fleet starts.
var startTime = time.Unix(1_800_000_000, 0)

// dataCentreScheduler is the scheduler of one data centre, in which all workers have
// polled.
type dataCentreScheduler struct {
	size     fleetSize
	state    controller.State
	sched    *scheduler.Scheduler
	now      time.Time
	sequence uint64
	// tasks is the number of tasks on each worker.
	tasks int
	// session is the scheduler's session that workers name in polls once the
	// scheduler knows all tasks; polls then leave out the tasks' details. It is
	// empty before.
	session string
}

// newDataCentreScheduler returns a scheduler each of whose workers runs the given
// number of tasks.
func newDataCentreScheduler(s fleetSize, tasks int) *dataCentreScheduler {
	state := s.state()
	t := &dataCentreScheduler{
		size:  s,
		state: state,
		sched: scheduler.New(scheduler.Options{
			DataCentre: dataCentreName(0),
			Epoch:      1,
			State:      state,
		}),
		now:   startTime,
		tasks: tasks,
	}
	t.sched.Step(t.now, scheduler.Rebuilt{})
	for i := range s.hosts {
		t.poll(i)
	}
	t.session = incarnation("scheduler") + "/1"
	return t
}

func (t *dataCentreScheduler) poll(host int) {
	t.sequence++
	t.sched.Step(t.now, scheduler.Poll{
		Poll:     t.workerPoll(host),
		MayStart: true,
	})
}

// workerPoll returns the poll of one worker, whose tasks use 80% of the resources
// that they declared.
func (t *dataCentreScheduler) workerPoll(host int) *wire.WorkerPoll {
	h := t.size.host(host)
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
			Used:     fraction(task.GetSize(), 80, 100),
			RunNanos: int64(time.Minute),
		})
		if t.session == "" {
			p.Running[i].Detail = task
		}
	}
	return p
}

// task returns the i-th task of a host. The tasks of a host together fill it.
func (t *dataCentreScheduler) task(host, i int) *wire.Task {
	size := fraction(workerSize(), 1, max(t.tasks, 1))
	size.Accelerators = 0
	return &wire.Task{
		Id:            fmt.Sprintf("%s-%04d-%032d", dataCentreName(0), host, i),
		Team:          teamName((host + i) % t.size.teams),
		Queue:         queueName(host / t.size.dataCentres % t.size.pools),
		Size:          size,
		DeadlineNanos: int64(time.Hour),
		RunTimeNanos:  int64(time.Minute),
		Idempotent:    true,
	}
}

// submit queues count tasks, each of which needs 1/share of a worker.
func (t *dataCentreScheduler) submit(count, share int) {
	size := fraction(workerSize(), 1, share)
	size.Accelerators = 0
	for i := range count {
		t.sched.Step(t.now, scheduler.Submit{
			Task: &wire.Task{
				Id:            fmt.Sprintf("queued-%08d", i),
				Team:          teamName(i % t.size.teams),
				Queue:         queueName(i / t.size.teams % t.size.pools),
				Size:          size,
				DeadlineNanos: int64(time.Hour),
				Idempotent:    true,
			},
		})
	}
}

func (t *dataCentreScheduler) pass() []scheduler.Action {
	return t.sched.Step(t.now, scheduler.Pass{
		MayStart: true,
	})
}

// report returns the scheduler's report on its hosts, teams and pools.
func (t *dataCentreScheduler) report() *wire.SchedulerReport { return t.sched.Report(t.now) }
