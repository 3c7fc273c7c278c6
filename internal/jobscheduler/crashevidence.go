package jobscheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/isolator"
)

// What a worker does at its end tells which of its runs may have crashed it: how long after
// their starts it broke the connection, what else it had just been ordered to start, and
// whether other workers ended with it.

const (
	// promptCrashTime is how soon after a worker has confirmed the start of a task, or if
	// it has not, after the order, it must have broken the connection, for its crash to
	// count as one just after the start. An order that a worker holds up for longer may
	// be executed later, if at all.
	promptCrashTime = 100 * time.Millisecond
	// suspectStartInterval is the least time between two starts of suspects on a worker.
	// If it crashes, the tasks that it started last, within that time, are more likely
	// the cause than earlier ones.
	suspectStartInterval = 50 * time.Millisecond
	// crashTogetherTime is how close to each other two workers are seen to break their
	// connections if the same event has ended both. Between two polls of a worker lies
	// the log write of the ends that it has reported.
	crashTogetherTime = 100 * time.Millisecond
	// certainApartTime is how far from each other two workers break their connections if a
	// crash just after a start is certainly the task's. Tasks that crash their workers often
	// start one soon after another.
	certainApartTime = 30 * time.Millisecond
	// maxEndedWith bounds the other workers that are noted for each worker that has ended.
	maxEndedWith = 8
)

// jobSet holds jobs, by id.
type jobSet map[string]bool

// endedWorker is another worker that has ended at the same time.
type endedWorker struct {
	jobs  jobSet
	apart time.Duration
}

// recordedEvidence is what the log says of a run whose worker has broken the connection.
type recordedEvidence isolator.Circumstances

// weakenedBy reports whether the circumstances, by the ends of other workers that were seen
// since, say less against the task.
func (e recordedEvidence) weakenedBy(c isolator.Circumstances) bool {
	return e.Others == 0 && c.Others > 0 || e.Suspects > 0 && c.Suspects == 0
}

// lapsedRun is a run that was given up when the lease of its worker ended. Whether the
// worker has crashed is not known.
type lapsedRun struct {
	key           runKey
	circumstances isolator.Circumstances
	// brokenOff is run.brokenOff.
	brokenOff bool
	// restored is true when a former leader has recorded the circumstances.
	restored bool
	// startedAt is when the worker confirmed the start; if it has not, when it broke the
	// connection.
	startedAt time.Time
	// countsUntil is until when the run counts if the worker turns out to have crashed.
	countsUntil time.Time
}

// lapse returns the record of a run that is given up now.
func (s *Scheduler) lapse(w *worker, r *run, alone bool) lapsedRun {
	lapsed := lapsedRun{
		key:       r.key,
		brokenOff: r.brokenOff,
		circumstances: isolator.Circumstances{
			Alone:  alone,
			Begun:  r.begun,
			Others: w.othersEndedWith(r.key.Job),
		},
		countsUntil: s.now.Add(crashNewsTime),
	}
	if r.state != stopping && !r.confirmedAt.IsZero() {
		lapsed.circumstances.Lived = max(0, w.answeredPollSentAt.Sub(r.confirmedAt))
	}
	if w.disconnected() && r.step != nil {
		started := r.confirmedAt
		lapsed.startedAt = r.confirmedAt
		if r.confirmedAt.IsZero() {
			started = r.sentAt
			lapsed.startedAt = w.disconnectedAt
		}
		lapsed.circumstances.Prompt = !r.sentAt.IsZero() && w.disconnectedAt.Sub(started).Abs() <= promptCrashTime
		lapsed.countsUntil = s.now.Add(disconnectedNewsTime)
	}
	return lapsed
}

