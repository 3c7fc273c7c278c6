package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// ramp raises the load of a data centre gradually after its return to service. The
// zero value sets no limit.
type ramp struct {
	state wire.ServiceState
	// returnedAt is when the data centre returned, on the scheduler's clock.
	returnedAt time.Time
}

// start initializes the ramp from the wall-clock time of the last change of state,
// because this scheduler did not see the change itself. A wrong wall clock can only
// lengthen or skip the ramp; no invariant depends on it.
func (r *ramp) start(now time.Time, d *wire.DataCentre) {
	r.state = d.GetState()
	if d.GetChangedAtUnixNanos() == 0 {
		return
	}
	age := now.Sub(time.Unix(0, d.GetChangedAtUnixNanos()))
	r.returnedAt = now.Add(-min(max(age, 0), RampLength))
}

func (r *ramp) observe(now time.Time, state wire.ServiceState) {
	if state == wire.ServiceState_SERVICE_STATE_IN && r.state != state {
		r.returnedAt = now
	}
	r.state = state
}

// headroom returns how much may still be started, or false when the ramp sets no
// limit. The limit grows linearly from nothing to the capacity over RampLength.
func (r *ramp) headroom(now time.Time, capacity, charged controller.Amount) (controller.Amount, bool) {
	if r.returnedAt.IsZero() || now.Sub(r.returnedAt) >= RampLength {
		return controller.Amount{}, false
	}
	fraction := float64(now.Sub(r.returnedAt)) / float64(RampLength)
	return controller.Amount{
		MilliCores:   int64(fraction * float64(capacity.MilliCores)),
		MemoryBytes:  int64(fraction * float64(capacity.MemoryBytes)),
		Accelerators: int64(fraction * float64(capacity.Accelerators)),
	}.Minus(charged), true
}
