package router

import (
	"sync/atomic"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// slowStartTime is the time over which the usable slots of a new or returning
// upstream rise to the full number.
const slowStartTime = 10 * time.Second

// upstream is the state of one upstream. Times are in Unix nanoseconds of the
// router's clock.
type upstream struct {
	wire *wire.Upstream
	// outstanding is the number of requests in flight. Invariant: equals the number
	// of choices without Done or Release.
	outstanding atomic.Int64
	// slowStartAt is when the slow start begins; 0 without one.
	slowStartAt atomic.Int64
	// ejectedUntil is when the ejection ends; 0 without one.
	ejectedUntil atomic.Int64
	// failures counts failed requests since the last success or ejection.
	failures atomic.Int64
	// removed is true once the source no longer lists the upstream.
	removed atomic.Bool
	// ejections counts the ejections since the last success outside of one; it is
	// changed under queueState.mu.
	ejections atomic.Int64
}

// rack returns the name of the rack, made unique by the data centre.
func (u *upstream) rack() string { return u.wire.GetDataCentre() + "/" + u.wire.GetRack() }

// candidate returns the usable slots and the load at the given time.
func (u *upstream) candidate(now int64) Candidate {
	slots := max(u.wire.GetSlots(), 1)
	if from := u.slowStartAt.Load(); from != 0 {
		if since := now - from; since < int64(slowStartTime) {
			slots = max(slots*max(since, 0)/int64(slowStartTime), 1)
		}
	}
	return Candidate{
		Slots:       slots,
		Outstanding: u.outstanding.Load(),
	}
}

// available reports whether the upstream can take one more request: it is not
// ejected and has a free connection.
func (u *upstream) available(c Candidate, now int64) bool {
	return now >= u.ejectedUntil.Load() && c.Outstanding < max(u.wire.GetConnections(), 1)
}
