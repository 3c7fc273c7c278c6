package retrier

import "time"

// Result is how an attempt ended.
type Result int

const (
	// NotRun means that the request certainly did not run.
	NotRun Result = iota + 1
	// MayHaveRun means that the request was sent but no complete response came.
	MayHaveRun
	// Answered means that a complete response came.
	Answered
)

// Attempt describes an attempt that has ended.
type Attempt struct {
	Result Result
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Number is the number of attempts made so far, including this one.
	Number int
	// Interrupted is the number of these attempts in which the upstream broke the
	// connection after it was sent the request.
	Interrupted int
	// Deadline is when the caller stops waiting for a response.
	Deadline time.Time
	// Estimate is the expected duration of another attempt.
	Estimate time.Duration
}

// Decision is what to do after an attempt.
type Decision int

const (
	// Retry means to send the request again, to another failure domain if
	// possible.
	Retry Decision = iota + 1
	// GiveUp means to report the failure to the caller.
	GiveUp
	// Done means to return the response to the caller.
	Done
)

// DefaultMaxAttempts is the default maximum number of attempts of one request.
// Two failure domains besides the first are enough to survive the simultaneous
// failure of a rack and a data centre.
const DefaultMaxAttempts = 3

// MaxInterrupted is the number of upstreams that may break the connection over one
// request. A request that crashes each upstream that reads it must not be sent to one
// after the other; where a host has failed, a second one seldom fails at the same time.
const MaxInterrupted = 2

// Policy decides on retries within a budget. It is safe for concurrent use.
type Policy struct {
	Budget *Budget
	// MaxAttempts is the maximum number of attempts of one request; zero means
	// DefaultMaxAttempts.
	MaxAttempts int
}

// Decide returns what to do after an attempt. It takes a token from the budget
// only if the decision is Retry.
func (p Policy) Decide(now time.Time, a Attempt) Decision {
	maxAttempts := p.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = DefaultMaxAttempts
	}
	switch {
	case a.Result == Answered:
		p.Budget.RecordSuccess()
		return Done
	case a.Result != NotRun && !a.Idempotent,
		a.Number >= maxAttempts,
		a.Interrupted >= MaxInterrupted,
		!now.Add(a.Estimate).Before(a.Deadline),
		!p.Budget.TakeToken(now):
		return GiveUp
	}
	return Retry
}
