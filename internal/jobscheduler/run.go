package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobwire"
)

type runState int

const (
	// starting runs have been ordered and not confirmed.
	starting runState = iota
	running
	stopping
)

const (
	// startTries is how often an unanswered start is sent before it is withdrawn.
	startTries = 3
	// stopPause is the time between two orders to stop one run.
	stopPause = 400 * time.Millisecond
)

// run is one run of a task that is not known to have ended.
type run struct {
	key    runKey
	worker *worker
	// step is nil when the task is not open.
	step    *step
	account string
	each    controller.Amount
	room    controller.Amount

	state runState
	tries int
	since time.Time
	// confirmed is when the worker confirmed the newest order; zero before.
	confirmed time.Time
	stopSent  time.Time

	checkpoint string
	// figure is what the worker says of the last half second: the tail in
	// milliseconds of a task that serves, else the processors in use.
	figure int64
	// percent is the share at which it was told to work.
	percent int
	// progress is the share of its work that is done; 100 once a lasting task
	// is at work.
	progress int
}

// addRun books a run on its worker.
func (s *Scheduler) addRun(w *worker, st *step, key runKey, state runState) *run {
	r := &run{
		key:     key,
		worker:  w,
		step:    st,
		state:   state,
		since:   s.now,
		percent: 100,
	}
	if st != nil {
		r.account = st.occurrence.job.record.Spec.GetAccount()
		r.each = st.each
		r.room = roomOf(st)
		st.runs[key.index] = r
		st.perWorker[w.info.GetId()]++
		st.unqueue(key.index)
		if !st.occurrence.begun && state == starting && s.settings.Waited != nil {
			s.settings.Waited(s.wall.Sub(st.occurrence.due))
		}
		st.occurrence.job.started = true
		st.occurrence.begun = true
	}
	w.runs[key] = r
	w.used = w.used.Plus(r.room)
	s.used[r.account] = s.used[r.account].Plus(r.each)
	s.live[key.taskKey]++
	return r
}

// roomOf returns what a task of a step takes of its worker's capacity.
func roomOf(st *step) controller.Amount {
	room := st.each
	if st.spec.GetFills() {
		room.MilliCores = 0
	}
	return room
}

// dropRun frees what a run held; it has ended or can't run any more.
func (s *Scheduler) dropRun(r *run) {
	w := r.worker
	if _, ok := w.runs[r.key]; !ok {
		return
	}
	delete(w.runs, r.key)
	w.used = w.used.Minus(r.room)
	s.used[r.account] = s.used[r.account].Minus(r.each)
	if s.live[r.key.taskKey]--; s.live[r.key.taskKey] == 0 {
		delete(s.live, r.key.taskKey)
	}
	if r.step != nil {
		r.step.perWorker[w.info.GetId()]--
		if r.step.runs[r.key.index] == r {
			delete(r.step.runs, r.key.index)
		}
	}
	s.markAll()
}

// loseRun drops a run that ended without a listed end and queues its task.
func (s *Scheduler) loseRun(r *run, cause string) {
	s.dropRun(r)
	s.counters.Lost++
	s.logger.Info("scheduler: run is lost", "task", nameOf(r.key.taskKey), "run", r.key.number,
		"worker", r.worker.info.GetId(), "cause", cause)
	s.requeue(r.key.taskKey)
}

func (s *Scheduler) loseAll(w *worker, cause string) {
	for _, r := range w.runs {
		s.loseRun(r, cause)
	}
}

// stop orders a run to end.
func (s *Scheduler) stop(r *run) {
	if r.state != stopping {
		r.state = stopping
		r.confirmed = time.Time{}
	}
	r.stopSent = s.now
	s.counters.Stops++
	s.emit(Stop{
		Target: r.worker.target(),
		Task:   r.key.task(),
		Run:    r.key.number,
	})
}

// StartAnswer is the outcome of a Start.
type StartAnswer int

