package jobscheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/speculator"
)

// copyInterval is the minimum time between two searches for slow tasks of a pool.
const copyInterval = 100 * time.Millisecond

// startCopies starts copies of slow tasks of a pool on workers that have room to spare: it
// does nothing while a step of the list has tasks that wait. Workers are those on which tasks
// may start.
func (s *Scheduler) startCopies(p *pool, list []*step, workers []*worker, contact time.Time) {
	waits := func(st *step) bool { return len(st.pending) > 0 }
	if s.now.Sub(p.copiesSoughtAt) < copyInterval || slices.ContainsFunc(list, waits) {
		return
	}
	p.copiesSoughtAt = s.now
	runs, candidates, running, copies := s.copyCandidates(p)
	if len(candidates) == 0 {
		return
	}
	for _, i := range speculator.Choose(candidates, running, copies) {
		if s.startsLeft <= 0 {
			return
		}
		s.startCopy(runs[i], workers, contact)
	}
}

// copyCandidates returns the runs of a pool whose tasks may have a copy and have none, as they
// are and as the speculator sees them, and the numbers of all runs and of copies.
func (s *Scheduler) copyCandidates(p *pool) (runs []*run, candidates []speculator.Run, running, copies int) {
	for _, w := range s.workers {
		if w.info.GetPool() != p.name {
			continue
		}
		for _, r := range w.runs {
			running++
			if r.twin != nil {
				copies++
				continue
			}
			if !s.mayCopy(r) {
				continue
			}
			runs = append(runs, r)
			candidates = append(candidates, speculator.Run{
				Expected: r.step.runTime,
				Elapsed:  s.now.Sub(r.confirmedAt),
				Slack:    s.slackAfter(r.step),
			})
		}
	}
	// A pair counts twice in the loop.
	return runs, candidates, running, copies / 2
}

// mayCopy reports whether the task of a run may have a copy: its step allows it, it is at
// work, and no worker has crashed under it.
func (s *Scheduler) mayCopy(r *run) bool {
	if r.step == nil || !r.step.spec.GetSpeculative() || r.state != running || r.worker.unresponsive {
		return false
	}
	spec, job := r.step.spec, r.step.occurrence.job
	if s.mayRunOnUnreconciled(job) || job.relocating() {
		return false
	}
	return !spec.GetLasting() && !spec.GetGang() && !spec.GetFills() && s.liveRuns[r.key.taskKey] == 1 &&
		s.unrecordedEnds[r.key.taskKey] == 0 && !s.needsCare(r.step, r.key.index)
}

// slackAfter returns how long the job of a step can wait once the step has ended.
func (s *Scheduler) slackAfter(st *step) time.Duration {
	o := st.occurrence
	return o.targetEnd.Sub(s.wall) - max(0, o.job.criticalPathFrom[st.number]-st.runTime)
}

// startCopy starts a copy of a run on another worker that has room.
func (s *Scheduler) startCopy(original *run, workers []*worker, contact time.Time) {
	st, index := original.step, original.key.index
	if !s.withinAccountCeiling(st, 1) {
		return
	}
	job := st.occurrence.job
	others := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
		return w == original.worker || !job.mayRunIn(w.info.GetDataCentre())
	})
	w := s.cheapestWorker(st, index, others, nil)
	if w == nil {
		return
	}
	number := s.nextRunNumber(st, index)
	s.start(st, index, number, w, contact)
	added := st.runs[index]
	added.twin, original.twin = original, added
	s.counters.Copies++
	s.logger.Info("scheduler: slow task gets a copy", "task", taskName(original.key.taskKey), "run", number, "worker", w.info.GetId(),
		"original", original.key.number, "on", original.worker.info.GetId(), "elapsed", s.now.Sub(original.confirmedAt), "expected", st.runTime)
}

// separate ends the pairing of a run with its copy, or of a copy with its original. What
// remains is the newest run of the task.
func (r *run) separate() {
	other := r.twin
	if other == nil {
		return
	}
	r.twin, other.twin = nil, nil
	if r.step.runs[r.key.index] == r {
		r.step.runs[r.key.index] = other
	}
}

// stopTwin stops the other run of a task that has ended well.
func (s *Scheduler) stopTwin(r *run) {
	if other := r.twin; other != nil && other.state != stopping {
		s.stop(other)
	}
}
