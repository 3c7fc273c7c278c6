package admitter

import (
	"slices"
	"sync"
	"time"
)

// burstDuration is the time whose tokens a team may accumulate. Rates are split
// among entry hosts, so long bursts on all of them would exceed the fleet-wide
// rate.
const burstDuration = 250 * time.Millisecond

// team is the usage of one team on this entry host. A nil team has no limits.
type team struct {
	name      string
	allotment func(team string) (rate, concurrency int64)

	mu sync.Mutex
	// inFlight is the number of running requests. Invariant: equals the number of
	// the team's permits without Done.
	inFlight int64
	// queued is the number of waiting requests. Invariant: equals the number of the
	// team's waiters in all queues.
	queued int64
	// Invariant: contains the queues in which the team is on hold because of its
	// concurrency limit.
	blockedQueues []*requestQueue
	// tokens is the fill of the team's token bucket at refilledAt.
	tokens     float64
	refilledAt time.Time
	// arrivals counts requests since countedFrom, including refused ones.
	arrivals    int64
	countedFrom time.Time
}

func newTeam(name string, allotment func(string) (int64, int64), now time.Time) *team {
	rate, _ := allotment(name)
	return &team{
		name:        name,
		allotment:   allotment,
		tokens:      burstTokens(rate),
		refilledAt:  now,
		countedFrom: now,
	}
}

// burstTokens returns the size of the token bucket, at least one token.
func burstTokens(rate int64) float64 {
	return max(float64(rate)*burstDuration.Seconds(), 1)
}

// takeToken takes a token from the token bucket of the team's rate, or returns a
// refusal.
func (t *team) takeToken(now time.Time) *Refusal {
	rate, concurrency := t.allotment(t.name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals++
	if rate <= 0 || concurrency <= 0 {
		return &Refusal{
			Reason:     NoAllotment,
			RetryAfter: minRetryAfter,
		}
	}
	if elapsed := now.Sub(t.refilledAt); elapsed > 0 {
		t.tokens = min(t.tokens+elapsed.Seconds()*float64(rate), burstTokens(rate))
		t.refilledAt = now
	}
	if t.tokens < 1 {
		return &Refusal{
			Reason:     OverRate,
			RetryAfter: time.Duration((1 - t.tokens) / float64(rate) * float64(time.Second)),
		}
	}
	t.tokens--
	return nil
}

// tryStart counts a request as in flight if the team is below its concurrency
// limit. Otherwise it returns false and records that the queue is to be resumed
// when a request of the team ends.
func (t *team) tryStart(q *requestQueue) bool {
	if t == nil {
		return true
	}
	_, concurrency := t.allotment(t.name)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= concurrency {
		if !slices.Contains(t.blockedQueues, q) {
			t.blockedQueues = append(t.blockedQueues, q)
		}
		return false
	}
	t.inFlight++
	return true
}

// finish ends a request in flight and returns the queues to resume.
func (t *team) finish() []*requestQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	return t.takeBlockedLocked()
}

// takeBlocked removes and returns the queues to resume.
func (t *team) takeBlocked() []*requestQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeBlockedLocked()
}

func (t *team) takeBlockedLocked() []*requestQueue {
	blocked := t.blockedQueues
	t.blockedQueues = nil
	return blocked
}

// concurrencyReached returns the concurrency limit, at least 1, and whether the
// team has reached it.
func (t *team) concurrencyReached() (int64, bool) {
	if t == nil {
		return 0, false
	}
	_, concurrency := t.allotment(t.name)
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(concurrency, 1), t.inFlight >= concurrency
}

// addQueued changes the number of the team's waiters by delta.
func (t *team) addQueued(delta int64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queued += delta
}
