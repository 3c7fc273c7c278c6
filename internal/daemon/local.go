package daemon

import (
	"context"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
)

// localSource calls the voter of this host directly and others over the network.
type localSource struct {
	self   *wire.Member
	voter  *voter.Voter
	remote follower.Source
}

// Follow asks a voter for changes of the control state and a lease.
func (s *localSource) Follow(ctx context.Context, m *wire.Member, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	if s.voter != nil && m.GetName() == s.self.GetName() {
		return s.voter.Follow(ctx, r)
	}
	return s.remote.Follow(ctx, m, r)
}

var _ follower.Source = (*localSource)(nil)
