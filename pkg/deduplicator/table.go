package deduplicator

import (
	"sync/atomic"
	"time"
)

const (
	// DefaultRetention is how long outcomes are kept. Clients retry within it.
	DefaultRetention = 10 * time.Minute
	// DefaultGrantBound is how long an intent counts as in progress. It exceeds the
	// default request deadline of 5 s and leaves room for long requests; a report
	// that arrives later is still stored.
	DefaultGrantBound = 30 * time.Second
	// DefaultMemoryCap limits the approximate bytes of all entries.
	DefaultMemoryCap = 256 << 20

	// sweepsPerRetention is the number of sweeps of a slot in use per retention time.
	sweepsPerRetention = 16
	// fullRetryInterval is the time between two attempts to free memory while none
	// can be freed. Without it each Begin would scan the whole table.
	fullRetryInterval = time.Second
)

// Options configure a Table. Zero values of the limits select the defaults.
type Options struct {
	// Self is the process that holds the table.
	Self Host
	// Retention is how long an entry is kept after its last change.
	Retention time.Duration
	// GrantBound is the time after which an unfinished intent becomes unknown.
	GrantBound time.Duration
	// MemoryCap limits the approximate bytes of all entries. Above it the oldest
	// answers are dropped; when there are none left, new keys are refused.
	MemoryCap int64
}

// Table holds the slots of one host. It is safe for concurrent use; each slot has
// its own lock. The zero value is not usable; create one with New. The methods that
// take the time require that it does not go back by more than the accuracy that the
// caller needs for the time limits.
type Table struct {
	self   Host
	limits limits
	cap    int64
	slots  [SlotCount]slot
	// usedBytes is the sum of the sizes of all entries.
	usedBytes atomic.Int64
	// evictionCursor counts the slots that freeMemory has visited; modulo
	// SlotCount it is the slot visited last.
	evictionCursor atomic.Uint64
	// fullUntil is the Unix time in nanoseconds before which freeing memory is not
	// tried again.
	fullUntil atomic.Int64
}

// New returns an empty table. It refuses everything until SetView is called.
func New(opts Options) *Table {
	if opts.Retention <= 0 {
		opts.Retention = DefaultRetention
	}
	if opts.GrantBound <= 0 {
		opts.GrantBound = DefaultGrantBound
	}
	if opts.MemoryCap <= 0 {
		opts.MemoryCap = DefaultMemoryCap
	}
	return &Table{
		self: opts.Self,
		limits: limits{
			retention:  opts.Retention,
			grantBound: opts.GrantBound,
		},
		cap: opts.MemoryCap,
	}
}

// Begin decides on an attempt to run a request. The epoch is that of the view in
// which the caller looked up the owner. With NeedsCopy the caller copies the entry
// of the decision and then calls Confirm or Withdraw.
func (t *Table) Begin(now time.Time, epoch uint64, req Request) Decision {
	full := t.full(now)
	s := &t.slots[SlotOf(req.Key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.refusal(epoch); reason != "" {
		return refused(reason)
	}
	if now.Sub(s.sweptAt) >= t.limits.retention/sweepsPerRetention {
		t.usedBytes.Add(s.sweep(t.limits, now))
	}
	held, ok := s.get(req.Key, t.limits, now)
	if full && !ok {
		return refused("the memory cap is reached")
	}
	d := decideBegin(held, ok, s.entriesLost(now), req, now)
	if d.Outcome == NeedsCopy {
		d = s.grantWithoutCopyHolder(d)
		t.usedBytes.Add(s.put(d.Entry))
	}
	d.Copies = s.copies()
	return d
}

// refusal returns the reason why the slot accepts no Begin, empty when it accepts
// one; mu is held.
func (s *slot) refusal(epoch uint64) string {
	switch {
	case !s.acceptsEpoch(epoch):
		return "the epoch of the view differs"
	case s.role != roleOwner:
		return "this host does not own the slot"
	case !s.ready:
		return "the slot is being transferred"
	}
	return ""
}

// grantWithoutCopyHolder grants the intent at once when the view has no copy holder;
// mu is held.
func (s *slot) grantWithoutCopyHolder(d Decision) Decision {
	if s.withoutCopyHolder {
		d.Outcome = Granted
		d.Entry.confirmed = true
	}
	return d
}

func (s *slot) copies() int {
	if s.withoutCopyHolder {
		return 1
	}
	return 2
}

// Confirm grants an intent that the copy holder has acknowledged under the epoch. It
// refuses when the view or the entry has changed since Begin.
func (t *Table) Confirm(now time.Time, epoch uint64, intent Entry) Decision {
	s := &t.slots[SlotOf(intent.Key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.get(intent.Key, t.limits, now)
	switch {
	case !s.acceptsEpoch(epoch) || s.role != roleOwner:
		return refused("the view changed during the copy")
	case !ok || !held.sameIntent(intent) || held.State != Begun:
		return refused("the intent was withdrawn")
	}
	held.confirmed = true
	s.put(held)
	d := decided(Granted, held)
	d.Copies = s.copies()
	return d
}

// Withdraw abandons an intent whose copy was not acknowledged, so that any attempt
// may begin again. A confirmed intent is not changed.
func (t *Table) Withdraw(now time.Time, intent Entry) {
	s := &t.slots[SlotOf(intent.Key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.entries[intent.Key]
	if !ok || !held.sameIntent(intent) || held.State != Begun || held.confirmed {
		return
	}
	held.State = Abandoned
	held.Attempt = ""
	held.Changed = now
	t.usedBytes.Add(s.put(held))
}

// Finish stores the report of an attempt: finished with the complete answer,
// forgotten when the request ran but there is no answer to keep, abandoned when it
// is known not to have run, otherwise unknown. Reports are accepted under any epoch
// because they only add information. The returned entry has to be copied. The reason
// is empty when the report was stored.
func (t *Table) Finish(now time.Time, report Entry) (stored Entry, reason string) {
	stored, reason = t.finish(now, report)
	t.freeMemory(now)
	return stored, reason
}

func (t *Table) finish(now time.Time, report Entry) (Entry, string) {
	s := &t.slots[SlotOf(report.Key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.refusal(s.epoch); reason != "" {
		return Entry{}, reason
	}
	report.Changed = now
	held, ok := s.get(report.Key, t.limits, now)
	next, reason := decideFinish(held, ok, s.entriesLost(now), report)
	if reason != "" {
		return Entry{}, reason
	}
	t.usedBytes.Add(s.put(next))
	return next, ""
}

// Sweep removes the entries whose retention time has passed.
func (t *Table) Sweep(now time.Time) {
	for i := range t.slots {
		s := &t.slots[i]
		s.mu.Lock()
		t.usedBytes.Add(s.sweep(t.limits, now))
		s.mu.Unlock()
	}
}
