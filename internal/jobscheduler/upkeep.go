package jobscheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// pressure says how much of a wave's time has passed.
func (s *Scheduler) pressure(w *jobwire.Wave) float64 {
	if w.GetDurationNanos() <= 0 {
		return 1
	}
	return float64(s.wall.UnixNano()-w.GetStartedUnixNanos()) / float64(w.GetDurationNanos())
}

// advanceWave begins to prepare hosts of a wave, those with the least work first.
func (s *Scheduler) advanceWave(w *jobwire.Wave) {
	slots := int(max(1, w.GetCeiling()))
	begun := make(map[string]bool)
	for _, name := range w.GetBegun() {
		begun[name] = true
		if h, ok := s.hosts.known[name]; ok && h.State != HostUp && s.hosts.upkeeps[name] == nil {
			slots--
		}
	}
	for _, u := range s.hosts.upkeeps {
		if u.wave == w.GetId() {
			slots--
		}
	}
	var candidates []Host
	for _, name := range w.GetHosts() {
		h, ok := s.hosts.known[name]
		if begun[name] || s.hosts.upkeeps[name] != nil {
			continue
		}
		if !ok {
			if !s.goneForGood(name) {
				continue
			}
			s.logger.Info("scheduler: host of a wave is gone for good", "host", name, "wave", w.GetId())
			s.emit(NoteWave{
				Wave: w.GetId(),
				Host: name,
			})
			continue
		}
		if h.State == HostUp && s.mayPrepare(w, h) {
			candidates = append(candidates, h)
		}
	}
	slices.SortFunc(candidates, func(a, b Host) int {
		return cmp.Or(cmp.Compare(s.runsOn(a), s.runsOn(b)), cmp.Compare(a.Name, b.Name))
	})
	for _, h := range candidates {
		if slots <= 0 {
			return
		}
		if s.mayPrepare(w, h) {
			s.prepare(w, h)
			slots--
		}
	}
}

// goneForGood reports whether a host has been missing from all listings for so
// long that it will not come back; a crashed one may be missing for a while.
func (s *Scheduler) goneForGood(name string) bool {
	since, ok := s.hosts.missing[name]
	if !ok {
		s.hosts.missing[name] = s.hosts.at
		return false
	}
	return s.hosts.at.Sub(since) > goneAfter
}

// runsOn returns how much runs on a host.
func (s *Scheduler) runsOn(h Host) int {
	if w, ok := s.workers[h.Worker]; ok {
		return len(w.runs)
	}
	return 0
}

// hostsPerPreparation is how many hosts a pool has for each one that is
// prepared for its maintenance at the same time.
const hostsPerPreparation = 4

func (s *Scheduler) poolSize(name string) int {
	n := 0
	for _, w := range s.workers {
		if w.info.GetPool() == name {
			n++
		}
	}
	return n
}

// mayPrepare reports whether a host can be spared: a few of its pool at a time,
// and none of a pool in which tasks wait, unless the wave's time runs out.
func (s *Scheduler) mayPrepare(w *jobwire.Wave, h Host) bool {
	if s.runsOn(h) == 0 {
		return true
	}
	preparing := 0
	for _, u := range s.hosts.upkeeps {
		if !u.done && u.worker != nil && u.worker.info.GetPool() == h.Pool {
			preparing++
		}
	}
	if preparing > 0 && preparing >= s.poolSize(h.Pool)/hostsPerPreparation {
		return false
	}
	return s.pressure(w) > eagerShare || !s.busy(h.Pool)
}

