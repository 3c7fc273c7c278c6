package jobscheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fullPause is the time without starts on a worker that had no room.
	fullPause = 200 * time.Millisecond
	// refusedPause is the time before a step that found no worker is tried again.
	refusedPause = 100 * time.Millisecond
)

// Pass returns what is to be done now. Contact is the newest time at which a
// majority confirmed the lead; leases are counted from it.
func (s *Scheduler) Pass(contact time.Time) []Action {
	for _, j := range s.jobs {
		s.load(j)
	}
	s.tickWorkers(contact)
	s.tickRuns()
	if s.now.Sub(s.markedAt) >= passPause {
		// Pauses of workers and tickets end without an event.
		s.markedAt = s.now
		s.markAll()
	}
	s.tickHosts()
	for _, p := range s.pools {
		if p.dirty {
			p.dirty = false
			s.place(p, contact)
		}
	}
	return s.take()
}

// tickRuns sends orders to stop again that were not confirmed, and moves
// lasting tasks off workers that drain.
func (s *Scheduler) tickRuns() {
	for _, w := range s.workers {
		for _, r := range w.runs {
			if w.info.GetDraining() && r.state == running && r.step != nil && r.step.spec.GetLasting() {
				s.stop(r)
			}
			if r.state == stopping && r.confirmed.IsZero() && s.now.Sub(r.stopSent) > stopPause {
				s.stop(r)
			}
		}
	}
}

// place starts waiting tasks of a pool in the order of their urgency.
func (s *Scheduler) place(p *pool, contact time.Time) {
	workers := s.candidates(p)
	waiting := s.waiting(p, len(workers))
	for _, st := range waiting {
		if s.mayBeUnknown(st.occurrence.job) {
			continue
		}
		if st.spec.GetGang() {
			s.placeGang(st, workers, contact)
			continue
		}
		s.placeTasks(st, workers, contact)
	}
}

// candidates returns the usable workers of a pool.
func (s *Scheduler) candidates(p *pool) []*worker {
	var list []*worker
	for _, w := range s.workers {
		if w.info.GetPool() == p.name && s.usable(w) && !w.clockAt.IsZero() {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.info.GetId(), b.info.GetId()) })
	return list
}

// waiting returns the steps of a pool that have tasks to start, most urgent first.
func (s *Scheduler) waiting(p *pool, workers int) []*step {
	var list []*step
	for _, j := range p.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.ready && len(st.pending) > 0 {
					list = append(list, st)
				}
			}
		}
	}
	crowded := s.crowded(list, workers)
	ranks := make(map[*step]rank, len(list))
	for _, st := range list {
		ranks[st] = s.rank(st, crowded)
	}
	slices.SortFunc(list, func(a, b *step) int { return ranks[a].compare(ranks[b]) })
	return list
}

// rank orders steps for starting.
type rank struct {
	class    int
	priority int32
	// slack is how long the step may wait, or the work left of one that is late.
	slack time.Duration
	id    string
	step  int32
}

// The classes of a rank, most urgent first: lasting tasks serve their users all
// the time; a job that has begun is finished before another one begins; what is
// late already gives way to what can still be in time; what is too late to earn
// anything comes last.
const (
	classLasting = iota
	classBegun
	classInTime
	classLate
	classTooLate
)

const (
	// lateFactor is how many times its objective a job may take to earn
	// anything.
	lateFactor = 3
	// crowdedTime is the time that the waiting work would keep all hosts of a
	// pool busy from which on the pool is crowded.
	crowdedTime = 400 * time.Millisecond
)

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.priority, o.priority),
		cmp.Compare(r.slack, o.slack), cmp.Compare(r.id, o.id), cmp.Compare(r.step, o.step))
}

