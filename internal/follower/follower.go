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
	// Interval is the time between two follow calls. Several calls fit into one
	// lease, so that it does not expire when single calls fail.
	Interval = 400 * time.Millisecond

	// callTimeout limits the duration of a follow call. It is short enough to
	// try another voter before the lease expires.
	callTimeout = 700 * time.Millisecond

	// retryPause is the time to wait after a call that failed or that the leader
	// did not answer, and between two checks in Leave.
	retryPause = 50 * time.Millisecond
)

// Source sends follow calls to voters.
type Source interface {
	// Follow requests changes and a lease from a voter.
	Follow(ctx context.Context, voter *wire.Member, request *wire.FollowRequest) (*wire.FollowResponse, error)
}

// Options configures a Follower. All fields but Demands, Report and OnChange are
// required.
type Options struct {
	// Self describes this entry host.
	Self *wire.Member
	// Voters are the hosts that may become the leader, in any order.
	Voters []*wire.Member
	// Clock must be monotonic.
	Clock timer.Clock
	// Source sends the calls to the voters.
	Source Source
	// Logger receives changes of the lease and gaps in the received changes.
	Logger *slog.Logger
	// Demands returns the request load to report with the next call.
	Demands func() []*wire.TeamDemand
	// Report returns the scheduler's report for the next call, or nil.
	Report func() *wire.SchedulerReport
	// OnChange is called on the goroutine of Run after each change of the
	// revision.
	OnChange func(View)
}

// Follower keeps the view of one entry host up to date. View and Allotment are
// safe for concurrent use; make one with New.
type Follower struct {
	opts Options
	view atomic.Pointer[View]

	mu sync.Mutex
	// Invariant: the allotments that came with the latest lease, by team.
	allotments map[string]*wire.RequestAllotment
	// nextVoter is the index in Voters of the voter to call next, modulo their
	// number.
	nextVoter int
	// leaving is true after Leave was called; each call then announces that the
	// host stops.
	leaving bool
	// needSnapshot makes the next call request a snapshot of the state.
	needSnapshot bool
	// loggedLive is whether the lease was live when it was last logged. Only the
	// goroutine of Run uses it.
	loggedLive bool
}

// New returns a follower with an empty state and no lease.
func New(opts Options) *Follower {
	f := &Follower{
		opts: opts,
	}
	f.view.Store(&View{})
	return f
}

// View returns the latest view.
func (f *Follower) View() View { return *f.view.Load() }

// Allotment returns this host's part of a team's limits: the request rate in
// requests per second, and the concurrency in requests in flight. It is valid
// as long as the lease is live.
func (f *Follower) Allotment(team string) (rate, concurrency int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.allotments[team]
	return a.GetRate(), a.GetConcurrency()
}

// Run follows the leader until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := Interval
		if !f.followOnce(ctx) {
			pause = retryPause
		}
		f.logLeaseChange()
		t := f.opts.Clock.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C():
		}
	}
}

// followOnce makes one follow call. It reports whether the leader responded and the
// response was applied.
func (f *Follower) followOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := f.opts.Clock.Now()
	voter := f.voter()
	response, err := f.opts.Source.Follow(ctx, voter, f.request())
	if err != nil || response.GetNotLeader() {
		f.selectVoter(response.GetLeader())
		return false
	}
	return f.ApplyResponse(sent, response)
}

func (f *Follower) request() *wire.FollowRequest {
	request := &wire.FollowRequest{
		Member:   f.self(),
		Revision: f.View().State.Revision(),
	}
	if f.needsSnapshot() {
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

// self returns the description of this host for the next call.
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

// Leave announces to the leader that this host is about to stop, and waits until
// the host has been removed from the view or ctx is done. Run must be running
// meanwhile.
func (f *Follower) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	for f.isMember() {
		t := f.opts.Clock.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			t.Stop()
			return errors.Wrap(ctx.Err(), "follower: leave: wait for the removal of this host from the view")
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

func (f *Follower) needsSnapshot() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.needSnapshot
}

func (f *Follower) setNeedSnapshot(need bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.needSnapshot = need
}

// NextVoter returns the voter that the next call goes to. It is the leader, unless
// the leader has changed or is not known yet.
func (f *Follower) NextVoter() *wire.Member { return f.voter() }

func (f *Follower) voter() *wire.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.Voters[f.nextVoter%len(f.opts.Voters)]
}

// selectVoter makes the next call go to the named leader. If the name is not that
// of a voter, the voter after the present one is called.
func (f *Follower) selectVoter(leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextVoter++
	for i, v := range f.opts.Voters {
		if v.GetName() == leader {
			f.nextVoter = i
		}
	}
}

// ApplyResponse applies the response to a follow call that was sent at the given
// time. If the changes do not follow on from this host's revision, it returns
// false, and the next call requests a snapshot of the state. The revision never
// decreases.
func (f *Follower) ApplyResponse(sent time.Time, response *wire.FollowResponse) bool {
	old := f.View()
	next, ok := applyChanges(old.State, response)
	if !ok {
		f.opts.Logger.Warn("follower: received changes do not follow on from the local revision; requesting a snapshot", "revision", old.State.Revision())
		f.setNeedSnapshot(true)
		return false
	}
	f.setNeedSnapshot(false)
	view := View{
		State:      next,
		LeaseUntil: old.LeaseUntil,
	}
	// Counted from the sending time, the lease expires here before the time
	// that the leader assumes.
	until := sent.Add(time.Duration(response.GetLeaseNanos()))
	// At revision 0 the control state has not been bootstrapped yet, so there is
	// nothing to act on.
	if response.GetLeaseNanos() > 0 && until.After(view.LeaseUntil) && next.Revision() > 0 {
		view.LeaseUntil = until
		f.setAllotments(response.GetAllotments())
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

// applyChanges returns the state with the snapshot and the commands of the
// response applied. It returns false if a command is missing, or if one leads to
// another revision than on the leader.
func applyChanges(s controller.State, response *wire.FollowResponse) (controller.State, bool) {
	if response.GetSnapshot() != nil && response.GetSnapshot().GetRevision() >= s.Revision() {
		s = controller.FromSnapshot(response.GetSnapshot())
	}
	for _, applied := range response.GetCommands() {
		if applied.GetRevision() <= s.Revision() {
			continue
		}
		next, _ := controller.Apply(s, applied.GetCommand())
		if next.Revision() != applied.GetRevision() {
			return s, false
		}
		s = next
	}
	return s, s.Revision() >= response.GetRevision()
}

// logLeaseChange logs when the lease becomes live and when it expires.
func (f *Follower) logLeaseChange() {
	live := f.View().Live(f.opts.Clock.Now())
	if live == f.loggedLive {
		return
	}
	f.loggedLive = live
	if live {
		f.opts.Logger.Info("follower: authority lease acquired", "revision", f.View().State.Revision())
		return
	}
	f.opts.Logger.Warn("follower: authority lease expired; work that needs a key is refused until it is renewed")
}
