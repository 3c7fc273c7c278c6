package jobscheduler

import (
	"strconv"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// maxFirstPollsPerSender bounds the first polls that a new leader has in
	// flight for each host that sends orders. Each first poll takes a new
	// connection; with a whole fleet polled at once the leader would miss its
	// heartbeats and lose the leadership.
	maxFirstPollsPerSender = 32
	// firstPollSlotTime is how long an unanswered first poll counts towards that
	// bound; a worker that has not answered by then may be dead and must not
	// delay the polls of others.
	firstPollSlotTime = 100 * time.Millisecond
)

// untilEventPollDelay is the poll delay of a worker that is not polled before an
// event brings the poll forward.
const untilEventPollDelay = 365 * 24 * time.Hour

// PollAnswer is the outcome of a Poll.
type PollAnswer struct {
	// Failed is true when there was no valid answer.
	Failed bool
	// Refused is true when the connection was refused: nothing listens at the
	// worker's address.
	Refused bool
	// Fenced is true when the worker has refused the poll because it has seen a higher fencing
	// token.
	Fenced bool
	// Disconnected is true when the connection was refused or broke, as when the
	// process of the worker has ended.
	Disconnected bool
	// Cause says why there was no valid answer; empty unless Failed.
	Cause string
	// Gone is true when another worker answered: the target has ended.
	Gone bool
	// Restarted is true when a later incarnation of the worker answered, under the
	// same id. It may have executed orders that were meant for the target.
	Restarted bool
	// Clock is the worker's clock in milliseconds.
	Clock int64
	// SentAt is when the poll was sent.
	SentAt  time.Time
	Running []RunningTask
	Ended   []EndedTask
	// MoreEnds is true when Ended is as long as such a list can be, so that ends may be
	// missing in it. They follow once these have been acknowledged.
	MoreEnds bool
}

// RunningTask is a run that is in progress on a worker.
type RunningTask struct {
	Task       *jobwire.Task
	Run        uint64
	Checkpoint string
	// Percent is the completed share of the work; for a long-running task, the
	// speed at which it runs.
	Percent int
	// Figure is the tail latency in milliseconds for a task that serves requests,
	// else the processors in use in thousandths.
	Figure int64
}

// EndedTask is the end of a run that the worker lists until a Poll acknowledges
// it.
type EndedTask struct {
	// Number rises by one with each end of one incarnation of a worker.
	Number uint64
	End    *jobwire.End
}

// PollAnswered handles the outcome of a Poll.
func (s *Scheduler) PollAnswered(a Poll, answer PollAnswer) {
	if a.Probe {
		s.lateOrders.Answered(a.Target.ID, !answer.Failed, s.now)
		return
	}
	if w, ok := s.removedWhilePolled[incarnation{
		id:   a.Target.ID,
		born: a.Target.Born,
	}]; ok {
		s.finishRemoved(w, answer)
		return
	}
	w, ok := s.workers[a.Target.ID]
	if !ok || w.info.GetBorn() != a.Target.Born {
		return
	}
	w.pollInFlight = false
	switch {
	case answer.Gone:
		s.dropHeldStarts(w)
		s.otherWorkerAnswered(w)
		return
	case answer.Restarted:
		s.workerRestarted(w)
		return
	case answer.Fenced && a.Target.Epoch < w.epoch:
		// An order sent after this poll has overtaken it.
		w.nextPollAt = s.now
		return
	case answer.Failed:
		s.pollFailed(w, a, answer)
		return
	}
	w.setClock(answer.Clock, s.now)
	w.heardAt, w.answeredAt, w.unresponsive, w.loggedPollFailure = s.now, s.now, false, ""
	w.disconnectedAt, w.refusedSince = time.Time{}, time.Time{}
	w.answeredPollSentAt = answer.SentAt
	w.acknowledgedEnd = max(w.acknowledgedEnd, a.LastRecordedEnd)
	if len(s.pendingPlacements) > 0 || w.askedForStart {
		w.askedForStart = false
		s.markPoolDirty(w.info.GetPool())
	}
	s.lapsedRunsSettled(w)
	s.handleEnds(w, answer.Ended)
	s.reconcile(w, answer)
	s.dropHeldStarts(w)
	s.reconciledBy(w, answer)
	if w.info.GetLapsed() {
		s.markLapsed(w, false)
	}
	s.schedulePoll(w)
}

