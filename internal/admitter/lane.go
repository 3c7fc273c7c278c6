package admitter

import (
	"sync"
	"time"

	"github.com/heathermux/heathermux/pkg/queuer"
)

const (
	// learnShift gives a new service time a weight of 1/16 in the mean.
	learnShift = 4
	// minRetry is the least Retry-After; the header has whole seconds.
	minRetry = time.Second
)

// waiter is a request that waits in a lane.
type waiter struct {
	team *team
	item *queuer.Item[*waiter]
	// latest is the time at which it would end too late.
	latest time.Time
	// Invariant: receives one value when the waiter was granted.
	granted chan struct{}
}

// lane is one queue of requests. Its lock comes before that of a team.
type lane struct {
	capacity func() int64

	mu    sync.Mutex
	queue *queuer.Queue[*waiter]
	// Invariant: number of permits that are not done.
	running int64
	// service is the mean service time; 0 while unknown.
	service time.Duration
}

func account(t *team) string {
	if t == nil {
		return ""
	}
	return t.name
}

// arrive grants the request at once, makes it wait or refuses it.
func (l *lane) arrive(now time.Time, t *team, r Request) (*waiter, *Refusal) {
	capacity := l.capacity()
	l.mu.Lock()
	defer l.mu.Unlock()
	if capacity <= 0 {
		return nil, &Refusal{
			Reason:     NoCapacity,
			RetryAfter: minRetry,
		}
	}
	wait := l.waitEstimate(t, r.Weight, capacity)
	// With nothing under way the estimate may be outdated, and only a request
	// that runs can correct it.
	hopeless := l.running > 0 && now.Add(wait+l.service).After(r.Deadline)
	if hopeless || !now.Before(r.Deadline) {
		return nil, &Refusal{
			Reason:     TooLate,
			RetryAfter: max(wait, minRetry),
		}
	}
	if l.queue.Len() == 0 && l.running < capacity && t.start(l) {
		l.running++
		return nil, nil
	}
	return l.enqueue(now, t, r, wait, capacity)
}

func (l *lane) enqueue(now time.Time, t *team, r Request, wait time.Duration, capacity int64) (*waiter, *Refusal) {
	w := &waiter{
		team:    t,
		latest:  r.Deadline.Add(-l.service),
		granted: make(chan struct{}, 1),
	}
	if !w.latest.After(now) {
		w.latest = r.Deadline
	}
	item, outcome := l.queue.Push(queuer.Entry[*waiter]{
		Account: account(t),
		Weight:  r.Weight,
		Value:   w,
	})
	if outcome != queuer.Queued {
		return nil, &Refusal{
			Reason:     QueueFull,
			RetryAfter: max(wait, minRetry),
		}
	}
	w.item = item
	t.queue(1)
	l.dispatch(capacity)
	return w, nil
}

// waitEstimate is the expected time until a new request of the team starts.
func (l *lane) waitEstimate(t *team, weight, capacity int64) time.Duration {
	var wait time.Duration
	if l.running >= capacity {
		ahead := int64(l.queue.Ahead(account(t), weight))
		wait = l.service * time.Duration(ahead+1) / time.Duration(capacity)
	}
	if concurrency, full := t.full(); full {
		own := int64(l.queue.AccountLen(account(t)))
		wait = max(wait, l.service*time.Duration(own+1)/time.Duration(concurrency))
	}
	return wait
}

// dispatch grants waiting requests in fair order; l.mu is held.
func (l *lane) dispatch(capacity int64) {
	for l.running < capacity {
		e, ok := l.queue.Peek()
		if !ok {
			return
		}
		if !e.Value.team.start(l) {
			l.queue.Hold(e.Account)
			continue
		}
		l.queue.Pop()
		l.running++
		e.Value.team.queue(-1)
		e.Value.granted <- struct{}{}
	}
}

// withdraw removes a waiter; it reports false when the waiter was granted.
func (l *lane) withdraw(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Remove(w.item) {
		return false
	}
	w.team.queue(-1)
	return true
}

func (l *lane) release(service time.Duration) {
	capacity := l.capacity()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	switch {
	case service <= 0:
	case l.service == 0:
		l.service = service
	default:
		l.service += (service - l.service) >> learnShift
	}
	l.dispatch(capacity)
}

func (l *lane) unhold(t *team) {
	capacity := l.capacity()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Unhold(account(t))
	l.dispatch(capacity)
}

func (l *lane) wake() {
	capacity := l.capacity()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatch(capacity)
}

func (l *lane) estimate() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service
}
