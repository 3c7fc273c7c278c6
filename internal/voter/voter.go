// Package voter runs one replica of the control state on an entry host. It
// drives package replica from a clock, connects it with files and a transport,
// and makes it safe for concurrent use: for changes, follower requests and
// messages from other voters.
package voter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/voter/replica"
	"github.com/heathermux/heathermux/internal/wire"
)

// maxQueuedCalls bounds the calls and messages that are queued for the run
// goroutine, so that a blocked disk costs a bounded amount of memory.
const maxQueuedCalls = 4096

// Voter is one replica of the control state, created by Open. It is safe for
// concurrent use.
type Voter struct {
	opts    Options
	replica *replica.Replica
	// calls are executed one at a time by the run goroutine; those that are
	// queued at the same time share one sync.
	calls     chan func()
	stop      chan struct{}
	done      chan struct{}
	once      sync.Once
	published atomic.Pointer[publishedState]
	closeErr  error
}

// publishedState is what readers get without waiting for the disk.
type publishedState struct {
	state     controller.State
	leader    string
	leading   bool
	voters    []string
	followers []FollowerStatus
	authority Authority
	caughtUp  CaughtUp
}

// Open opens the voter's files and starts its goroutine. Close stops it.
func Open(opts Options) (*Voter, error) {
	opts = opts.withDefaults()
	v := &Voter{
		opts:  opts,
		calls: make(chan func(), maxQueuedCalls),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	r, err := replica.Open(opts.Clock.Now(), opts.replicaOptions())
	if err != nil {
		return nil, err
	}
	v.replica = r
	v.publish()
	go v.run()
	return v, nil
}

// Step handles a message from another voter. It does not block: the message is
// dropped when the queue is full.
func (v *Voter) Step(env *wire.Envelope) {
	select {
	case v.calls <- func() { v.replica.Step(v.opts.Clock.Now(), env) }:
	default:
	}
}

// Propose runs a change through the log and returns its result, which includes
// the time from which the change is in force on every entry host. It returns a
// NotLeaderError if this voter does not lead, the error of ctx if ctx ends before
// the command is appended to the log, and ErrOutcomeUnknown if ctx ends or the
// voter loses its leadership after that. See AwaitInForce.
func (v *Voter) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	awaitInForce, _ := ctx.Value(awaitInForceKey{}).(bool)
	return await(ctx, v, func(done func(*wire.Result, error)) bool {
		return v.replica.Propose(v.opts.Clock.Now(), cmd, awaitInForce, done)
	})
}

// Follow answers the request of an entry host without waiting for changes; if this
// voter does not lead, the response says who does. The host must already act on
// the revision in its request. It counts the lease from the time when it sent the
// request, and only after it has applied the changes or the snapshot of the same
// response. A snapshot contains no operation results.
func (v *Voter) Follow(ctx context.Context, req *wire.FollowRequest) (*wire.FollowResponse, error) {
	answer := make(chan *wire.FollowResponse, 1)
	if err := v.enqueue(ctx, func() { answer <- v.replica.Follow(v.opts.Clock.Now(), req) }); err != nil {
		return nil, err
	}
	select {
	case resp := <-answer:
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-v.done:
		return nil, ErrClosed
	}
}

// enqueue queues f for the run goroutine; it blocks while the queue is full.
func (v *Voter) enqueue(ctx context.Context, f func()) error {
	select {
	case v.calls <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-v.stop:
		return ErrClosed
	}
}

// State returns the newest applied state. Its revision never decreases.
func (v *Voter) State() controller.State { return v.published.Load().state }

// Leader returns the host name of the leader, empty when none is known, and
// whether this voter leads and may act as the leader. It is no proof that no other
// voter has taken over since; only an authority lease is.
func (v *Voter) Leader() (name string, self bool) {
	s := v.published.Load()
	return s.leader, s.leading
}

// CaughtUp tells how far a voter follows a leader.
type CaughtUp struct {
	// At is when it last heard from a leader while it had applied all that the leader had
	// committed; zero while it has not.
	At time.Time
	// Since is since when it has heard so from a leader without a gap.
	Since time.Time
}

// CaughtUp returns how far this voter follows a leader. A leader that a majority has left may
// go on for an election timeout.
func (v *Voter) CaughtUp() CaughtUp { return v.published.Load().caughtUp }

// Voters returns the IDs of the current voters as far as this voter knows. A host
// that lost its disk gets a new ID.
func (v *Voter) Voters() []string { return v.published.Load().voters }

// Followers returns the status of all entry hosts that this voter knows as the
// leader, sorted by name, the newest incarnation of each host last. It returns nil
// while this voter does not lead.
func (v *Voter) Followers() []FollowerStatus { return v.published.Load().followers }

// Close stops the voter and closes its files. Pending changes end with
// ErrOutcomeUnknown.
func (v *Voter) Close() error {
	v.once.Do(func() { close(v.stop) })
	<-v.done
	return v.closeErr
}

type awaitInForceKey struct{}

// AwaitInForce returns a context with which Propose returns the result of an
// accepted change only once the change is in force on every entry host.
func AwaitInForce(ctx context.Context) context.Context {
	return context.WithValue(ctx, awaitInForceKey{}, true)
}