// reconciledBy notes that the worker has reported its runs to this leader. It stays among
// the unreconciled ones while its list of ends may be incomplete: a task that seems never to
// have run may be done.
func (s *Scheduler) reconciledBy(w *worker, answer PollAnswer) {
	w.moreEnds = answer.MoreEnds
	if !w.reconciled {
		w.reconciled = true
		s.endFormerWorkersAt(w)
		// The runs that it reports may be under a lease of the former leader.
		ends := []time.Time{s.termStart.Add(s.formerLeaseBound()), w.reconcileBy}
		if w.mayObeyFormer {
			// A late poll may have given it the longest lease until now. It refuses such
			// polls from here on.
			ends = append(ends, s.now.Add(s.leaseBound(s.settings.MaxLease)))
		}
		for _, end := range ends {
			if end.After(w.leaseEnd) {
				w.leaseEnd = end
			}
		}
		s.markPoolDirty(w.info.GetPool())
	}
	if w.moreEnds {
		s.logger.Info("scheduler: worker has listed as many ends as a list can hold; its runs are not known until it has listed the rest",
			"worker", w.info.GetId(), "ends", len(answer.Ended), "runs", len(w.runs))
		return
	}
	if s.unreconciled[w.info.GetId()] == w {
		delete(s.unreconciled, w.info.GetId())
		s.markPoolDirty(w.info.GetPool())
	}
}

func (s *Scheduler) pollFailed(w *worker, a Poll, answer PollAnswer) {
	if w.reconciled && len(w.runs) > 0 && answer.Cause != w.loggedPollFailure {
		w.loggedPollFailure = answer.Cause
		s.logger.Info("scheduler: worker did not answer a poll; its runs count as lost when its lease ends", "worker", w.info.GetId(),
			"runs", len(w.runs), "lease-left", w.leaseEnd.Sub(s.now), "disconnected", answer.Disconnected, "cause", answer.Cause)
	}
	w.unresponsive = true
	w.noteRefusal(answer.Refused, s.now)
	if a.LastRecordedEnd > 0 {
		// A later incarnation that executed it would drop ends that nobody has read.
		s.raiseEpoch(a.Target)
	}
	if until := s.termStart.Add(lateOrderTime); s.now.Before(until) {
		// Starts of the former leader may have got no answer.
		s.lateOrders.Watch(w.info.GetId(), w.target(), until)
	}
	if answer.Disconnected {
		s.workerDisconnected(w)
	}
	w.nextPollAt = s.now.Add(failedPollRetryDelay)
	if s.pollOfEndingWorkerFailed(w, answer) {
		return
	}
	if w.info.GetLapsed() {
		// A heartbeat brings the next poll forward.
		w.nextPollAt = s.now.Add(untilEventPollDelay)
	}
}

// schedulePoll sets the time of the next poll. Ends are recorded before it,
// because the worker lists them until a poll acknowledges them.
func (s *Scheduler) schedulePoll(w *worker) {
	if len(w.runs) > 0 || w.moreEnds || w.owesAcknowledgement() {
		w.nextPollAt = s.now.Add(s.minPollInterval())
		return
	}
	w.nextPollAt = s.now.Add(untilEventPollDelay)
}

// owesAcknowledgement reports whether recorded ends are to be acknowledged to the worker.
func (w *worker) owesAcknowledgement() bool { return w.lastRecordedEnd > w.acknowledgedEnd }

// minPollInterval returns the minimum time between two polls of a worker. It
// grows with the fleet, so that all polls together take a bounded part of the
// leader's time.
func (s *Scheduler) minPollInterval() time.Duration {
	return max(minPollInterval, time.Duration(len(s.workers))*pollIntervalPerWorker)
}

// handleEnds releases the runs that have ended and requests a log write of their
// ends.
func (s *Scheduler) handleEnds(w *worker, ended []EndedTask) {
	record := RecordEnds{
		Target: w.target(),
		UpTo:   w.lastRecordedEnd,
	}
	for _, e := range ended {
		if e.Number <= w.lastRecordedEnd {
			continue
		}
		record.UpTo = max(record.UpTo, e.Number)
		record.Ends = append(record.Ends, e.End)
		s.handleEnd(w, e.End)
	}
	if len(record.Ends) == 0 {
		return
	}
	w.recordInFlight = true
	s.emit(record)
}

