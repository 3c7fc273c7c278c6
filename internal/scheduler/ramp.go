package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// ramp limits the load of a data centre after its return to service. The zero
// value limits nothing.
type ramp struct {
	state wire.ServiceState
	// since is when the data centre returned, on the scheduler's clock.
	since time.Time
}

// start takes the age of the last change from wall clocks, as this scheduler
// did not see the change itself. A wrong wall clock can only lengthen or skip
// the ramp; no invariant depends on it.
func (r *ramp) start(now time.Time, d *wire.DataCentre) {
	r.state = d.GetState()
	if d.GetChangedAtUnixNanos() == 0 {
		return
	}
	age := now.Sub(time.Unix(0, d.GetChangedAtUnixNanos()))
	r.since = now.Add(-min(max(age, 0), RampLength))
}

func (r *ramp) observe(now time.Time, state wire.ServiceState) {
	if state == wire.ServiceState_SERVICE_STATE_IN && r.state != state {
		r.since = now
	}
	r.state = state
}

// room returns what may still be started, and false when nothing limits it.
func (r *ramp) room(now time.Time, capacity, charged controller.Amount) (controller.Amount, bool) {
	if r.since.IsZero() || now.Sub(r.since) >= RampLength {
		return controller.Amount{}, false
	}
	part := float64(now.Sub(r.since)) / float64(RampLength)
	return controller.Amount{
		MilliCores:   int64(part * float64(capacity.MilliCores)),
		MemoryBytes:  int64(part * float64(capacity.MemoryBytes)),
		Accelerators: int64(part * float64(capacity.Accelerators)),
	}.Minus(charged), true
}
