package jobscheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// maxWorkersPerAdvise bounds the workers of one call to the adviser, whose
	// answer takes longer with each worker.
	maxWorkersPerAdvise = 30
	// spareWorkersPerAdvise is how many workers more than needed a call names: with too few
	// allowed ones the step has to wait for a second call.
	spareWorkersPerAdvise = 2
	// maxAdviceCallsInFlight bounds the unanswered calls to the adviser, which
	// handles one call at a time for each caller: one waits while it handles the other.
	maxAdviceCallsInFlight = 2
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used.
	ticketExpiryMargin = 200 * time.Millisecond
	// adviceTimeoutMargin is added to the time by which a call should have been answered, that of
	// the calls before it included, to get its timeout.
	adviceTimeoutMargin = 1500 * time.Millisecond
	// adviceRetryDelay is the time before the next call for a step after one that
	// failed or allowed no worker.
	adviceRetryDelay = 300 * time.Millisecond
	// advicePriorityDelay is how much later an urgent step may come and still go before the others.
	advicePriorityDelay = 2 * time.Second
	// adviceAbsentAfter is how long a step that needs no advice any more holds up the others. Each
	// pool is passed through several times meanwhile.
	adviceAbsentAfter = 5 * maxPassInterval
)

// allowedShare is what part of the workers that it was asked about the adviser has allowed for
// the steps of a queue.
type allowedShare struct {
	asked   float64
	allowed float64
}

// With returns the share after one more answer. Older answers fade.
func (a allowedShare) With(asked, allowed int) allowedShare {
	const fade = 0.9
	return allowedShare{
		asked:   fade*a.asked + float64(asked),
		allowed: fade*a.allowed + float64(allowed),
	}
}

// Estimate returns the share, one half before the first answer, and never so low that a call
// would name all workers for one place.
func (a allowedShare) Estimate() float64 {
	const (
		priorAsked   = 2
		priorAllowed = 1
		least        = 0.1
	)
	return max(least, (a.allowed+priorAllowed)/(a.asked+priorAsked))
}

// advice holds the answers of the placement adviser for a step.
type advice struct {
	// tickets maps the ids of workers that may run the step to their tickets.
	tickets map[string]string
	// ticketsExpireAt is when the tickets are no longer used.
	ticketsExpireAt time.Time
	// asked holds the workers that the adviser has been asked about. Its answer
	// for a worker does not change, so it is not asked again while the tickets
	// are valid.
	asked map[string]bool
	// retryAt is the earliest time of the next call after one that allowed no worker.
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
	key := st.key(0).StepKey
	if !q.GetAdvised() || s.adviceCalls.InFlight(key) || s.now.Before(st.advice.retryAt) {
		return
	}
	if !s.now.Before(st.advice.ticketsExpireAt) {
		// Expired tickets are requested again.
		st.advice.asked = make(map[string]bool)
	}
	candidates := s.workersToAskFor(st, workers)
	if len(candidates) == 0 {
		return
	}
	priority := int(q.GetPriority())
	if st.spec.GetLasting() {
		priority = 0
	}
	expected := time.Duration(q.GetAdviceNanos()) + time.Duration(len(candidates))*time.Duration(q.GetAdvicePerWorkerNanos())
	timeout, ok := s.adviceCalls.Request(key, priority, expected, s.now)
	if !ok {
		return
	}
	a := Advise{
		Step:    key,
		Timeout: timeout,
	}
	for _, w := range candidates {
		a.Workers = append(a.Workers, w.info.GetId())
	}
	s.emit(a)
}

// workersToAskFor returns the workers to ask the adviser about for the pending tasks of a step: those
// with the lowest cost, as many as the tasks are likely to need.
func (s *Scheduler) workersToAskFor(st *step, workers []*worker) []*worker {
	var candidates []*worker
	for _, w := range workers {
		if !st.advice.asked[w.info.GetId()] && s.fits(st, w, 0) {
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(s.placementCost(st, -1, a), s.placementCost(st, -1, b)) })
	needed, places := 0, 0
	for needed < len(candidates) && places < len(st.pending) {
		places += s.placesOn(st, candidates[needed], len(st.pending)-places)
		needed++
	}
	share := s.allowedShares[st.occurrence.job.saved.Spec.GetQueue()].Estimate()
	n := int(math.Ceil(float64(needed)/share)) + spareWorkersPerAdvise
	return candidates[:min(len(candidates), n, maxWorkersPerAdvise)]
}

// placesOn returns how many tasks of a step a worker has room for, at most the given number.
func (s *Scheduler) placesOn(st *step, w *worker, most int) int {
	n := 0
	for n < most && s.fits(st, w, n) {
		n++
	}
	return n
}

// Advised handles the outcome of an Advise: the tickets by worker id, how long
// they are valid from the decision on, and whether there was an answer.
func (s *Scheduler) Advised(a Advise, tickets map[string]string, valid time.Duration, ok bool) {
	decidedAt := s.adviceCalls.Answered(a.Step, ok, s.now)
	// The next call may be for a step of any pool.
	s.markAllPoolsDirty()
	st := s.findStep(a.Step)
	if st == nil || !ok {
		return
	}
	for _, id := range a.Workers {
		st.advice.asked[id] = true
	}
	queue := st.occurrence.job.saved.Spec.GetQueue()
	s.allowedShares[queue] = s.allowedShares[queue].With(len(a.Workers), len(tickets))
	expireAt := decidedAt.Add(valid - ticketExpiryMargin)
	if !s.now.Before(st.advice.ticketsExpireAt) {
		st.advice.tickets, st.advice.ticketsExpireAt = make(map[string]string), expireAt
	}
	if expireAt.Before(st.advice.ticketsExpireAt) {
		st.advice.ticketsExpireAt = expireAt
	}
	maps.Copy(st.advice.tickets, tickets)
	if len(tickets) == 0 {
		st.advice.retryAt = s.now.Add(adviceRetryDelay)
	}
	s.logger.Info("scheduler: adviser answered for a step", "step", taskName(st.key(0)), "asked", len(a.Workers), "allowed", len(tickets))
}
