package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// maxRotations is the number of tasks of one class that a pass sets aside
// because they failed on the workers that have room.
const maxRotations = 16

// placement is the state of one pass.
type placement struct {
	now     time.Time
	indexes map[string]*index
	// total is the capacity that shares are measured against.
	total controller.Amount
	// room is what may still be started while ramping.
	room    controller.Amount
	ramping bool
	// placed is the number of tasks placed so far.
	placed int
	// fair is the weighted share that all teams with work would have if they
	// had equal ones.
	fair float64
	// reserved counts the workers that are kept free for large tasks, by pool.
	reserved map[string]int
	actions  []Action
}

// pass expires what is due and places queued tasks: urgent ones first, then
// the others in the order of weighted dominant shares.
func (s *Scheduler) pass(now time.Time, starts bool) []Action {
	s.forget(now)
	actions := s.expire(now)
	actions = append(actions, s.missDeadlines(now)...)
	if !starts || !s.complete || !s.facts.inService() {
		return actions
	}
	p := s.newPlacement(now)
	if p == nil {
		return actions
	}
	s.placeAll(p, true)
	s.placeAll(p, false)
	return append(actions, p.actions...)
}

// newPlacement indexes the workers, or returns nil when nothing is queued.
func (s *Scheduler) newPlacement(now time.Time) *placement {
	queued := false
	for _, a := range s.accounts {
		queued = queued || a.queued > 0
	}
	if !queued {
		return nil
	}
	p := &placement{
		now:      now,
		indexes:  make(map[string]*index),
		reserved: make(map[string]int),
	}
	for _, w := range s.sortedWorkers() {
		if w.heard(now) {
			p.total = p.total.Plus(w.capacity)
		}
		if s.eligible(now, w) {
			x := p.index(w.pool())
			x.add(w)
			x.size++
		}
	}
	p.room, p.ramping = s.ramp.room(now, p.total, s.charged)
	return p
}

func (p *placement) index(pool string) *index {
	x := p.indexes[pool]
	if x == nil {
		x = newIndex()
		p.indexes[pool] = x
	}
	return x
}

// placeAll serves the account with the lowest share until none can be served.
func (s *Scheduler) placeAll(p *placement, urgent bool) {
	h := s.contenders(p, urgent)
	for len(h) > 0 && p.placed < maxPlacements {
		a := h[0]
		t, q := a.next(urgent)
		if t == nil {
			h.dropTop()
			continue
		}
		if !s.place(p, a, t, q) {
			continue
		}
		a.key = s.shareKey(p, a)
		heap.Fix(&h, 0)
	}
}

func (s *Scheduler) contenders(p *placement, urgent bool) accountHeap {
	var h accountHeap
	for _, a := range s.accounts {
		if _, known := s.facts.share(a.team); !known || a.queued == 0 {
			continue
		}
		for c, q := range a.classes {
			if q.peek() == nil {
				delete(a.classes, c)
			} else if c.urgent == urgent {
				q.blocked = !s.facts.poolInService(c.pool)
				q.rotations = 0
			}
		}
		a.limit = s.facts.startLimit(a.team)
		a.key = s.shareKey(p, a)
		h = append(h, a)
	}
	heap.Init(&h)
	p.fair = s.fairKey(p)
	return h
}

func (s *Scheduler) shareKey(p *placement, a *account) float64 {
	weight, _ := s.facts.share(a.team)
	return dominantShare(a.usage, p.total) / weight
}

// fairKey divides the use of all teams with work by their weights.
func (s *Scheduler) fairKey(p *placement) float64 {
	var use controller.Amount
	weights := 0.0
	for _, a := range s.accounts {
		if a.queued > 0 || a.usage != (controller.Amount{}) {
			weight, _ := s.facts.share(a.team)
			weights += weight
			use = use.Plus(a.usage)
		}
	}
	return dominantShare(use, p.total) / max(weights, 1)
}

// reserve keeps the worker with the most room out of this pass, if the team is
// below its share and its task fits nowhere. Without it the room that ends of
// small tasks leave is taken by other small tasks at once, and large tasks
// starve. The choice is the same in the next pass, as the room only grows.
func (s *Scheduler) reserve(p *placement, a *account, t *task, pool string, size controller.Amount) {
	x := p.index(pool)
	if a.key >= reserveBelow*p.fair || p.reserved[pool] >= max(x.size/reserveFraction, 1) {
		return
	}
	if x.takeLargest(t, size) != nil {
		p.reserved[pool]++
	}
}