func (s *Scheduler) handleEnd(w *worker, end *jobwire.End) {
	r := w.runs[runKey{
		taskKey: keyOf(end.GetTask()),
		number:  end.GetRun(),
	}]
	switch end.GetEnding() {
	case jobwire.Ending_ENDING_DONE:
		s.counters.Done++
		s.learnRunTime(r)
		s.resetFailures(w)
	case jobwire.Ending_ENDING_FAILED:
		s.counters.Failed++
		if r != nil && r.step != nil {
			r.step.lastFailedOn[r.key.index] = w.info.GetId()
		}
		s.countFailure(w)
	case jobwire.Ending_ENDING_LAPSED:
		s.counters.Lapses++
	}
	if r != nil {
		if end.GetEnding() == jobwire.Ending_ENDING_DONE {
			s.stopTwin(r)
		}
		s.dropRun(r)
	}
	if end.GetEnding() != jobwire.Ending_ENDING_DONE {
		s.logger.Info("scheduler: run ended", "task", taskName(keyOf(end.GetTask())), "run", end.GetRun(),
			"worker", w.info.GetId(), "ending", end.GetEnding().String(), "known", r != nil)
	}
	// Whether the task needs another run is known once its ends are recorded.
	s.unrecordedEnds[keyOf(end.GetTask())]++
	if st := s.findTaskStep(keyOf(end.GetTask())); st != nil {
		st.dequeue(end.GetTask().GetIndex())
	}
}

// EndsRecorded handles the outcome of a RecordEnds: its ends are in the log.
func (s *Scheduler) EndsRecorded(a RecordEnds) {
	for _, end := range a.Ends {
		key := keyOf(end.GetTask())
		if s.unrecordedEnds[key]--; s.unrecordedEnds[key] <= 0 {
			delete(s.unrecordedEnds, key)
		}
		s.requeueIfNotRunning(key)
	}
	w, found := s.workers[a.Target.ID]
	if !found || w.info.GetBorn() != a.Target.Born {
		return
	}
	w.recordInFlight = false
	w.lastRecordedEnd = max(w.lastRecordedEnd, a.UpTo)
	// One more poll acknowledges the ends to the worker.
	w.nextPollAt = s.now
}

// reconcile compares the runs that the worker reports with those that were
// ordered there.
func (s *Scheduler) reconcile(w *worker, answer PollAnswer) {
	listed := make(map[runKey]bool, len(answer.Running))
	for _, t := range answer.Running {
		key := runKey{
			taskKey: keyOf(t.Task),
			number:  t.Run,
		}
		listed[key] = true
		r, ok := w.runs[key]
		if !ok {
			r = s.adoptRun(w, key)
		}
		s.updateRun(r, t)
	}
	if answer.MoreEnds {
		// A run in neither list may be among the ends that are missing.
		return
	}
	for key, r := range w.runs {
		if !listed[key] && !r.confirmedAt.IsZero() && r.confirmedAt.Before(answer.SentAt) {
			s.markRunLost(r, "the worker does not report it")
		}
	}
}

func (s *Scheduler) updateRun(r *run, t RunningTask) {
	if t.Checkpoint != "" {
		r.checkpoint = t.Checkpoint
	}
	r.begun, r.begunHere = true, true
	r.progressPercent = t.Percent
	if r.state == starting {
		r.state, r.confirmedAt = running, s.now
	}
	if r.state == stopping && s.now.Sub(r.stopSent) > stopRetryInterval {
		s.stop(r)
	}
}

// adoptRun takes over a run that a former leader or a delayed order has started,
// or stops it when its task needs no run.
func (s *Scheduler) adoptRun(w *worker, key runKey) *run {
	s.openOccurrence(key.StepKey)
	st := s.findTaskStep(key.taskKey)
	wanted := st != nil && s.liveRuns[key.taskKey] == 0 && (s.unreconciled[w.info.GetId()] == w || s.startHeldFor(key, w)) &&
		!st.occurrence.job.saved.Task(key.task()).Done
	if st != nil {
		st.lastRunNumber[key.index] = max(st.lastRunNumber[key.index], key.number)
	}
	state := running
	if !wanted {
		state = stopping
	}
	r := s.addRun(w, st, key, state)
	r.sentAt = time.Time{}
	if wanted {
		r.confirmedAt = s.now
	} else {
		s.logger.Info("scheduler: worker reports a run that its task does not need; the run is stopped",
			"task", taskName(key.taskKey), "run", key.number, "worker", w.info.GetId())
		s.stop(r)
	}
	return r
}

