package deduplicator

import (
	"sync"
	"time"
)

// role is what a host does for a slot under the present view.
type role int

const (
	roleNone role = iota
	roleOwner
	roleCopy
)

// slot is one shard of the table.
type slot struct {
	mu sync.Mutex
	// entries are the held entries by key; nil until the first one.
	entries map[string]Entry
	// bytes is the sum of the sizes of the entries.
	bytes int64
	// epoch is the number of the present view.
	epoch uint64
	// fence is the highest epoch of an answered Fetch. Invariant: nothing is
	// granted or acknowledged under an epoch below it.
	fence uint64
	// complete is the last epoch in which the slot held every granted intent.
	complete uint64
	role     role
	// single is true when the view gives the slot no copy holder.
	single bool
	// ready is true on an owner whose copy holder is complete. Invariant: the
	// owner grants nothing while it is false.
	ready bool
	// lostUntil is the time until which keys without an entry are unknown.
	lostUntil time.Time
	// sweptAt is the time of the last sweep.
	sweptAt time.Time
}

// current reports whether a message of the epoch may change the slot; mu is held.
func (s *slot) current(epoch uint64) bool {
	return epoch == s.epoch && s.fence <= epoch
}

// lost reports whether keys without an entry are unknown; mu is held.
func (s *slot) lost(now time.Time) bool {
	return now.Before(s.lostUntil)
}

// get returns the entry of the key as it stands at the given time; mu is held.
func (s *slot) get(key string, lim limits, now time.Time) (Entry, bool) {
	e, ok := s.entries[key]
	if !ok {
		return Entry{}, false
	}
	e, ok = lim.aged(e, now)
	if !ok {
		return Entry{}, false
	}
	return e, true
}

// put stores an entry and returns the change of size; mu is held.
func (s *slot) put(e Entry) int64 {
	if s.entries == nil {
		s.entries = make(map[string]Entry)
	}
	change := e.size()
	if old, ok := s.entries[e.Key]; ok {
		change -= old.size()
	}
	s.entries[e.Key] = e
	s.bytes += change
	return change
}

// replace stores exactly the given entries and returns the change of size; mu is held.
func (s *slot) replace(entries []Entry) int64 {
	change := -s.bytes
	s.entries = make(map[string]Entry, len(entries))
	s.bytes = 0
	for _, e := range entries {
		e.confirmed = false
		change += s.put(e)
	}
	return change
}

// merge stores the entries that supersede the held ones and returns the change
// of size; mu is held.
func (s *slot) merge(entries []Entry, lim limits, now time.Time) int64 {
	var change int64
	for _, e := range entries {
		held, ok := s.get(e.Key, lim, now)
		if !ok || e.supersedes(held) {
			e.confirmed = false
			change += s.put(e)
		}
	}
	return change
}

// sweep removes the entries whose retention time has passed and returns the
// change of size; mu is held.
func (s *slot) sweep(lim limits, now time.Time) int64 {
	s.sweptAt = now
	before := s.bytes
	for key, e := range s.entries {
		if _, ok := lim.aged(e, now); !ok {
			s.bytes -= e.size()
			delete(s.entries, key)
		}
	}
	return s.bytes - before
}

// forgetOldest drops the answer of the oldest finished entry and returns the
// change of size, 0 when there is none; mu is held.
func (s *slot) forgetOldest() int64 {
	var oldest Entry
	for _, e := range s.entries {
		if e.State == Finished && (oldest.Key == "" || e.Changed.Before(oldest.Changed)) {
			oldest = e
		}
	}
	if oldest.Key == "" {
		return 0
	}
	oldest.State = Forgotten
	oldest.Answer = nil
	return s.put(oldest)
}

// content returns a snapshot of the slot; mu is held.
func (s *slot) content(lim limits, now time.Time) Content {
	c := Content{
		Complete: s.complete,
		Lost:     max(s.lostUntil.Sub(now), 0),
		Entries:  make([]Entry, 0, len(s.entries)),
	}
	for _, e := range s.entries {
		if e, ok := lim.aged(e, now); ok {
			c.Entries = append(c.Entries, e)
		}
	}
	return c
}
