package jobscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// askedAtOnce is how many workers the adviser is asked about in one call;
	// its answer takes longer with each.
	askedAtOnce = 30
	// adviceCalls bounds the calls that wait for the adviser, which handles one
	// at a time for each caller.
	adviceCalls = 4
	// adviceMargin is the time before their end in which tickets are not used.
	adviceMargin = 200 * time.Millisecond
	// adviceTimeout is added to the time that an answer takes.
	adviceTimeout = 1500 * time.Millisecond
	// advicePause is the time before the next call after one that failed or
	// allowed nothing.
	advicePause = 300 * time.Millisecond
)

// advice is what the placement adviser allows for a step.
type advice struct {
	// tickets maps workers that may run the step to their tickets.
	tickets map[string]string
	// until is when the tickets end.
	until time.Time
	// asked holds the workers that were asked about; the answer on one worker
	// does not change.
	asked map[string]bool
	// asking is true while a call is out.
	asking bool
	// retryAt puts off the next call.
	retryAt time.Time
}

func (a *advice) ticket(worker string, now time.Time) string {
	if !now.Before(a.until) {
		return ""
	}
	return a.tickets[worker]
}

func (s *Scheduler) queueOf(st *step) *jobwire.Queue {
	return s.queues[st.occurrence.job.record.Spec.GetQueue()]
}

// allowed reports whether the step may start on the worker; most queues need
// no adviser.
func (s *Scheduler) allowed(st *step, w *worker) bool {
	return !s.queueOf(st).GetAdvised() || st.advice.ticket(w.info.GetId(), s.now) != ""
}

// seekAdvice asks the adviser about a step whose waiting tasks have no place
// with the tickets at hand.
func (s *Scheduler) seekAdvice(st *step, workers []*worker) {
	q := s.queueOf(st)
	if !q.GetAdvised() || st.advice.asking || s.advising >= adviceCalls || s.now.Before(st.advice.retryAt) {
		return
	}
	if !s.now.Before(st.advice.until) {
		// Tickets that ended are asked for again.
		st.advice.asked = make(map[string]bool)
	}
	var ask []*worker
	for _, w := range workers {
		if !st.advice.asked[w.info.GetId()] && s.fits(st, w, 0) {
			ask = append(ask, w)
		}
	}
	if len(ask) == 0 {
		return
	}
	slices.SortStableFunc(ask, func(a, b *worker) int { return cmp.Compare(s.cost(st, -1, a), s.cost(st, -1, b)) })
	ask = ask[:min(len(ask), askedAtOnce)]
	a := Advise{
		Step: st.key(0).StepKey,
		Timeout: time.Duration(q.GetAdviceNanos()) + time.Duration(len(ask))*time.Duration(q.GetAdvicePerWorkerNanos()) +
			adviceTimeout,
	}
	for _, w := range ask {
		a.Workers = append(a.Workers, w.info.GetId())
	}
	st.advice.asking = true
	s.advising++
	s.emit(a)
}

// Advised takes the outcome of an Advise: the tickets by worker, for how long
// they are valid since the call was sent, and whether there was an answer.
func (s *Scheduler) Advised(a Advise, sentAt time.Time, tickets map[string]string, valid time.Duration, ok bool) {
	s.advising--
	st := s.find(a.Step)
	if st == nil {
		return
	}
	st.advice.asking = false
	st.occurrence.job.pool.dirty = true
	if !ok {
		st.advice.retryAt = s.now.Add(advicePause)
		return
	}
	for _, id := range a.Workers {
		st.advice.asked[id] = true
	}
	until := sentAt.Add(valid - adviceMargin)
	if !s.now.Before(st.advice.until) || until.Before(st.advice.until) {
		st.advice.until = until
	}
	if st.advice.tickets == nil {
		st.advice.tickets = make(map[string]string)
	}
	for id, ticket := range tickets {
		st.advice.tickets[id] = ticket
	}
	if len(tickets) == 0 {
		st.advice.retryAt = s.now.Add(advicePause)
	}
	s.logger.Info("scheduler: adviser has answered", "step", nameOf(st.key(0)), "asked", len(a.Workers), "allowed", len(tickets))
}
