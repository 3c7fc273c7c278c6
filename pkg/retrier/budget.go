// Package retrier decides whether a failed request is sent again. A budget
// bounds how much load retries add to a pool that fails, and a policy permits
// a retry only where a second run can do no harm.
package retrier

import (
	"sync"
	"time"
)

// Defaults of Options.
const (
	// DefaultFraction keeps the amplification at 1.1: retries are at most this
	// part of recent successes.
	DefaultFraction = 0.1
	// DefaultMinimum lets a queue with few requests retry at all: one in 10 s.
	// It is small, because it comes on top of the fraction.
	DefaultMinimum = 0.1
	// DefaultBurst covers the requests that one failing upstream of 8 slots
	// has under way, twice.
	DefaultBurst = 16
)

// Options shapes a budget. Zero values mean the defaults.
type Options struct {
	// Fraction of a token that each success adds.
	Fraction float64
	// Minimum is the rate of tokens added without successes, a second.
	Minimum float64
	// Burst is the most tokens held.
	Burst float64
}

// Budget is a token budget for retries of one queue. It may be used from any
// number of goroutines; make one with NewBudget.
type Budget struct {
	opts Options

	mu sync.Mutex
	// Invariant: between 0 and opts.Burst.
	tokens float64
	// Time up to which the minimum rate has been added.
	filled time.Time
}

// NewBudget returns a budget with one token.
func NewBudget(now time.Time, opts Options) *Budget {
	if opts.Fraction == 0 {
		opts.Fraction = DefaultFraction
	}
	if opts.Minimum == 0 {
		opts.Minimum = DefaultMinimum
	}
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	return &Budget{
		opts:   opts,
		tokens: min(1, opts.Burst),
		filled: now,
	}
}

// Succeeded records a request that was answered, after one attempt or more.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.opts.Fraction, b.opts.Burst)
}

// Take takes the token for one retry; it reports false when there is none.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.opts.Minimum, b.opts.Burst)
		b.filled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
