package daemon

import (
	"context"
	"time"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/internal/operator"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// proposeTimeout bounds one attempt. It exceeds an election, which takes up
	// to about 1 s.
	proposeTimeout = 2 * time.Second

	// proposeRetryDelay is the delay before the next attempt.
	proposeRetryDelay = 50 * time.Millisecond
)

// controlClient sends changes from any entry host to the leader.
type controlClient struct {
	self     *wire.Member
	voters   []*wire.Member
	voter    *voter.Voter
	calls    *peerClient
	follower *follower.Follower
}

// View returns this host's copy of the control state and its lease.
func (c *controlClient) View() follower.View { return c.follower.View() }

// Propose sends a change to the leader and returns its result. Failed attempts,
// including those whose answer was lost, are repeated until ctx ends; the
// operation ID prevents the change from being applied twice. The error is
// operator.ErrNoLeader if the change was not appended to the log, and
// voter.ErrOutcomeUnknown if it may have been.
func (c *controlClient) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	target := c.follower.NextVoter()
	sent := false
	for ctx.Err() == nil {
		answer, err := c.proposeTo(ctx, target, cmd)
		if err == nil && answer.GetResult() != nil {
			return answer.GetResult(), nil
		}
		sent = sent || answer.GetOutcomeUnknown() || (err != nil && !messenger.NotSent(err))
		target = c.nextTarget(target, answer.GetLeader())
		sleep(ctx, proposeRetryDelay)
	}
	if sent {
		return nil, voter.ErrOutcomeUnknown
	}
	return nil, operator.ErrNoLeader
}

func (c *controlClient) proposeTo(ctx context.Context, target *wire.Member, cmd *wire.Command) (*wire.ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if c.voter != nil && target.GetName() == c.self.GetName() {
		return proposeLocally(ctx, c.voter, cmd), nil
	}
	return c.calls.Propose(ctx, target, &wire.ProposeRequest{
		Command: cmd,
	})
}

// nextTarget returns the named leader. If it isn't known, or was the current
// target, nextTarget returns the voter after the current target.
func (c *controlClient) nextTarget(current *wire.Member, leader string) *wire.Member {
	nextIndex := 0
	for i, v := range c.voters {
		if v.GetName() == leader && leader != current.GetName() {
			return v
		}
		if v.GetName() == current.GetName() {
			nextIndex = (i + 1) % len(c.voters)
		}
	}
	return c.voters[nextIndex]
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
