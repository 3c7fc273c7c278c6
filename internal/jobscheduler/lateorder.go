package jobscheduler

import "time"

// A start that gets no answer may be executed seconds later, also by a later incarnation of
// the worker, which has seen no fencing token and knows of no run. The epoch of the worker
// rises with each such start, so that an incarnation refuses it once any later order has
// reached it. The worker is probed for as long as the start may be executed: each of its
// incarnations is to be reached soon after its birth, not only after its first heartbeat.

const (
	// answeredProbeInterval is the time between two probes of a worker that answers. It has
	// to learn the new fencing token, and its end is to be noticed.
	answeredProbeInterval = 100 * time.Millisecond
	// failedProbeInterval is the time between two probes of a worker that does not answer,
	// besides the time that the attempt takes. A later incarnation obeys late starts for as
	// long after its birth.
	failedProbeInterval = 25 * time.Millisecond
	// probeIntervalPerWorker bounds the probes of all workers to 1,000 a second.
	probeIntervalPerWorker = time.Millisecond
	// maxProbesAtOnce bounds the probes of one pass. Many at once, each with a new connection,
	// would make the leader miss its heartbeats.
	maxProbesAtOnce = 64
)

// startMayComeLate handles a copy of a start to a worker that got no answer. The run is nil
// if it is over.
func (s *Scheduler) startMayComeLate(t Target, r *run) {
	sentAt := s.now
	if r != nil {
		sentAt = r.copySentAt
	}
	s.lateOrders.Watch(t.ID, s.raiseEpoch(t), sentAt.Add(lateOrderTime))
}

// raiseEpoch raises the epoch of a worker above that of an order, and returns the worker as
// orders reach it now.
func (s *Scheduler) raiseEpoch(t Target) Target {
	if w, ok := s.workers[t.ID]; ok {
		w.epoch = max(w.epoch, t.Epoch+1)
		return w.target()
	}
	former, ok := s.removedIncarnations[t.ID]
	t.Epoch = max(former.epoch, t.Epoch+1)
	if !ok {
		s.minEpoch = max(s.minEpoch, t.Epoch)
		return t
	}
	former.epoch = t.Epoch
	s.removedIncarnations[t.ID] = former
	return t
}

// probeLateOrders sends the probes that are due.
func (s *Scheduler) probeLateOrders() {
	for _, p := range s.lateOrders.Due(s.now) {
		poll := Poll{
			Target: p.Target,
			Probe:  true,
		}
		if w, ok := s.workers[p.Target.ID]; ok {
			poll.Target = w.target()
		}
		if p.Answers {
			// An open call breaks when the process ends.
			poll.Wait = maxPollWait
		}
		s.counters.Probes++
		s.emit(poll)
	}
}
