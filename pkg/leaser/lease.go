// Package leaser provides time-limited leases with fencing epochs. For leases,
// see C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism
// for distributed file cache consistency" (SOSP 1989). The granting side keeps
// a Table; the resource that a former holder might still reach keeps a Guard.
//
// Nothing here reads a clock: every call takes the time of the caller's
// monotonic clock. The granting side must add the bound on clock drift before
// it treats a lease as expired; the holder must not.
package leaser

import (
	"time"

	"github.com/pkg/errors"
)

// ErrHeld is returned by Grant while another holder has a live lease on the key.
var ErrHeld = errors.New("leaser: another holder has a live lease")

// ErrStale is returned by Renew if the epoch is not that of a live lease.
var ErrStale = errors.New("leaser: the epoch is not that of a live lease")

// Lease is the exclusive right of one holder to one key until a given time. The
// zero value is an expired lease.
type Lease struct {
	// Holder identifies the holder of the lease.
	Holder string
	// Epoch is the fencing token, which tells the requests of this holder from
	// those of former ones. Invariant: a later grant of the same key has a
	// higher epoch.
	Epoch uint64
	// Until is when the lease expires, on the clock of the granting side.
	Until time.Time
}

// Live reports whether the lease has not expired at the given time.
func (l Lease) Live(now time.Time) bool { return now.Before(l.Until) }
