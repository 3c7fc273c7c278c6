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
	// partTasks and partBytes bound one request, so that it is sent well
	// within CallTimeout.
	partTasks = 1000
	partBytes = 1 << 20

	// avoidFor is how long a host that did not store a copy is passed over.
	avoidFor = 2 * time.Second
)

// copying is the state of sending copies to the copy holder.
type copying struct {
	// at is the position of the copies that are sent.
	at position
	// adopted is the position of the copies that the rebuild adopted.
	adopted position
	// holder is the name of the copy holder; empty while there is none.
	holder string
	// incarnation is that of the holder; a restarted holder holds nothing.
	incarnation string
	// Invariant: the sequence of the last request of this generation.
	sequence uint64
	// noticed is true once other entry hosts know of this scheduler from a copy.
	noticed bool
	// avoid holds the hosts that failed and until when they are passed over.
	avoid map[string]time.Time
}

func newCopying(epoch uint64) copying {
	return copying{
		at: position{
			epoch: epoch,
		},
		avoid: make(map[string]time.Time),
	}
}

// replicate sends all changes to the copy holder and chooses another holder
// when it does not store them. Callers that wait for each other share one
// request. It reports whether a second entry host holds everything.
func (d *Dispatcher) replicate(ctx context.Context) bool {
	d.copyMu.Lock()
	defer d.copyMu.Unlock()
	for {
		d.mu.Lock()
		l := d.lead
		if l == nil || !l.complete {
			d.mu.Unlock()
			return false
		}
		state := d.opts.View().State
		member, ok := memberNamed(state, l.holder)
		if l.holder != "" && (!ok || member.GetIncarnation() != l.incarnation) {
			l.dropHolder()
		}
		if l.holder != "" && !l.sched.Pending() {
			d.mu.Unlock()
			return true
		}
		if l.holder == "" {
			member = d.chooseHolder(l, state)
		}
		if member == nil {
			// A deployment of one entry host has nobody to copy to.
			if len(state.View().GetMembers()) <= 1 {
				l.sched.Copied(l.sched.TakeChanges(d.opts.Clock.Now()).Through)
			}
			d.mu.Unlock()
			return false
		}
		requests, through := d.requestsFor(l)
		d.mu.Unlock()
		stored := d.send(ctx, member, requests)
		d.settle(l, member, through, stored)
		if ctx.Err() != nil {
			return false
		}
	}
}

// dropHolder forgets the holder, so that the next copy is a whole one.
func (l *lead) dropHolder() {
	l.holder = ""
	l.sched.Uncopied()
}

// settle records the outcome of one copy.
func (d *Dispatcher) settle(l *lead, member *wire.Member, through uint64, stored bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !stored {
		l.avoid[member.GetName()] = d.opts.Clock.Now().Add(avoidFor)
		l.dropHolder()
		return
	}
	l.holder = member.GetName()
	l.incarnation = member.GetIncarnation()
	l.noticed = true
	l.sched.Copied(through)
}

// chooseHolder returns the entry host to copy to: one of the data centre if
// there is one, else of another one. d.mu is held.
func (d *Dispatcher) chooseHolder(l *lead, s controller.State) *wire.Member {
	var elsewhere *wire.Member
	now := d.opts.Clock.Now()
	for _, m := range s.View().GetMembers() {
		if m.GetName() == d.opts.Self.GetName() || now.Before(l.avoid[m.GetName()]) {
			continue
		}
		if m.GetDataCentre() == l.dataCentre {
			return m
		}
		if elsewhere == nil {
			elsewhere = m
		}
	}
	return elsewhere
}

// requestsFor splits what the holder, or a new one, does not hold into requests. d.mu is held.
func (d *Dispatcher) requestsFor(l *lead) ([]*wire.CopyTasksRequest, uint64) {
	now := d.opts.Clock.Now()
	whole := l.holder == ""
	var changes scheduler.Changes
	if whole {
		l.at.generation++
		l.sequence = 0
		changes = l.sched.AllTasks(now)
	} else {
		changes = l.sched.TakeChanges(now)
	}
	var requests []*wire.CopyTasksRequest
	for part := range parts(changes.Tasks) {
		l.sequence++
		requests = append(requests, &wire.CopyTasksRequest{
			DataCentre: l.dataCentre,
			Epoch:      l.at.epoch,
			Generation: l.at.generation,
			Sequence:   l.sequence,
			Scheduler:  d.opts.Self.GetName(),
			Tasks:      part,
			Whole:      whole,
			More:       whole,
		})
	}
	last := requests[len(requests)-1]
	last.More = false
	last.Ended = changes.Forgotten
	return requests, changes.Through
}

// parts yields the tasks in parts of bounded size, and at least one part.
func parts(tasks []*wire.TaskStatus) func(func([]*wire.TaskStatus) bool) {
	return func(yield func([]*wire.TaskStatus) bool) {
		for {
			n, size := 0, 0
			for n < len(tasks) && n < partTasks && (n == 0 || size < partBytes) {
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

// send delivers the requests in order. After a whole copy it tells the other
// entry hosts of the new generation before anything is done on the strength
// of it, so that a later scheduler knows older copies for what they are.
func (d *Dispatcher) send(ctx context.Context, member *wire.Member, requests []*wire.CopyTasksRequest) bool {
	for _, req := range requests {
		call, cancel := context.WithTimeout(ctx, CallTimeout)
		resp, err := d.opts.Peers.CopyTasks(call, member, req)
		cancel()
		if err != nil || !resp.GetStored() {
			return false
		}
	}
	return !requests[0].GetWhole() || d.notify(ctx, member, requests[0])
}

// notify tells the entry hosts other than the holder of a new generation. It
// reports whether most of the view knows it, with this host and the holder. A
// later scheduler asks most of the view too, so that it learns of the newest
// generation or stops it from being reached.
func (d *Dispatcher) notify(ctx context.Context, holder *wire.Member, req *wire.CopyTasksRequest) bool {
	notice := &wire.CopyTasksRequest{
		DataCentre: req.GetDataCentre(),
		Epoch:      req.GetEpoch(),
		Generation: req.GetGeneration(),
		Scheduler:  req.GetScheduler(),
		Notice:     true,
	}
	members := d.opts.View().State.View().GetMembers()
	others := slices.DeleteFunc(slices.Clone(members), func(m *wire.Member) bool {
		return m.GetName() == holder.GetName() || m.GetName() == d.opts.Self.GetName()
	})
	var told atomic.Int64
	told.Add(int64(len(members) - len(others))) // this host and the holder
	call, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	d.forEach(others, func(m *wire.Member) {
		if resp, err := d.opts.Peers.CopyTasks(call, m, notice); err == nil && resp.GetStored() {
			told.Add(1)
		}
	})
	return most(int(told.Load()), members)
}

// most reports whether n is more than half of the members.
func most(n int, members []*wire.Member) bool { return 2*n > len(members) }
