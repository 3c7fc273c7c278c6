// Package registrar is the directory of announced upstreams on one entry host.
//
// An upstream announces itself to any entry host and renews there. That host
// is the origin of the record. The other entry hosts pull changes from each
// origin and use its records only while they hear from it, so that an upstream
// that left during a silent partition gets no new work after SilenceLimit.
// Renewals stay at the origin; only changes travel, so the traffic between
// entry hosts grows with arrivals and departures and not with the fleet.
package registrar

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// TTL is how long an announcement is valid without a renewal. With one
	// pull interval it stays under the two seconds after which an expired
	// upstream must get nothing new.
	TTL = 1500 * time.Millisecond

	// SilenceLimit is how long the records of an origin are used after the
	// sending of the last pull that it answered.
	SilenceLimit = 1500 * time.Millisecond

	// PullInterval is the time between two pulls from one origin.
	PullInterval = 250 * time.Millisecond

	// departureTTL is how long a departure is remembered. It outlasts every
	// announcement that was made before it.
	departureTTL = time.Minute

	// maxChanges bounds the changes that are kept for pulls; an origin whose
	// puller is further behind sends all its records.
	maxChanges = 4096
)

// ErrLeft is returned for an announcement by an upstream that has left under
// the same incarnation.
var ErrLeft = errors.New("registrar: the upstream has left")

// Options sets up a Registrar.
type Options struct {
	// Self is this entry host.
	Self *wire.Member
	// Clock decides expiry.
	Clock timer.Clock
}

// Registrar holds the directory. It may be used from any number of
// goroutines; make one with New.
type Registrar struct {
	self  *wire.Member
	clock timer.Clock

	mu sync.Mutex
	// Invariant: holds the records of this origin by upstream ID.
	own map[string]*ownRecord
	// Invariant: the last changes of this origin, ordered by sequence.
	changes []*wire.UpstreamRecord
	// Invariant: rises with each change of an own record.
	sequence uint64
	origins  map[string]*origin
	// Invariant: the time at which each upstream incarnation was heard to leave.
	departed map[string]time.Time

	generation atomic.Uint64
	table      atomic.Pointer[table]
}

type ownRecord struct {
	upstream *wire.Upstream
	expires  time.Time
}

// New returns an empty directory.
func New(opts Options) *Registrar {
	r := &Registrar{
		self:     opts.Self,
		clock:    opts.Clock,
		own:      make(map[string]*ownRecord),
		origins:  make(map[string]*origin),
		departed: make(map[string]time.Time),
	}
	r.table.Store(&table{})
	return r
}

func departureName(u *wire.Upstream) string {
	return u.GetId() + "\x00" + u.GetIncarnation()
}

// Announce adds or renews an upstream for TTL.
func (r *Registrar) Announce(u *wire.Upstream) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, left := r.departed[departureName(u)]; left {
		return errors.Wrapf(ErrLeft, "upstream %q", u.GetId())
	}
	expires := r.clock.Now().Add(TTL)
	old, ok := r.own[u.GetId()]
	if ok && proto.Equal(old.upstream, u) {
		old.expires = expires
		return nil
	}
	r.own[u.GetId()] = &ownRecord{
		upstream: proto.CloneOf(u),
		expires:  expires,
	}
	r.record(u, false)
	r.rebuild()
	return nil
}

// Leave ends an upstream's announcement. The departure reaches the other entry
// hosts with their next pull and hides the upstream whoever its origin is.
func (r *Registrar) Leave(u *wire.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := proto.CloneOf(u)
	left.Leaving = true
	delete(r.own, u.GetId())
	r.departed[departureName(u)] = r.clock.Now()
	r.record(left, true)
	r.rebuild()
}

// record appends a change of an own record; r.mu is held.
func (r *Registrar) record(u *wire.Upstream, removed bool) {
	r.sequence++
	r.changes = append(r.changes, &wire.UpstreamRecord{
		Sequence: r.sequence,
		Upstream: proto.CloneOf(u),
		Removed:  removed,
	})
	if len(r.changes) > maxChanges {
		r.changes = append([]*wire.UpstreamRecord(nil), r.changes[len(r.changes)-maxChanges/2:]...)
	}
}

// Tick drops what has expired. Call it at least every PullInterval.
func (r *Registrar) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	changed := false
	for id, rec := range r.own {
		if !now.Before(rec.expires) {
			delete(r.own, id)
			r.record(rec.upstream, true)
			changed = true
		}
	}
	for name, at := range r.departed {
		if now.Sub(at) > departureTTL {
			delete(r.departed, name)
		}
	}
	for _, o := range r.origins {
		if live := now.Sub(o.heardAt) < SilenceLimit; live != o.live {
			o.live = live
			changed = true
		}
	}
	if changed {
		r.rebuild()
	}
}
