package jobscheduler

import (
	"maps"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// maxClockSlowdown is the factor by which a worker's clock may run slower
	// than true time.
	maxClockSlowdown = 1.02
	// leaseEndMargin covers rounding to milliseconds and late timers.
	leaseEndMargin = 100 * time.Millisecond
	// clockTolerance bounds the difference between the clock in an answer and the one
	// expected: the way of the answers, and the drift since the last one.
	clockTolerance = 200 * time.Millisecond
	// missedHeartbeats is how many heartbeats of a worker without runs may fail to
	// appear before it is polled; silenceMargin covers their way to the leader.
	missedHeartbeats = 2
	silenceMargin    = 500 * time.Millisecond
	// heartbeatMargin covers the way of a heartbeat to the leader through another host.
	heartbeatMargin = 200 * time.Millisecond
	// lastPollTime bounds the time until the last poll of an incarnation is answered.
	lastPollTime = 2 * time.Second
	// lapsedWorkerRetention is how long a lapsed worker that is not heard of stays
	// in the replicated state.
	lapsedWorkerRetention = time.Minute
	// maxPollWait is how long a worker with runs may hold a poll open until a run
	// ends.
	maxPollWait = 700 * time.Millisecond
	// minPollInterval is the minimum time between two polls of a worker, so that
	// ends arrive in batches.
	minPollInterval = 15 * time.Millisecond
	// pollIntervalPerWorker, multiplied by the number of workers, is also a lower
	// limit of the time between two polls of a worker; in a large fleet it exceeds
	// minPollInterval.
	pollIntervalPerWorker = 300 * time.Microsecond
	// failedPollRetryDelay is the time before the next poll after a failed one.
	failedPollRetryDelay = 250 * time.Millisecond
	// recentAnswerTime is how long a worker counts as one that answers. It is longer than
	// maxPollWait, so that a worker with runs counts as one throughout unless the fleet is so
	// large that pollIntervalPerWorker spaces the polls out.
	recentAnswerTime = time.Second
	// lateOrderTime is how long after it was sent a worker, or a later incarnation of it,
	// may execute an order that it has not answered.
	lateOrderTime = 15 * time.Second
	// quarantineFailures is the number of consecutive failures that put a worker
	// into quarantine.
	quarantineFailures = 3
	// initialQuarantineTime is the first quarantine; each further one is twice as
	// long, up to maxQuarantineTime.
	initialQuarantineTime = 2 * time.Second
	maxQuarantineTime     = 16 * time.Second
)

