package jobscheduler

import "time"

// An incarnation of a worker that counts as ended loses its runs: their tasks start elsewhere at
// once, without waiting for its lease. So what is seen of a worker counts only as far as it proves
// that the process has ended.

// confirmRefusalTime is how long a worker must refuse connections to count as ended. A burst of
// resets is shorter.
const confirmRefusalTime = 100 * time.Millisecond

// endKind is what was seen of a worker that may have ended.
type endKind int

const (
	// endNone means that nothing was seen.
	endNone endKind = iota
	// endOtherAnswers means that another worker answers at its address.
	endOtherAnswers
	// endLaterAnswers means that a later incarnation answers under its id.
	endLaterAnswers
	// endLaterHeartbeat means that a heartbeat of a later incarnation has come. It is weaker than
	// an answer to a call: another writer can send one.
	endLaterHeartbeat
	// endRemoved means that the log has removed the worker.
	endRemoved
	// endAnnounced means that the worker has announced its end.
	endAnnounced
	// endRefused means that a poll found its connection refused, endDisconnected that its
	// connection broke.
	endRefused
	endDisconnected
	// endHostListedDown means that a listing has its host down or with another worker.
	endHostListedDown
	// endHostMoved means that the provider has answered that its host is in another pool.
	endHostMoved
	// endSilent means that the worker was not heard of for long.
	endSilent
)

// String returns the evidence as log lines name it.
func (k endKind) String() string {
	switch k {
	case endNone:
		return ""
	case endOtherAnswers:
		return "another worker has answered at its address"
	case endLaterAnswers:
		return "a later incarnation has answered"
	case endLaterHeartbeat:
		return "a later incarnation has sent a heartbeat"
	case endRemoved:
		return "the worker was removed from the replicated state"
	case endAnnounced:
		return "the worker has announced its end"
	case endRefused:
		return "the worker refuses connections"
	case endDisconnected:
		return "the worker has broken the connection"
	case endHostListedDown:
		return "its host is listed as down or with another worker"
	case endHostMoved:
		return "its host has moved"
	case endSilent:
		return "the worker was silent for long"
	}
	return "unknown"
}

// endEvidence is what was seen of a worker, at one moment.
type endEvidence struct {
	kind endKind
	// sentAt is when the poll was sent, or the listing requested, that has shown it.
	sentAt time.Time
}

// incarnationView is what the leader knows of an incarnation when evidence comes.
type incarnationView struct {
	// runs is the number of its runs.
	runs int
	// announced is true once it has announced its end.
	announced bool
	// orderedDownAt is when the provider accepted an order that ends it; zero without one.
	// The provider accepts an order again that it has executed before: the incarnation
	// may be a later one, and alive.
	orderedDownAt time.Time
	// refusedSince is since when each of its connections was refused; zero when it is not.
	refusedSince time.Time
	// silentFor is how long nothing was heard of it.
	silentFor time.Duration
}

// proves reports whether the evidence proves that the incarnation has ended, or has no runs that
// could be lost by mistake.
func (e endEvidence) proves(v incarnationView) bool {
	switch e.kind {
	case endOtherAnswers, endLaterAnswers, endLaterHeartbeat, endRemoved:
		return true
	case endAnnounced, endHostMoved:
		return v.runs == 0
	case endSilent:
		return v.runs == 0 && v.silentFor > lapsedWorkerRetention
	case endRefused:
		since := v.refusedSince
		if v.orderedDownAt.After(since) {
			since = v.orderedDownAt
		}
		return (v.announced || !v.orderedDownAt.IsZero()) && !v.refusedSince.IsZero() && e.sentAt.Sub(since) >= confirmRefusalTime
	case endHostListedDown:
		return !v.orderedDownAt.IsZero() && e.sentAt.After(v.orderedDownAt)
	}
	// A connection breaks for many reasons, most of them outside the worker.
	return false
}

// view returns what is known of a worker now.
func (s *Scheduler) view(w *worker) incarnationView {
	v := incarnationView{
		runs:         len(w.runs),
		announced:    w.shuttingDown,
		refusedSince: w.refusedSince,
		silentFor:    s.now.Sub(w.heardAt),
	}
	for _, m := range s.hosts.maintenances {
		if m.worker == w && s.ending(m) {
			v.orderedDownAt = m.acceptedAt
		}
	}
	return v
}

// forgetIfEnded removes a worker if the evidence proves that its incarnation has ended, also from
// the replicated state, and reports whether it did.
func (s *Scheduler) forgetIfEnded(w *worker, e endEvidence) bool {
	if !e.proves(s.view(w)) {
		return false
	}
	if len(w.runs) > 0 {
		s.logger.Info("scheduler: worker has ended; its runs are lost", "worker", w.info.GetId(), "born", w.info.GetBorn(),
			"evidence", e.kind.String(), "runs", len(w.runs))
	}
	s.removeWorker(w, "this incarnation of the worker has ended")
	s.emit(RemoveWorker{
		ID:   w.info.GetId(),
		Born: w.info.GetBorn(),
	})
	return true
}
