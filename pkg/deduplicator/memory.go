package deduplicator

import "time"

// Stats counts what a table holds.
type Stats struct {
	// Entries is the number of entries, also those that a sweep would remove.
	Entries int
	// Bytes approximates the memory of the entries.
	Bytes int64
	// Owned and Ready are the numbers of slots that this host owns, and of
	// those that accept a Begin.
	Owned int
	Ready int
}

// Stats returns the present counts. The slots are counted one after the other.
func (t *Table) Stats() Stats {
	var st Stats
	for i := range t.slots {
		s := &t.slots[i]
		s.mu.Lock()
		st.Entries += len(s.entries)
		st.Bytes += s.bytes
		if s.role == roleOwner {
			st.Owned++
		}
		if s.role == roleOwner && s.ready {
			st.Ready++
		}
		s.mu.Unlock()
	}
	return st
}

// full reports whether the memory cap is reached and nothing can be freed.
func (t *Table) full(now time.Time) bool {
	if t.used.Load() < t.cap {
		return false
	}
	if now.UnixNano() < t.fullUntil.Load() {
		return true
	}
	t.shrink(now)
	return t.used.Load() >= t.cap
}

// shrink frees memory until the table is under its cap, or until a whole round
// over the slots has freed nothing. It visits the slots in turn and forgets the
// oldest answer of each, which approximates the oldest of the table and holds
// one lock at a time. It never removes an entry before its retention time.
func (t *Table) shrink(now time.Time) {
	idle := 0
	for t.used.Load() >= t.cap {
		if idle == SlotCount {
			t.fullUntil.Store(now.Add(fullPause).UnixNano())
			return
		}
		idle++
		if t.shrinkSlot(now) < 0 {
			idle = 0
		}
	}
}

func (t *Table) shrinkSlot(now time.Time) int64 {
	s := &t.slots[t.cursor.Add(1)%SlotCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.sweep(t.limits, now)
	if change == 0 {
		change = s.forgetOldest()
	}
	t.used.Add(change)
	return change
}
