package jobscheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// elapsedWaveShare returns the elapsed part of a wave's duration; above 1 when it
// is overdue.
func (s *Scheduler) elapsedWaveShare(wave *jobwire.Wave) float64 {
	if wave.GetDurationNanos() <= 0 {
		return 1
	}
	return float64(s.wall.UnixNano()-wave.GetStartedUnixNanos()) / float64(wave.GetDurationNanos())
}

// advanceWave starts to prepare hosts of a wave within its ceiling, those with
// the fewest runs first.
func (s *Scheduler) advanceWave(wave *jobwire.Wave) {
	slots := int(max(1, wave.GetCeiling()))
	begun := make(map[string]bool)
	for _, name := range wave.GetBegun() {
		begun[name] = true
		if h, ok := s.hosts.known[name]; ok && h.State != HostUp && s.hosts.maintenances[name] == nil {
			slots--
		}
	}
	for _, m := range s.hosts.maintenances {
		if m.wave == wave.GetId() {
			slots--
		}
	}
	var candidates []Host
	for _, name := range wave.GetHosts() {
		h, ok := s.hosts.known[name]
		if begun[name] || s.hosts.maintenances[name] != nil || s.hosts.moves[name] != nil {
			// A host that moves comes back with a worker that no listing names yet.
			continue
		}
		if !ok {
			if !s.permanentlyMissing(name) {
				continue
			}
			s.logger.Info("scheduler: host of a maintenance wave is permanently missing from the listings; it counts as maintained", "host", name, "wave", wave.GetId())
			s.emit(RecordWaveHost{
				Wave: wave.GetId(),
				Host: name,
			})
			continue
		}
		if h.State == HostUp && s.mayPrepareHost(wave, h) {
			candidates = append(candidates, h)
		}
	}
	slices.SortFunc(candidates, func(a, b Host) int {
		return cmp.Or(cmp.Compare(s.runCount(a), s.runCount(b)), cmp.Compare(a.Name, b.Name))
	})
	for _, h := range candidates {
		if slots <= 0 {
			return
		}
		if s.mayPrepareHost(wave, h) {
			s.prepareHost(wave, h)
			slots--
		}
	}
}

// permanentlyMissing reports whether a host has been missing from all listings
// for so long that it will not return. A crashed host may be missing for a while.
func (s *Scheduler) permanentlyMissing(name string) bool {
	since, ok := s.hosts.missingSince[name]
	if !ok {
		s.hosts.missingSince[name] = s.hosts.listedAt
		return false
	}
	return s.hosts.listedAt.Sub(since) > hostGoneTimeout
}

// runCount returns the number of runs on a host.
func (s *Scheduler) runCount(h Host) int {
	if w, ok := s.workers[h.Worker]; ok {
		return len(w.runs)
	}
	return 0
}

// poolHostsPerPreparation is how many hosts a pool must have for each of its
// hosts that is prepared for maintenance at the same time; one may always be.
const poolHostsPerPreparation = 4

func (s *Scheduler) poolSize(name string) int {
	n := 0
	for _, w := range s.workers {
		if w.info.GetPool() == name {
			n++
		}
	}
	return n
}

// mayPrepareHost reports whether a host may be prepared for maintenance now: only
// a few of a pool at a time, and none with runs in a pool where batch tasks wait,
// unless the wave's time is running out.
func (s *Scheduler) mayPrepareHost(wave *jobwire.Wave, h Host) bool {
	if s.runCount(h) == 0 {
		return true
	}
	preparing := 0
	for _, m := range s.hosts.maintenances {
		if !m.orderAccepted && m.worker != nil && m.worker.info.GetPool() == h.Pool {
			preparing++
		}
	}
	if preparing > 0 && preparing >= s.poolSize(h.Pool)/poolHostsPerPreparation {
		return false
	}
	return s.elapsedWaveShare(wave) > ignoreBusyWaveShare || !s.batchTasksWait(h.Pool)
}

// batchTasksWait reports whether batch tasks of a pool wait for a worker.
func (s *Scheduler) batchTasksWait(name string) bool {
	p, ok := s.pools[name]
	if !ok {
		return false
	}
	for _, j := range p.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.ready && len(st.pending) > 0 && !st.spec.GetLasting() {
					return true
				}
			}
		}
	}
	return false
}

