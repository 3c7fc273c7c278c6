package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobwire"
)

type runState int

const (
	// starting runs have been ordered and are not confirmed.
	starting runState = iota
	running
	stopping
)

const (
	// maxStartAttempts is how often an unanswered start is sent before the run is
	// stopped.
	maxStartAttempts = 3
	// stopRetryInterval is the minimum time between two orders to stop one run.
	stopRetryInterval = 400 * time.Millisecond
)

// run is one run of a task that is not known to have ended.
type run struct {
	key    runKey
	worker *worker
	// step is nil when the task is not open.
	step    *step
	account string
	// hosts is the part of a host that the run takes.
	hosts float64
	// request is what counts towards the account's ceiling, reservation what
	// counts towards the worker's capacity.
	request     controller.Amount
	reservation controller.Amount

	state runState
	// begun is true once the worker has accepted the start or reported the run.
	begun bool
	// begunHere is true once it is known that this incarnation of the worker has begun
	// the run. The answer to a start doesn't name the incarnation, so a later one may have
	// accepted it, under the same id; a poll does.
	begunHere bool
	// begunNoted is true once the run needs no RecordBegun, or is among begunRuns.
	begunNoted bool
	// unsent is true while the caller writes the start to the log: no copy has been sent.
	unsent bool
	// unanswered is true once a copy of the order to start the run was not answered
	// though the worker kept the connection. It may be executed seconds later.
	unanswered    bool
	startAttempts int
	// unansweredAt is when the last of maxStartAttempts copies got no answer; zero before.
	unansweredAt time.Time
	orderedAt    time.Time
	// copySentAt is when the last copy of the order to start the run was sent, formerCopySentAt
	// when the one before it was.
	copySentAt       time.Time
	formerCopySentAt time.Time
	// sentAt is when the last copy was sent before the worker broke or refused the
	// connection; zero when another leader has ordered the run.
	sentAt time.Time
	// brokenOff is true when the worker broke the connection soon after the order had
	// been sent on it. Unless something else has crashed it, it has begun the run.
	brokenOff bool
	// confirmedAt is when the worker first confirmed the run, also by an answer
	// StartOutdated, or, for a stopping run, when it confirmed the order to stop;
	// zero while unconfirmed.
	confirmedAt time.Time
	stopSent    time.Time

	// twin is the copy of the run, or the run of which it is a copy; nil without one.
	twin *run

	checkpoint string
	// placementRecorded is true once a log write that names the worker of the run was
	// requested.
	placementRecorded bool
	// recorded holds the circumstances that it has recorded.
	recorded recordedEvidence
	// survivalSentAt is when a log write that clears the crashes of the task was last
	// requested.
	survivalSentAt time.Time
	// progressPercent is RunningTask.Percent of the last poll.
	progressPercent int
}

// addRun adds a run and reserves its resources on the worker and for the account.
func (s *Scheduler) addRun(w *worker, st *step, key runKey, state runState) *run {
	r := &run{
		key:        key,
		worker:     w,
		step:       st,
		state:      state,
		orderedAt:  s.now,
		sentAt:     s.now,
		copySentAt: s.now,
	}
	if st != nil {
		r.account = st.occurrence.job.saved.Spec.GetAccount()
		r.request = st.request
		r.reservation = reservationOf(st)
		r.hosts = st.hostShare
		if current, ok := st.runs[key.index]; !ok || r.replaces(current) {
			st.runs[key.index] = r
		}
		st.runsPerWorker[w.info.GetId()]++
		st.dequeue(key.index)
		if !st.occurrence.started && state == starting && s.settings.ObserveStartDelay != nil {
			s.settings.ObserveStartDelay(s.wall.Sub(st.occurrence.dueAt))
		}
		st.occurrence.job.started = true
		st.occurrence.started = true
	}
	if st == nil {
		w.unknownRuns++
	}
	w.runs[key] = r
	w.used = w.used.Plus(r.reservation)
	s.usedByAccount[r.account] = s.usedByAccount[r.account].Plus(r.request)
	s.liveRuns[key.taskKey]++
	s.liveRunsByJob[key.Job]++
	s.pool(w.info.GetPool()).held.add(r, r.hosts)
	return r
}

// reservationOf returns the capacity that a task of a step reserves on its
// worker. Tasks that fill idle processors reserve none.
func reservationOf(st *step) controller.Amount {
	reservation := st.request
	if st.spec.GetFills() {
		reservation.MilliCores = 0
	}
	return reservation
}

