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

// rebuild fetches the former scheduler's task copies from the entry hosts that
// have not answered yet. It adopts them once all hosts have answered or, after
// fetchTimeout, once a majority of the view has. It keeps asking the others, so
// that the tasks of a host that returns are adopted too.
func (d *Dispatcher) rebuild(now time.Time, view follower.View) {
	d.mu.Lock()
	active := d.active
	if active == nil || !view.Live(now) {
		d.mu.Unlock()
		return
	}
	unanswered := d.unansweredMembers(active, view.State)
	req := &wire.FetchTasksRequest{
		DataCentre: active.dataCentre,
		Epoch:      active.version.epoch,
		Scheduler:  d.opts.Self.GetName(),
	}
	d.mu.Unlock()
	if active.rebuilt && (len(unanswered) == 0 || now.Before(active.refetchAt)) {
		return
	}
	active.refetchAt = now.Add(refetchInterval)
	responses := d.fetchFrom(unanswered, req)

	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active != active {
		return
	}
	late := make(map[string]*wire.FetchTasksResponse)
	for name, resp := range responses {
		if resp.GetKnownEpoch() > active.version.epoch {
			return // A newer scheduler exists; the control state will show it.
		}
		active.responses[name] = resp
		late[name] = resp
	}
	switch {
	case active.rebuilt:
		d.adoptLate(now, active, late)
	default:
		active.unanswered = d.unansweredMembers(active, view.State)
		members := view.State.View().GetMembers()
		answered := len(members) - len(active.unanswered)
		if len(active.unanswered) == 0 || (now.Sub(active.assignedAt) >= fetchTimeout && isMajority(answered, members)) {
			d.adoptAll(now, active)
		}
	}
}

// unansweredMembers returns the members of the view that have not answered. A
// member that restarted after answering holds no copies and is not asked again.
func (d *Dispatcher) unansweredMembers(active *activeScheduler, s controller.State) []*wire.Member {
	var unanswered []*wire.Member
	for _, m := range s.View().GetMembers() {
		if m.GetName() != d.opts.Self.GetName() && active.responses[m.GetName()] == nil {
			unanswered = append(unanswered, m)
		}
	}
	return unanswered
}

// fetchFrom asks all members concurrently and returns the responses by member
// name; members that failed are left out.
func (d *Dispatcher) fetchFrom(members []*wire.Member, req *wire.FetchTasksRequest) map[string]*wire.FetchTasksResponse {
	ctx, cancel := context.WithTimeout(context.Background(), CallTimeout)
	defer cancel()
	var mu sync.Mutex
	responses := make(map[string]*wire.FetchTasksResponse)
	d.forEach(members, func(m *wire.Member) {
		resp, err := d.opts.Peers.FetchTasks(ctx, m, req)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		responses[m.GetName()] = resp
	})
	return responses
}

// forEach calls f for all members and waits for the calls to return.
func (d *Dispatcher) forEach(members []*wire.Member, f func(*wire.Member)) {
	calls := make([]func(), 0, len(members))
	for _, m := range members {
		calls = append(calls, func() { f(m) })
	}
	d.opts.RunAll(calls)
}

// runConcurrently runs each call in its own goroutine and waits for all. Their
// number needs no limit: a view has only a few members, and moves are limited by
// maxConcurrentMoves.
func runConcurrently(calls []func()) {
	var wait sync.WaitGroup
	for _, call := range calls {
		wait.Go(call)
	}
	wait.Wait()
}

// adoptAll has the scheduler adopt the newest fetched copies, which completes the
// rebuild. d.mu is held.
func (d *Dispatcher) adoptAll(now time.Time, active *activeScheduler) {
	self := d.opts.Self.GetName()
	active.responses[self] = d.localResponse(active.dataCentre, now)
	known, previous := newestKnown(active.responses)
	held := newestHeld(active.responses)
	stale := held.less(known)
	active.awaitWorkers = !active.isFirstEpoch() && (held == (version{}) || stale || len(active.unanswered) > 0)
	for _, name := range adoptionOrder(active.responses, previous) {
		resp := active.responses[name]
		if heldVersion(resp) != held || held == (version{}) {
			continue
		}
		d.active.sched.Step(now, scheduler.Adopt{
			Tasks:              resp.GetTasks(),
			Stale:              stale,
			Partial:            len(active.unanswered) > 0 || (previous != "" && active.responses[previous] == nil),
			UnpolledLeaseUntil: d.formerLeasesEnd(now, active, previous),
		})
	}
	own := d.replicaOf(active.dataCentre)
	own.held = version{}
	own.tasks = nil
	active.sched.Step(now, scheduler.Rebuilt{})
	active.rebuilt = true
	active.adopted = held
	active.version.generation = 1
	if known.epoch == active.version.epoch {
		active.version.generation = known.generation + 1
	}
	d.opts.Logger.Info("dispatcher: tasks rebuilt from copies; starts begin once former leases have expired", "data-centre", active.dataCentre, "stale", stale)
}