// next returns the oldest task among the classes that are not blocked.
func (a *account) next(urgent bool) (*task, *classQueue) {
	var oldest *task
	var from *classQueue
	for c, q := range a.classes {
		if c.urgent != urgent || q.blocked {
			continue
		}
		if t := q.peek(); t != nil && (oldest == nil || t.number < oldest.number) {
			oldest = t
			from = q
		}
	}
	return oldest, from
}

// place assigns the first task of a class queue to a worker. Otherwise it
// blocks the class for the rest of the pass and reports false.
func (s *Scheduler) place(p *placement, a *account, t *task, q *classQueue) bool {
	pool := s.poolOf(t.spec.GetQueue())
	size := s.sizeOf(t, pool)
	ramped := p.ramping && !t.spec.GetUrgent() && !size.FitsIn(p.room)
	if ramped || !a.charged.Plus(size).FitsIn(a.limit) {
		q.blocked = true
		return false
	}
	w := p.index(pool).take(t, size)
	if w == nil && t.spec.GetUrgent() {
		w = s.makeRoom(p, t, pool, size)
	}
	if w == nil {
		s.reserve(p, a, t, pool, size)
		q.setAside(t)
		return false
	}
	q.drop()
	s.assign(t, w, size)
	p.room = p.room.Minus(size)
	p.placed++
	if s.eligible(p.now, w) {
		p.index(pool).add(w)
	}
	p.actions = append(p.actions, Assigned{
		Task:   t.spec.GetId(),
		Worker: w.name,
		Size:   size,
	})
	return true
}

// setAside blocks the class, unless only this task's failures are in the way.
func (q *classQueue) setAside(t *task) {
	if len(t.failedOn) == 0 || q.rotations >= maxRotations {
		q.blocked = true
		return
	}
	q.rotate()
}

// makeRoom finds a worker on which other work can be put off for an urgent
// task, marks that work and returns the worker.
func (s *Scheduler) makeRoom(p *placement, t *task, pool string, size controller.Amount) *worker {
	workers := s.sortedWorkers()
	var best *worker
	var victims []*task
	for i := range workers {
		w := workers[(i+s.scanFrom)%len(workers)]
		if w.pool() != pool || !s.eligible(p.now, w) || t.failedOnWorker(w.name) {
			continue
		}
		found, ok := w.victims(size)
		if ok && (best == nil || len(found) < len(victims)) {
			best = w
			victims = found
			if len(found) <= 1 {
				s.scanFrom += i
				break
			}
		}
	}
	if best == nil {
		return nil
	}
	p.index(pool).remove(best)
	for _, v := range victims {
		v.yielding = true
		if !v.handedOut {
			p.actions = append(p.actions, s.requeue(p.now, v, "urgent work takes its place"))
		}
	}
	return best
}

// victims returns the newest tasks whose throttling or checkpoint frees the
// size. Only a checkpoint frees memory and accelerators, and only idempotent
// tasks are checkpointed, because they may be started again.
func (w *worker) victims(size controller.Amount) ([]*task, bool) {
	free := w.free()
	if !size.FitsIn(w.capacity) {
		return nil, false
	}
	var found []*task
	tasks := w.sorted()
	slices.Reverse(tasks)
	for _, t := range tasks {
		if size.FitsIn(free) {
			break
		}
		if t.spec.GetUrgent() || t.yielding || t.cancelled || t.state != wire.TaskState_TASK_STATE_RUNNING {
			continue
		}
		gain := t.cost()
		if !t.spec.GetIdempotent() {
			gain = controller.Amount{
				MilliCores: gain.MilliCores,
			}
		}
		free = free.Plus(gain)
		found = append(found, t)
	}
	return found, size.FitsIn(free)
}

// remove takes the worker out of the index.
func (x *index) remove(w *worker) {
	if b := x.buckets[freeClassOf(w.free())]; b != nil {
		if i := slices.Index(b.workers, w); i >= 0 {
			b.workers = slices.Delete(b.workers, i, i+1)
		}
	}
}
