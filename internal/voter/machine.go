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
// result. Its errors are those of Propose, with one difference: once the entry is
// queued, it returns ErrOutcomeUnknown if ctx ends or the voter is closed, even if
// the entry was not appended yet.
func (v *Voter) Submit(ctx context.Context, data []byte) (any, error) {
	type answer struct {
		result any
		err    error
	}
	answered := make(chan answer, 1)
	err := v.enqueue(ctx, func() {
		v.replica.Submit(v.opts.Clock.Now(), data, func(result any, err error) {
			answered <- answer{
				result: result,
				err:    err,
			}
		})
	})
	if err != nil {
		return nil, err
	}
	select {
	case a := <-answered:
		return a.result, a.err
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	case <-v.done:
		return nil, ErrOutcomeUnknown
	}
}
