package replica

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// FollowerStatus is what the leader knows of one entry host.
type FollowerStatus struct {
	Member *wire.Member
	// LastContact is when its last request arrived, on the leader's clock.
	LastContact time.Time
	// Confirmed is the revision that it had applied at that time.
	Confirmed uint64
	// LeaseEnd is the latest end of its authority lease, with clock drift; the
	// zero time when it was granted none.
	LeaseEnd time.Time
	// Report is its newest scheduler report; nil when it sent none.
	Report *wire.SchedulerReport
}