// rank places a step among those that wait. In a crowded pool not all jobs can
// be in time; the one with the least slack first would make nearly all of them
// late, so there the smaller jobs come first.
func (s *Scheduler) rank(st *step, crowded bool) rank {
	o := st.occurrence
	r := rank{
		class:    classInTime,
		priority: s.queues[o.job.record.Spec.GetQueue()].GetPriority(),
		id:       o.job.id,
		step:     st.number,
	}
	left := o.job.tail[st.number]
	r.slack = o.objective.Sub(s.wall) - left
	switch {
	case st.spec.GetLasting():
		r.class = classLasting
	case r.slack < 0:
		r.class = classLate
		r.slack += (lateFactor - 1) * o.objective.Sub(o.due)
		if r.slack < 0 {
			r.class, r.slack = classTooLate, left
		}
	case o.begun:
		r.class = classBegun
	case crowded:
		r.slack = time.Duration(o.job.size * float64(time.Second))
	}
	return r
}

// crowded reports whether the waiting work of a pool exceeds what its hosts can
// do soon.
func (s *Scheduler) crowded(list []*step, workers int) bool {
	waiting := 0.0
	for _, st := range list {
		if !st.spec.GetLasting() {
			waiting += st.share * float64(len(st.pending)) * time.Duration(st.spec.GetEstimateNanos()).Seconds()
		}
	}
	return waiting > crowdedTime.Seconds()*float64(workers)
}

// placeTasks starts the tasks of a step that fit.
func (s *Scheduler) placeTasks(st *step, workers []*worker, contact time.Time) {
	for _, index := range slices.Clone(st.pending) {
		if !s.underCeiling(st, 1) {
			return
		}
		w := s.choose(st, index, workers, nil)
		if w == nil {
			s.seekAdvice(st, workers)
			return
		}
		s.start(st, index, s.nextRun(st, index), w, contact)
	}
}

// placeGang starts all tasks of a step or none, under one run number.
func (s *Scheduler) placeGang(st *step, workers []*worker, contact time.Time) {
	if len(st.pending) < int(st.spec.GetTasks()) || !s.underCeiling(st, len(st.pending)) {
		return
	}
	chosen := s.chooseGang(st, workers)
	if chosen == nil {
		s.seekAdvice(st, workers)
		return
	}
	number := uint64(0)
	for _, index := range st.pending {
		number = max(number, s.nextRun(st, index))
	}
	for i, index := range slices.Clone(st.pending) {
		st.numbers[index] = number
		s.start(st, index, number, chosen[i], contact)
	}
}

// underCeiling reports whether the account of a step may have n more tasks of
// it running. A task that is larger than the ceiling runs alone.
func (s *Scheduler) underCeiling(st *step, n int) bool {
	account := st.occurrence.job.record.Spec.GetAccount()
	ceiling := s.ceiling(account)
	used := s.used[account]
	if ceiling != (amount{}) {
		used = used.plus(s.unknownUse())
	}
	if used == (amount{}) && n == 1 {
		return true
	}
	for range n {
		used = used.plus(st.each)
	}
	return used.under(ceiling)
}

func (s *Scheduler) ceiling(account string) amount {
	for _, a := range s.state.Configuration.GetAccounts() {
		if a.GetName() == account {
			return amountOf(a.GetCeiling())
		}
	}
	return amount{}
}

// start books a run and orders it.
func (s *Scheduler) start(st *step, index int32, number uint64, w *worker, contact time.Time) {
	deadline := w.deadline(contact, s.settings.Lease)
	w.grant(deadline)
	key := runKey{
		taskKey: st.key(index),
		number:  number,
	}
	s.addRun(w, st, key, starting)
	s.logger.Info("scheduler: task starts", "task", nameOf(key.taskKey), "run", number, "worker", w.info.GetId(),
		"slack", st.occurrence.objective.Sub(s.wall)-st.occurrence.job.tail[st.number], "used", w.used.milliCores)
	s.counters.Starts++
	s.emit(Start{
		Target:     w.target(),
		Task:       key.task(),
		Run:        number,
		Payload:    st.occurrence.job.record.Spec.GetPayload(),
		Checkpoint: s.checkpoint(st, index),
		Ticket:     st.advice.ticket(w.info.GetId(), s.now),
		Deadline:   deadline,
	})
	if w.lookAt.After(s.now.Add(lookWait)) {
		w.lookAt = s.now.Add(lookPause)
	}
}

