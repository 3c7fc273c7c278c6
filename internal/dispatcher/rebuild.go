package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// rebuild fetches the copies of the former scheduler from the entry hosts
// that have not answered yet, and adopts them once all have, or most when
// patience ends.
// It keeps asking the others, so that a host that comes back brings its tasks.
func (d *Dispatcher) rebuild(now time.Time, view follower.View) {
	d.mu.Lock()
	l := d.lead
	if l == nil || !view.Live(now) {
		d.mu.Unlock()
		return
	}
	missing := d.missing(l, view.State)
	req := &wire.FetchTasksRequest{
		DataCentre: l.dataCentre,
		Epoch:      l.at.epoch,
		Scheduler:  d.opts.Self.GetName(),
	}
	d.mu.Unlock()
	if l.complete && (len(missing) == 0 || now.Before(l.askAgainAt)) {
		return
	}
	l.askAgainAt = now.Add(askAgainAfter)
	answers := d.fetch(missing, req)

	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lead != l {
		return
	}
	late := make(map[string]*wire.FetchTasksResponse)
	for name, resp := range answers {
		if resp.GetKnownEpoch() > l.at.epoch {
			return // A newer scheduler exists; the control state will say so.
		}
		l.answers[name] = resp
		late[name] = resp
	}
	switch {
	case l.complete:
		d.adoptLate(now, l, late)
	default:
		l.missing = d.missing(l, view.State)
		members := view.State.View().GetMembers()
		answered := len(members) - len(l.missing)
		if len(l.missing) == 0 || (now.Sub(l.since) >= fetchPatience && most(answered, members)) {
			d.adoptAll(now, l)
		}
	}
}

// missing returns the members of the view that have not answered. A restarted
// process of a member that has answered holds nothing and is not asked again.
func (d *Dispatcher) missing(l *lead, s controller.State) []*wire.Member {
	var missing []*wire.Member
	for _, m := range s.View().GetMembers() {
		if m.GetName() != d.opts.Self.GetName() && l.answers[m.GetName()] == nil {
			missing = append(missing, m)
		}
	}
	return missing
}

// fetch asks all members at once and returns the answers by name.
func (d *Dispatcher) fetch(members []*wire.Member, req *wire.FetchTasksRequest) map[string]*wire.FetchTasksResponse {
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	var mu sync.Mutex
	answers := make(map[string]*wire.FetchTasksResponse)
	d.forEach(members, func(m *wire.Member) {
		resp, err := d.opts.Peers.FetchTasks(ctx, m, req)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		answers[m.GetName()] = resp
	})
	return answers
}

// forEach calls f for all members and waits.
func (d *Dispatcher) forEach(members []*wire.Member, f func(*wire.Member)) {
	calls := make([]func(), 0, len(members))
	for _, m := range members {
		calls = append(calls, func() { f(m) })
	}
	d.opts.Together(calls)
}

// allAtOnce runs one goroutine for each call; a view has a handful of members.
func allAtOnce(calls []func()) {
	var wait sync.WaitGroup
	for _, call := range calls {
		wait.Go(call)
	}
	wait.Wait()
}

// adoptAll adopts the newest copies. d.mu is held.
func (d *Dispatcher) adoptAll(now time.Time, l *lead) {
	self := d.opts.Self.GetName()
	l.answers[self] = d.ownAnswer(l.dataCentre, now)
	known, previous := newestKnown(l.answers)
	held := newestHeld(l.answers)
	stale := held.less(known)
	l.cautious = !l.isFirst() && (held == (position{}) || stale || len(l.missing) > 0)
	for _, name := range answerOrder(l.answers, previous) {
		resp := l.answers[name]
		if heldBy(resp) != held || held == (position{}) {
			continue
		}
		d.lead.sched.Step(now, scheduler.Adopt{
			Tasks:        resp.GetTasks(),
			Stale:        stale,
			Partial:      len(l.missing) > 0 || (previous != "" && l.answers[previous] == nil),
			UnheardUntil: d.unheardUntil(now, l, previous),
		})
	}
	own := d.copySetOf(l.dataCentre)
	own.held = position{}
	own.tasks = nil
	l.sched.Step(now, scheduler.Rebuilt{})
	l.complete = true
	l.adopted = held
	l.at.generation = 1
	if known.epoch == l.at.epoch {
		l.at.generation = known.generation + 1
	}
	d.opts.Logger.Info("dispatcher: tasks rebuilt", "data-centre", l.dataCentre, "stale", stale)
}

