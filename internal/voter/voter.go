// Package voter runs the replicated control state on one entry host: it
// connects the log core with files, messages and the control state machine,
// takes changes from operators and serves followers.
package voter

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/voter/replica"
	"github.com/heathermux/heathermux/internal/wire"
)

// waitingCalls bounds the calls and messages that wait for the voter, so that
// a disk that hangs costs a bounded amount of memory.
const waitingCalls = 4096

// Voter is one replica of the control state. Its methods may be called from
// any number of goroutines. Make one with Open.
type Voter struct {
	opts    Options
	replica *replica.Replica
	// calls run one after the other on the goroutine of run; those that wait
	// together share one sync.
	calls  chan func()
	stop   chan struct{}
	done   chan struct{}
	once   sync.Once
	shown  atomic.Pointer[shown]
	result error
}

// shown is what readers see without waiting for the disk.
type shown struct {
	state     controller.State
	leader    string
	leading   bool
	voters    []string
	followers []FollowerStatus
	authority Authority
}

// Open reads the files of the voter and starts it.
func Open(opts Options) (*Voter, error) {
	opts = opts.withDefaults()
	v := &Voter{
		opts:  opts,
		calls: make(chan func(), waitingCalls),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	r, err := replica.Open(opts.Clock.Now(), opts.replica())
	if err != nil {
		return nil, err
	}
	v.replica = r
	v.show()
	go v.run()
	return v, nil
}

// Step takes a message from another voter. It does not block; a message is
// dropped when too many wait.
func (v *Voter) Step(env *wire.Envelope) {
	select {
	case v.calls <- func() { v.replica.Step(v.opts.Clock.Now(), env) }:
	default:
	}
}

// Propose runs a change through the log and returns its result with the time
// from which it is in force everywhere. It fails with NotLeaderError when the
// command was not appended, with the error of ctx when ctx ends before it was,
// and with ErrOutcomeUnknown when ctx or the voter's lead ends afterwards. See
// AwaitForce.
func (v *Voter) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	p := newProposal()
	await, _ := ctx.Value(awaitKey{}).(bool)
	if err := v.call(ctx, func() { p.run(v.opts.Clock.Now(), v.replica, cmd, await) }); err != nil {
		return nil, err
	}
	select {
	case a := <-p.answer:
		return a.result, a.err
	case <-ctx.Done():
		return p.abandon(ctx.Err())
	case <-v.done:
		return p.abandon(ErrClosed)
	}
}

// Follow answers the request of an entry host, or says who leads. It does not
// wait for a change. The request's revision is one that the host acts on
// already; the host counts the lease from the sending of the request, and only
// after it has applied the changes or the snapshot of the same response. A
// snapshot holds no operation results.
func (v *Voter) Follow(ctx context.Context, req *wire.FollowRequest) (*wire.FollowResponse, error) {
	answer := make(chan *wire.FollowResponse, 1)
	if err := v.call(ctx, func() { answer <- v.replica.Follow(v.opts.Clock.Now(), req) }); err != nil {
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

// call queues f; it waits while too many calls wait.
func (v *Voter) call(ctx context.Context, f func()) error {
	select {
	case v.calls <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-v.stop:
		return ErrClosed
	}
}

// State returns the newest applied state. Its revision never falls.
func (v *Voter) State() controller.State { return v.shown.Load().state }

// Leader returns the name of the leader, empty when none is known, and
// whether this voter leads and may act as the leader. Only an authority lease
// proves that no other voter has taken over.
func (v *Voter) Leader() (name string, self bool) {
	s := v.shown.Load()
	return s.leader, s.leading
}

// Voters returns the IDs of the present voters as this voter knows them. The ID
// of a host that lost its disk is another one than before.
func (v *Voter) Voters() []string { return v.shown.Load().voters }

// Followers returns what this voter, as the leader, knows of the entry hosts,
// by name and the newest incarnation of each last; nil while it does not lead.
func (v *Voter) Followers() []FollowerStatus { return v.shown.Load().followers }

// Close stops the voter. Changes whose result is open end with ErrOutcomeUnknown.
func (v *Voter) Close() error {
	v.once.Do(func() { close(v.stop) })
	<-v.done
	return v.result
}

type awaitKey struct{}

// AwaitForce returns a context with which Propose answers an accepted change
// only once it is in force on every entry host.
func AwaitForce(ctx context.Context) context.Context {
	return context.WithValue(ctx, awaitKey{}, true)
}
