package voter

import (
	"context"
	"time"

	"github.com/heathermux/heathermux/internal/voter/replica"
)

// StateMachine is a second state machine that shares the log with the control
// state.
type StateMachine = replica.StateMachine

// Authority is a voter's evidence that it is the leader.
type Authority struct {
	// Term is the term in which the voter leads; a term has at most one leader.
	Term uint64
	// Contact is the latest time for which a majority confirmed the leadership.
	// No leader of a later term was elected before that time.
	Contact time.Time
	// Confirmed is false while the voter may not act as the leader.
	Confirmed bool
}

// Authority returns the latest evidence that this voter is the leader. It does not
// wait for the disk, so the evidence may be old: the caller must compare Contact
// with the current time.
func (v *Voter) Authority() Authority { return v.published.Load().authority }

// Submit runs an entry for the StateMachine through the log and returns its
// result. Its errors are those of Propose.
func (v *Voter) Submit(ctx context.Context, data []byte) (any, error) {
	return await(ctx, v, func(done func(any, error)) bool {
		return v.replica.Submit(v.opts.Clock.Now(), data, done)
	})
}
