package retrier

import "time"

// Result is how an attempt ended.
type Result int

const (
	// NotRun means that the attempt is proved not to have run.
	NotRun Result = iota + 1
	// MayHaveRun means that the attempt was sent and that no whole answer came.
	MayHaveRun
	// Answered means that a whole answer came.
	Answered
)

// Attempt is an attempt that has ended.
type Attempt struct {
	Result Result
	// Idempotent requests may run more than once.
	Idempotent bool
	// Number of attempts made so far, this one included.
	Number int
	// Deadline of the caller.
	Deadline time.Time
	// Estimate is the expected time of another attempt.
	Estimate time.Duration
}

// Decision is what to do after an attempt.
type Decision int

const (
	// Retry means to send the request again, to another failure domain if there is one.
	Retry Decision = iota + 1
	// GiveUp means to answer the caller with what is known.
	GiveUp
	// Done means that the answer is the caller's.
	Done
)

// DefaultAttempts is the most attempts of one request. Two failure domains
// besides the first are enough for a rack and a data centre to fail at once.
const DefaultAttempts = 3

// Policy decides on retries within a budget. It may be used from any number of
// goroutines.
type Policy struct {
	Budget *Budget
	// Attempts is the most attempts of one request; zero means DefaultAttempts.
	Attempts int
}

// Decide returns what to do after an attempt. A token is taken only when the
// decision is Retry.
func (p Policy) Decide(now time.Time, a Attempt) Decision {
	limit := p.Attempts
	if limit == 0 {
		limit = DefaultAttempts
	}
	switch {
	case a.Result == Answered:
		p.Budget.Succeeded()
		return Done
	case a.Result != NotRun && !a.Idempotent,
		a.Number >= limit,
		!now.Add(a.Estimate).Before(a.Deadline),
		!p.Budget.Take(now):
		return GiveUp
	}
	return Retry
}
