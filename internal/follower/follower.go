package follower

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// Interval is the time between two follow calls. Several fit into one
	// lease, so that single lost calls do not end it.
	Interval = 400 * time.Millisecond

	// callTimeout bounds one follow call. It is short enough to try another
	// voter before the lease ends.
	callTimeout = 700 * time.Millisecond

	// retryPause is the wait after a call that no leader answered.
	retryPause = 50 * time.Millisecond
)

// Source calls voters.
type Source interface {
	// Follow asks a voter for changes and a lease.
	Follow(ctx context.Context, voter *wire.Member, request *wire.FollowRequest) (*wire.FollowResponse, error)
}

// Options sets up a Follower. All fields but Demands, Report and OnChange are needed.
type Options struct {
	// Self is this entry host.
	Self *wire.Member
	// Voters are the hosts that may lead, in any order.
	Voters []*wire.Member
	// Clock must be monotonic.
	Clock timer.Clock
	// Source calls the voters.
	Source Source
	// Logger takes changes of the lease.
	Logger *slog.Logger
	// Demands returns the request load that the next call reports.
	Demands func() []*wire.TeamDemand
	// Report returns the scheduler's report, or nil.
	Report func() *wire.SchedulerReport
	// OnChange is called after each new revision, from the follower's goroutine.
	OnChange func(View)
}

// Follower keeps the view of one entry host. View and Allotment may be called
// from any number of goroutines; make one with New.
type Follower struct {
	opts Options
	view atomic.Pointer[View]

	mu sync.Mutex
	// Invariant: the allotments that came with the newest lease, by team.
	allotments map[string]*wire.RequestAllotment
	// next is the index in Voters of the voter to call next.
	next int
	// leaving is sent with each call once the host stops as planned.
	leaving bool
	// refetch asks for the whole state with the next call.
	refetch bool
	// held is the lease state last written to the log.
	held bool
}

// New returns a follower without state or lease.
func New(opts Options) *Follower {
	f := &Follower{
		opts: opts,
	}
	f.view.Store(&View{})
	return f
}

// View returns what this host knows now.
func (f *Follower) View() View { return *f.view.Load() }

// Allotment returns this host's part of a team's request rate (requests a
// second) and concurrency. It is valid as long as the lease is.
func (f *Follower) Allotment(team string) (rate, concurrency int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.allotments[team]
	return a.GetRate(), a.GetConcurrency()
}

// Run follows the leader until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := Interval
		if !f.once(ctx) {
			pause = retryPause
		}
		f.logLease()
		t := f.opts.Clock.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C():
		}
	}
}

// once makes one follow call and reports whether a leader answered.
func (f *Follower) once(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := f.opts.Clock.Now()
	voter := f.voter()
	answer, err := f.opts.Source.Follow(ctx, voter, f.request())
	if err != nil || answer.GetNotLeader() {
		f.turnTo(answer.GetLeader())
		return false
	}
	return f.Take(sent, answer)
}

func (f *Follower) request() *wire.FollowRequest {
	request := &wire.FollowRequest{
		Member:   f.self(),
		Revision: f.View().State.Revision(),
	}
	if f.refetching() {
		request.Revision = 0
	}
	if f.opts.Demands != nil {
		request.Demands = f.opts.Demands()
	}
	if f.opts.Report != nil {
		request.Report = f.opts.Report()
	}
	return request
}

// self returns this host as the next call describes it.
func (f *Follower) self() *wire.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leaving {
		return f.opts.Self
	}
	m := proto.CloneOf(f.opts.Self)
	m.Leaving = true
	return m
}

// Leave tells the leader that this host stops as planned, and waits until the
// view no longer has it or ctx ends. Run has to go on meanwhile.
func (f *Follower) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	for f.isMember() {
		t := f.opts.Clock.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			t.Stop()
			return errors.Wrap(ctx.Err(), "follower: leave")
		case <-t.C():
		}
	}
	return nil
}

func (f *Follower) isMember() bool {
	return slices.ContainsFunc(f.View().State.View().GetMembers(), func(m *wire.Member) bool {
		return m.GetName() == f.opts.Self.GetName() && m.GetIncarnation() == f.opts.Self.GetIncarnation()
	})
}

func (f *Follower) refetching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refetch
}

func (f *Follower) setRefetch(refetch bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refetch = refetch
}

// Leader returns the voter that this host calls at present.
func (f *Follower) Leader() *wire.Member { return f.voter() }

func (f *Follower) voter() *wire.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.Voters[f.next%len(f.opts.Voters)]
}

// turnTo calls the named voter next, or the one after the present one.
func (f *Follower) turnTo(leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	for i, v := range f.opts.Voters {
		if v.GetName() == leader {
			f.next = i
		}
	}
}

// Take applies an answer to a follow call that was sent at the given time. It
// reports false when the changes do not continue this host's state; the next
// call then asks for the whole state. The state never goes back.
func (f *Follower) Take(sent time.Time, answer *wire.FollowResponse) bool {
	old := f.View()
	next, ok := advance(old.State, answer)
	if !ok {
		f.opts.Logger.Warn("follower: changes do not continue the state, fetching it whole", "revision", old.State.Revision())
		f.setRefetch(true)
		return false
	}
	f.setRefetch(false)
	view := View{
		State:      next,
		LeaseUntil: old.LeaseUntil,
	}
	// Counting from the sending time keeps the lease short of the leader's promise.
	until := sent.Add(time.Duration(answer.GetLeaseNanos()))
	// An empty state is one that was not bootstrapped yet; it gives no authority.
	if answer.GetLeaseNanos() > 0 && until.After(view.LeaseUntil) && next.Revision() > 0 {
		view.LeaseUntil = until
		f.setAllotments(answer.GetAllotments())
	}
	f.view.Store(&view)
	if next.Revision() != old.State.Revision() && f.opts.OnChange != nil {
		f.opts.OnChange(view)
	}
	return true
}

func (f *Follower) setAllotments(list []*wire.RequestAllotment) {
	allotments := make(map[string]*wire.RequestAllotment, len(list))
	for _, a := range list {
		allotments[a.GetTeam()] = a
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allotments = allotments
}

// advance returns the state after the answer, and false when a change is
// missing or leads to another revision than on the leader.
func advance(s controller.State, answer *wire.FollowResponse) (controller.State, bool) {
	if answer.GetSnapshot() != nil && answer.GetSnapshot().GetRevision() >= s.Revision() {
		s = controller.FromSnapshot(answer.GetSnapshot())
	}
	for _, applied := range answer.GetCommands() {
		if applied.GetRevision() <= s.Revision() {
			continue
		}
		next, _ := controller.Apply(s, applied.GetCommand())
		if next.Revision() != applied.GetRevision() {
			return s, false
		}
		s = next
	}
	return s, s.Revision() >= answer.GetRevision()
}

// logLease writes when the lease is gained and lost.
func (f *Follower) logLease() {
	live := f.View().Live(f.opts.Clock.Now())
	if live == f.held {
		return
	}
	f.held = live
	if live {
		f.opts.Logger.Info("follower: authority lease gained", "revision", f.View().State.Revision())
		return
	}
	f.opts.Logger.Warn("follower: authority lease lost, work that needs a key is refused")
}