// dropRun releases the resources of a run that has ended or can no longer run.
func (s *Scheduler) dropRun(r *run) {
	w := r.worker
	if _, ok := w.runs[r.key]; !ok {
		return
	}
	delete(w.runs, r.key)
	r.separate()
	if r.unanswered {
		w.noteLateStart(r.key, r.copySentAt)
	}
	w.used = w.used.Minus(r.reservation)
	s.usedByAccount[r.account] = s.usedByAccount[r.account].Minus(r.request)
	if s.liveRuns[r.key.taskKey]--; s.liveRuns[r.key.taskKey] == 0 {
		delete(s.liveRuns, r.key.taskKey)
	}
	if s.liveRunsByJob[r.key.Job]--; s.liveRunsByJob[r.key.Job] == 0 {
		delete(s.liveRunsByJob, r.key.Job)
	}
	s.pool(w.info.GetPool()).held.add(r, -r.hosts)
	if r.step == nil {
		w.unknownRuns--
	} else {
		r.step.runsPerWorker[w.info.GetId()]--
		if r.step.runs[r.key.index] == r {
			s.replaceRun(r)
		}
	}
	s.markAllPoolsDirty()
}

// replaces reports whether a run counts as that of its task in place of another one.
func (r *run) replaces(other *run) bool {
	if (r.state == stopping) != (other.state == stopping) {
		return other.state == stopping
	}
	return r.key.number >= other.key.number
}

// replaceRun has another run of the task, if there is one, count as that of the task.
func (s *Scheduler) replaceRun(r *run) {
	delete(r.step.runs, r.key.index)
	if s.liveRuns[r.key.taskKey] == 0 {
		return
	}
	for _, w := range s.workers {
		for key, other := range w.runs {
			if key.taskKey != r.key.taskKey {
				continue
			}
			if current, ok := r.step.runs[key.index]; !ok || other.replaces(current) {
				r.step.runs[key.index] = other
			}
		}
	}
}

// markRunLost drops a run that ended without a reported end and requeues its
// task.
func (s *Scheduler) markRunLost(r *run, cause string) {
	s.dropRun(r)
	s.counters.Lost++
	s.logger.Info("scheduler: run is lost; its task is queued again unless it is done", "task", taskName(r.key.taskKey), "run", r.key.number,
		"worker", r.worker.info.GetId(), "born", r.worker.info.GetBorn(), "begun", r.begun, "unanswered", r.unanswered, "cause", cause)
	s.requeueIfNotRunning(r.key.taskKey)
}

func (s *Scheduler) markAllRunsLost(w *worker, cause string) {
	for _, r := range w.runs {
		s.markRunLost(r, cause)
	}
}

