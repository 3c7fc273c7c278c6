package registrar

import (
	"context"

	"github.com/heathermux/heathermux/internal/wire"
)

// Source sends pull requests to other entry hosts.
type Source interface {
	// Pull returns the member's response, or an error if there is none before ctx ends.
	Pull(ctx context.Context, member *wire.Member, request *wire.PullRequest) (*wire.PullResponse, error)
}

// Run pulls changes from one member every PullInterval until ctx ends.
func (r *Registrar) Run(ctx context.Context, source Source, member *wire.Member) {
	for {
		r.pullOnce(ctx, source, member)
		t := r.clock.NewTimer(PullInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C():
		}
	}
}

// pullOnce pulls once. A failed pull is not reported: the next one asks again from
// the same sequence, and the origin's records are no longer used after OriginTimeout.
func (r *Registrar) pullOnce(ctx context.Context, source Source, member *wire.Member) {
	ctx, cancel := context.WithTimeout(ctx, OriginTimeout/2)
	defer cancel()
	sent := r.clock.Now()
	response, err := source.Pull(ctx, member, r.PullRequest(member.GetName()))
	if err == nil {
		r.ApplyPullResponse(sent, response)
	}
}
