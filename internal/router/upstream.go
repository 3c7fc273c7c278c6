package router

import (
	"sync/atomic"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// slowStart is the time in which a returned upstream reaches its full slots.
const slowStart = 10 * time.Second

// upstream is what the router knows of one upstream. Times are clock readings
// in Unix nanoseconds.
type upstream struct {
	wire *wire.Upstream
	// Invariant: number of choices that are not done.
	outstanding atomic.Int64
	// rampFrom is the start of the slow start; 0 without one.
	rampFrom atomic.Int64
	// ejectedUntil is the end of the ejection; 0 without one.
	ejectedUntil atomic.Int64
	// failures since the last success.
	failures atomic.Int64
	// Invariant: true once the upstream is no longer listed.
	gone atomic.Bool
	// ejections since the last success; guarded by the service's lock.
	ejections int
}

func (u *upstream) rack() string { return u.wire.GetDataCentre() + "/" + u.wire.GetRack() }

// candidate returns the slots and the load that count at the given time.
func (u *upstream) candidate(now int64) Candidate {
	slots := max(u.wire.GetSlots(), 1)
	if from := u.rampFrom.Load(); from != 0 {
		if since := now - from; since < int64(slowStart) {
			slots = max(slots*max(since, 0)/int64(slowStart), 1)
		}
	}
	return Candidate{
		Slots:       slots,
		Outstanding: u.outstanding.Load(),
	}
}

// available reports whether the upstream can take one more request.
func (u *upstream) available(c Candidate, now int64) bool {
	return now >= u.ejectedUntil.Load() && c.Outstanding < max(u.wire.GetConnections(), 1)
}
