package jobscheduler

import "time"

// A worker has crashed when its incarnation has ended without notice: another worker
// or a later incarnation answers at its address, it had not announced its end, and no
// order for its host explains it. Until that is known, a worker that doesn't answer may
// also be cut off or suspended.

const (
	// plannedEndMargin is how long after an order for its host a worker may still be
	// heard of.
	plannedEndMargin = 2 * time.Second
	// maxLoggedRuns bounds the runs that one log line names.
	maxLoggedRuns = 32
)

// lapsedRun is a run that was given up when the lease of its worker ended. Whether the
// worker has crashed is not known.
type lapsedRun struct {
	key runKey
	// alone is true when the worker had no other run.
	alone bool
}

// noteLapsedRuns notes the runs that are given up because the lease of their worker has
// ended.
func (w *worker) noteLapsedRuns() {
	alone := w.runsAlone()
	for key := range w.runs {
		w.lapsedRuns = append(w.lapsedRuns, lapsedRun{
			key:   key,
			alone: alone,
		})
	}
}

// runsAlone reports whether the worker has one run and no start that it may still
// execute.
func (w *worker) runsAlone() bool { return len(w.runs) == 1 && len(w.abandonedStarts) == 0 }

// workerEnded handles evidence that an incarnation of a worker has ended.
func (s *Scheduler) workerEnded(w *worker, evidence string) {
	if w.ended {
		return
	}
	w.ended = true
	planned := s.plannedEnd(w)
	runs, alone := w.lapsedRuns, w.runsAlone()
	for key := range w.runs {
		runs = append(runs, lapsedRun{
			key:   key,
			alone: alone,
		})
	}
	if planned != "" && len(runs) == 0 {
		return
	}
	names := make([]string, 0, len(runs))
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		names = append(names, taskName(r.key.taskKey))
	}
	s.logger.Info("scheduler: incarnation of a worker has ended", "worker", w.info.GetId(), "born", w.info.GetBorn(),
		"evidence", evidence, "planned", planned, "silent", s.now.Sub(w.heardAt), "runs", len(runs), "tasks", names)
	if planned != "" {
		return
	}
	s.counters.WorkerCrashes++
}

// plannedEnd returns why the end of a worker is not a crash; empty if it is one.
func (s *Scheduler) plannedEnd(w *worker) string {
	switch {
	case w.shuttingDown:
		return "the worker has announced its end"
	case w.info.GetDraining():
		return "the worker was draining"
	}
	for name, m := range s.hosts.moves {
		if m.worker == w {
			return "its host " + name + " moves"
		}
	}
	for name, m := range s.hosts.maintenances {
		if m.worker == w && (m.orderInFlight || m.orderUnknown || m.orderAccepted) {
			return "its host " + name + " is in maintenance"
		}
	}
	for name, h := range s.hosts.known {
		order, ok := s.state.HostOrders[name]
		if ok && h.Worker == w.info.GetId() && order.At.Add(plannedEndMargin).After(w.heardAt) {
			return "an order for its host " + name + " was announced"
		}
	}
	return ""
}
