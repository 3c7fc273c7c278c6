package dispatcher

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// version orders the copies of one data centre's tasks: by scheduler epoch, then
// by the generation of full copies within the epoch.
type version struct{ epoch, generation uint64 }

func (p version) less(other version) bool {
	if p.epoch != other.epoch {
		return p.epoch < other.epoch
	}
	return p.generation < other.generation
}

// replica is this host's copy of the tasks of one data centre's scheduler.
type replica struct {
	// fenceEpoch is the lowest epoch from which copies are accepted. It never
	// decreases: a newer scheduler has already fetched the tasks held when it was
	// raised, and would miss later copies of an older scheduler.
	fenceEpoch uint64
	// known is the newest version that this host was told of, with or without
	// its tasks, and scheduler the host that sent it.
	known     version
	scheduler string
	// held is the version of tasks; zero if no full copy was ever stored.
	held     version
	sequence uint64
	tasks    map[string]heldTask
	// staged collects the batches of a full copy until the last one arrives.
	staged map[string]heldTask
}

type heldTask struct {
	status     *wire.TaskStatus
	receivedAt time.Time
}

// statusAt returns a copy of the status whose age is brought up to now.
func (h heldTask) statusAt(now time.Time) *wire.TaskStatus {
	status := proto.CloneOf(h.status)
	status.AgeNanos += int64(now.Sub(h.receivedAt))
	return status
}

func (d *Dispatcher) replicaOf(dataCentre string) *replica {
	r := d.replicas[dataCentre]
	if r == nil {
		r = &replica{}
		d.replicas[dataCentre] = r
	}
	return r
}

// ServeCopyTasks stores task copies for the scheduler of another host. It refuses
// copies from a superseded scheduler and copies after a gap in the sequence.
func (d *Dispatcher) ServeCopyTasks(_ context.Context, req *wire.CopyTasksRequest) *wire.CopyTasksResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.replicaOf(req.GetDataCentre())
	incoming := version{
		epoch:      req.GetEpoch(),
		generation: req.GetGeneration(),
	}
	if incoming.epoch < r.fenceEpoch || incoming.less(r.known) {
		return &wire.CopyTasksResponse{
			Reason: "a newer scheduler or copy is known",
		}
	}
	d.stepDownBelow(req.GetDataCentre(), incoming.epoch)
	r.fenceEpoch = incoming.epoch
	r.known = incoming
	r.scheduler = req.GetScheduler()
	if req.GetNotice() {
		return &wire.CopyTasksResponse{
			Stored: true,
		}
	}
	return r.store(d.opts.Clock.Now(), incoming, req)
}

func (r *replica) store(now time.Time, incoming version, req *wire.CopyTasksRequest) *wire.CopyTasksResponse {
	firstBatch := req.GetWhole() && (r.held != incoming || r.staged != nil) && req.GetSequence() == 1
	switch {
	case firstBatch:
		r.staged = make(map[string]heldTask, len(req.GetTasks()))
	case req.GetSequence() <= r.sequence && r.held == incoming:
		// A retransmission of a request that is already stored.
		return &wire.CopyTasksResponse{
			Stored: true,
		}
	case req.GetSequence() != r.sequence+1 || (req.GetWhole() && r.staged == nil) || (!req.GetWhole() && r.held != incoming):
		return &wire.CopyTasksResponse{
			Reason: "a former copy is missing",
		}
	}
	r.sequence = req.GetSequence()
	target := r.tasks
	if req.GetWhole() {
		target = r.staged
	}
	for _, status := range req.GetTasks() {
		target[status.GetTask().GetId()] = heldTask{
			status:     status,
			receivedAt: now,
		}
	}
	for _, id := range req.GetEnded() {
		delete(target, id)
	}
	if req.GetWhole() && !req.GetMore() {
		r.tasks = r.staged
		r.staged = nil
		r.held = incoming
	}
	return &wire.CopyTasksResponse{
		Stored: true,
	}
}

// ServeFetchTasks returns the tasks that this host holds to a new scheduler.
// Afterwards this host refuses copies from earlier schedulers, and if it was
// itself the earlier scheduler it stops scheduling.
func (d *Dispatcher) ServeFetchTasks(_ context.Context, req *wire.FetchTasksRequest) *wire.FetchTasksResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepDownBelow(req.GetDataCentre(), req.GetEpoch())
	r := d.replicaOf(req.GetDataCentre())
	r.fenceEpoch = max(r.fenceEpoch, req.GetEpoch())
	resp := &wire.FetchTasksResponse{
		HeldEpoch:       r.held.epoch,
		HeldGeneration:  r.held.generation,
		KnownEpoch:      r.known.epoch,
		KnownGeneration: r.known.generation,
		Scheduler:       r.scheduler,
	}
	if r.fenceEpoch > req.GetEpoch() {
		resp.KnownEpoch = r.fenceEpoch
		return resp
	}
	for _, held := range r.tasks {
		resp.Tasks = append(resp.Tasks, held.statusAt(d.opts.Clock.Now()))
	}
	return resp
}

// stepDownBelow stops this host from scheduling the data centre if its epoch is
// lower than the given one, and keeps its tasks as a replica. d.mu is held.
func (d *Dispatcher) stepDownBelow(dataCentre string, epoch uint64) {
	active := d.active
	if active == nil || active.dataCentre != dataCentre || active.version.epoch >= epoch {
		return
	}
	d.active = nil
	if !active.rebuilt {
		return
	}
	now := d.opts.Clock.Now()
	r := d.replicaOf(dataCentre)
	r.known = active.version
	r.scheduler = d.opts.Self.GetName()
	r.held = active.version
	r.sequence = 0
	r.staged = nil
	r.tasks = make(map[string]heldTask)
	for _, status := range active.sched.AllTasks(now).Tasks {
		r.tasks[status.GetTask().GetId()] = heldTask{
			status:     status,
			receivedAt: now,
		}
	}
	d.opts.Logger.Info("dispatcher: stopped scheduling the data centre; its tasks are kept as a copy for the next scheduler", "data-centre", dataCentre, "epoch", active.version.epoch)
}