// checkpoint returns what a task resumes from. All members of a gang resume
// from the same one.
func (s *Scheduler) checkpoint(st *step, index int32) string {
	record := st.occurrence.job.record
	if !st.spec.GetGang() {
		return record.Task(st.key(index).task()).Checkpoint
	}
	for i := range st.spec.GetTasks() {
		if c := record.Task(st.key(i).task()).Checkpoint; c != "" {
			return c
		}
	}
	return ""
}

// fits reports whether a task of the step may run on the worker with extra
// tasks of the same step already chosen for it.
func (s *Scheduler) fits(st *step, w *worker, extra int) bool {
	room := roomOf(st)
	used := w.used
	for range extra {
		used = used.plus(room)
	}
	if !used.plus(room).within(w.capacity) {
		return false
	}
	if most := int(st.spec.GetMostPerWorker()); most > 0 && st.perWorker[w.info.GetId()]+extra >= most {
		return false
	}
	label := st.spec.GetLabel()
	return label == "" || slices.Contains(w.info.GetLabels(), label)
}

// choose returns the worker on which a task starts: near its data, not where
// it failed last, and where least is free.
func (s *Scheduler) choose(st *step, index int32, workers []*worker, extra map[*worker]int) *worker {
	var best *worker
	var bestCost float64
	for _, w := range workers {
		if !s.usable(w) || !s.fits(st, w, extra[w]) || !s.allowed(st, w) {
			continue
		}
		cost := s.cost(st, index, w)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// Costs of a placement, in shares of a worker's capacity.
const (
	costRemote = 4.0
	costAvoid  = 8.0
	costTrial  = 1.0
	costDue    = 2.0
	// costSpread keeps the loss of one host within what a step may miss.
	costSpread = 4.0
)

func (s *Scheduler) cost(st *step, index int32, w *worker) float64 {
	// Full hosts come first, so that the others become idle and can move.
	cost := -hostShare(w.used, w.capacity)
	if rack := st.spec.GetDataRack(); rack != "" && rack != w.info.GetRack() {
		cost += costRemote
	}
	if st.avoid[index] == w.info.GetId() {
		cost += costAvoid
	}
	if miss := int(st.spec.GetMayMiss()); miss > 0 && st.perWorker[w.info.GetId()] >= miss {
		cost += costSpread
	}
	if st.spec.GetLasting() && s.dueForUpkeep(w) {
		cost += costDue
	}
	return cost + costTrial*float64(w.streak)
}

// chooseGang returns a worker for each waiting task of a gang, on one rack if
// the step asks for it; nil when not all fit.
func (s *Scheduler) chooseGang(st *step, workers []*worker) []*worker {
	if !st.spec.GetSameRack() {
		return s.chooseAll(st, workers)
	}
	racks := make(map[string][]*worker)
	for _, w := range workers {
		racks[w.info.GetRack()] = append(racks[w.info.GetRack()], w)
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if chosen := s.chooseAll(st, racks[name]); chosen != nil {
			return chosen
		}
	}
	return s.chooseAll(st, workers)
}

func (s *Scheduler) chooseAll(st *step, workers []*worker) []*worker {
	extra := make(map[*worker]int)
	chosen := make([]*worker, 0, len(st.pending))
	for _, index := range st.pending {
		w := s.choose(st, index, workers, extra)
		if w == nil {
			return nil
		}
		extra[w]++
		chosen = append(chosen, w)
	}
	return chosen
}

// Next returns when Pass has to be called again if nothing happens before.
func (s *Scheduler) Next() time.Time {
	next := s.now.Add(passPause)
	for _, w := range s.workers {
		if !w.looking && !w.recording && w.lookAt.Before(next) {
			next = w.lookAt
		}
	}
	return next
}

// passPause is the longest time between two passes.
const passPause = 100 * time.Millisecond