// formerLeasesEnd returns when the last lease that a former scheduler may have
// granted to a worker that has not polled here expires. A former scheduler that
// answered has stopped, and one that never sent a copy renews leases only while it
// holds an authority lease. Any other may go on renewing without an authority
// lease for maxUnleasedRenewal. Such a scheduler can be unknown to this host if
// neither it nor its backup has answered.
func (d *Dispatcher) formerLeasesEnd(now time.Time, active *activeScheduler, previous string) time.Time {
	formerStopped := now
	if forceBoundEnd := active.assignedAt.Add(follower.InForceBound); forceBoundEnd.After(now) {
		formerStopped = forceBoundEnd
	}
	if (previous != "" && active.responses[previous] == nil) || len(active.unanswered) > 1 {
		formerStopped = active.assignedAt.Add(follower.InForceBound + maxUnleasedRenewal)
	}
	return formerStopped.Add(scheduler.WorkerLeaseBound)
}

// adoptLate adopts copies that arrive after the rebuild. Copies older than the
// adopted ones are skipped, as they hold no unfinished work. After
// scheduler.Retention the results of finished tasks may have been dropped; copies
// are then adopted as stale, so that non-idempotent tasks are not run again. d.mu
// is held.
func (d *Dispatcher) adoptLate(now time.Time, active *activeScheduler, late map[string]*wire.FetchTasksResponse) {
	for _, name := range slices.Sorted(maps.Keys(late)) {
		held := heldVersion(late[name])
		if held.less(active.adopted) || held == (version{}) {
			continue
		}
		active.adopted = held
		active.sched.Step(now, scheduler.Adopt{
			Tasks:              late[name].GetTasks(),
			Stale:              now.Sub(active.assignedAt) >= scheduler.Retention,
			Partial:            true,
			UnpolledLeaseUntil: now.Add(scheduler.WorkerLeaseBound),
		})
	}
}

// localResponse returns this host's own replica in the form of a fetch response.
// d.mu is held.
func (d *Dispatcher) localResponse(dataCentre string, now time.Time) *wire.FetchTasksResponse {
	r := d.replicaOf(dataCentre)
	resp := &wire.FetchTasksResponse{
		HeldEpoch:       r.held.epoch,
		HeldGeneration:  r.held.generation,
		KnownEpoch:      r.known.epoch,
		KnownGeneration: r.known.generation,
		Scheduler:       r.scheduler,
	}
	for _, held := range r.tasks {
		resp.Tasks = append(resp.Tasks, held.statusAt(now))
	}
	return resp
}

func heldVersion(resp *wire.FetchTasksResponse) version {
	return version{
		epoch:      resp.GetHeldEpoch(),
		generation: resp.GetHeldGeneration(),
	}
}

func newestHeld(responses map[string]*wire.FetchTasksResponse) version {
	var newest version
	for _, resp := range responses {
		if held := heldVersion(resp); newest.less(held) {
			newest = held
		}
	}
	return newest
}

// newestKnown returns the newest version that any host was told of and the name of
// the scheduler that sent it.
func newestKnown(responses map[string]*wire.FetchTasksResponse) (version, string) {
	var newest version
	var previous string
	for _, resp := range responses {
		known := version{
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

// adoptionOrder returns the host names in the order in which to adopt their
// copies. The former scheduler comes first because it knows more than its backup,
// and the first adopted status of a task is kept.
func adoptionOrder(responses map[string]*wire.FetchTasksResponse, previous string) []string {
	names := slices.Sorted(maps.Keys(responses))
	if i := slices.Index(names, previous); i > 0 {
		names = slices.Insert(slices.Delete(names, i, i+1), 0, previous)
	}
	return names
}