// unheardUntil bounds the leases that a former scheduler may have given to
// workers that are not heard from. One that answered has stopped, and one that
// sent no copy renews only under an authority lease. Another may go on without
// one for renewBound. It may be unknown here if it and its copy holder are
// both missing.
func (d *Dispatcher) unheardUntil(now time.Time, l *lead, previous string) time.Time {
	stopped := now
	if forced := l.since.Add(follower.ForceBound); forced.After(now) {
		stopped = forced
	}
	if (previous != "" && l.answers[previous] == nil) || len(l.missing) > 1 {
		stopped = l.since.Add(follower.ForceBound + renewBound)
	}
	return stopped.Add(scheduler.WorkerLeaseBound)
}

// adoptLate takes in copies that arrive after the rebuild. Copies older than
// the adopted ones hold nothing that is still to be done. After the retention
// time the ends of tasks may be forgotten, so that non-idempotent tasks can't
// be run any more. d.mu is held.
func (d *Dispatcher) adoptLate(now time.Time, l *lead, late map[string]*wire.FetchTasksResponse) {
	for _, name := range slices.Sorted(maps.Keys(late)) {
		held := heldBy(late[name])
		if held.less(l.adopted) || held == (position{}) {
			continue
		}
		l.adopted = held
		l.sched.Step(now, scheduler.Adopt{
			Tasks:        late[name].GetTasks(),
			Stale:        now.Sub(l.since) >= scheduler.Retention,
			Partial:      true,
			UnheardUntil: now.Add(scheduler.WorkerLeaseBound),
		})
	}
}

// ownAnswer returns the copies that this host itself holds. d.mu is held.
func (d *Dispatcher) ownAnswer(dataCentre string, now time.Time) *wire.FetchTasksResponse {
	c := d.copySetOf(dataCentre)
	resp := &wire.FetchTasksResponse{
		HeldEpoch:       c.held.epoch,
		HeldGeneration:  c.held.generation,
		KnownEpoch:      c.known.epoch,
		KnownGeneration: c.known.generation,
		Scheduler:       c.scheduler,
	}
	for _, held := range c.tasks {
		resp.Tasks = append(resp.Tasks, held.aged(now))
	}
	return resp
}

func heldBy(resp *wire.FetchTasksResponse) position {
	return position{
		epoch:      resp.GetHeldEpoch(),
		generation: resp.GetHeldGeneration(),
	}
}

func newestHeld(answers map[string]*wire.FetchTasksResponse) position {
	var newest position
	for _, resp := range answers {
		if held := heldBy(resp); newest.less(held) {
			newest = held
		}
	}
	return newest
}

// newestKnown returns the newest position that any host was told of and the
// scheduler that used it.
func newestKnown(answers map[string]*wire.FetchTasksResponse) (position, string) {
	var newest position
	var previous string
	for _, resp := range answers {
		known := position{
			epoch:      resp.GetKnownEpoch(),
			generation: resp.GetKnownGeneration(),
		}
		if newest.less(known) {
			newest = known
			previous = resp.GetScheduler()
		}
	}
	return newest, previous
}

// answerOrder puts the former scheduler first, as it knows more than the
// holder of its copy; the first adopted status of a task stays.
func answerOrder(answers map[string]*wire.FetchTasksResponse, previous string) []string {
	names := slices.Sorted(maps.Keys(answers))
	if i := slices.Index(names, previous); i > 0 {
		names = slices.Insert(slices.Delete(names, i, i+1), 0, previous)
	}
	return names
}
