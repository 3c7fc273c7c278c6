package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// clockSlack is how much slower than true time a worker's clock may run.
	clockSlack = 1.02
	// leaseMargin covers rounding to milliseconds and late timers.
	leaseMargin = 100 * time.Millisecond
	// silentAfter is the time without an answer after which no task starts on
	// a worker.
	silentAfter = 1200 * time.Millisecond
	// lookWait is how long a worker with runs may wait for an end.
	lookWait = 700 * time.Millisecond
	// lookPause is the least time between two looks at a worker, so that ends
	// come in batches.
	lookPause = 15 * time.Millisecond
	// lookShare is the part of that time for each worker of a large fleet.
	lookShare = 300 * time.Microsecond
	// failedLookPause is the time before the next look after one that failed.
	failedLookPause = 250 * time.Millisecond
	// streakLimit is the number of failures in a row that put a worker into quarantine.
	streakLimit = 3
	// quarantineTime is the first quarantine; each further one is twice as long.
	quarantineTime = 2 * time.Second
	quarantineMost = 16 * time.Second
)

// worker is what the leader knows of one life of a worker.
type worker struct {
	info     *jobwire.Worker
	capacity controller.Amount
	used     controller.Amount
	runs     map[runKey]*run

	// adopted is true once it has told this leader what it runs.
	adopted bool
	// clock is its clock in milliseconds as of clockAt, a local time.
	clock   int64
	clockAt time.Time
	// leaseEnd is a local time at which its leases have surely ended.
	leaseEnd time.Time
	// answered is when it last answered.
	answered time.Time
	failing  bool

	seen      uint64
	recording bool
	looking   bool
	lookAt    time.Time
	// lookSent is when the newest look was sent.
	lookSent time.Time

	streak      int
	quarantines int
	idleUntil   time.Time
	// fullUntil puts off starts after one was refused for want of room.
	fullUntil time.Time
	// leaving is true once the worker has said that it ends.
	leaving bool
	// held is true while the host is being prepared for planned work.
	held bool
}

type runKey struct {
	taskKey
	number uint64
}

// life names one life of a worker.
type life struct {
	id   string
	born int64
}

func (w *worker) life() life {
	return life{
		id:   w.info.GetId(),
		born: w.info.GetBorn(),
	}
}

func (w *worker) target() Target {
	return Target{
		ID:         w.info.GetId(),
		Born:       w.info.GetBorn(),
		Address:    w.info.GetAddress(),
		DataCentre: w.info.GetDataCentre(),
	}
}

// deadline returns the end of a lease that is counted from the last
// confirmation of the lead, on the worker's clock; 0 when that is not known.
func (w *worker) deadline(contact time.Time, lease time.Duration) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + (contact.Sub(w.clockAt) + lease).Milliseconds()
}

// grant notes that a lease until the given deadline may be in force.
func (w *worker) grant(deadline int64) {
	left := time.Duration(float64(time.Duration(deadline-w.clock)*time.Millisecond) * clockSlack)
	if end := w.clockAt.Add(left + leaseMargin); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// setClock notes the worker's clock as it was no later than at the local time.
func (w *worker) setClock(millis int64, at time.Time) {
	if w.clockAt.IsZero() || at.After(w.clockAt) {
		w.clock, w.clockAt = millis, at
	}
}

// WorkerChanged implements jobkeeper.Observer.
func (s *Scheduler) WorkerChanged(info *jobwire.Worker) {
	w, ok := s.workers[info.GetId()]
	if ok && w.info.GetBorn() == info.GetBorn() {
		w.info = info
		w.capacity = controller.AmountOf(info.GetCapacity())
		s.markPool(info.GetPool())
		return
	}
	if ok {
		s.depart(w, "the worker started again")
	}
	w = &worker{
		info:     info,
		capacity: controller.AmountOf(info.GetCapacity()),
		runs:     make(map[runKey]*run),
		lookAt:   s.now,
	}
	s.workers[info.GetId()] = w
	s.markPool(info.GetPool())
}

func (s *Scheduler) markPool(name string) { s.pool(name).dirty = true }

// WorkerForgotten implements jobkeeper.Observer.
func (s *Scheduler) WorkerForgotten(info *jobwire.Worker) {
	w, ok := s.workers[info.GetId()]
	if !ok || w.info.GetBorn() != info.GetBorn() {
		return
	}
	s.depart(w, "the worker has left")
}

// depart removes a life of a worker that has ended. While an answer of it is on
// its way, its runs are kept: the answer may list their ends.
func (s *Scheduler) depart(w *worker, cause string) {
	delete(s.workers, w.info.GetId())
	delete(s.unknown, w.info.GetId())
	s.markPool(w.info.GetPool())
	w.failing = true
	if w.looking {
		s.departing[w.life()] = w
		return
	}
	s.loseAll(w, cause)
}

// departed takes the last answer of a life that has ended.
func (s *Scheduler) departed(w *worker, answer LookAnswer) {
	delete(s.departing, w.life())
	if !answer.Failed && !answer.Gone {
		s.noteEnds(w, answer.Ended)
	}
	s.loseAll(w, "this life of the worker has ended")
}

// WorkerHeard notes a heartbeat that states the worker's clock.
func (s *Scheduler) WorkerHeard(id string, born, clock int64) {
	w, ok := s.workers[id]
	if !ok || w.info.GetBorn() != born {
		return
	}
	w.setClock(clock, s.now)
	if w.info.GetLapsed() && !w.looking && w.lookAt.After(s.now) {
		w.lookAt = s.now
	}
}

// WorkerLeaves notes that a worker has said that it ends now.
func (s *Scheduler) WorkerLeaves(id string, born int64) {
	w, ok := s.workers[id]
	if !ok || w.info.GetBorn() != born {
		return
	}
	if len(w.runs) == 0 {
		s.leave(w)
		return
	}
	w.leaving = true
	w.lookAt = s.now.Add(failedLookPause)
}

// usable reports whether tasks may start on the worker.
func (s *Scheduler) usable(w *worker) bool {
	return w.adopted && !w.failing && !w.held && !w.leaving && !w.info.GetDraining() && !w.info.GetLapsed() &&
		!s.state.Evacuated[w.info.GetDataCentre()] &&
		!s.now.Before(w.idleUntil) && !s.now.Before(w.fullUntil)
}

// noteFailure counts failures in a row; a worker that fails all that it starts
// gets nothing for some time, then a few tasks as a trial.
func (s *Scheduler) noteFailure(w *worker) {
	w.streak++
	if w.streak < streakLimit {
		return
	}
	pause := min(quarantineTime<<w.quarantines, quarantineMost)
	w.quarantines = min(w.quarantines+1, 3)
	w.streak = streakLimit - 1
	w.idleUntil = s.now.Add(pause)
	s.logger.Info("scheduler: worker fails what it starts; it gets no tasks for some time",
		"worker", w.info.GetId(), "pause", pause)
}

func (s *Scheduler) noteSuccess(w *worker) {
	w.streak, w.quarantines = 0, 0
}