// worker is the scheduling state of one incarnation of a worker.
type worker struct {
	info     *jobwire.Worker
	epoch    uint64 // Target.Epoch
	capacity controller.Amount
	used     controller.Amount
	runs     map[runKey]*run
	// abandonedStarts holds, with the time of the last order to stop each, the
	// unanswered starts whose runs were given up when the lease ended. The worker
	// may execute such an order as soon as it holds a lease again, so it gets
	// none before it has confirmed that it rejects each of these runs.
	abandonedStarts map[runKey]time.Time
	// lateStarts holds the starts with an unanswered copy whose runs have ended here or are
	// rejected, with the time of the last copy. A later incarnation doesn't know that; they
	// become its abandonedStarts.
	lateStarts map[runKey]time.Time
	// lapsedRuns holds the runs that were given up with the lease since the worker last
	// answered.
	lapsedRuns []lapsedRun
	// endEvidence tells how it is known that this incarnation has ended; endNone while it
	// is not. aloneAtEnd is runsAlone of that moment.
	endEvidence endKind
	aloneAtEnd  bool
	// endSettled is true once the end has been counted as a crash or as planned.
	endSettled bool
	// lapsedWrites counts the log writes in flight that set the lapsed mark.
	lapsedWrites int

	// reconciled is true once the worker has reported its runs to this leader.
	reconciled bool
	// reconcileBy is when no run under a lease of a former leader can be in progress
	// any more on a worker that has not reported its runs.
	reconcileBy time.Time
	// mayObeyFormer is true when orders to a former incarnation may have reached this one
	// before the first order to itself did.
	mayObeyFormer bool
	// clockMillis is the worker's clock as of clockAt, a local time.
	clockMillis int64
	clockAt     time.Time
	// leaseEnd is a local time by which all leases of the worker have certainly
	// ended.
	leaseEnd time.Time
	// knownAt is when this leader first knew of the incarnation.
	knownAt time.Time
	// heardAt is when the worker last answered or sent a heartbeat, or when this
	// leader first knew of it.
	heardAt      time.Time
	unresponsive bool
	// answeredAt is when the worker last answered an order; zero before. Unlike heardAt it
	// says that the connections from here work.
	answeredAt time.Time
	// askedForStart is true while a long-running task waits for the next answer.
	askedForStart bool
	// answeredPollSentAt is when the last poll that was answered had been sent.
	answeredPollSentAt time.Time
	// disconnectedAt is when the worker broke or refused the connection; zero since the
	// last answer.
	disconnectedAt time.Time
	// refusedSince is since when each connection for a poll was refused; zero when the last one
	// was not.
	refusedSince time.Time
	// endedWith holds the other workers that broke or refused their connections at the same
	// time, up to maxEndedWith of them.
	endedWith []endedWorker
	// loggedPollFailure is the cause of failed polls that was logged last; empty
	// since the last answer.
	loggedPollFailure string

	// lastRecordedEnd is the number of the worker's last end that is in the log.
	lastRecordedEnd uint64
	// acknowledgedEnd is the number of the last end that an answered poll has acknowledged.
	acknowledgedEnd uint64
	recordInFlight  bool
	// moreEnds is PollAnswer.MoreEnds of the last answer.
	moreEnds     bool
	pollInFlight bool
	nextPollAt   time.Time
	pollSentAt   time.Time

	consecutiveFailures int
	quarantineBackoff   int
	quarantinedUntil    time.Time
	// offeredUntil is until when a place here is kept for a job of another data
	// centre.
	offeredUntil time.Time
	// startsPausedUntil delays starts after the worker refused one for lack of
	// room or because its lease had ended.
	startsPausedUntil time.Time
	// unknownRuns counts the runs of tasks that are not open, whose reservation is not
	// known.
	unknownRuns int
	// shuttingDown is true once the worker has announced that it ends.
	shuttingDown bool
	// pendingPlacements counts the entries of Scheduler.pendingPlacements with the worker.
	pendingPlacements int
	// reservation keeps the worker free for an isolated task; nil without one.
	reservation *reservation
	// cordoned is true while the host is prepared for maintenance or a move; no
	// task starts on it.
	cordoned bool
}

type runKey struct {
	taskKey
	number uint64
}

// incarnation identifies one incarnation of a worker: the time from a start of
// its process to its end.
type incarnation struct {
	id   string
	born int64
}

func (w *worker) incarnation() incarnation {
	return incarnation{
		id:   w.info.GetId(),
		born: w.info.GetBorn(),
	}
}

// answersAt reports whether the worker has answered an order shortly before the given time.
func (w *worker) answersAt(now time.Time) bool { return now.Sub(w.answeredAt) <= recentAnswerTime }

// heardLately reports whether the worker has answered lately, or its next heartbeat is not
// overdue. To ask each idle one first would make long-running tasks wait for a pass more
// whenever a host is emptied.
func (s *Scheduler) heardLately(w *worker) bool {
	return w.answersAt(s.now) || s.settings.Heartbeat > 0 && s.now.Sub(w.heardAt) <= s.settings.Heartbeat+heartbeatMargin
}

func (w *worker) target() Target {
	return Target{
		ID:         w.info.GetId(),
		Born:       w.info.GetBorn(),
		Address:    w.info.GetAddress(),
		DataCentre: w.info.GetDataCentre(),
		Epoch:      w.epoch,
	}
}

// targetOf returns the target of a worker; zero when it is nil.
func targetOf(w *worker) Target {
	if w == nil {
		return Target{}
	}
	return w.target()
}