// markSuspects tells the runs of a crashed worker apart: those that were there when it
// started the last ones are bystanders, if it broke the connection just after that. What
// a former leader has recorded stays. It returns the number of runs that are none.
func markSuspects(runs []lapsedRun) int32 {
	var last time.Time
	for _, r := range runs {
		if r.circumstances.Prompt && r.startedAt.After(last) {
			last = r.startedAt
		}
	}
	suspects := int32(0)
	for i, r := range runs {
		if !r.restored {
			runs[i].circumstances.Bystander = !last.IsZero() && (!r.circumstances.Prompt || last.Sub(r.startedAt) > suspectStartInterval)
		}
		if !runs[i].circumstances.Bystander {
			suspects++
		}
	}
	for i, r := range runs {
		if r.restored {
			continue
		}
		c := &runs[i].circumstances
		c.Suspects = suspects
		// Beside another suspect, the worker may have crashed before the order reached it.
		c.Begun = c.Begun || r.brokenOff && !c.Bystander && suspects == 1
	}
	return suspects
}

// withoutCertainty marks that a crash with a run alone on its worker may have another
// cause.
func withoutCertainty(runs []lapsedRun) {
	for i, r := range runs {
		if r.circumstances.Alone && !r.restored {
			runs[i].circumstances.Suspects = 0
		}
	}
}

// disconnected reports whether the worker has broken or refused the connection since it
// last answered.
func (w *worker) disconnected() bool { return !w.disconnectedAt.IsZero() }

// workerDisconnected notes that the worker has broken or refused the connection.
func (s *Scheduler) workerDisconnected(w *worker) {
	first := !w.disconnected()
	if first {
		w.disconnectedAt = s.now
	}
	if s.plannedEnd(w) != "" {
		return
	}
	if first {
		for _, other := range s.noteDisconnection(w) {
			if s.plannedEnd(other) == "" {
				s.recordPlacements(other)
			}
		}
	}
	s.recordPlacements(w)
}

// disconnection is a worker breaking or refusing its connection.
type disconnection struct {
	worker *worker
	jobs   jobSet
	at     time.Time
}

// noteDisconnection notes for a worker and those that were disconnected at the same time
// that they were together, and returns the others for which that is news. What has ended
// several workers at once has hardly to do with a task that only one of them had.
func (s *Scheduler) noteDisconnection(w *worker) []*worker {
	s.disconnections = slices.DeleteFunc(s.disconnections, func(d disconnection) bool {
		return d.worker == w || !d.worker.disconnected() || s.now.Sub(d.at) > crashTogetherTime
	})
	w.endedWith = nil
	jobs := w.jobs()
	var others []*worker
	for _, d := range slices.Backward(s.disconnections) {
		if len(w.endedWith) < maxEndedWith {
			w.endedWith = append(w.endedWith, endedWorker{
				jobs:  d.jobs,
				apart: s.now.Sub(d.at),
			})
		}
		if len(d.worker.endedWith) < maxEndedWith {
			d.worker.endedWith = append(d.worker.endedWith, endedWorker{
				jobs:  jobs,
				apart: s.now.Sub(d.at),
			})
			others = append(others, d.worker)
		}
	}
	s.disconnections = append(s.disconnections, disconnection{
		worker: w,
		jobs:   jobs,
		at:     s.now,
	})
	return others
}

// jobs returns the jobs that have runs on the worker.
func (w *worker) jobs() jobSet {
	jobs := make(jobSet)
	for key := range w.runs {
		jobs[key.Job] = true
	}
	return jobs
}

// othersEndedWith returns how many other workers without a run of the job ended at the
// same time.
func (w *worker) othersEndedWith(job string) int32 {
	n := int32(0)
	for _, ended := range w.endedWith {
		if w.disconnected() && !ended.jobs[job] {
			n++
		}
	}
	return n
}

// endedWithAnother reports whether another worker ended so close that no crash of the two is
// certainly a task's.
func (w *worker) endedWithAnother() bool {
	return w.disconnected() && slices.ContainsFunc(w.endedWith, func(ended endedWorker) bool { return ended.apart <= certainApartTime })
}

// runsAlone reports whether the worker has the run of one task, or the runs of one
// gang, and no start that it may still execute.
func (w *worker) runsAlone() bool {
	if len(w.abandonedStarts) > 0 {
		return false
	}
	var gang *step
	for _, r := range w.runs {
		switch {
		case len(w.runs) == 1:
			return true
		case r.step == nil || !r.step.spec.GetGang() || gang != nil && gang != r.step:
			return false
		}
		gang = r.step
	}
	return gang != nil
}
