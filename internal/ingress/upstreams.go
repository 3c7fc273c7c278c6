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

// source lists the upstreams that the control state lets work go to: those of
// the directory whose data centre and pool are in service.
type source struct {
	cfg *Config
	// revision of the control state that was last seen. A view is some
	// kilobytes, too much to copy on each selection for its revision.
	revision *atomic.Uint64
}

// Upstreams returns the upstreams of a queue that may get work.
func (s source) Upstreams(queue string) []*wire.Upstream {
	state := s.cfg.View().State
	q, _ := state.Queue(queue)
	if p, ok := state.Pool(q.GetPool()); ok && p.GetState() == wire.ServiceState_SERVICE_STATE_OUT {
		return nil
	}
	var in []*wire.Upstream
	for _, u := range s.cfg.Directory.Upstreams(queue) {
		d, ok := state.DataCentre(u.GetDataCentre())
		if ok && d.GetState() == wire.ServiceState_SERVICE_STATE_OUT {
			continue
		}
		in = append(in, u)
	}
	return in
}

// Generation changes with the directory and with the control state that a
// request has seen.
func (s source) Generation() uint64 {
	// An odd factor spreads directory generations, so that a change of one
	// part does not cancel out a change of the other.
	const factor = 0x9e3779b97f4a7c15
	return s.cfg.Directory.Generation()*factor + s.revision.Load()
}

// saw notes the revision of a view for the router. The view is passed on by
// pointer and stays on the caller's stack.
func (g *Ingress) saw(view *follower.View) *follower.View {
	g.revision.Store(view.State.Revision())
	return view
}

func target(u *wire.Upstream) forwarder.Target {
	return forwarder.Target{
		Address:     u.GetAddress(),
		Connections: int(u.GetConnections()),
	}
}

// attemptHeader returns the header for one attempt: with the time left and the
// trace context of the attempt.
func (g *Ingress) attemptHeader(ctx context.Context, c *call) http.Header {
	h := maps.Clone(c.header)
	left := c.deadline.Sub(g.cfg.Clock.Now()).Truncate(time.Millisecond)
	h[deadlineHeader] = []string{max(left, time.Millisecond).String()}
	traceContext.Inject(ctx, propagation.HeaderCarrier(h))
	return h
}
