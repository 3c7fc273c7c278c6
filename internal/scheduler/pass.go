package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// maxRotationsPerPass bounds the tasks of one class that a pass moves to the back
// of the queue because they failed on the workers that have room.
const maxRotationsPerPass = 16

// placement is the state of one pass.
type placement struct {
	now     time.Time
	indexes map[string]*workerIndex
	// capacity is the sum over all workers that polled recently; shares are
	// fractions of it.
	capacity controller.Amount
	// headroom is what the ramp still allows to start; valid if ramping.
	headroom controller.Amount
	ramping  bool
	// placed is the number of tasks placed so far.
	placed int
	// fairShare is the weighted dominant share of each team with work if all of
	// them had the same.
	fairShare float64
	// reserved counts the workers kept free for large tasks, by pool.
	reserved map[string]int
	actions  []Action
}

// pass handles expired leases, deadlines and ended tasks, and places queued tasks:
// urgent ones first, then the others, each time from the team with the lowest
// weighted dominant share.
func (s *Scheduler) pass(now time.Time, mayStart bool) []Action {
	s.purgeEnded(now)
	actions := s.expireLeases(now)
	actions = append(actions, s.stopOverdue(now)...)
	if !mayStart || !s.rebuilt || !s.control.inService() {
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

// newPlacement indexes the eligible workers. It returns nil if nothing is queued.
func (s *Scheduler) newPlacement(now time.Time) *placement {
	queued := false
	for _, a := range s.accounts {
		queued = queued || a.queuedTasks > 0
	}
	if !queued {
		return nil
	}
	p := &placement{
		now:      now,
		indexes:  make(map[string]*workerIndex),
		reserved: make(map[string]int),
	}
	for _, w := range s.sortedWorkers() {
		if w.polledRecently(now) {
			p.capacity = p.capacity.Plus(w.capacity)
		}
		if s.eligible(now, w) {
			x := p.index(w.pool())
			x.add(w)
			x.workerCount++
		}
	}
	p.headroom, p.ramping = s.ramp.headroom(now, p.capacity, s.charged)
	return p
}

func (p *placement) index(pool string) *workerIndex {
	x := p.indexes[pool]
	if x == nil {
		x = newWorkerIndex()
		p.indexes[pool] = x
	}
	return x
}

// placeAll places tasks of the account with the lowest share until no account has
// a task that can be placed, or the pass has reached maxPlacementsPerPass.
func (s *Scheduler) placeAll(p *placement, urgent bool) {
	h := s.newAccountHeap(p, urgent)
	for len(h) > 0 && p.placed < maxPlacementsPerPass {
		a := h[0]
		t, q := a.nextTask(urgent)
		if t == nil {
			h.popTop()
			continue
		}
		if !s.place(p, a, t, q) {
			continue
		}
		a.weightedShare = s.weightedShare(p, a)
		heap.Fix(&h, 0)
	}
}

// newAccountHeap returns the accounts with queued tasks, ordered by weighted
// dominant share, and resets their values of the last pass.
func (s *Scheduler) newAccountHeap(p *placement, urgent bool) accountHeap {
	var h accountHeap
	for _, a := range s.accounts {
		if _, known := s.control.weight(a.team); !known || a.queuedTasks == 0 {
			continue
		}
		for c, q := range a.classes {
			if q.peek() == nil {
				delete(a.classes, c)
			} else if c.urgent == urgent {
				q.blocked = !s.control.poolInService(c.pool)
				q.rotations = 0
			}
		}
		a.limit = s.control.startLimit(a.team)
		a.weightedShare = s.weightedShare(p, a)
		h = append(h, a)
	}
	heap.Init(&h)
	p.fairShare = s.fairShare(p)
	return h
}

// weightedShare returns the dominant share of the account, divided by its weight.
func (s *Scheduler) weightedShare(p *placement, a *account) float64 {
	weight, _ := s.control.weight(a.team)
	return dominantShare(a.usage, p.capacity) / weight
}

// fairShare returns the dominant share of all teams with work, divided by the sum
// of their weights.
func (s *Scheduler) fairShare(p *placement) float64 {
	var use controller.Amount
	weights := 0.0
	for _, a := range s.accounts {
		if a.queuedTasks > 0 || a.usage != (controller.Amount{}) {
			weight, _ := s.control.weight(a.team)
			weights += weight
			use = use.Plus(a.usage)
		}
	}
	return dominantShare(use, p.capacity) / max(weights, 1)
}

// reserveWorker keeps the worker with the most free resources out of this pass, if
// the team is below its share and its task fits on no worker. Otherwise resources
// freed by small tasks would go to other small tasks at once, and large tasks would
// starve. The next pass reserves the same worker, since its free resources only grow.
func (s *Scheduler) reserveWorker(p *placement, a *account, t *task, pool string, size controller.Amount) {
	x := p.index(pool)
	if a.weightedShare >= reserveShareThreshold*p.fairShare || p.reserved[pool] >= max(x.workerCount/maxReservedDivisor, 1) {
		return
	}
	if x.takeLargest(t, size) != nil {
		p.reserved[pool]++
	}
}

// nextTask returns the oldest of the first tasks of the classes that are not
// blocked, with the queue of its class.
func (a *account) nextTask(urgent bool) (*task, *classQueue) {
	var oldest *task
	var queue *classQueue
	for c, q := range a.classes {
		if c.urgent != urgent || q.blocked {
			continue
		}
		if t := q.peek(); t != nil && (oldest == nil || t.number < oldest.number) {
			oldest = t
			queue = q
		}
	}
	return oldest, queue
}

// place assigns the first task of a class queue to a worker. If it can't, it
// blocks or rotates the queue and reports false.
func (s *Scheduler) place(p *placement, a *account, t *task, q *classQueue) bool {
	pool := s.poolOf(t.spec.GetQueue())
	size := s.sizeOf(t, pool)
	exceedsRamp := p.ramping && !t.spec.GetUrgent() && !size.FitsIn(p.headroom)
	if exceedsRamp || !a.charged.Plus(size).FitsIn(a.limit) {
		q.blocked = true
		return false
	}
	var w *worker
	if t.isolated() {
		w = s.takeIdle(p, t, pool)
	} else {
		w = p.index(pool).take(t, size)
	}
	if w == nil && t.spec.GetUrgent() && !t.isolated() {
		w = s.preempt(p, t, pool, size)
	}
	if w == nil {
		if !t.isolated() {
			s.reserveWorker(p, a, t, pool, size)
		}
		q.rotateOrBlock(t)
		return false
	}
	q.popFront()
	s.assign(t, w, size)
	p.headroom = p.headroom.Minus(size)
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

// rotateOrBlock blocks the queue for the rest of the pass. A task that may not fit
// only because of the workers it failed on is moved to the back instead, up to
// maxRotationsPerPass times.
func (q *classQueue) rotateOrBlock(t *task) {
	if len(t.failedOn) == 0 && !t.isolated() || q.rotations >= maxRotationsPerPass {
		q.blocked = true
		return
	}
	q.rotate()
}

// preempt finds a worker on which an urgent task fits once other tasks are
// preempted, marks these and returns the worker. It prefers the worker with the
// fewest victims, and takes the first with at most one. It returns nil if there
// is none.
func (s *Scheduler) preempt(p *placement, t *task, pool string, size controller.Amount) *worker {
	workers := s.sortedWorkers()
	var best *worker
	var victims []*task
	for i := range workers {
		w := workers[(i+s.preemptScanStart)%len(workers)]
		if w.pool() != pool || !s.eligible(p.now, w) || t.failedOnWorker(w.name) {
			continue
		}
		found, ok := w.victims(size)
		if ok && (best == nil || len(found) < len(victims)) {
			best = w
			victims = found
			if len(found) <= 1 {
				s.preemptScanStart += i
				break
			}
		}
	}
	if best == nil {
		return nil
	}
	p.index(pool).remove(best)
	for _, v := range victims {
		v.preempted = true
		if !v.startSent {
			p.actions = append(p.actions, s.requeue(p.now, v, "preempted by an urgent task"))
		}
	}
	return best
}

// victims returns the newest tasks to preempt so that the size becomes free, and
// whether that suffices.
func (w *worker) victims(size controller.Amount) ([]*task, bool) {
	free := w.free()
	if !size.FitsIn(w.capacity) {
		return nil, false
	}
	var found []*task
	tasks := w.tasksByAcceptance()
	slices.Reverse(tasks)
	for _, t := range tasks {
		if size.FitsIn(free) {
			break
		}
		if t.spec.GetUrgent() || t.preempted || t.cancelled || t.state != wire.TaskState_TASK_STATE_RUNNING {
			continue
		}
		free = free.Plus(t.preemptible())
		found = append(found, t)
	}
	return found, size.FitsIn(free)
}

// remove removes the worker, whose free resources must not have changed since add.
func (x *workerIndex) remove(w *worker) {
	if b := x.buckets[freeClassOf(w.free())]; b != nil {
		if i := slices.Index(b.workers, w); i >= 0 {
			b.workers = slices.Delete(b.workers, i, i+1)
		}
	}
}