// The outcomes of a Start.
const (
	// StartUnknown means that the order may be carried out, now or later.
	StartUnknown StartAnswer = iota
	StartAccepted
	// StartNoRoom means that the task does not fit.
	StartNoRoom
	// StartOutdated means that a run at least as new has ended there.
	StartOutdated
	// StartLate means that the lease of the order had ended.
	StartLate
	// StartRefused means that an unhealthy worker has done nothing.
	StartRefused
	// StartInvalid means that the worker does not understand the order.
	StartInvalid
	// StartFenced means that a later leader gives orders.
	StartFenced
	// StartNoTicket means that the ticket was not valid.
	StartNoTicket
	// StartGone means that this life of the worker has ended.
	StartGone
)

// StartAnswered takes the outcome of a Start. The clock is 0 when the worker
// did not state it.
func (s *Scheduler) StartAnswered(a Start, answer StartAnswer, clock int64) {
	w, r := s.lookup(a.Target, a.Task, a.Run)
	if w != nil && clock > 0 {
		w.setClock(clock, s.now)
		w.answered, w.failing = s.now, false
	}
	if answer == StartGone && w != nil {
		s.leave(w)
		return
	}
	if r == nil {
		return
	}
	switch answer {
	case StartAccepted:
		if r.state == starting {
			r.state, r.confirmed = running, s.now
		}
		s.wake(w)
	case StartUnknown:
		s.startUnanswered(a, r)
	default:
		s.startRefused(r, answer)
	}
}

// startUnanswered sends an order again and finally withdraws it. A repeated
// order changes nothing where the first one was carried out.
func (s *Scheduler) startUnanswered(a Start, r *run) {
	if r.state != starting {
		return
	}
	r.tries++
	if r.tries >= startTries {
		r.worker.failing = true
		s.stop(r)
		return
	}
	s.emit(a)
}

// startRefused frees a run that has not begun.
func (s *Scheduler) startRefused(r *run, answer StartAnswer) {
	w := r.worker
	if answer == StartOutdated {
		// The run has ended there; the next look tells how.
		r.state, r.confirmed = running, s.now
		s.wake(w)
		return
	}
	if r.tries > 0 {
		// An earlier copy of the order may still be carried out.
		s.stop(r)
		return
	}
	s.logger.Info("scheduler: start was refused", "task", nameOf(r.key.taskKey), "run", r.key.number,
		"worker", w.info.GetId(), "answer", int(answer))
	s.dropRun(r)
	switch answer {
	case StartNoRoom:
		s.counters.NoRoom++
		w.fullUntil = s.now.Add(fullPause)
	case StartRefused, StartInvalid:
		s.noteFailure(w)
	case StartLate:
		w.lookAt = s.now
		w.fullUntil = s.now.Add(fullPause)
	case StartNoTicket:
		if r.step != nil {
			// The next pass asks again.
			r.step.advice.until = time.Time{}
		}
	}
	s.requeue(r.key.taskKey)
}

// StopAnswered takes the outcome of a Stop: whether the worker confirmed it.
func (s *Scheduler) StopAnswered(a Stop, confirmed bool, clock int64) {
	w, r := s.lookup(a.Target, a.Task, a.Run)
	if w == nil {
		return
	}
	if clock > 0 {
		w.setClock(clock, s.now)
	}
	if r == nil || !confirmed {
		return
	}
	r.confirmed = s.now
	s.wake(w)
}

func (s *Scheduler) lookup(t Target, task *jobwire.Task, number uint64) (*worker, *run) {
	w, ok := s.workers[t.ID]
	if !ok || w.info.GetBorn() != t.Born {
		return nil, nil
	}
	return w, w.runs[runKey{
		taskKey: keyOf(task),
		number:  number,
	}]
}

// wake lets the next look at a worker happen soon.
func (s *Scheduler) wake(w *worker) {
	if at := s.now.Add(s.lookPause()); w.lookAt.After(at) {
		w.lookAt = at
	}
}

// leave notes that a life of a worker has ended.
func (s *Scheduler) leave(w *worker) {
	s.depart(w, "this life of the worker has ended")
	s.emit(Forget{
		ID:   w.info.GetId(),
		Born: w.info.GetBorn(),
	})
}
