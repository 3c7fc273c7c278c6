// Package follower keeps a copy of the control state on every entry host and
// the authority lease under which the host may act on it.
package follower

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
)

// View is what an entry host knows of the control state at one moment. It is
// immutable.
type View struct {
	// State is the newest state that this host has applied.
	State controller.State
	// LeaseUntil is the end of the authority lease on this host's monotonic
	// clock. Invariant: at most LeaseLength after a moment at which the leader
	// had a majority.
	LeaseUntil time.Time
}

// Live reports whether the host may act on the state at the given time.
func (v View) Live(now time.Time) bool {
	return now.Before(v.LeaseUntil)
}
