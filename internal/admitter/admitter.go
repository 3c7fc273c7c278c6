// Package admitter decides when a request may go to an upstream: weighted fair
// queueing by team, rate and concurrency limits of teams, bounded queues, and
// immediate refusal of requests that can't meet their deadline.
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
	// DefaultMaxWaiting for a queue holds about 10 s of the largest present
	// service: 12 upstreams of 8 slots at 100 ms. Requests beyond it could not
	// meet the default deadline of 5 s.
	DefaultMaxWaiting = 10_000
	// DefaultMaxTeamWaiting leaves room for six client accounts.
	DefaultMaxTeamWaiting = 2_000
)

// Config holds what an Admitter works with.
type Config struct {
	Clock timer.Clock
	// Allotment returns the requests a second and in flight that a team may
	// have on this entry host.
	Allotment func(team string) (rate, concurrency int64)
	// Capacity returns how many requests of a queue may run at once.
	Capacity func(queue string) int64
	// MaxWaiting and MaxTeamWaiting bound the requests that wait in one queue,
	// in total and of one team; 0 means the default.
	MaxWaiting     int
	MaxTeamWaiting int
}

// Request asks for admission.
type Request struct {
	Queue string
	// Team whose limits apply; empty for work without a key on an open queue.
	Team string
	// Weight of the team.
	Weight   int64
	Deadline time.Time
}

// Reason tells why a request was refused.
type Reason int

const (
	// NoCapacity means that no upstream of the queue takes work.
	NoCapacity Reason = iota + 1
	// NoAllotment means that the team may run nothing on this entry host now.
	NoAllotment
	// OverRate means that the team has used up its request rate.
	OverRate
	// QueueFull means that too many requests wait.
	QueueFull
	// TooLate means that the request would not end before its deadline.
	TooLate
	// Cancelled means that the caller has gone.
	Cancelled
)

// Refusal is a final refusal; the request was not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a resend may be admitted.
	RetryAfter time.Duration
}

// Admitter admits the requests of one entry host. It may be used from any
// number of goroutines; make one with New.
type Admitter struct {
	cfg  Config
	stop stopper

	mu    sync.RWMutex
	lanes map[string]*lane
	teams map[string]*team
}

// New returns an admitter without load.
func New(cfg Config) *Admitter {
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	if cfg.MaxTeamWaiting == 0 {
		cfg.MaxTeamWaiting = DefaultMaxTeamWaiting
	}
	return &Admitter{
		cfg:   cfg,
		stop:  newStopper(),
		lanes: make(map[string]*lane),
		teams: make(map[string]*team),
	}
}

// Permit allows one request to run until Done.
type Permit struct {
	lane *lane
	team *team
}

// Admit waits until the request may run. Exactly one of the results is set.
func (a *Admitter) Admit(ctx context.Context, r Request) (Permit, *Refusal) {
	l := a.lane(r.Queue)
	var t *team
	if r.Team != "" {
		t = a.team(r.Team)
		if refusal := t.arrive(a.cfg.Clock.Now()); refusal != nil {
			return Permit{}, refusal
		}
	}
	p := Permit{
		lane: l,
		team: t,
	}
	w, refusal := l.arrive(a.cfg.Clock.Now(), t, r)
	if w == nil {
		return p, refusal
	}
	return p, a.wait(ctx, l, w)
}

// wait returns nil once the waiter was granted.
func (a *Admitter) wait(ctx context.Context, l *lane, w *waiter) *Refusal {
	timeout := a.cfg.Clock.NewTimer(w.latest.Sub(a.cfg.Clock.Now()))
	defer timeout.Stop()
	select {
	case <-w.granted:
		return nil
	case <-timeout.C():
		if l.withdraw(w) {
			return &Refusal{
				Reason:     TooLate,
				RetryAfter: l.estimate(),
			}
		}
		return nil
	case <-ctx.Done():
		if !l.withdraw(w) {
			Permit{
				lane: l,
				team: w.team,
			}.Done(0)
		}
		return &Refusal{
			Reason: Cancelled,
		}
	}
}

// Done ends the request. A positive service time is learned from. Done is
// called once.
func (p Permit) Done(service time.Duration) {
	var blocked []*lane
	if p.team != nil {
		blocked = p.team.release()
	}
	p.lane.release(service)
	for _, l := range blocked {
		l.unhold(p.team)
	}
}

// Service returns the expected time of one request of a queue; 0 while unknown.
func (a *Admitter) Service(queue string) time.Duration {
	return a.lane(queue).estimate()
}

// Wake admits waiting requests after capacities or allotments have risen. The
// end of a request does so too; Wake is for when none is under way.
func (a *Admitter) Wake() {
	a.mu.RLock()
	lanes := slices.Collect(maps.Values(a.lanes))
	teams := slices.Collect(maps.Values(a.teams))
	a.mu.RUnlock()
	for _, t := range teams {
		for _, l := range t.unblock() {
			l.unhold(t)
		}
	}
	for _, l := range lanes {
		l.wake()
	}
}

func (a *Admitter) lane(name string) *lane {
	a.mu.RLock()
	l := a.lanes[name]
	a.mu.RUnlock()
	if l != nil {
		return l
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lanes[name] == nil {
		a.lanes[name] = &lane{
			capacity: func() int64 { return a.cfg.Capacity(name) },
			queue: queuer.New[*waiter](queuer.Options{
				MaxAccount: a.cfg.MaxTeamWaiting,
				MaxTotal:   a.cfg.MaxWaiting,
			}),
		}
	}
	return a.lanes[name]
}

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
