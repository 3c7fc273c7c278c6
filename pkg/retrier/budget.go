// Package retrier decides whether a failed request is sent again. A Budget limits
// the load that retries add to a failing pool. A Policy permits a retry only if
// running the request a second time does no harm.
package retrier

import (
	"sync"
	"time"
)

// Defaults of Options.
const (
	// DefaultRetryRatio limits retries to a tenth of the recent successes, so
	// that attempts are at most 1.1 times the requests.
	DefaultRetryRatio = 0.1
	// DefaultMinRetryRate lets a queue with few requests retry at all: once in
	// 10 s. It is small, because it is added to what the retry ratio allows.
	DefaultMinRetryRate = 0.1
	// DefaultBurst is twice the number of requests that a failing upstream with
	// 8 slots has in flight.
	DefaultBurst = 16
)

// Options configures a Budget. Zero values mean the defaults.
type Options struct {
	// RetryRatio is the part of a token that each success adds.
	RetryRatio float64
	// MinRetryRate is the number of tokens added per second regardless of
	// successes.
	MinRetryRate float64
	// Burst is the maximum number of tokens.
	Burst float64
}

// Budget is a token bucket that limits the retries of one queue. It is safe for
// concurrent use; make one with NewBudget.
type Budget struct {
	opts Options

	mu sync.Mutex
	// Invariant: between 0 and opts.Burst.
	tokens float64
	// refilledAt is the time up to which tokens of MinRetryRate have been added.
	refilledAt time.Time
}

// NewBudget returns a budget with one token.
func NewBudget(now time.Time, opts Options) *Budget {
	if opts.RetryRatio == 0 {
		opts.RetryRatio = DefaultRetryRatio
	}
	if opts.MinRetryRate == 0 {
		opts.MinRetryRate = DefaultMinRetryRate
	}
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	return &Budget{
		opts:       opts,
		tokens:     min(1, opts.Burst),
		refilledAt: now,
	}
}

// RecordSuccess adds tokens for a request that was answered, whatever the number
// of attempts.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.opts.RetryRatio, b.opts.Burst)
}

// TakeToken takes the token for one retry; it returns false if there is none.
func (b *Budget) TakeToken(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.opts.MinRetryRate, b.opts.Burst)
		b.refilledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
