package deduplicator

import "time"

// Stats summarises the content of a table.
type Stats struct {
	// Entries is the number of entries, including expired ones not yet swept.
	Entries int
	// Bytes is the approximate memory of the entries.
	Bytes int64
	// Owned is the number of slots that this host owns, and Ready the number of
	// those that accept a Begin.
	Owned int
	Ready int
}

// Stats returns the current counts. Slots are counted one after the other, so the
// counts are not from a single point in time.
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

// full reports whether the memory cap is reached and no memory can be freed.
func (t *Table) full(now time.Time) bool {
	if t.usedBytes.Load() < t.cap {
		return false
	}
	if now.UnixNano() < t.fullUntil.Load() {
		return true
	}
	t.freeMemory(now)
	return t.usedBytes.Load() >= t.cap
}

// freeMemory frees memory until the table is below its cap, or until a full round
// over the slots has freed nothing. It visits the slots in turn and drops the oldest
// answer of each, which approximates the oldest of the table while holding only one
// lock at a time. It never removes an entry before its retention time.
func (t *Table) freeMemory(now time.Time) {
	unchangedSlots := 0
	for t.usedBytes.Load() >= t.cap {
		if unchangedSlots == SlotCount {
			t.fullUntil.Store(now.Add(fullRetryInterval).UnixNano())
			return
		}
		unchangedSlots++
		if t.freeNextSlot(now) < 0 {
			unchangedSlots = 0
		}
	}
}

func (t *Table) freeNextSlot(now time.Time) int64 {
	s := &t.slots[t.evictionCursor.Add(1)%SlotCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.sweep(t.limits, now)
	if change == 0 {
		change = s.dropOldestAnswer()
	}
	t.usedBytes.Add(change)
	return change
}
