package dispatcher

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// maxBatchTasks and maxBatchBytes limit one copy request, so that it is sent
	// well within CallTimeout. The bytes are those of the task payloads.
	maxBatchTasks = 1000
	maxBatchBytes = 1 << 20

	// backupRetryDelay is how long a host that failed to store a copy is not
	// chosen as backup.
	backupRetryDelay = 2 * time.Second
)

// replication is the state of copying tasks to the backup, the one other entry
// host that holds all of them.
type replication struct {
	// version is the version of the copies being sent.
	version version
	// adopted is the version of the newest copies adopted from a former scheduler.
	adopted version
	// backup is the name of the backup; empty while there is none.
	backup string
	// backupIncarnation identifies the backup's process; after a restart the
	// backup holds nothing.
	backupIncarnation string
	// sequence is the number of the last request of this generation.
	sequence uint64
	// announced is true once a majority of the view has learned of this scheduler
	// from a copy or a notice.
	announced bool
	// avoidUntil maps each host that failed to store a copy to the time until which
	// it is not chosen as backup.
	avoidUntil map[string]time.Time
}

func newReplication(epoch uint64) replication {
	return replication{
		version: version{
			epoch: epoch,
		},
		avoidUntil: make(map[string]time.Time),
	}
}

// replicate sends all pending changes to the backup, and chooses another backup if
// it does not store them. Concurrent callers wait for each other, and the changes
// of those that wait go out in one request. It reports whether the backup holds
// all tasks.
func (d *Dispatcher) replicate(ctx context.Context) bool {
	d.replicateMu.Lock()
	defer d.replicateMu.Unlock()
	for {
		d.mu.Lock()
		active := d.active
		if active == nil || !active.rebuilt {
			d.mu.Unlock()
			return false
		}
		state := d.opts.View().State
		member, ok := memberNamed(state, active.backup)
		if active.backup != "" && (!ok || member.GetIncarnation() != active.backupIncarnation) {
			active.dropBackup()
		}
		if active.backup != "" && !active.sched.Pending() {
			d.mu.Unlock()
			return true
		}
		if active.backup == "" {
			member = d.chooseBackup(active, state)
		}
		if member == nil {
			// With a single entry host there is no backup; count its tasks as copied.
			if len(state.View().GetMembers()) <= 1 {
				active.sched.ConfirmReplicated(active.sched.TakeChanges(d.opts.Clock.Now()).Through)
			}
			d.mu.Unlock()
			return false
		}
		requests, through := d.copyRequests(active)
		d.mu.Unlock()
		stored := d.sendCopies(ctx, member, requests)
		d.recordReplication(active, member, through, stored)
		if ctx.Err() != nil {
			return false
		}
	}
}

// dropBackup forgets the backup, so that the next copy is a full one.
func (a *activeScheduler) dropBackup() {
	a.backup = ""
	a.sched.ReplicaLost()
}

// recordReplication records whether the member stored the changes up to through.
func (d *Dispatcher) recordReplication(active *activeScheduler, member *wire.Member, through uint64, stored bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !stored {
		active.avoidUntil[member.GetName()] = d.opts.Clock.Now().Add(backupRetryDelay)
		active.dropBackup()
		return
	}
	active.backup = member.GetName()
	active.backupIncarnation = member.GetIncarnation()
	active.announced = true
	active.sched.ConfirmReplicated(through)
}

// chooseBackup returns the entry host to copy to, or nil: preferably one in the
// scheduled data centre, else one in another. d.mu is held.
func (d *Dispatcher) chooseBackup(active *activeScheduler, s controller.State) *wire.Member {
	var otherDataCentre *wire.Member
	now := d.opts.Clock.Now()
	for _, m := range s.View().GetMembers() {
		if m.GetName() == d.opts.Self.GetName() || now.Before(active.avoidUntil[m.GetName()]) {
			continue
		}
		if m.GetDataCentre() == active.dataCentre {
			return m
		}
		if otherDataCentre == nil {
			otherDataCentre = m
		}
	}
	return otherDataCentre
}

