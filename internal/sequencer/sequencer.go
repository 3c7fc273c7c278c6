// Package sequencer decides when calls to a service that handles one call at a time are sent,
// in which order, and how long each may take. It does no I/O and reads no clock.
//
// Load pattern: bursts of several times what the service can take, seconds apart from one
// another, of calls whose duration is known about beforehand. A call that the service has
// begun is lost if its caller gives up, so a timeout that runs while the call waits for its
// turn, and a repetition that joins the end of the line, would keep the service busy for nobody.
package sequencer

import "time"

// Settings holds the bounds of a Line.
type Settings struct {
	// MaxInFlight bounds the unanswered calls. Two keep the service busy while an answer is on
	// its way; each further one only waits for its turn there.
	MaxInFlight int
	// TimeoutMargin is added to the expected time of the answer.
	TimeoutMargin time.Duration
	// RetryDelay is the time before a call that failed is sent again.
	RetryDelay time.Duration
	// PriorityDelay is how much later a request may have come, for each step of priority, and
	// still goes first. It bounds how long requests of a lower priority are overtaken.
	PriorityDelay time.Duration
	// AbsentAfter is how long after its last request a key without one holds up no other.
	AbsentAfter time.Duration
}

const (
	// maxSlowdown bounds by how much calls count as slower than expected.
	maxSlowdown = 16
	// slowdownSmoothing is the weight of the newest call in the mean.
	slowdownSmoothing = 0.3
	// failuresInPlace is how many failures in a row leave a request its place; one that fails
	// more often may fail for good and goes to the end.
	failuresInPlace = 2
)

// Line holds the calls of one caller to one service, by keys of type K. It is not safe for
// concurrent use; create it with New.
type Line[K comparable] struct {
	settings Settings
	waiting  map[K]request
	calls    map[K]call
	// idleAt is when the service will have handled all calls that were sent, as expected.
	idleAt time.Time
	// answeredAt is when the service last answered: the next call has had its turn since.
	answeredAt time.Time
	// slowdown is the factor by which calls take longer than expected, at least 1.
	slowdown float64
}

// request is the immutable state of a call that is to be sent.
type request struct {
	// joinedAt is when the request joined the line, and delay how much later it counts as having
	// done so because of its priority.
	joinedAt time.Time
	delay    time.Duration
	// seenAt is when it was last repeated.
	seenAt time.Time
	// retryAt is the earliest time at which it is sent again.
	retryAt time.Time
	// failures counts the failures since the last answer.
	failures int
}

// goesBefore reports whether a request is sent before another one.
func (r request) goesBefore(other request) bool {
	return r.joinedAt.Add(r.delay).Before(other.joinedAt.Add(other.delay))
}

func (r request) withSeen(now time.Time) request {
	r.seenAt = now
	return r
}

func (r request) withFailure(now, retryAt time.Time) request {
	r.failures++
	r.retryAt, r.seenAt = retryAt, retryAt
	if r.failures > failuresInPlace {
		r.joinedAt, r.failures = now, 0
	}
	return r
}

// call is a call in flight.
type call struct {
	request  request
	sentAt   time.Time
	expected time.Duration
	timeout  time.Duration
}

// New returns an empty Line.
func New[K comparable](settings Settings) *Line[K] {
	return &Line[K]{
		settings: settings,
		waiting:  make(map[K]request),
		calls:    make(map[K]call),
		slowdown: 1,
	}
}

// Request asks to send a call of an expected duration; the smallest priority goes first. If the
// call may be sent now it returns the timeout, which covers the calls before it, and
// Answered has to follow. Otherwise the request keeps its place as long as it is repeated.
func (l *Line[K]) Request(key K, priority int, expected time.Duration, now time.Time) (time.Duration, bool) {
	if l.InFlight(key) {
		return 0, false
	}
	r, ok := l.waiting[key]
	if !ok {
		r.joinedAt = now
	}
	r.delay = time.Duration(priority) * l.settings.PriorityDelay
	r = r.withSeen(now)
	l.waiting[key] = r
	if len(l.calls) >= l.settings.MaxInFlight || now.Before(r.retryAt) || !l.first(key, r, now) {
		return 0, false
	}
	delete(l.waiting, key)
	begin := now
	if l.idleAt.After(now) {
		begin = l.idleAt
	}
	l.idleAt = begin.Add(l.durationOf(expected))
	c := call{
		request:  r,
		sentAt:   now,
		expected: expected,
		timeout:  l.idleAt.Sub(now) + l.settings.TimeoutMargin,
	}
	l.calls[key] = c
	return c.timeout, true
}

// first reports whether no other request that could be sent now goes before one.
func (l *Line[K]) first(key K, r request, now time.Time) bool {
	for other, o := range l.waiting {
		if now.Sub(o.seenAt) > l.settings.AbsentAfter {
			delete(l.waiting, other)
			continue
		}
		if other != key && !now.Before(o.retryAt) && o.goesBefore(r) {
			return false
		}
	}
	return true
}

// InFlight reports whether a call is unanswered.
func (l *Line[K]) InFlight(key K) bool {
	_, ok := l.calls[key]
	return ok
}

// Waits reports whether a request waits to be sent.
func (l *Line[K]) Waits(key K) bool {
	_, ok := l.waiting[key]
	return ok
}

// Answered handles the outcome of a call: whether it was answered. It returns the earliest time
// at which the service can have begun with it. A call that failed keeps its place.
func (l *Line[K]) Answered(key K, ok bool, now time.Time) time.Time {
	c, found := l.calls[key]
	if !found {
		return now
	}
	delete(l.calls, key)
	begin := c.sentAt
	if l.answeredAt.After(begin) {
		begin = l.answeredAt
	}
	switch {
	case ok:
		l.answeredAt = now
		l.learn(now.Sub(begin), c.expected)
		l.idleAt = l.restHandledAt(now)
	case now.Sub(c.sentAt) >= c.timeout:
		// The service may go on with it, and takes longer than until now.
		factor := max(l.slowdown, now.Sub(begin).Seconds()/max(c.expected, time.Millisecond).Seconds())
		l.slowdown = min(2*factor, maxSlowdown)
		l.fail(key, c, now)
	default:
		l.idleAt = l.restHandledAt(now)
		l.fail(key, c, now)
	}
	return begin
}

func (l *Line[K]) fail(key K, c call, now time.Time) {
	l.waiting[key] = c.request.withFailure(now, now.Add(l.settings.RetryDelay))
}

// learn adjusts the slowdown to a call that took a time in place of the expected one.
func (l *Line[K]) learn(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	factor := min(max(1, took.Seconds()/expected.Seconds()), maxSlowdown)
	l.slowdown += slowdownSmoothing * (factor - l.slowdown)
}

// restHandledAt returns when the calls in flight will have been handled if the first of
// them begins now.
func (l *Line[K]) restHandledAt(now time.Time) time.Time {
	for _, c := range l.calls {
		now = now.Add(l.durationOf(c.expected))
	}
	return now
}

func (l *Line[K]) durationOf(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * l.slowdown)
}