// prepareHost cordons the worker of a host and begins its maintenance.
func (s *Scheduler) prepareHost(wave *jobwire.Wave, h Host) {
	m := &hostMaintenance{
		host:           h.Name,
		wave:           wave.GetId(),
		preparingSince: s.now,
	}
	s.findWorker(m)
	s.hosts.maintenances[h.Name] = m
}

// findWorker finds the worker that is on a host now, by the last listing, and cordons
// it.
func (s *Scheduler) findWorker(m *hostMaintenance) {
	w, ok := s.workers[s.hosts.known[m.host].Worker]
	switch {
	case ok:
		m.worker, m.unknownSince = w, time.Time{}
		w.cordoned = true
	case m.unknownSince.IsZero():
		m.unknownSince = s.now
	}
}

// workerKnown reports whether the runs of the worker on a host are known, or whether a
// listing that was requested since has shown that there is no worker. An order by an older
// listing could end tasks of a worker that has just registered, and a new leader's order
// tasks that the worker has not reported yet, unchecked.
func (s *Scheduler) workerKnown(m *hostMaintenance) bool {
	if !m.unknownSince.IsZero() {
		return s.hosts.listedAt.After(m.unknownSince)
	}
	return s.unreconciled[m.worker.info.GetId()] != m.worker
}

// advanceMaintenance orders the maintenance of a prepared host once its runs may
// be stopped.
func (s *Scheduler) advanceMaintenance(m *hostMaintenance) {
	if m.orderAccepted || m.orderInFlight || s.now.Before(m.retryAt) {
		return
	}
	wave, ok := s.state.Waves[m.wave]
	if !ok {
		s.cancelMaintenance(m)
		return
	}
	s.findWorker(m)
	if !s.workerKnown(m) {
		return
	}
	if m.unknownSince.IsZero() && !s.mayStopAll(m, s.elapsedWaveShare(wave)) {
		return
	}
	m.orderInFlight = true
	s.emit(Maintain{
		Host:   m.host,
		Wave:   m.wave,
		Worker: targetOf(m.worker),
	})
}

// mayStopAll reports whether maintenance may stop all runs on a host, and logs
// the reason if not. Where the runs of a step exceed what it may miss, it moves one
// of them to another worker.
func (s *Scheduler) mayStopAll(m *hostMaintenance, waveShare float64) bool {
	blocker, exceeded := s.stopBlocker(m, waveShare)
	if exceeded != nil && s.unavailableTasks(exceeded, nil) < int(exceeded.spec.GetMayMiss()) {
		s.moveOneTask(m.worker, exceeded)
	}
	if blocker != "" {
		if s.now.Sub(m.blockerLoggedAt) > blockerLogInterval {
			m.blockerLoggedAt = s.now
			s.logger.Info("scheduler: maintenance of a host has to wait", "host", m.host, "worker", m.worker.info.GetId(), "cause", blocker)
		}
		return false
	}
	return true
}

// blockerLogInterval is the minimum time between two log lines on why a host is
// not ready.
const blockerLogInterval = time.Second

// stopBlocker returns the reason why the runs on a host may not be stopped, empty
// when they may, and the step whose runs there exceed what it may miss, if that is the
// reason.
func (s *Scheduler) stopBlocker(m *hostMaintenance, waveShare float64) (string, *step) {
	forced := waveShare > forceStopWaveShare && s.now.Sub(m.preparingSince) > batchDrainTimeout/3 || s.now.Sub(m.preparingSince) > batchDrainTimeout
	runsHere := make(map[*step]int)
	for _, r := range m.worker.runs {
		if r.step == nil {
			continue
		}
		if !r.step.spec.GetLasting() {
			if !forced {
				return "batch tasks are running", nil
			}
			continue
		}
		runsHere[r.step]++
	}
	for st, n := range runsHere {
		if mayMiss, unavailable := int(st.spec.GetMayMiss()), s.unavailableTasks(st, m.worker); mayMiss > 0 && unavailable+n > mayMiss {
			return fmt.Sprintf("step %d of job %s may miss %d tasks, but %d are unavailable and %d run here", st.number, st.occurrence.job.id, mayMiss, unavailable, n), st
		}
	}
	return "", nil
}

