package jobscheduler

import (
	"time"
)

// advice is what the placement adviser allows for a step.
type advice struct {
	// tickets maps workers that may run the step to their tickets.
	tickets map[string]string
	// until is when the tickets end.
	until time.Time
	// asking is true while a call is out.
	asking bool
	// refusedUntil puts off the next call.
	refusedUntil time.Time
	asked        map[string]bool
}

func (a *advice) ticket(worker string, now time.Time) string {
	if !now.Before(a.until) {
		return ""
	}
	return a.tickets[worker]
}

// allowed reports whether the step may start on the worker; the adviser is not
// needed for most queues.
func (s *Scheduler) allowed(st *step, w *worker) bool {
	q := s.queues[st.occurrence.job.record.Spec.GetQueue()]
	if !q.GetAdvised() {
		return true
	}
	return st.advice.ticket(w.info.GetId(), s.now) != ""
}