// busy reports whether short tasks of a pool wait for a worker.
func (s *Scheduler) busy(name string) bool {
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

func (s *Scheduler) prepare(w *jobwire.Wave, h Host) {
	u := &upkeep{
		host:  h.Name,
		wave:  w.GetId(),
		since: s.now,
	}
	if on, ok := s.workers[h.Worker]; ok {
		u.worker = on
		on.held = true
	}
	s.hosts.upkeeps[h.Name] = u
}

// advanceUpkeep orders the maintenance of a host once nothing forbids it.
func (s *Scheduler) advanceUpkeep(u *upkeep) {
	if u.done || u.ordered || s.now.Before(u.retryAt) {
		return
	}
	w, ok := s.state.Waves[u.wave]
	if !ok {
		s.release(u)
		return
	}
	if u.worker != nil && s.workers[u.worker.info.GetId()] == u.worker && !s.mayCut(u, s.pressure(w)) {
		return
	}
	u.ordered = true
	s.emit(Maintain{
		Host: u.host,
		Wave: u.wave,
	})
}

// mayCut reports whether all that runs on a host may be ended by planned work.
func (s *Scheduler) mayCut(u *upkeep, pressure float64) bool {
	if reason := s.cutObstacle(u, pressure); reason != "" {
		if s.now.Sub(u.loggedAt) > obstacleLogInterval {
			u.loggedAt = s.now
			s.logger.Info("scheduler: host can't be spared yet", "host", u.host, "worker", u.worker.info.GetId(), "cause", reason)
		}
		return false
	}
	return true
}

// obstacleLogInterval is the least time between two lines on one host.
const obstacleLogInterval = time.Second

// cutObstacle returns what forbids to end all that runs on a host; empty when
// nothing does.
func (s *Scheduler) cutObstacle(u *upkeep, pressure float64) string {
	forced := pressure > forceShare && s.now.Sub(u.since) > prepareLimit/3 || s.now.Sub(u.since) > prepareLimit
	taken := make(map[*step]int)
	for _, r := range u.worker.runs {
		if r.step == nil {
			continue
		}
		if !r.step.spec.GetLasting() {
			if !forced {
				return "short tasks run"
			}
			continue
		}
		taken[r.step]++
	}
	for st, n := range taken {
		if miss, away := int(st.spec.GetMayMiss()), s.away(st, u.worker); miss > 0 && away+n > miss {
			if s.away(st, nil) < miss {
				s.thin(u.worker, st)
			}
			return fmt.Sprintf("step %d of job %s may miss %d, %d are away and %d run here", st.number, st.occurrence.job.id, miss, away, n)
		}
	}
	return ""
}

// away returns how many tasks of a step are not surely at work, without those
// on one worker if it is not nil.
func (s *Scheduler) away(st *step, but *worker) int {
	n := 0
	for i := range st.spec.GetTasks() {
		r, ok := st.runs[i]
		if ok && r.worker == but {
			continue
		}
		if !ok || !s.atWork(r) {
			n++
		}
	}
	return n
}

// atWork reports whether a lasting task serves at its full share.
func (s *Scheduler) atWork(r *run) bool {
	if r.state != running || r.percent < 100 || r.progress < 100 || r.worker.failing || s.now.Sub(r.confirmed) < settled {
		return false
	}
	for _, u := range s.hosts.upkeeps {
		if u.worker == r.worker && u.ordered {
			return false
		}
	}
	return true
}

// dueForUpkeep reports whether a worker's host has its maintenance before it in
// an open wave, so that what starts there now is cut.
func (s *Scheduler) dueForUpkeep(w *worker) bool { return s.due[w.info.GetId()] }

// noteDue finds the workers whose hosts have their maintenance before them.
func (s *Scheduler) noteDue(open []*jobwire.Wave) {
	s.due = make(map[string]bool)
	for _, wave := range open {
		begun := make(map[string]bool, len(wave.GetBegun()))
		for _, name := range wave.GetBegun() {
			begun[name] = true
		}
		for _, name := range wave.GetHosts() {
			if h, ok := s.hosts.known[name]; ok && !begun[name] && h.Worker != "" {
				s.due[h.Worker] = true
			}
		}
	}
}

// thin moves one task of a step off a worker that holds more of them than may
// be away at once.
func (s *Scheduler) thin(w *worker, st *step) {
	for _, r := range st.runs {
		if r.worker == w && r.state == running {
			s.stop(r)
			return
		}
	}
}
