package deduplicator

import (
	"fmt"
	"time"
)

// SetView assigns the slots anew. An epoch that is not higher than the present
// one changes nothing. The previous map is the one that this host used before;
// nil when there was none.
func (t *Table) SetView(present, previous *SlotMap) {
	for i := range t.slots {
		s := &t.slots[i]
		s.mu.Lock()
		s.assign(t.self, i, present, previous)
		s.mu.Unlock()
	}
}

// Pending returns the slots that this host owns and that accept no Begin yet.
func (t *Table) Pending() []int {
	var pending []int
	for i := range t.slots {
		s := &t.slots[i]
		s.mu.Lock()
		if s.role == roleOwner && !s.ready {
			pending = append(pending, i)
		}
		s.mu.Unlock()
	}
	return pending
}

// assign sets the role under the present map; mu is held. When both holders
// stay the same over consecutive epochs the slot remains complete and ready:
// no other host could have granted in between.
func (s *slot) assign(self Host, i int, present, previous *SlotMap) {
	if present.Epoch() <= s.epoch {
		return
	}
	holders := present.Holders(i)
	kept := previous != nil && previous.Epoch() == s.epoch &&
		previous.Epoch()+1 == present.Epoch() && previous.Holders(i) == holders
	if kept && s.complete == s.epoch {
		s.complete = present.Epoch()
	}
	s.ready = kept && s.ready
	s.single = !holders.HasCopy()
	s.role = roleNone
	switch self {
	case holders.Owner:
		s.role = roleOwner
	case holders.Copy:
		s.role = roleCopy
	}
	s.epoch = present.Epoch()
}

// Fetch returns the content of a slot to the new owner of the given epoch and
// fences the slot: from now on nothing is granted or acknowledged under an
// earlier epoch. It reports false, and changes nothing, when this host has seen
// a later epoch itself.
func (t *Table) Fetch(now time.Time, epoch uint64, i int) (Content, bool) {
	if i < 0 || i >= SlotCount {
		return Content{}, false
	}
	s := &t.slots[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch < s.epoch || epoch < s.fence {
		return Content{}, false
	}
	s.fence = epoch
	return s.content(t.limits, now), true
}

// Install gives the new owner of a slot the content that Survey returned and
// returns what is to be pushed to the copy holder. With lost, every key that
// has no entry is unknown for the retention time. It reports false when the
// view has changed.
func (t *Table) Install(now time.Time, epoch uint64, i int, taken Content, lost bool) (Content, bool) {
	s := &t.slots[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.current(epoch) || s.role != roleOwner {
		return Content{}, false
	}
	if s.complete < epoch {
		t.used.Add(s.replace(taken.Entries))
		s.lostUntil = now.Add(taken.Lost)
		s.complete = epoch
		if lost {
			s.lostUntil = now.Add(t.limits.retention)
		}
	}
	return s.content(t.limits, now), true
}

// Installed reports whether this host is the owner of the slot in the epoch
// and complete, so that only the push to the copy holder is missing.
func (t *Table) Installed(epoch uint64, i int) bool {
	s := &t.slots[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current(epoch) && s.role == roleOwner && s.complete == epoch
}

// Open lets an owner accept Begin for a slot after the copy holder has stored
// the whole content under the epoch.
func (t *Table) Open(epoch uint64, i int) bool {
	s := &t.slots[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.current(epoch) || s.role != roleOwner || s.complete != epoch {
		return false
	}
	s.ready = true
	return true
}

// Close stops an owner from accepting Begin for a slot until Open, because the
// copy holder has asked for the whole content.
func (t *Table) Close(epoch uint64, i int) {
	s := &t.slots[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current(epoch) && s.role == roleOwner {
		s.ready = false
	}
}

// CopyMessage carries entries from the owner of a slot to its copy holder.
type CopyMessage struct {
	// Epoch is that of the owner's view.
	Epoch uint64
	// Slot is the number of the slot.
	Slot int
	// Whole is true when the content is that of the whole slot.
	Whole bool
	// Content holds the entries; Complete is not used.
	Content Content
}

// CopyResult is the answer of the copy holder.
type CopyResult struct {
	// Stored is true when this host now holds what the owner sent.
	Stored bool
	// WholeWanted asks the owner for the whole slot, because this host does
	// not hold every granted intent of it.
	WholeWanted bool
	// Reason explains why nothing was stored.
	Reason string
}

// Copy stores entries as the copy holder of their slot.
func (t *Table) Copy(now time.Time, m CopyMessage) CopyResult {
	if m.Slot < 0 || m.Slot >= SlotCount {
		return CopyResult{
			Reason: fmt.Sprintf("slot %d does not exist", m.Slot),
		}
	}
	full := t.full(now)
	result := t.copy(now, m, full)
	t.shrink(now)
	return result
}

func (t *Table) copy(now time.Time, m CopyMessage, full bool) CopyResult {
	s := &t.slots[m.Slot]
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.current(m.Epoch):
		return CopyResult{
			Reason: "the epoch of the view differs",
		}
	case s.role != roleCopy:
		return CopyResult{
			Reason: "this host does not hold the copy of the slot",
		}
	case m.Whole:
		return t.copyWhole(s, now, m)
	case s.complete != m.Epoch:
		return CopyResult{
			WholeWanted: true,
			Reason:      "the copy of the slot is not complete",
		}
	case full && anyBegun(m.Content.Entries):
		return CopyResult{
			Reason: "the memory cap is reached on the copy holder",
		}
	}
	t.used.Add(s.merge(m.Content.Entries, t.limits, now))
	return s.holds(m.Content.Entries)
}

// copyWhole stores a whole slot; the lock of s is held. Entries of an earlier
// epoch are replaced: they may contain intents that were never granted, whose
// generation another attempt has used since. Within the epoch a late message is
// merged, so that it cannot remove what came after it.
func (t *Table) copyWhole(s *slot, now time.Time, m CopyMessage) CopyResult {
	lostUntil := now.Add(m.Content.Lost)
	if s.complete != m.Epoch {
		t.used.Add(s.replace(m.Content.Entries))
		s.lostUntil = lostUntil
		s.complete = m.Epoch
	} else {
		t.used.Add(s.merge(m.Content.Entries, t.limits, now))
		if lostUntil.After(s.lostUntil) {
			s.lostUntil = lostUntil
		}
	}
	return CopyResult{
		Stored: true,
	}
}

func anyBegun(entries []Entry) bool {
	for _, e := range entries {
		if e.State == Begun {
			return true
		}
	}
	return false
}

// holds reports whether the slot holds the intents as they were sent; mu is
// held. An intent that the slot holds in a later state is not acknowledged,
// because the request may have run since.
func (s *slot) holds(entries []Entry) CopyResult {
	for _, e := range entries {
		held := s.entries[e.Key]
		if !held.same(e) || held.State.rank() != e.State.rank() {
			return CopyResult{
				Reason: "a later entry is held",
			}
		}
	}
	return CopyResult{
		Stored: true,
	}
}
