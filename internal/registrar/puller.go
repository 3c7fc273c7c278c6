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
	failing := false
	for {
		err := r.pullOnce(ctx, source, member)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = !failing
			r.logPulls(member, err)
		}
		t := r.clock.NewTimer(PullInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C():
		}
	}
}

// logPulls logs that pulls from a member have begun to fail, or succeed again.
func (r *Registrar) logPulls(member *wire.Member, err error) {
	if err == nil {
		r.logger.Info("registrar: pulls from an entry host succeed again", "from", member.GetName())
		return
	}
	r.logger.Warn("registrar: pulls from an entry host fail; its upstreams get no new work until they succeed", "from", member.GetName(), "usable-for", OriginTimeout, "error", err)
}

// pullOnce pulls once. After a failed pull the next one asks again from the same
// sequence, and the origin's records are no longer used after OriginTimeout.
func (r *Registrar) pullOnce(ctx context.Context, source Source, member *wire.Member) error {
	ctx, cancel := context.WithTimeout(ctx, OriginTimeout/2)
	defer cancel()
	sent := r.clock.Now()
	response, err := source.Pull(ctx, member, r.PullRequest(member.GetName()))
	if err != nil {
		return err
	}
	r.ApplyPullResponse(sent, response)
	return nil
}