// copyRequests returns the requests that bring the backup up to date, and the
// number of the last change that they cover. A new backup gets all tasks. d.mu is
// held.
func (d *Dispatcher) copyRequests(active *activeScheduler) ([]*wire.CopyTasksRequest, uint64) {
	now := d.opts.Clock.Now()
	whole := active.backup == ""
	var changes scheduler.Changes
	if whole {
		active.version.generation++
		active.sequence = 0
		changes = active.sched.AllTasks(now)
	} else {
		changes = active.sched.TakeChanges(now)
	}
	var requests []*wire.CopyTasksRequest
	for batch := range batches(changes.Tasks) {
		active.sequence++
		requests = append(requests, &wire.CopyTasksRequest{
			DataCentre: active.dataCentre,
			Epoch:      active.version.epoch,
			Generation: active.version.generation,
			Sequence:   active.sequence,
			Scheduler:  d.opts.Self.GetName(),
			Tasks:      batch,
			Whole:      whole,
			More:       whole,
		})
	}
	last := requests[len(requests)-1]
	last.More = false
	last.Ended = changes.Forgotten
	return requests, changes.Through
}

// batches yields the tasks in batches limited by maxBatchTasks and maxBatchBytes.
// It yields at least one batch, which may be empty.
func batches(tasks []*wire.TaskStatus) func(func([]*wire.TaskStatus) bool) {
	return func(yield func([]*wire.TaskStatus) bool) {
		for {
			n, size := 0, 0
			for n < len(tasks) && n < maxBatchTasks && (n == 0 || size < maxBatchBytes) {
				size += len(tasks[n].GetTask().GetPayload())
				n++
			}
			if !yield(tasks[:n]) || n == len(tasks) {
				return
			}
			tasks = tasks[n:]
		}
	}
}

// sendCopies sends the requests in order and reports whether all were stored. After
// a full copy it announces the new generation to the other entry hosts before the
// copy is relied on, so that a later scheduler recognizes older copies as stale.
func (d *Dispatcher) sendCopies(ctx context.Context, member *wire.Member, requests []*wire.CopyTasksRequest) bool {
	for _, req := range requests {
		call, cancel := context.WithTimeout(ctx, CallTimeout)
		resp, err := d.opts.Peers.CopyTasks(call, member, req)
		cancel()
		if err != nil || !resp.GetStored() {
			return false
		}
	}
	return !requests[0].GetWhole() || d.announceGeneration(ctx, member, requests[0])
}

// announceGeneration notifies the entry hosts other than the backup of a new
// generation. It reports whether a majority of the view, counting this host and
// the backup, knows it. A later scheduler also asks a majority, so it either
// learns of the newest generation or prevents its announcement from succeeding.
func (d *Dispatcher) announceGeneration(ctx context.Context, backup *wire.Member, req *wire.CopyTasksRequest) bool {
	notice := &wire.CopyTasksRequest{
		DataCentre: req.GetDataCentre(),
		Epoch:      req.GetEpoch(),
		Generation: req.GetGeneration(),
		Scheduler:  req.GetScheduler(),
		Notice:     true,
	}
	members := d.opts.View().State.View().GetMembers()
	others := slices.DeleteFunc(slices.Clone(members), func(m *wire.Member) bool {
		return m.GetName() == backup.GetName() || m.GetName() == d.opts.Self.GetName()
	})
	var informed atomic.Int64
	informed.Add(int64(len(members) - len(others))) // this host and the backup
	call, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	d.forEach(others, func(m *wire.Member) {
		if resp, err := d.opts.Peers.CopyTasks(call, m, notice); err == nil && resp.GetStored() {
			informed.Add(1)
		}
	})
	return isMajority(int(informed.Load()), members)
}

// isMajority reports whether n is more than half the number of members.
func isMajority(n int, members []*wire.Member) bool { return 2*n > len(members) }
