// Package admitter implements admission control for requests to upstreams:
// weighted fair queueing by team, rate and concurrency limits of teams, bounded
// queues, and immediate refusal of requests that can't meet their deadline.
package admitter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/heathermux/heathermux/pkg/queuer"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Defaults of Config.
const (
	// DefaultMaxWaiting is the default of Config.MaxWaiting. It holds about 10 s of
	// requests to the largest service in use: 12 upstreams of 8 slots at 100 ms.
	// Requests beyond it could not meet the default deadline of 5 s.
	DefaultMaxWaiting = 10_000
	// DefaultMaxTeamWaiting is the default of Config.MaxTeamWaiting. It leaves room
	// for six client accounts.
	DefaultMaxTeamWaiting = 2_000
)

// Config configures an Admitter.
type Config struct {
	Clock timer.Clock
	// Allotment returns the share of a team's limits that applies on this entry
	// host: requests per second and concurrent requests.
	Allotment func(team string) (rate, concurrency int64)
	// Capacity returns the maximum number of concurrent requests of a queue.
	Capacity func(queue string) int64
	// MaxWaiting and MaxTeamWaiting limit the requests waiting in one queue, in
	// total and per team. 0 means DefaultMaxWaiting and DefaultMaxTeamWaiting.
	MaxWaiting     int
	MaxTeamWaiting int
}

// Request is a request to be admitted.
type Request struct {
	Queue string
	// Team is the team whose limits apply; empty for a request without a key on a
	// public queue, which has no team limits.
	Team string
	// Weight is the weight of the team in fair queueing.
	Weight   int64
	Deadline time.Time
}

// Reason is the reason for which a request was refused.
type Reason int

const (
	// NoCapacity means that no upstream of the queue accepts requests.
	NoCapacity Reason = iota + 1
	// NoAllotment means that the team currently has no allotment on this entry
	// host.
	NoAllotment
	// OverRate means that the team exceeds its request rate.
	OverRate
	// QueueFull means that too many requests of the queue, or of the team in it,
	// wait.
	QueueFull
	// TooLate means that the request is not expected to end before its deadline.
	TooLate
	// Cancelled means that the caller's context ended while the request waited.
	Cancelled
)

// Refusal is a final refusal. The request was not sent to an upstream.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry may be admitted. It is not set
	// for Cancelled.
	RetryAfter time.Duration
}

// Admitter admits the requests of one entry host. It is safe for concurrent use.
// Create one with New.
type Admitter struct {
	cfg   Config
	drain drainState

	mu     sync.RWMutex
	queues map[string]*requestQueue
	teams  map[string]*team
}

// New returns an Admitter without requests.
func New(cfg Config) *Admitter {
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	if cfg.MaxTeamWaiting == 0 {
		cfg.MaxTeamWaiting = DefaultMaxTeamWaiting
	}
	return &Admitter{
		cfg:    cfg,
		drain:  newDrainState(),
		queues: make(map[string]*requestQueue),
		teams:  make(map[string]*team),
	}
}

// Permit allows one request to run. It counts against the limits until Done.
type Permit struct {
	queue *requestQueue
	team  *team
}

// Admit blocks until the request may run, it is refused or ctx ends. The Permit is
// valid only if the Refusal is nil.
func (a *Admitter) Admit(ctx context.Context, r Request) (Permit, *Refusal) {
	q := a.queue(r.Queue)
	var t *team
	if r.Team != "" {
		t = a.team(r.Team)
		if refusal := t.takeToken(a.cfg.Clock.Now()); refusal != nil {
			return Permit{}, refusal
		}
	}
	p := Permit{
		queue: q,
		team:  t,
	}
	w, refusal := q.admitOrEnqueue(a.cfg.Clock.Now(), t, r)
	if w == nil {
		return p, refusal
	}
	return p, a.wait(ctx, q, w)
}

// wait blocks until the waiter is granted, which returns nil, its latest start
// has passed or ctx ends. If ctx ends while the waiter is granted, it gives the
// permit back.
func (a *Admitter) wait(ctx context.Context, q *requestQueue, w *waiter) *Refusal {
	timeout := a.cfg.Clock.NewTimer(w.latestStart.Sub(a.cfg.Clock.Now()))
	defer timeout.Stop()
	select {
	case <-w.granted:
		return nil
	case <-timeout.C():
		if q.removeWaiter(w) {
			return &Refusal{
				Reason:     TooLate,
				RetryAfter: max(q.serviceTimeEstimate(), minRetryAfter),
			}
		}
		return nil
	case <-ctx.Done():
		if !q.removeWaiter(w) {
			Permit{
				queue: q,
				team:  w.team,
			}.Done(0)
		}
		return &Refusal{
			Reason: Cancelled,
		}
	}
}

// Done ends the request and admits waiting ones. A positive service time updates
// the mean service time of the queue; 0 means none was measured. Done must be
// called exactly once.
func (p Permit) Done(serviceTime time.Duration) {
	var blocked []*requestQueue
	if p.team != nil {
		blocked = p.team.finish()
	}
	p.queue.finish(serviceTime)
	for _, q := range blocked {
		q.resumeTeam(p.team)
	}
}

// ServiceTime returns the mean service time of the requests of a queue; 0 while
// unknown.
func (a *Admitter) ServiceTime(queue string) time.Duration {
	return a.queue(queue).serviceTimeEstimate()
}

// Wake admits waiting requests after a capacity or an allotment has risen. The end
// of a request does so too; Wake is needed when none is in flight.
func (a *Admitter) Wake() {
	a.mu.RLock()
	queues := slices.Collect(maps.Values(a.queues))
	teams := slices.Collect(maps.Values(a.teams))
	a.mu.RUnlock()
	for _, t := range teams {
		for _, q := range t.takeBlocked() {
			q.resumeTeam(t)
		}
	}
	for _, q := range queues {
		q.dispatchWaiting()
	}
}

// queue returns the queue with the given name, and creates it on first use.
func (a *Admitter) queue(name string) *requestQueue {
	a.mu.RLock()
	q := a.queues[name]
	a.mu.RUnlock()
	if q != nil {
		return q
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queues[name] == nil {
		a.queues[name] = &requestQueue{
			capacity: func() int64 { return a.cfg.Capacity(name) },
			waiting: queuer.New[*waiter](queuer.Options{
				MaxPerAccount: a.cfg.MaxTeamWaiting,
				MaxTotal:      a.cfg.MaxWaiting,
			}),
		}
	}
	return a.queues[name]
}

// team returns the team with the given name, and creates it on first use.
func (a *Admitter) team(name string) *team {
	a.mu.RLock()
	t := a.teams[name]
	a.mu.RUnlock()
	if t != nil {
		return t
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.teams[name] == nil {
		a.teams[name] = newTeam(name, a.cfg.Allotment, a.cfg.Clock.Now())
	}
	return a.teams[name]
}
