package jobscheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// maxWorkersPerAdvise bounds the workers of one call to the adviser, whose
	// answer takes longer with each worker.
	maxWorkersPerAdvise = 30
	// maxAdviceCallsInFlight bounds the unanswered calls to the adviser, which
	// handles one call at a time for each caller.
	maxAdviceCallsInFlight = 4
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used.
	ticketExpiryMargin = 200 * time.Millisecond
	// adviceTimeoutMargin is added to the expected answer time of a call to get
	// its timeout.
	adviceTimeoutMargin = 1500 * time.Millisecond
	// adviceRetryDelay is the time before the next call for a step after one that
	// failed or allowed no worker.
	adviceRetryDelay = 300 * time.Millisecond
)

// advice holds the answers of the placement adviser for a step.
type advice struct {
	// tickets maps the ids of workers that may run the step to their tickets.
	tickets map[string]string
	// ticketsExpireAt is when the tickets are no longer used.
	ticketsExpireAt time.Time
	// asked holds the workers that the adviser has been asked about. Its answer
	// for a worker does not change, so it is not asked again while the tickets
	// are valid.
	asked        map[string]bool
	callInFlight bool
	// retryAt is the earliest time of the next call.
	retryAt time.Time
}

// ticket returns the valid ticket of a worker; empty when there is none.
func (a *advice) ticket(worker string, now time.Time) string {
	if !now.Before(a.ticketsExpireAt) {
		return ""
	}
	return a.tickets[worker]
}

func (s *Scheduler) queueOf(st *step) *jobwire.Queue {
	return s.queues[st.occurrence.job.saved.Spec.GetQueue()]
}

// adviserAllows reports whether the step has a ticket for the worker or its queue
// needs none, as with most queues.
func (s *Scheduler) adviserAllows(st *step, w *worker) bool {
	return !s.queueOf(st).GetAdvised() || st.advice.ticket(w.info.GetId(), s.now) != ""
}

// requestAdvice asks the adviser about more workers for a step whose pending
// tasks have no place with the present tickets.
func (s *Scheduler) requestAdvice(st *step, workers []*worker) {
	q := s.queueOf(st)
	if !q.GetAdvised() || st.advice.callInFlight || s.adviceCallsInFlight >= maxAdviceCallsInFlight || s.now.Before(st.advice.retryAt) {
		return
	}
	if !s.now.Before(st.advice.ticketsExpireAt) {
		// Expired tickets are requested again.
		st.advice.asked = make(map[string]bool)
	}
	var candidates []*worker
	for _, w := range workers {
		if !st.advice.asked[w.info.GetId()] && s.fits(st, w, 0) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(s.placementCost(st, -1, a), s.placementCost(st, -1, b)) })
	candidates = candidates[:min(len(candidates), maxWorkersPerAdvise)]
	a := Advise{
		Step: st.key(0).StepKey,
		Timeout: time.Duration(q.GetAdviceNanos()) + time.Duration(len(candidates))*time.Duration(q.GetAdvicePerWorkerNanos()) +
			adviceTimeoutMargin,
	}
	for _, w := range candidates {
		a.Workers = append(a.Workers, w.info.GetId())
	}
	st.advice.callInFlight = true
	s.adviceCallsInFlight++
	s.emit(a)
}

// Advised handles the outcome of an Advise: the tickets by worker id, how long
// they are valid from sentAt, and whether there was an answer.
func (s *Scheduler) Advised(a Advise, sentAt time.Time, tickets map[string]string, valid time.Duration, ok bool) {
	s.adviceCallsInFlight--
	st := s.findStep(a.Step)
	if st == nil {
		return
	}
	st.advice.callInFlight = false
	st.occurrence.job.pool.dirty = true
	if !ok {
		st.advice.retryAt = s.now.Add(adviceRetryDelay)
		return
	}
	for _, id := range a.Workers {
		st.advice.asked[id] = true
	}
	expireAt := sentAt.Add(valid - ticketExpiryMargin)
	if !s.now.Before(st.advice.ticketsExpireAt) || expireAt.Before(st.advice.ticketsExpireAt) {
		st.advice.ticketsExpireAt = expireAt
	}
	if st.advice.tickets == nil {
		st.advice.tickets = make(map[string]string)
	}
	for id, ticket := range tickets {
		st.advice.tickets[id] = ticket
	}
	if len(tickets) == 0 {
		st.advice.retryAt = s.now.Add(adviceRetryDelay)
	}
	s.logger.Info("scheduler: adviser answered for a step", "step", taskName(st.key(0)), "asked", len(a.Workers), "allowed", len(tickets))
}
