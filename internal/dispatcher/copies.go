package dispatcher

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// position orders the copies of one data centre's tasks.
type position struct{ epoch, generation uint64 }

func (p position) less(other position) bool {
	if p.epoch != other.epoch {
		return p.epoch < other.epoch
	}
	return p.generation < other.generation
}

// copySet is what this host holds for the scheduler of one data centre.
type copySet struct {
	// Invariant: never falls; copies of a lower epoch are refused, because a
	// newer scheduler has fetched what was held at that time.
	fence uint64
	// known is the newest position that this host was told of, and scheduler
	// the host that used it.
	known     position
	scheduler string
	// held is the position of tasks; zero when none were ever held.
	held     position
	sequence uint64
	tasks    map[string]heldTask
	// staged collects the parts of a whole copy.
	staged map[string]heldTask
}

type heldTask struct {
	status *wire.TaskStatus
	at     time.Time
}

// aged returns the status with its age as of now.
func (h heldTask) aged(now time.Time) *wire.TaskStatus {
	status := proto.CloneOf(h.status)
	status.AgeNanos += int64(now.Sub(h.at))
	return status
}

func (d *Dispatcher) copySetOf(dataCentre string) *copySet {
	c := d.copies[dataCentre]
	if c == nil {
		c = &copySet{}
		d.copies[dataCentre] = c
	}
	return c
}

// ServeCopyTasks stores copies for the scheduler of another host. It refuses
// those of a former scheduler and those after a gap.
func (d *Dispatcher) ServeCopyTasks(_ context.Context, req *wire.CopyTasksRequest) *wire.CopyTasksResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.copySetOf(req.GetDataCentre())
	at := position{
		epoch:      req.GetEpoch(),
		generation: req.GetGeneration(),
	}
	if at.epoch < c.fence || at.less(c.known) {
		return &wire.CopyTasksResponse{
			Reason: "a newer scheduler or copy is known",
		}
	}
	d.retireBelow(req.GetDataCentre(), at.epoch)
	c.fence = at.epoch
	c.known = at
	c.scheduler = req.GetScheduler()
	if req.GetNotice() {
		return &wire.CopyTasksResponse{
			Stored: true,
		}
	}
	return c.store(d.opts.Clock.Now(), at, req)
}

func (c *copySet) store(now time.Time, at position, req *wire.CopyTasksRequest) *wire.CopyTasksResponse {
	fresh := req.GetWhole() && (c.held != at || c.staged != nil) && req.GetSequence() == 1
	switch {
	case fresh:
		c.staged = make(map[string]heldTask, len(req.GetTasks()))
	case req.GetSequence() <= c.sequence && c.held == at:
		// A repeat of a request that was stored.
		return &wire.CopyTasksResponse{
			Stored: true,
		}
	case req.GetSequence() != c.sequence+1 || (req.GetWhole() && c.staged == nil) || (!req.GetWhole() && c.held != at):
		return &wire.CopyTasksResponse{
			Reason: "a former copy is missing",
		}
	}
	c.sequence = req.GetSequence()
	into := c.tasks
	if req.GetWhole() {
		into = c.staged
	}
	for _, status := range req.GetTasks() {
		into[status.GetTask().GetId()] = heldTask{
			status: status,
			at:     now,
		}
	}
	for _, id := range req.GetEnded() {
		delete(into, id)
	}
	if req.GetWhole() && !req.GetMore() {
		c.tasks = c.staged
		c.staged = nil
		c.held = at
	}
	return &wire.CopyTasksResponse{
		Stored: true,
	}
}

// ServeFetchTasks returns the tasks that this host holds to a new scheduler.
// From then on it takes no copy from a former one, and if it was the former
// one it stops scheduling.
func (d *Dispatcher) ServeFetchTasks(_ context.Context, req *wire.FetchTasksRequest) *wire.FetchTasksResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retireBelow(req.GetDataCentre(), req.GetEpoch())
	c := d.copySetOf(req.GetDataCentre())
	c.fence = max(c.fence, req.GetEpoch())
	resp := &wire.FetchTasksResponse{
		HeldEpoch:       c.held.epoch,
		HeldGeneration:  c.held.generation,
		KnownEpoch:      c.known.epoch,
		KnownGeneration: c.known.generation,
		Scheduler:       c.scheduler,
	}
	if c.fence > req.GetEpoch() {
		resp.KnownEpoch = c.fence
		return resp
	}
	for _, held := range c.tasks {
		resp.Tasks = append(resp.Tasks, held.aged(d.opts.Clock.Now()))
	}
	return resp
}

// retireBelow ends this host's scheduling of the data centre under an epoch
// lower than the given one and keeps its tasks as a copy. d.mu is held.
func (d *Dispatcher) retireBelow(dataCentre string, epoch uint64) {
	l := d.lead
	if l == nil || l.dataCentre != dataCentre || l.at.epoch >= epoch {
		return
	}
	d.lead = nil
	if !l.complete {
		return
	}
	now := d.opts.Clock.Now()
	c := d.copySetOf(dataCentre)
	c.known = l.at
	c.scheduler = d.opts.Self.GetName()
	c.held = l.at
	c.sequence = 0
	c.staged = nil
	c.tasks = make(map[string]heldTask)
	for _, status := range l.sched.AllTasks(now).Tasks {
		c.tasks[status.GetTask().GetId()] = heldTask{
			status: status,
			at:     now,
		}
	}
	d.opts.Logger.Info("dispatcher: scheduling ended", "data-centre", dataCentre, "epoch", l.at.epoch)
}
