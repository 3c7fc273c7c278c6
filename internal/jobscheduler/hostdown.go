package jobscheduler

import "time"

// The provider answers that an order for a host is done also when an earlier leader has
// had it executed, and does nothing then. The worker on the host may be alive and goes on
// with its runs, so it counts as ended only by evidence (endevidence.go): it refuses the
// connections of polls that were sent after the answer, or a listing has the host down.
// Until then it gets no starts, and its long-running tasks count as unavailable.

// ending reports whether the host's worker is expected to end because the provider has
// accepted an order.
func (s *Scheduler) ending(m *hostMaintenance) bool {
	return m.orderAccepted && m.worker != nil && s.workers[m.worker.info.GetId()] == m.worker
}

// orderedDown reports whether a worker is expected to end because the provider has accepted an
// order for its host.
func (s *Scheduler) orderedDown(w *worker) bool { return !s.view(w).orderedDownAt.IsZero() }

// awaitEnd polls the worker of a host that goes down, to learn whether it has ended.
func (s *Scheduler) awaitEnd(m *hostMaintenance) {
	if s.ending(m) && !m.worker.pollInFlight {
		m.worker.nextPollAt = s.now
	}
}

// pollOfEndingWorkerFailed handles the failure of a poll of a worker that has announced its end
// or whose host may be going down, and reports whether the worker has ended. While that is not
// known it is polled again soon.
func (s *Scheduler) pollOfEndingWorkerFailed(w *worker, answer PollAnswer) bool {
	kind := endNone
	switch {
	case answer.Refused:
		kind = endRefused
	case answer.Disconnected:
		kind = endDisconnected
	}
	if s.forgetIfEnded(w, endEvidence{
		kind:   kind,
		sentAt: w.pollSentAt,
	}) {
		return true
	}
	for _, m := range s.hosts.maintenances {
		if m.worker == w && !w.pollSentAt.After(m.acceptedAt) {
			// The poll was sent before the answer of the provider.
			s.awaitEnd(m)
		}
	}
	if answer.Disconnected && (w.shuttingDown || s.orderedDown(w)) {
		w.nextPollAt = s.now.Add(failedProbeInterval)
	}
	return false
}

// maintenanceListed handles a listing, requested at the given time, of a host that goes
// into maintenance or is in it.
func (s *Scheduler) maintenanceListed(m *hostMaintenance, requestedAt time.Time) {
	if !m.orderAccepted || !requestedAt.After(m.acceptedAt) {
		return
	}
	h, ok := s.hosts.known[m.host]
	switch {
	case !s.ending(m):
		if !ok || h.State == HostUp {
			delete(s.hosts.maintenances, m.host)
		}
	case !ok:
		// A listing may lack a host that is up.
	case h.State == HostUnknown:
		// The entry tells nothing.
	case h.State != HostUp:
		s.forgetIfEnded(m.worker, endEvidence{
			kind:   endHostListedDown,
			sentAt: requestedAt,
		})
	case h.Worker == m.worker.info.GetId():
		s.logger.Info("scheduler: host was in maintenance before; its worker goes on", "host", m.host, "wave", m.wave, "worker", h.Worker)
		s.cancelMaintenance(m)
	default:
		// The host is up again with another worker.
		s.forgetIfEnded(m.worker, endEvidence{
			kind:   endHostListedDown,
			sentAt: requestedAt,
		})
		delete(s.hosts.maintenances, m.host)
	}
}