// MayOrder reports whether a Maintain or MoveHost that was decided on may still be
// sent. Between the decision and the order lies a log write, in which tasks of the
// same step may have become unavailable.
func (s *Scheduler) MayOrder(order Action) bool {
	switch a := order.(type) {
	case Maintain:
		m, ok := s.hosts.maintenances[a.Host]
		if !ok || !m.orderInFlight || !s.sameWorker(a.Host, m.worker, !m.unknownSince.IsZero()) {
			return false
		}
		if !m.unknownSince.IsZero() {
			return true
		}
		blocker, _ := s.stopBlocker(m, 1)
		return blocker == ""
	case MoveHost:
		m, ok := s.hosts.moves[a.Host]
		return ok && m.orderInFlight && s.sameWorker(a.Host, m.worker, m.worker == nil) && (m.worker == nil || len(m.worker.runs) == 0 && !m.worker.moreEnds)
	}
	return false
}

// sameWorker reports whether a host has the worker that it had when an order for it was
// decided on; unknown means that it had none that is known.
func (s *Scheduler) sameWorker(host string, w *worker, unknown bool) bool {
	current, known := s.workers[s.hosts.known[host].Worker]
	if unknown {
		return !known
	}
	return known && current == w
}

// maintenanceOrdered reports whether a maintenance order is on its way, or may have
// been executed, for a host with a run of the step. Those of a former leader are known
// from their announcements in the log.
func (s *Scheduler) maintenanceOrdered(st *step) bool {
	for id, n := range st.runsPerWorker {
		if w, ok := s.workers[id]; ok && n > 0 && s.orderedByFormerLeader(w) {
			return true
		}
	}
	for _, w := range s.unreconciled {
		// It may have runs of the step.
		if s.orderedByFormerLeader(w) {
			return true
		}
	}
	for _, m := range s.hosts.maintenances {
		if m.worker != nil && (m.orderInFlight || m.orderUnknown || s.ending(m)) && st.runsPerWorker[m.worker.info.GetId()] > 0 {
			return true
		}
	}
	return false
}

// orderedByFormerLeader reports whether an order of a former leader for the host of a
// worker may still be executed.
func (s *Scheduler) orderedByFormerLeader(w *worker) bool {
	return s.now.Sub(s.state.WorkerOrderedBefore(w.info, s.term)) < s.settings.ProviderOrderDelay
}

// unavailableTasks returns the number of tasks of a step that are not healthy,
// without those on one worker if it is not nil.
func (s *Scheduler) unavailableTasks(st *step, except *worker) int {
	n := 0
	for i := range st.spec.GetTasks() {
		r, ok := st.runs[i]
		if ok && r.worker == except {
			continue
		}
		if !ok || !s.isHealthy(r) {
			n++
		}
	}
	return n
}

// isHealthy reports whether a long-running task has run at full speed for
// minHealthyTime on a worker that answers and is not about to leave or to go into
// maintenance.
func (s *Scheduler) isHealthy(r *run) bool {
	if r.state != running || r.progressPercent < 100 || r.worker.unresponsive || r.worker.info.GetDraining() ||
		s.now.Sub(r.confirmedAt) < minHealthyTime {
		return false
	}
	for _, m := range s.hosts.maintenances {
		if m.worker == r.worker && (m.orderInFlight || m.orderUnknown || m.orderAccepted) {
			return false
		}
	}
	return true
}

// dueForMaintenance reports whether a worker's host still awaits maintenance in
// an open wave, which would interrupt a task started there now.
func (s *Scheduler) dueForMaintenance(w *worker) bool { return s.maintenanceDue[w.info.GetId()] }

// updateMaintenanceDue finds the workers whose hosts still await maintenance.
func (s *Scheduler) updateMaintenanceDue(open []*jobwire.Wave) {
	s.maintenanceDue = make(map[string]bool)
	for _, wave := range open {
		begun := make(map[string]bool, len(wave.GetBegun()))
		for _, name := range wave.GetBegun() {
			begun[name] = true
		}
		for _, name := range wave.GetHosts() {
			if h, ok := s.hosts.known[name]; ok && !begun[name] && h.Worker != "" {
				s.maintenanceDue[h.Worker] = true
			}
		}
	}
}

// moveOneTask stops one task of a step on a worker that holds more of them than
// may be unavailable at once, so that it starts elsewhere.
func (s *Scheduler) moveOneTask(w *worker, st *step) {
	for _, r := range st.runs {
		if r.worker == w && r.state == running {
			s.stop(r)
			return
		}
	}
}