// markLapsed requests a log entry that sets or clears the worker's lapsed mark.
// The mark says that the worker did not answer polls and all its leases have ended,
// so that a new leader need not wait for its runs. Therefore the worker gets no
// lease while it is marked, nor while a write that sets the mark is in flight.
func (s *Scheduler) markLapsed(w *worker, lapsed bool) {
	if lapsed {
		w.lapsedWrites++
	}
	s.emit(MarkLapsed{
		ID:     w.info.GetId(),
		Born:   w.info.GetBorn(),
		Lapsed: lapsed,
	})
}

// LapsedMarked handles the outcome of a MarkLapsed: the mark is in the log.
func (s *Scheduler) LapsedMarked(a MarkLapsed) {
	w, ok := s.workers[a.ID]
	if !ok || w.info.GetBorn() != a.Born || !a.Lapsed {
		return
	}
	w.lapsedWrites--
	if !w.unresponsive && w.lapsedWrites == 0 && w.info.GetLapsed() {
		// The worker has answered while the mark was being written.
		s.markLapsed(w, false)
	}
}

// updateWorkers sends the polls that are due, counts the runs of unresponsive
// workers as lost once their leases have ended, and stops waiting for unreconciled
// workers once the leases of the former leader have ended.
func (s *Scheduler) updateWorkers(contact time.Time) {
	s.forgetRemovedIncarnations()
	firstPolls := s.firstPollsInFlight()
	for _, w := range s.workers {
		s.expireLease(w)
		s.checkSilence(w)
		if !w.mayBePolled() || s.now.Before(w.nextPollAt) {
			continue
		}
		if !w.reconciled {
			if firstPolls >= maxFirstPollsPerSender*s.orderSenders {
				continue
			}
			firstPolls++
		}
		s.sendPoll(w, contact)
	}
	for id, w := range s.unreconciled {
		switch {
		case !s.now.After(w.reconcileBy):
		case !w.reconciled:
			s.markLapsed(w, true)
			delete(s.unreconciled, id)
		case w.unresponsive && s.now.After(w.leaseEnd):
			// It has listed a part of its ends and went silent.
			delete(s.unreconciled, id)
		}
	}
	if len(s.unreconciled) == 0 && !s.allReconciled {
		s.allReconciled = true
		s.markAllPoolsDirty()
		s.logger.Info("scheduler: runs of all workers are known or their leases have ended; waiting jobs may start", "term", s.term, "workers", len(s.workers), "jobs", len(s.jobs),
			"waited", s.now.Sub(s.termStart))
	}
}

// mayBePolled reports whether a poll may be sent. A later incarnation would take one to a former
// incarnation that has ended for its own, and drop the ends that it acknowledges.
func (w *worker) mayBePolled() bool {
	return !w.pollInFlight && !w.recordInFlight && w.endEvidence == endNone
}

// formerLeaseBound returns the time since the beginning of this term after which
// nothing runs under a lease of a former leader. Such leases count from its last
// confirmation of leadership, which was before the term.
func (s *Scheduler) formerLeaseBound() time.Duration { return s.leaseBound(s.settings.Lease) }

// restartedWorkerTime is how long after the start of a worker that has restarted under
// its id it may execute orders to its former incarnation, by the time of day here.
const restartedWorkerTime = lateOrderTime + maxClockDifference

// leaseBoundOf returns formerLeaseBound for one worker. An order to its former
// incarnation, whose clock was ahead, may have given it the longest lease.
func (s *Scheduler) leaseBoundOf(w *jobwire.Worker) time.Duration {
	if s.restartedLately(w) {
		return s.leaseBound(s.settings.MaxLease)
	}
	return s.formerLeaseBound()
}

