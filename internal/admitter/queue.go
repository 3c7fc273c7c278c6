package admitter

import (
	"sync"
	"time"

	"github.com/heathermux/heathermux/pkg/queuer"
)

const (
	// serviceTimeShift gives a new service time a weight of 1/16 in the moving mean.
	serviceTimeShift = 4
	// minRetryAfter is the minimum delay of a retry, since the Retry-After header
	// has a resolution of one second.
	minRetryAfter = time.Second
)

// waiter is a request that waits in a requestQueue.
type waiter struct {
	team *team
	item *queuer.Item[*waiter]
	// latestStart is the latest start with which the request is expected to meet
	// its deadline; the deadline itself if that has passed already.
	latestStart time.Time
	// Invariant: receives exactly one value, when the waiter is granted.
	granted chan struct{}
}

// requestQueue holds the waiting and the running requests of one queue. Lock
// order: requestQueue.mu before team.mu.
type requestQueue struct {
	capacity func() int64

	mu      sync.Mutex
	waiting *queuer.Queue[*waiter]
	// running is the number of running requests. Invariant: equals the number of
	// permits without Done.
	running int64
	// meanServiceTime is the moving mean of the service times; 0 while unknown.
	meanServiceTime time.Duration
}

// accountOf returns the account of a team in a queuer.Queue.
func accountOf(t *team) string {
	if t == nil {
		return ""
	}
	return t.name
}

// admitOrEnqueue admits a request immediately, which returns two nils, enqueues
// it, which returns the waiter, or refuses it.
func (q *requestQueue) admitOrEnqueue(now time.Time, t *team, r Request) (*waiter, *Refusal) {
	capacity := q.capacity()
	q.mu.Lock()
	defer q.mu.Unlock()
	if capacity <= 0 {
		return nil, &Refusal{
			Reason:     NoCapacity,
			RetryAfter: minRetryAfter,
		}
	}
	wait := q.waitEstimate(t, r.Weight, capacity)
	// With no request running the estimate may be outdated, and only a running
	// request can correct it.
	missesDeadline := q.running > 0 && now.Add(wait+q.meanServiceTime).After(r.Deadline)
	if missesDeadline || !now.Before(r.Deadline) {
		return nil, &Refusal{
			Reason:     TooLate,
			RetryAfter: max(wait, minRetryAfter),
		}
	}
	if q.waiting.Len() == 0 && q.running < capacity && t.tryStart(q) {
		q.running++
		return nil, nil
	}
	return q.enqueue(now, t, r, wait, capacity)
}

// enqueue adds a waiter for the request, or refuses it when the queue is full.
func (q *requestQueue) enqueue(now time.Time, t *team, r Request, wait time.Duration, capacity int64) (*waiter, *Refusal) {
	w := &waiter{
		team:        t,
		latestStart: r.Deadline.Add(-q.meanServiceTime),
		granted:     make(chan struct{}, 1),
	}
	if !w.latestStart.After(now) {
		w.latestStart = r.Deadline
	}
	item, outcome := q.waiting.Push(queuer.Entry[*waiter]{
		Account: accountOf(t),
		Weight:  r.Weight,
		Value:   w,
	})
	if outcome != queuer.Queued {
		return nil, &Refusal{
			Reason:     QueueFull,
			RetryAfter: max(wait, minRetryAfter),
		}
	}
	w.item = item
	t.addQueued(1)
	q.dispatch(capacity)
	return w, nil
}

// waitEstimate returns the expected time until a new request of the team starts.
func (q *requestQueue) waitEstimate(t *team, weight, capacity int64) time.Duration {
	var wait time.Duration
	if q.running >= capacity {
		ahead := int64(q.waiting.Ahead(accountOf(t), weight))
		wait = q.meanServiceTime * time.Duration(ahead+1) / time.Duration(capacity)
	}
	if concurrency, full := t.concurrencyReached(); full {
		own := int64(q.waiting.AccountLen(accountOf(t)))
		wait = max(wait, q.meanServiceTime*time.Duration(own+1)/time.Duration(concurrency))
	}
	return wait
}

// dispatch grants waiting requests in the order of fair queueing up to the
// capacity. Teams at their concurrency limit are skipped. q.mu must be held.
func (q *requestQueue) dispatch(capacity int64) {
	for q.running < capacity {
		e, ok := q.waiting.Peek()
		if !ok {
			return
		}
		if !e.Value.team.tryStart(q) {
			q.waiting.Hold(e.Account)
			continue
		}
		q.waiting.Pop()
		q.running++
		e.Value.team.addQueued(-1)
		e.Value.granted <- struct{}{}
	}
}

// removeWaiter removes a waiter that gives up. It reports false when the waiter
// has been granted already.
func (q *requestQueue) removeWaiter(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.waiting.Remove(w.item) {
		return false
	}
	w.team.addQueued(-1)
	return true
}

// finish ends a running request and dispatches waiting ones.
func (q *requestQueue) finish(serviceTime time.Duration) {
	capacity := q.capacity()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	switch {
	case serviceTime <= 0:
	case q.meanServiceTime == 0:
		q.meanServiceTime = serviceTime
	default:
		q.meanServiceTime += (serviceTime - q.meanServiceTime) >> serviceTimeShift
	}
	q.dispatch(capacity)
}

// resumeTeam makes the waiters of a team eligible again after it was at its
// concurrency limit.
func (q *requestQueue) resumeTeam(t *team) {
	capacity := q.capacity()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.Unhold(accountOf(t))
	q.dispatch(capacity)
}

// dispatchWaiting is dispatch with the current capacity, for callers without the
// lock.
func (q *requestQueue) dispatchWaiting() {
	capacity := q.capacity()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(capacity)
}

func (q *requestQueue) serviceTimeEstimate() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.meanServiceTime
}
