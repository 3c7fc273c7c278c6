// Package voter runs the replicated control state on one entry host: it
// connects the log core with files, messages and the control state machine,
// takes changes from operators and serves followers.
package voter

import (
	"context"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// Voter is one replica of the control state. Its methods may be called from
// any number of goroutines. Make one with Open.
type Voter struct{}

// Open reads the files of the voter and starts it.
func Open(_ Options) (*Voter, error) { return &Voter{}, nil }

// Step takes a message from another voter. It does not block; a message is
// dropped when too many wait.
func (v *Voter) Step(_ *wire.Envelope) {}

// Propose runs a change through the log and returns its result.
func (v *Voter) Propose(_ context.Context, _ *wire.Command) (*wire.Result, error) {
	return nil, ErrClosed
}

// Follow answers the request of an entry host.
func (v *Voter) Follow(_ context.Context, _ *wire.FollowRequest) (*wire.FollowResponse, error) {
	return nil, ErrClosed
}

// State returns the newest applied state.
func (v *Voter) State() controller.State { return controller.State{} }

// Leader returns the name of the leader, empty when none is known, and
// whether this voter leads and may act as the leader.
func (v *Voter) Leader() (name string, self bool) { return "", false }

// Followers returns what this voter, as the leader, knows of the entry hosts.
func (v *Voter) Followers() []FollowerStatus { return nil }

// Close stops the voter.
func (v *Voter) Close() error { return nil }

type awaitKey struct{}

// AwaitForce returns a context with which Propose answers only once an
// accepted change is in force on every entry host.
func AwaitForce(ctx context.Context) context.Context {
	return context.WithValue(ctx, awaitKey{}, true)
}
