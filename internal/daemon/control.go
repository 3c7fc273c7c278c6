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
	// proposeTimeout bounds one attempt; an election takes up to about 1 s.
	proposeTimeout = 2 * time.Second

	// proposePause is the wait before the next attempt.
	proposePause = 50 * time.Millisecond
)

// control brings changes from any entry host to the leader.
type control struct {
	self     *wire.Member
	voters   []*wire.Member
	voter    *voter.Voter
	calls    *calls
	follower *follower.Follower
}

// View returns what this host knows of the control state.
func (c *control) View() follower.View { return c.follower.View() }

// Propose runs a change through the leader. A change whose answer was lost is
// sent again until ctx ends; its operation ID keeps it from happening twice.
// operator.ErrNoLeader means that it was not appended, voter.ErrOutcomeUnknown that it
// may have been.
func (c *control) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	target := c.follower.Leader()
	sent := false
	for ctx.Err() == nil {
		answer, err := c.proposeTo(ctx, target, cmd)
		if err == nil && answer.GetResult() != nil {
			return answer.GetResult(), nil
		}
		sent = sent || answer.GetOutcomeUnknown() || (err != nil && !messenger.NotSent(err))
		target = c.next(target, answer.GetLeader())
		pause(ctx, proposePause)
	}
	if sent {
		return nil, voter.ErrOutcomeUnknown
	}
	return nil, operator.ErrNoLeader
}

func (c *control) proposeTo(ctx context.Context, target *wire.Member, cmd *wire.Command) (*wire.ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if c.voter != nil && target.GetName() == c.self.GetName() {
		return proposeHere(ctx, c.voter, cmd), nil
	}
	return c.calls.Propose(ctx, target, &wire.ProposeRequest{
		Command: cmd,
	})
}

// next returns the named leader, or the voter after the present one.
func (c *control) next(present *wire.Member, leader string) *wire.Member {
	following := 0
	for i, v := range c.voters {
		if v.GetName() == leader && leader != present.GetName() {
			return v
		}
		if v.GetName() == present.GetName() {
			following = (i + 1) % len(c.voters)
		}
	}
	return c.voters[following]
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