// restartedLately reports whether a worker may execute orders to its former incarnation.
func (s *Scheduler) restartedLately(w *jobwire.Worker) bool {
	return w.GetRestarted() && s.wall.Sub(time.UnixMilli(w.GetBorn())) < restartedWorkerTime
}

// leaseBound returns the time after which a lease of the given length has ended on
// a worker whose clock is slow.
func (s *Scheduler) leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*maxClockSlowdown) + 2*leaseEndMargin
}

// firstPollsInFlight returns the number of first polls that may be answered any
// moment.
func (s *Scheduler) firstPollsInFlight() int {
	n := 0
	for _, w := range s.workers {
		if w.pollInFlight && !w.reconciled && s.now.Sub(w.pollSentAt) < firstPollSlotTime {
			n++
		}
	}
	return n
}

// expireLease counts the runs of an unresponsive worker as lost if its leases have
// ended, except those that may begin later, and marks it as lapsed once it has none.
func (s *Scheduler) expireLease(w *worker) {
	if !w.unresponsive || !s.now.After(w.leaseEnd) || s.unreconciled[w.info.GetId()] == w {
		return
	}
	if len(w.runs) > 0 {
		lost := s.lostWithLease(w)
		if len(lost) == 0 {
			return
		}
		s.noteLapsedRuns(w, lost)
		w.abandonStarts(lost)
		for _, r := range lost {
			s.markRunLost(r, "the worker does not answer and its lease has ended")
		}
		if len(w.runs) == 0 {
			s.markLapsed(w, true)
		}
		return
	}
	if s.silent(w) && !w.info.GetLapsed() && w.lapsedWrites == 0 {
		s.markLapsed(w, true)
	}
}

// lostWithLease returns the runs of a worker that cannot be at work, now or later, once
// its lease has ended.
func (s *Scheduler) lostWithLease(w *worker) []*run {
	var lost []*run
	for _, r := range w.runs {
		if !s.mayBeAtWork(r) {
			lost = append(lost, r)
		}
	}
	return lost
}

// silent reports whether neither answers nor heartbeats of a worker have arrived for
// several heartbeats.
func (s *Scheduler) silent(w *worker) bool {
	return s.settings.Heartbeat > 0 && s.now.Sub(w.heardAt) > missedHeartbeats*s.settings.Heartbeat+silenceMargin
}

// checkSilence polls a worker without runs whose heartbeats do not arrive. If it does
// not answer it is marked as lapsed, so that a new leader doesn't wait for it, and
// removed if it stays silent.
func (s *Scheduler) checkSilence(w *worker) {
	switch {
	case len(w.runs) > 0 || !s.silent(w):
	case !w.info.GetLapsed() && w.nextPollAt.After(s.now.Add(failedPollRetryDelay)):
		w.nextPollAt = s.now
	case w.info.GetLapsed() && s.now.Sub(w.heardAt) > lapsedWorkerRetention && len(w.abandonedStarts) == 0:
		s.forgetIfEnded(w, endEvidence{
			kind: endSilent,
		})
	}
}

func (s *Scheduler) sendPoll(w *worker, contact time.Time) {
	poll := Poll{
		Target: w.target(),
	}
	if w.owesAcknowledgement() && !w.unresponsive && w.answersAt(s.now) {
		// Sent without need, or after a sign that the worker may have ended, it would make a
		// later incarnation, which numbers its ends anew, forget ends that nobody has read.
		poll.LastRecordedEnd = w.lastRecordedEnd
	}
	// The worker may receive a poll whose answer is lost, so an unresponsive worker
	// gets no further lease: its runs count as lost when the last lease ends.
	if len(w.runs) > 0 && w.reconciled && !w.unresponsive && w.mayHoldLease() {
		if !w.askedForStart {
			poll.Wait = maxPollWait
		}
		poll.Deadline = w.leaseDeadline(contact, s.settings.Lease)
		if poll.Deadline > 0 {
			w.extendLease(poll.Deadline)
		}
	}
	w.pollInFlight, w.pollSentAt = true, s.now
	s.emit(poll)
}

// taskName formats a task for log lines.
func taskName(k taskKey) string {
	return k.Job + "." + strconv.Itoa(int(k.Occurrence)) + "." + strconv.Itoa(int(k.Step)) + "." + strconv.Itoa(int(k.index))
}
