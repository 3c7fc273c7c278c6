package registrar

import (
	"context"

	"github.com/heathermux/heathermux/internal/wire"
)

// Source asks another entry host for its changes.
type Source interface {
	// Pull returns the answer of the member, or an error when there is none in time.
	Pull(ctx context.Context, member *wire.Member, request *wire.PullRequest) (*wire.PullResponse, error)
}

// Run pulls from one member until ctx ends.
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

func (r *Registrar) pullOnce(ctx context.Context, source Source, member *wire.Member) {
	ctx, cancel := context.WithTimeout(ctx, SilenceLimit/2)
	defer cancel()
	sent := r.clock.Now()
	answer, err := source.Pull(ctx, member, r.PullRequest(member.GetName()))
	if err == nil {
		r.Pulled(sent, answer)
	}
}