// leaseDeadline returns the end of a lease that counts from contact, the last
// confirmation of leadership, on the worker's clock in milliseconds; 0 when that
// clock is not known.
func (w *worker) leaseDeadline(contact time.Time, lease time.Duration) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clockMillis + (contact.Sub(w.clockAt) + lease).Milliseconds()
}

// extendLease extends leaseEnd to cover a lease that may be in force until the
// given deadline.
func (w *worker) extendLease(deadline int64) {
	remaining := time.Duration(float64(time.Duration(deadline-w.clockMillis)*time.Millisecond) * maxClockSlowdown)
	if end := w.clockAt.Add(remaining + leaseEndMargin); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// setClock records the worker's clock as it was no later than at the given local
// time.
func (w *worker) setClock(millis int64, at time.Time) {
	if w.clockAt.IsZero() || at.After(w.clockAt) {
		w.clockMillis, w.clockAt = millis, at
	}
}

// showsClock reports whether an answer that came at the given local time states the
// clock of this incarnation. A later one has begun after the last answered poll; its clock
// began anew then, so it differs if this incarnation was long known.
func (w *worker) showsClock(millis int64, at time.Time) bool {
	if millis <= 0 || w.clockAt.IsZero() || w.answeredPollSentAt.Sub(w.knownAt) <= 2*clockTolerance {
		return false
	}
	expected := w.clockMillis + at.Sub(w.clockAt).Milliseconds()
	return (time.Duration(millis-expected) * time.Millisecond).Abs() <= clockTolerance
}

// WorkerChanged implements jobkeeper.Observer. A worker with another start time
// replaces the former incarnation.
func (s *Scheduler) WorkerChanged(info *jobwire.Worker) {
	w, ok := s.workers[info.GetId()]
	if ok && w.info.GetBorn() == info.GetBorn() {
		w.info = info
		w.capacity = controller.AmountOf(info.GetCapacity())
		s.markPoolDirty(info.GetPool())
		return
	}
	former := w
	w = &worker{
		info:            info,
		capacity:        controller.AmountOf(info.GetCapacity()),
		runs:            make(map[runKey]*run),
		abandonedStarts: make(map[runKey]time.Time),
		lateStarts:      make(map[runKey]time.Time),
		knownAt:         s.now,
		heardAt:         s.now,
		nextPollAt:      s.now,
	}
	if ok {
		w.leaseEnd = s.now.Add(s.leaseBound(s.settings.MaxLease))
		s.workerEnded(former, endLaterHeartbeat)
		s.carryOver(former, w)
		unreconciled := s.unreconciled[info.GetId()] == former
		s.removeWorker(former, "the worker has restarted")
		if unreconciled {
			// It may have executed orders of the former leader as well.
			w.reconcileBy = s.now.Add(s.leaseBound(s.settings.MaxLease))
			s.unreconciled[info.GetId()] = w
		}
	}
	w.mayObeyFormer = s.mayObeyRemoved(info)
	w.epoch = s.epochOf(info)
	s.rejectLateStarts(w, s.removedStarts[info.GetId()])
	delete(s.removedStarts, info.GetId())
	s.workers[info.GetId()] = w
	s.markPoolDirty(info.GetPool())
}

// keepLateStarts keeps the late starts of a worker that is removed, and forgets those that
// can no longer be executed.
func (s *Scheduler) keepLateStarts(w *worker) {
	maps.DeleteFunc(s.removedStarts, func(_ string, starts map[runKey]time.Time) bool {
		maps.DeleteFunc(starts, func(_ runKey, sentAt time.Time) bool { return s.now.Sub(sentAt) > lateOrderTime })
		return len(starts) == 0
	})
	if len(w.lateStarts) > 0 {
		s.removedStarts[w.info.GetId()] = w.lateStarts
	}
}

// removedIncarnation is an incarnation of a worker that was removed or replaced.
type removedIncarnation struct {
	born  int64
	epoch uint64
	at    time.Time
}

// epochOf returns Target.Epoch of an incarnation that becomes known.
func (s *Scheduler) epochOf(info *jobwire.Worker) uint64 {
	epoch := s.removedIncarnations[info.GetId()].epoch
	if s.mayObeyRemoved(info) {
		epoch++
	}
	delete(s.removedIncarnations, info.GetId())
	return max(epoch, s.minEpoch)
}

// mayObeyRemoved reports whether orders to an incarnation that was removed may still reach
// a later one.
func (s *Scheduler) mayObeyRemoved(info *jobwire.Worker) bool {
	former, ok := s.removedIncarnations[info.GetId()]
	return ok && former.born != info.GetBorn()
}

// forgetRemovedIncarnations forgets the incarnations to which no order can still be on its
// way. One of them may come back, for example after it was cut off, and would refuse a lower
// fencing token than the one that it has seen: no worker that becomes known later gets one.
func (s *Scheduler) forgetRemovedIncarnations() {
	maps.DeleteFunc(s.removedIncarnations, func(_ string, r removedIncarnation) bool {
		if s.now.Sub(r.at) <= lateOrderTime {
			return false
		}
		s.minEpoch = max(s.minEpoch, r.epoch)
		return true
	})
}

// rejectLateStarts has a worker reject those of the given starts that it may still
// execute, before it gets a lease.
func (s *Scheduler) rejectLateStarts(w *worker, starts map[runKey]time.Time) {
	for key, sentAt := range starts {
		if s.now.Sub(sentAt) <= lateOrderTime {
			w.abandonedStarts[key] = time.Time{}
		}
	}
}

// mayBeginAfterRestart reports whether an order to start the run may still be
// executed by a later incarnation of its worker, which has the same id.
func (r *run) mayBeginAfterRestart() bool { return !r.begunHere || r.startAttempts > 0 }

// mayBeAtWork reports whether the run may be at work, or begin, after the lease of its
// worker has ended. The deadline in the order is one on the clock of this incarnation; that
// of a later one begins anew.
func (s *Scheduler) mayBeAtWork(r *run) bool {
	switch {
	case r.unanswered:
		return s.now.Sub(r.copySentAt) <= lateOrderTime
	case r.begun && !r.begunHere:
		// If a later incarnation has accepted it, that has the longest lease.
		return s.now.Sub(r.confirmedAt) <= s.leaseBound(s.settings.MaxLease)
	}
	return false
}

// carryOver moves the runs that the next incarnation of a worker may begin to it.
// They are stopped there; their tasks wait until that is confirmed.
func (s *Scheduler) carryOver(from, to *worker) {
	s.logger.Info("scheduler: worker has restarted under its id; starts that it may still execute are stopped there first",
		"worker", to.info.GetId(), "born", to.info.GetBorn(), "former-born", from.info.GetBorn(),
		"runs", len(from.runs), "abandoned-starts", len(from.abandonedStarts), "late-starts", len(from.lateStarts))
	to.abandonedStarts = from.abandonedStarts
	for key, r := range from.runs {
		if !r.mayBeginAfterRestart() {
			continue
		}
		if !from.endSettled && !r.unsent {
			// The crash is counted when the poll in flight is answered.
			from.lapsedRuns = append(from.lapsedRuns, s.lapse(from, r, from.aloneAtEnd))
			s.unknownFates[key.taskKey] = s.now.Add(lastPollTime)
		}
		s.dropRun(r)
		carried := s.addRun(to, r.step, key, stopping)
		// A copy that this incarnation does not execute may reach the next one.
		carried.unanswered, carried.copySentAt = r.unanswered, r.copySentAt
	}
}

// workerRestarted handles the news that a worker runs in a later incarnation, whose
// heartbeat will follow. It is not polled before: a poll of the former incarnation
// would acknowledge ends of the later one.
func (s *Scheduler) workerRestarted(w *worker) {
	s.logger.Info("scheduler: another incarnation of a worker has answered; its runs are lost, and orders that it may still execute are stopped after its heartbeat",
		"worker", w.info.GetId(), "runs", len(w.runs))
	s.workerEnded(w, endLaterAnswers)
	w.unresponsive = true
	w.nextPollAt = s.now.Add(untilEventPollDelay)
	for _, r := range w.runs {
		if !r.mayBeginAfterRestart() {
			s.markRunLost(r, "the worker has restarted")
		}
	}
	bound := s.now.Add(s.leaseBound(s.settings.MaxLease))
	w.reconcileBy = bound
	if len(w.runs) > 0 {
		w.leaseEnd = bound
	}
}

// noteRefusal notes whether a poll without an answer found its connection refused.
func (w *worker) noteRefusal(refused bool, now time.Time) {
	switch {
	case !refused:
		w.refusedSince = time.Time{}
	case w.refusedSince.IsZero():
		w.refusedSince = now
	}
}

// otherWorkerAnswered handles an answer of another worker from the address of a worker.
func (s *Scheduler) otherWorkerAnswered(w *worker) {
	s.workerEnded(w, endOtherAnswers)
	s.forgetIfEnded(w, endEvidence{
		kind: endOtherAnswers,
	})
}

func (s *Scheduler) markPoolDirty(name string) { s.pool(name).dirty = true }

// endFormerWorkersAt removes the workers that had the address of a worker that has answered
// from it. A heartbeat that claims the address of another worker is no proof that this one has
// ended, since it may be false; the answer is.
func (s *Scheduler) endFormerWorkersAt(w *worker) {
	for _, info := range s.state.WorkersAt(w.info.GetAddress()) {
		former, ok := s.workers[info.GetId()]
		if !ok || former == w || info.GetBorn() >= w.info.GetBorn() {
			continue
		}
		s.dropHeldStarts(former)
		s.otherWorkerAnswered(former)
	}
}

// WorkerForgotten implements jobkeeper.Observer.
func (s *Scheduler) WorkerForgotten(info *jobwire.Worker) {
	w, ok := s.workers[info.GetId()]
	if !ok || w.info.GetBorn() != info.GetBorn() {
		return
	}
	s.workerEnded(w, endRemoved)
	s.removeWorker(w, "the worker was removed from the replicated state")
}

// removeWorker removes an incarnation of a worker that has ended. While a poll of
// it is in flight, its runs are kept, because the answer may list their ends.
func (s *Scheduler) removeWorker(w *worker, cause string) {
	delete(s.workers, w.info.GetId())
	delete(s.unreconciled, w.info.GetId())
	s.keepLateStarts(w)
	s.lateOrders.Update(w.info.GetId(), w.target())
	s.removedIncarnations[w.info.GetId()] = removedIncarnation{
		born:  w.info.GetBorn(),
		epoch: w.epoch,
		at:    s.now,
	}
	s.markPoolDirty(w.info.GetPool())
	w.unresponsive = true
	if w.pollInFlight {
		s.removedWhilePolled[w.incarnation()] = w
		return
	}
	s.markAllRunsLost(w, cause)
}

// finishRemoved handles the last poll of an incarnation that has ended.
func (s *Scheduler) finishRemoved(w *worker, answer PollAnswer) {
	delete(s.removedWhilePolled, w.incarnation())
	if !answer.Failed && !answer.Gone && !answer.Restarted {
		s.handleEnds(w, answer.Ended)
	}
	w.pollInFlight = false
	s.settleEndedWorker(w)
	s.markAllRunsLost(w, "this incarnation of the worker has ended")
}

// HeartbeatReceived handles a heartbeat, which states the worker's clock. It
// brings the next poll of a lapsed worker forward.
func (s *Scheduler) HeartbeatReceived(id string, born, clock int64) {
	w, ok := s.workers[id]
	if !ok || w.info.GetBorn() != born {
		return
	}
	w.setClock(clock, s.now)
	w.heardAt = s.now
	if w.info.GetLapsed() && !w.pollInFlight && w.nextPollAt.After(s.now) {
		w.nextPollAt = s.now
	}
}

// WorkerShuttingDown handles the announcement of a worker that it ends now. A
// worker with runs is polled once more for their ends.
func (s *Scheduler) WorkerShuttingDown(id string, born int64) {
	w, ok := s.workers[id]
	if !ok || w.info.GetBorn() != born {
		return
	}
	if s.forgetIfEnded(w, endEvidence{
		kind: endAnnounced,
	}) {
		return
	}
	w.shuttingDown = true
	w.nextPollAt = s.now.Add(failedPollRetryDelay)
}

// abandonStarts notes those of the given runs whose starts the worker is not known to
// have executed, before they are dropped.
func (w *worker) abandonStarts(runs []*run) {
	for _, r := range runs {
		if r.mayBeginAfterRestart() {
			w.abandonedStarts[r.key] = time.Time{}
		}
	}
}

// stopAbandonedStarts orders a worker that answers to reject its abandoned starts.
func (s *Scheduler) stopAbandonedStarts(w *worker) {
	if w.unresponsive || !w.reconciled {
		return
	}
	for key, sentAt := range w.abandonedStarts {
		if s.now.Sub(sentAt) <= stopRetryInterval {
			continue
		}
		w.abandonedStarts[key] = s.now
		s.counters.Stops++
		s.emit(Stop{
			Target: w.target(),
			Task:   key.task(),
			Run:    key.number,
		})
	}
}

// settleAbandonedStart handles the confirmation that the worker rejects a run.
func (s *Scheduler) settleAbandonedStart(w *worker, key runKey) {
	if _, ok := w.abandonedStarts[key]; !ok {
		return
	}
	delete(w.abandonedStarts, key)
	w.noteLateStart(key, s.now)
	if len(w.abandonedStarts) == 0 {
		s.logger.Info("scheduler: worker rejects all starts that were given up; tasks may start there again", "worker", w.info.GetId())
		s.markPoolDirty(w.info.GetPool())
	}
}

// noteLateStart notes a start that a later incarnation has to reject, and forgets those
// that can no longer be executed.
func (w *worker) noteLateStart(key runKey, sentAt time.Time) {
	w.lateStarts[key] = sentAt
	maps.DeleteFunc(w.lateStarts, func(_ runKey, at time.Time) bool { return sentAt.Sub(at) > lateOrderTime })
}

// mayHoldLease reports whether the worker may be given a lease: it rejects all
// starts that were given up, and a new leader would wait for it.
func (w *worker) mayHoldLease() bool {
	return len(w.abandonedStarts) == 0 && w.lapsedWrites == 0 && !w.info.GetLapsed()
}

// schedulable reports whether tasks may start on the worker.
func (s *Scheduler) schedulable(w *worker) bool {
	return w.reconciled && w.mayHoldLease() && !w.unresponsive && !w.cordoned && !w.shuttingDown && !w.info.GetDraining() &&
		!s.state.Evacuated[w.info.GetDataCentre()] && (w.unknownRuns == 0 || s.guarded(w.info.GetPool())) &&
		!s.now.Before(w.quarantinedUntil) && !s.now.Before(w.startsPausedUntil) && !s.orderedByFormerLeader(w)
}

// countFailure counts consecutive failures of a worker. One that fails whatever
// it starts gets no task during its quarantine; after that placement gives it few
// tasks as a trial, and one more failure renews the quarantine.
func (s *Scheduler) countFailure(w *worker) {
	w.consecutiveFailures++
	if w.consecutiveFailures < quarantineFailures {
		return
	}
	quarantine := min(initialQuarantineTime<<w.quarantineBackoff, maxQuarantineTime)
	w.quarantineBackoff = min(w.quarantineBackoff+1, 3)
	w.consecutiveFailures = quarantineFailures - 1
	w.quarantinedUntil = s.now.Add(quarantine)
	s.logger.Info("scheduler: worker quarantined after consecutive failures; no task starts on it during the pause",
		"worker", w.info.GetId(), "pause", quarantine)
}

func (s *Scheduler) resetFailures(w *worker) {
	w.consecutiveFailures, w.quarantineBackoff = 0, 0
}
