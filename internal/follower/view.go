// Package follower replicates the control state from the leader to an entry host,
// and keeps the authority lease that permits the host to act on it.
package follower

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
)

// View is an immutable copy of the control state on an entry host, with the
// authority lease.
type View struct {
	// State is the latest state that this host has applied.
	State controller.State
	// LeaseUntil is when the authority lease expires, on this host's monotonic
	// clock. Invariant: at most LeaseLength after a time at which the leader
	// was in contact with a majority.
	LeaseUntil time.Time
}

// Live reports whether the authority lease is valid at the given time, so that
// the host may act on the state.
func (v View) Live(now time.Time) bool {
	return now.Before(v.LeaseUntil)
}
