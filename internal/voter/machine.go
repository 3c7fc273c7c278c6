package voter

import (
	"context"
	"time"

	"github.com/heathermux/heathermux/internal/voter/replica"
)

// Machine is a second state machine that shares the log with the control state.
type Machine = replica.StateMachine

// Authority is the proof of a voter that it leads.
type Authority struct {
	// Term is the term that the voter leads; each has one leader at most.
	Term uint64
	// Contact is when a majority last confirmed the lead. No later term has a
	// leader before that time.
	Contact time.Time
	// Confirmed is false while the voter may not act as the leader.
	Confirmed bool
}

// Authority returns the newest proof of this voter. It does not wait for the
// disk; the caller compares Contact with the time.
func (v *Voter) Authority() Authority { return v.shown.Load().authority }

// Submit runs an entry of the machine through the log and returns its result.
// Its errors are those of Propose.
func (v *Voter) Submit(ctx context.Context, data []byte) (any, error) {
	type answer struct {
		result any
		err    error
	}
	answered := make(chan answer, 1)
	err := v.call(ctx, func() {
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
