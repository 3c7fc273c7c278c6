package jobscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
)

const (
	// fullPause is the time without starts on a worker that had no room.
	fullPause = 200 * time.Millisecond
	// startsAtOnce bounds the tasks that one pass starts for each host that carries
	// orders, but for a gang: a larger burst would keep the host from its heartbeats.
	startsAtOnce = 48
)

// Pass returns what is to be done now. Contact is the newest time at which a
// majority confirmed the lead; leases are counted from it. Carriers is the number
// of hosts that carry orders.
func (s *Scheduler) Pass(contact time.Time, carriers int) []Action {
	s.carriers = max(carriers, 1)
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
	s.startsLeft = startsAtOnce * s.carriers
	for _, p := range s.pools {
		if p.dirty && s.startsLeft > 0 {
			p.dirty = false
			s.place(p, contact)
			p.dirty = p.dirty || s.startsLeft <= 0
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
	var tooLarge []controller.Amount
	for _, st := range waiting {
		if s.startsLeft <= 0 {
			return
		}
		if s.mayBeUnknown(st.occurrence.job) || exceeds(roomOf(st), tooLarge) {
			continue
		}
		if st.spec.GetGang() {
			s.placeGang(st, workers, contact)
			continue
		}
		if !s.placeTasks(st, workers, contact) && s.unbound(st) {
			tooLarge = append(tooLarge, roomOf(st))
		}
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

// exceeds reports whether an amount is at least as large as one that found no
// place. In a full pool this spares the search for most waiting steps.
func exceeds(a controller.Amount, tooLarge []controller.Amount) bool {
	for _, b := range tooLarge {
		if b.FitsIn(a) {
			return true
		}
	}
	return false
}

// unbound reports whether only room decides where the tasks of a step may run.
func (s *Scheduler) unbound(st *step) bool {
	return st.spec.GetLabel() == "" && st.spec.GetMostPerWorker() == 0 && !s.queueOf(st).GetAdvised()
}

// placeTasks starts the tasks of a step that fit. It reports false when one
// found no place.
func (s *Scheduler) placeTasks(st *step, workers []*worker, contact time.Time) bool {
	for _, index := range slices.Clone(st.pending) {
		if s.startsLeft <= 0 || !s.underCeiling(st, 1) {
			return true
		}
		w := s.choose(st, index, workers, nil)
		if w == nil {
			s.seekAdvice(st, workers)
			return false
		}
		s.start(st, index, s.nextRun(st, index), w, contact)
	}
	return true
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
	if ceiling != (controller.Amount{}) {
		used = used.Plus(s.unknownUse())
	}
	if used == (controller.Amount{}) && n == 1 {
		return true
	}
	for range n {
		used = used.Plus(st.each)
	}
	return under(used, ceiling)
}

func (s *Scheduler) ceiling(account string) controller.Amount {
	for _, a := range s.state.Configuration.GetAccounts() {
		if a.GetName() == account {
			return controller.AmountOf(a.GetCeiling())
		}
	}
	return controller.Amount{}
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
	st.occurrence.job.pool.pace.add(s.now, st.share*time.Duration(st.spec.GetEstimateNanos()).Seconds())
	s.logger.Info("scheduler: task starts", "task", nameOf(key.taskKey), "run", number, "worker", w.info.GetId(),
		"slack", st.occurrence.objective.Sub(s.wall)-st.occurrence.job.tail[st.number], "used", w.used.MilliCores)
	s.counters.Starts++
	s.startsLeft--
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
		w.lookAt = s.now.Add(s.lookPause())
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

// Next returns when Pass has to be called again if nothing happens before.
func (s *Scheduler) Next() time.Time {
	next := s.now.Add(passPause)
	if s.startsLeft <= 0 {
		return s.now
	}
	for _, w := range s.workers {
		if !w.looking && !w.recording && w.lookAt.Before(next) {
			next = w.lookAt
		}
	}
	return next
}

// passPause is the longest time between two passes.
const passPause = 100 * time.Millisecond