// stop orders a worker to end a run.
func (s *Scheduler) stop(r *run) {
	if r.state != stopping {
		r.state = stopping
		r.confirmedAt = time.Time{}
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
	// StartOutdated means that a run of the task with this number or a later one
	// has ended there.
	StartOutdated
	// StartLeaseExpired means that the order arrived after the end of its lease.
	StartLeaseExpired
	// StartRefused means that the worker is unhealthy and did not start the task.
	// The other answers that decline an order have values of their own.
	StartRefused
	// StartInvalid means that the worker does not understand the order.
	StartInvalid
	// StartFenced means that a later leader sends orders to the worker, or this one sends
	// orders to a later incarnation of it.
	StartFenced
	// StartNoTicket means that the ticket of the placement adviser was not valid.
	StartNoTicket
	// StartGone means that the worker has ended and another one has its address.
	StartGone
	// StartDisconnected is StartUnknown where the worker has broken the connection.
	StartDisconnected
	// StartUndelivered means that the worker has refused the connection, so that this
	// copy of the order has not reached it.
	StartUndelivered
	// StartNotSent means that no connection to the worker was there in time, so that this
	// copy of the order was not sent and can't be executed later.
	StartNotSent
)

// StartAnswered handles the outcome of a Start. The clock is that of the worker
// in milliseconds; 0 when it did not state it.
func (s *Scheduler) StartAnswered(a Start, answer StartAnswer, clock int64) {
	w, r := s.findRun(a.Target, a.Task, a.Run)
	here := w != nil && w.showsClock(clock, s.now)
	if here {
		w.setClock(clock, s.now)
		w.heardAt, w.answeredAt, w.unresponsive = s.now, s.now, false
		w.disconnectedAt = time.Time{}
	}
	if answer == StartGone && w != nil {
		s.otherWorkerAnswered(w)
		return
	}
	if answer == StartUnknown || answer == StartDisconnected {
		s.startMayComeLate(a.Target, r)
	}
	if r == nil {
		return
	}
	switch answer {
	case StartAccepted:
		r.begun = true
		r.begunHere = r.begunHere || here
		if r.state == starting {
			r.state, r.confirmedAt = running, s.now
		}
		s.pollSoon(w)
	case StartUndelivered:
		s.workerDisconnected(w)
		s.startNotSent(r)
	case StartDisconnected:
		r.brokenOff = r.brokenOff || s.now.Sub(r.sentAt) <= promptCrashTime
		s.workerDisconnected(w)
		s.retryStart(a, r)
	case StartUnknown:
		r.unanswered = true
		s.retryStart(a, r)
	case StartNotSent:
		s.startNotSent(r)
	default:
		s.handleRefusedStart(r, answer)
	}
}

// retryStart sends an unanswered start again, or stops the run after
// maxStartAttempts. A repeated order has no effect where the first one was
// carried out. While as many others of the step are unavailable as it may miss, the run is
// not stopped, because it may be at work; the next poll tells.
func (s *Scheduler) retryStart(a Start, r *run) {
	if r.state != starting {
		return
	}
	r.startAttempts++
	if r.startAttempts >= maxStartAttempts {
		s.giveUpStarting(r)
		return
	}
	if !r.worker.disconnected() {
		r.sentAt = s.now
	}
	r.formerCopySentAt, r.copySentAt = r.copySentAt, s.now
	a.NewConnection = true
	a.Target = r.worker.target()
	s.emit(a)
}

// giveUpStarting sends no further copies of an unanswered start, and stops the run unless its
// step misses too many others.
func (s *Scheduler) giveUpStarting(r *run) {
	r.worker.unresponsive = true
	r.unansweredAt = s.now
	if s.mayStopOne(r) {
		s.stop(r)
	}
}

// startNotSent handles a copy of a start that was not sent. If that was for want of a connection,
// the worker is most likely silent. Unless an earlier copy was sent, the run can't begin there, and its task
// is queued again at once.
func (s *Scheduler) startNotSent(r *run) {
	w := r.worker
	if !r.unsent {
		w.unresponsive = true
		w.nextPollAt = s.now
	}
	if r.startAttempts > 0 {
		r.copySentAt = r.formerCopySentAt
		if r.state == starting {
			s.giveUpStarting(r)
		}
		return
	}
	s.counters.NotSent++
	if !r.unsent {
		s.logger.Info("scheduler: no connection to the worker, so the start was not sent; the task is queued again",
			"task", taskName(r.key.taskKey), "run", r.key.number, "worker", w.info.GetId(), "born", w.info.GetBorn(), "silent", s.now.Sub(w.heardAt))
	}
	s.dropRun(r)
	s.requeueIfNotRunning(r.key.taskKey)
}

// handleRefusedStart drops a run that has not started, unless an earlier copy of
// the order may still start it.
func (s *Scheduler) handleRefusedStart(r *run, answer StartAnswer) {
	w := r.worker
	if answer == StartOutdated {
		// The run has ended there; the next poll reports how.
		r.begun = true
		r.state, r.confirmedAt = running, s.now
		s.pollSoon(w)
		return
	}
	if r.startAttempts > 0 {
		// An earlier copy of the order may still be carried out.
		s.stop(r)
		return
	}
	s.logger.Info("scheduler: worker refused a start; the task is queued again", "task", taskName(r.key.taskKey), "run", r.key.number,
		"worker", w.info.GetId(), "answer", int(answer))
	s.dropRun(r)
	switch answer {
	case StartNoRoom:
		s.counters.NoRoom++
		w.startsPausedUntil = s.now.Add(noRoomStartDelay)
	case StartRefused, StartInvalid:
		s.countFailure(w)
	case StartLeaseExpired:
		w.nextPollAt = s.now
		w.startsPausedUntil = s.now.Add(noRoomStartDelay)
	case StartNoTicket:
		if r.step != nil {
			// The next pass requests a new ticket.
			r.step.advice.ticketsExpireAt = time.Time{}
		}
	}
	s.requeueIfNotRunning(r.key.taskKey)
}

// StopAnswered handles the outcome of a Stop: whether the worker confirmed it,
// and the worker's clock in milliseconds or 0.
func (s *Scheduler) StopAnswered(a Stop, confirmed bool, clock int64) {
	w, r := s.findRun(a.Target, a.Task, a.Run)
	if w == nil {
		return
	}
	if w.showsClock(clock, s.now) {
		w.setClock(clock, s.now)
	}
	if !confirmed {
		return
	}
	s.settleAbandonedStart(w, runKey{
		taskKey: keyOf(a.Task),
		number:  a.Run,
	})
	if r == nil {
		return
	}
	r.confirmedAt = s.now
	s.pollSoon(w)
}

func (s *Scheduler) findRun(t Target, task *jobwire.Task, number uint64) (*worker, *run) {
	w, ok := s.workers[t.ID]
	if !ok || w.info.GetBorn() != t.Born {
		return nil, nil
	}
	return w, w.runs[runKey{
		taskKey: keyOf(task),
		number:  number,
	}]
}

// pollSoon brings the next poll of a worker forward.
func (s *Scheduler) pollSoon(w *worker) {
	if at := s.now.Add(s.minPollInterval()); w.nextPollAt.After(at) {
		w.nextPollAt = at
	}
}
