package replica

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// FollowerStatus is the leader's view of one entry host.
type FollowerStatus struct {
	Member *wire.Member
	// LastContact is the arrival time of its last request on the leader's clock.
	LastContact time.Time
	// Confirmed is the highest revision that it has reported as applied.
	Confirmed uint64
	// LeaseEnd is the latest time at which its authority lease can end,
	// allowing for clock drift; the zero time if it was granted none.
	LeaseEnd time.Time
	// Report is its latest scheduler report; nil if it has sent none.
	Report *wire.SchedulerReport
}
