package deduplicator

import (
	"sync"
	"time"
)

// role is the role of a host for a slot under the current view.
type role int

const (
	roleNone role = iota
	roleOwner
	roleCopy
)

// slot is one shard of the table.
type slot struct {
	mu sync.Mutex
	// entries are the stored entries by key; nil until the first one is stored.
	entries map[string]Entry
	// bytes is the sum of the sizes of the entries.
	bytes int64
	// epoch is the number of the current view.
	epoch uint64
	// fence is the highest epoch of a Fetch that was answered. Invariant: nothing
	// is granted or acknowledged under an epoch below it.
	fence uint64
	// completeEpoch is the last epoch in which the slot held every granted intent.
	completeEpoch uint64
	role          role
	// withoutCopyHolder is true when the view gives the slot no copy holder.
	withoutCopyHolder bool
	// ready is true on an owner whose copy holder has stored the whole slot.
	// Invariant: the owner grants nothing while it is false.
	ready bool
	// lostUntil is the time until which keys without an entry count as unknown.
	lostUntil time.Time
	// sweptAt is the time of the last sweep.
	sweptAt time.Time
}

// acceptsEpoch reports whether a message of the epoch may change the slot; mu is held.
func (s *slot) acceptsEpoch(epoch uint64) bool {
	return epoch == s.epoch && s.fence <= epoch
}

// entriesLost reports whether keys without an entry count as unknown; mu is held.
func (s *slot) entriesLost(now time.Time) bool {
	return now.Before(s.lostUntil)
}

// get returns the entry of the key as it stands at the given time; mu is held.
func (s *slot) get(key string, lim limits, now time.Time) (Entry, bool) {
	e, ok := s.entries[key]
	if !ok {
		return Entry{}, false
	}
	e, ok = lim.asOf(e, now)
	if !ok {
		return Entry{}, false
	}
	return e, true
}

// put stores an entry and returns the change in size; mu is held.
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

// replace replaces all entries by the given ones and returns the change in size;
// mu is held.
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

// merge stores the entries that supersede the stored ones and returns the change in
// size; mu is held.
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

// sweep removes the entries whose retention time has passed and returns the change
// in size; mu is held.
func (s *slot) sweep(lim limits, now time.Time) int64 {
	s.sweptAt = now
	before := s.bytes
	for key, e := range s.entries {
		if _, ok := lim.asOf(e, now); !ok {
			s.bytes -= e.size()
			delete(s.entries, key)
		}
	}
	return s.bytes - before
}

// dropOldestAnswer drops the answer of the oldest finished entry and returns the
// change in size, which is 0 when there is no such entry; mu is held.
func (s *slot) dropOldestAnswer() int64 {
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
		CompleteEpoch: s.completeEpoch,
		LostFor:       max(s.lostUntil.Sub(now), 0),
		Entries:       make([]Entry, 0, len(s.entries)),
	}
	for _, e := range s.entries {
		if e, ok := lim.asOf(e, now); ok {
			c.Entries = append(c.Entries, e)
		}
	}
	return c
}
