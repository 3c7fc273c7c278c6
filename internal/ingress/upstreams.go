package ingress

import (
	"context"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/forwarder"
	"github.com/heathermux/heathermux/internal/wire"
)

// upstreamSource is the router's source of upstreams: those of the directory whose
// data centre and pool are in service.
type upstreamSource struct {
	cfg *Config
	// controlRevision is the revision of the control state that a request last
	// used. It is kept here because a view is some kilobytes, too much to copy for
	// its revision on each selection.
	controlRevision *atomic.Uint64
}

// Upstreams returns the upstreams of a queue that are in service.
func (s upstreamSource) Upstreams(queue string) []*wire.Upstream {
	state := s.cfg.View().State
	q, _ := state.Queue(queue)
	if p, ok := state.Pool(q.GetPool()); ok && p.GetState() == wire.ServiceState_SERVICE_STATE_OUT {
		return nil
	}
	var eligible []*wire.Upstream
	for _, u := range s.cfg.Directory.Upstreams(queue) {
		d, ok := state.DataCentre(u.GetDataCentre())
		if ok && d.GetState() == wire.ServiceState_SERVICE_STATE_OUT {
			continue
		}
		eligible = append(eligible, u)
	}
	return eligible
}

// Generation returns a number that changes with the directory and with the
// control state that requests use.
func (s upstreamSource) Generation() uint64 {
	// The odd factor keeps changes of the two numbers from cancelling each
	// other out.
	const factor = 0x9e3779b97f4a7c15
	return s.cfg.Directory.Generation()*factor + s.controlRevision.Load()
}

// recordRevision stores the revision of the view for the router and returns the
// view. It takes a pointer to avoid a copy; the view stays on the caller's stack.
func (g *Ingress) recordRevision(view *follower.View) *follower.View {
	g.controlRevision.Store(view.State.Revision())
	return view
}

// target returns the forwarder's address of an upstream.
func target(u *wire.Upstream) forwarder.Target {
	return forwarder.Target{
		Address:        u.GetAddress(),
		MaxConnections: int(u.GetConnections()),
	}
}

// attemptHeader returns the header of one attempt: that of the call with the time
// left until the deadline and the trace context of the attempt.
func (g *Ingress) attemptHeader(ctx context.Context, c *call) http.Header {
	h := maps.Clone(c.header)
	remaining := c.deadline.Sub(g.cfg.Clock.Now()).Truncate(time.Millisecond)
	h[deadlineHeader] = []string{max(remaining, time.Millisecond).String()}
	traceContext.Inject(ctx, propagation.HeaderCarrier(h))
	return h
}
