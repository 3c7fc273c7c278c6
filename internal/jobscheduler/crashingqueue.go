package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/isolator"
	"github.com/heathermux/heathermux/internal/jobkeeper"
)

// Tasks of one queue do the same kind of work. Where one of them crashes its workers,
// others often do as well, and each would first take all runs of a worker along, with
// many tasks that may have caused it. Therefore only a few tasks of such a queue are started
// on a worker at a time, so that its crash leaves a few that may have caused it.

// crashingQueueTime is how long a queue counts as crashing after a task has certainly
// crashed a worker.
const crashingQueueTime = 15 * time.Second

// noteCrashingQueue notes that a task of a queue has certainly crashed a worker.
func (s *Scheduler) noteCrashingQueue(queue string) {
	s.crashingUntil[queue] = s.now.Add(crashingQueueTime)
}

// crashing reports whether tasks of the step's queue have crashed workers lately.
func (s *Scheduler) crashing(st *step) bool {
	until, ok := s.crashingUntil[st.occurrence.job.saved.Spec.GetQueue()]
	return ok && s.now.Before(until)
}

// restoreCrashingQueue notes the queue of a job with a task that has certainly crashed a
// worker under a former leader.
func (s *Scheduler) restoreCrashingQueue(j *job, r *isolator.Record) {
	if r.Conclusive() {
		s.noteCrashingQueue(j.saved.Spec.GetQueue())
	}
}

// restoreQueueOfEndedJob notes the queue of a job with a task that was given up a short
// while ago, under this leader or a former one.
func (s *Scheduler) restoreQueueOfEndedJob(j *jobkeeper.Job) {
	queue, until := j.Spec.GetQueue(), s.now.Add(crashingQueueTime-s.wall.Sub(j.EndedAt))
	if j.GivenUp && until.After(s.now) && until.After(s.crashingUntil[queue]) {
		s.crashingUntil[queue] = until
	}
}

// mayStartBesideSuspects reports whether a task of the step may start on the worker now:
// if the worker crashed just after, few enough tasks could have caused it for each to run
// alone next.
func (s *Scheduler) mayStartBesideSuspects(st *step, w *worker) bool {
	return !s.crashing(st) || s.suspectStarts(w) < isolator.FewSuspects
}
