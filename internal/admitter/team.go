package admitter

import (
	"slices"
	"sync"
	"time"
)

// burstTime is the time whose tokens a team may save up. Rates are split among
// entry hosts, so that a long burst on each would exceed the fleet-wide rate.
const burstTime = 250 * time.Millisecond

// team is what one team uses on this entry host. A nil team has no limits.
type team struct {
	name      string
	allotment func(team string) (rate, concurrency int64)

	mu sync.Mutex
	// Invariant: number of permits of the team that are not done.
	inFlight int64
	// Invariant: number of waiters of the team in all lanes.
	queued int64
	// Invariant: lanes in which the team is held because of its concurrency.
	blocked []*lane
	tokens  float64
	filled  time.Time
	// arrivals since counted, refused ones included.
	arrivals int64
	counted  time.Time
}

func newTeam(name string, allotment func(string) (int64, int64), now time.Time) *team {
	rate, _ := allotment(name)
	return &team{
		name:      name,
		allotment: allotment,
		tokens:    burst(rate),
		filled:    now,
		counted:   now,
	}
}

func burst(rate int64) float64 {
	return max(float64(rate)*burstTime.Seconds(), 1)
}

// arrive takes a token of the team's rate.
func (t *team) arrive(now time.Time) *Refusal {
	rate, concurrency := t.allotment(t.name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals++
	if rate <= 0 || concurrency <= 0 {
		return &Refusal{
			Reason:     NoAllotment,
			RetryAfter: minRetry,
		}
	}
	if elapsed := now.Sub(t.filled); elapsed > 0 {
		t.tokens = min(t.tokens+elapsed.Seconds()*float64(rate), burst(rate))
		t.filled = now
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

// start counts a request as in flight. Within the limit it returns true; else
// the lane is unheld when a request of the team ends.
func (t *team) start(l *lane) bool {
	if t == nil {
		return true
	}
	_, concurrency := t.allotment(t.name)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= concurrency {
		if !slices.Contains(t.blocked, l) {
			t.blocked = append(t.blocked, l)
		}
		return false
	}
	t.inFlight++
	return true
}

// release ends a request in flight and returns the lanes to unhold.
func (t *team) release() []*lane {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	return t.unblockLocked()
}

// unblock returns the lanes in which the team is held, to be unheld.
func (t *team) unblock() []*lane {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unblockLocked()
}

func (t *team) unblockLocked() []*lane {
	blocked := t.blocked
	t.blocked = nil
	return blocked
}

// full reports whether the team has reached its concurrency, and the limit.
func (t *team) full() (int64, bool) {
	if t == nil {
		return 0, false
	}
	_, concurrency := t.allotment(t.name)
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(concurrency, 1), t.inFlight >= concurrency
}

func (t *team) queue(change int64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queued += change
}
