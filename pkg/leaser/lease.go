// Package leaser keeps time-limited leases with fencing epochs, as in
// C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for
// distributed file cache consistency" (SOSP 1989). A Table belongs to the side
// that grants, a Guard to the resource that a former holder might still reach.
//
// No part reads a clock: every call takes the time of the caller's monotonic
// clock. The granting side must add the drift bound before it treats a lease
// as ended; the holder must not.
package leaser

import (
	"time"

	"github.com/pkg/errors"
)

// ErrHeld is returned by Grant while another holder's lease runs.
var ErrHeld = errors.New("leaser: another holder has a live lease")

// ErrStale is returned when an epoch is not that of the live lease.
var ErrStale = errors.New("leaser: the epoch is not that of a live lease")

// Lease is the right of one holder to one key until a time. The zero value is
// a lease that has ended.
type Lease struct {
	// Holder is the name of the party that holds the lease.
	Holder string
	// Epoch fences former holders. Invariant: a later grant of the same key
	// has a higher epoch.
	Epoch uint64
	// Until is the end of the lease on the clock of the granting side.
	Until time.Time
}

// Live reports whether the lease still runs.
func (l Lease) Live(now time.Time) bool { return now.Before(l.Until) }
