// Package registrar implements the directory of announced upstreams on one entry
// host.
//
// An upstream announces itself to any entry host and renews its announcement
// there. That host is the origin of the record. The other entry hosts pull
// changes from each origin and use its records only while it answers, so that an
// upstream that left during a network partition gets no new work after
// OriginTimeout. Renewals stay at the origin and only changes are transferred, so
// the traffic between entry hosts grows with arrivals and departures and not with
// the number of upstreams.
package registrar

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// TTL is how long an announcement is valid without a renewal. Together with
	// one PullInterval it is below the two seconds after which an expired
	// upstream must get no new work.
	TTL = 1500 * time.Millisecond

	// OriginTimeout is how long the records of an origin are used after the last
	// pull that it answered, counted from when that pull was sent.
	OriginTimeout = 1500 * time.Millisecond

	// PullInterval is the pause between two pulls from the same origin.
	PullInterval = 250 * time.Millisecond

	// departureTTL is how long a departure is kept. It is longer than any
	// announcement made before the departure can remain valid.
	departureTTL = time.Minute

	// maxChanges limits the changes that are kept for pulls. A puller that is
	// further behind gets all records of the origin instead.
	maxChanges = 4096
)

// ErrLeft is returned for an announcement by an upstream that has already left
// with the same incarnation.
var ErrLeft = errors.New("registrar: the upstream has left")

// Options configures a Registrar.
type Options struct {
	// Self is this entry host.
	Self *wire.Member
	// Clock is the time source for expiry.
	Clock timer.Clock
	// Logger receives when pulls begin to fail and when they succeed again; nil
	// discards both.
	Logger *slog.Logger
}

// Registrar is the directory of one entry host. It is safe for concurrent use.
// Create one with New.
type Registrar struct {
	self   *wire.Member
	clock  timer.Clock
	logger *slog.Logger

	mu sync.Mutex
	// Invariant: holds the records of this origin by upstream ID.
	own map[string]*ownRecord
	// Invariant: the last changes of this origin, ordered by sequence.
	changes []*wire.UpstreamRecord
	// Invariant: increases with each change of an own record.
	sequence uint64
	origins  map[string]*origin
	// Invariant: the time at which this host learned that an upstream left, by
	// departureKey.
	departures map[string]time.Time

	generation atomic.Uint64
	table      atomic.Pointer[table]
}

// ownRecord is the announcement of an upstream at this entry host.
type ownRecord struct {
	upstream *wire.Upstream
	expires  time.Time
}

// New returns an empty directory.
func New(opts Options) *Registrar {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	r := &Registrar{
		self:       opts.Self,
		clock:      opts.Clock,
		logger:     opts.Logger,
		own:        make(map[string]*ownRecord),
		origins:    make(map[string]*origin),
		departures: make(map[string]time.Time),
	}
	r.table.Store(&table{})
	return r
}

// departureKey identifies one incarnation of an upstream.
func departureKey(u *wire.Upstream) string {
	return u.GetId() + "\x00" + u.GetIncarnation()
}

// Announce adds or renews an upstream for TTL.
func (r *Registrar) Announce(u *wire.Upstream) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, left := r.departures[departureKey(u)]; left {
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
	r.appendChange(u, false)
	r.rebuildTable()
	return nil
}

// Leave ends an upstream's announcement. The other entry hosts learn of the
// departure with their next pull and stop listing the upstream, whichever entry
// host is its origin.
func (r *Registrar) Leave(u *wire.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := proto.CloneOf(u)
	left.Leaving = true
	delete(r.own, u.GetId())
	r.departures[departureKey(u)] = r.clock.Now()
	r.appendChange(left, true)
	r.rebuildTable()
}

// appendChange appends a change of an own record. r.mu must be held.
func (r *Registrar) appendChange(u *wire.Upstream, removed bool) {
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

// Tick removes expired announcements and departures and stops using the records
// of silent origins. It must be called at least every PullInterval.
func (r *Registrar) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	changed := false
	for id, rec := range r.own {
		if !now.Before(rec.expires) {
			delete(r.own, id)
			r.appendChange(rec.upstream, true)
			changed = true
		}
	}
	for key, at := range r.departures {
		if now.Sub(at) > departureTTL {
			delete(r.departures, key)
		}
	}
	for _, o := range r.origins {
		if live := now.Sub(o.lastPullSentAt) < OriginTimeout; live != o.live {
			o.live = live
			changed = true
		}
	}
	if changed {
		r.rebuildTable()
	}
}
