package deduplicator

import (
	"fmt"
	"time"
)

// SetView assigns the roles of this host for all slots under a new view. A slot
// ignores an epoch that is not higher than its own. The previous map is the one that
// this host used before; nil when there was none.
func (t *Table) SetView(present, previous *SlotMap) {
	for i := range t.slots {
		s := &t.slots[i]
		s.mu.Lock()
		s.assignRole(t.self, i, present, previous)
		s.mu.Unlock()
	}
}

// Pending returns the slots that this host owns and that do not accept a Begin yet.
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

// assignRole sets the role under the present map; mu is held. When both holders stay
// the same over consecutive epochs, the slot remains complete and ready, because no
// other host can have granted in between.
func (s *slot) assignRole(self Host, index int, present, previous *SlotMap) {
	if present.Epoch() <= s.epoch {
		return
	}
	holders := present.Holders(index)
	unchanged := previous != nil && previous.Epoch() == s.epoch &&
		previous.Epoch()+1 == present.Epoch() && previous.Holders(index) == holders
	if unchanged && s.completeEpoch == s.epoch {
		s.completeEpoch = present.Epoch()
	}
	s.ready = unchanged && s.ready
	s.withoutCopyHolder = !holders.HasCopy()
	s.role = roleNone
	switch self {
	case holders.Owner:
		s.role = roleOwner
	case holders.Copy:
		s.role = roleCopy
	}
	s.epoch = present.Epoch()
}

// Fetch returns the content of a slot to the new owner of the given epoch and fences
// the slot: from now on nothing is granted or acknowledged under an earlier epoch.
// It returns false and changes nothing when this host has already seen a later epoch.
func (t *Table) Fetch(now time.Time, epoch uint64, index int) (Content, bool) {
	if index < 0 || index >= SlotCount {
		return Content{}, false
	}
	s := &t.slots[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch < s.epoch || epoch < s.fence {
		return Content{}, false
	}
	s.fence = epoch
	return s.content(t.limits, now), true
}

// Install stores the content that Survey returned on the new owner of a slot, and
// returns the content to send to the copy holder. With lost, every key without an
// entry counts as unknown for the retention time. It returns false when the view has
// changed or this host does not own the slot.
func (t *Table) Install(now time.Time, epoch uint64, index int, surveyed Content, lost bool) (Content, bool) {
	s := &t.slots[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptsEpoch(epoch) || s.role != roleOwner {
		return Content{}, false
	}
	if s.completeEpoch < epoch {
		t.usedBytes.Add(s.replace(surveyed.Entries))
		s.lostUntil = now.Add(surveyed.LostFor)
		s.completeEpoch = epoch
		if lost {
			s.lostUntil = now.Add(t.limits.retention)
		}
	}
	return s.content(t.limits, now), true
}

// Installed reports whether this host owns the slot in the epoch and has its complete
// content, so that only the transfer to the copy holder may be missing.
func (t *Table) Installed(epoch uint64, index int) bool {
	s := &t.slots[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptsEpoch(epoch) && s.role == roleOwner && s.completeEpoch == epoch
}

// OpenSlot lets the owner accept Begin for a slot, after the copy holder has stored
// the whole content under the epoch. It reports whether the slot is open.
func (t *Table) OpenSlot(epoch uint64, index int) bool {
	s := &t.slots[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptsEpoch(epoch) || s.role != roleOwner || s.completeEpoch != epoch {
		return false
	}
	s.ready = true
	return true
}

// CloseSlot makes the owner refuse Begin for a slot until OpenSlot is called,
// because the copy holder has asked for the whole content.
func (t *Table) CloseSlot(epoch uint64, index int) {
	s := &t.slots[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acceptsEpoch(epoch) && s.role == roleOwner {
		s.ready = false
	}
}

// CopyMessage carries entries from the owner of a slot to its copy holder.
type CopyMessage struct {
	// Epoch is that of the owner's view.
	Epoch uint64
	// Slot is the number of the slot.
	Slot int
	// Whole is true when Content is that of the whole slot.
	Whole bool
	// Content has the entries; CompleteEpoch is not used.
	Content Content
}

// CopyResult is the answer of the copy holder to a CopyMessage.
type CopyResult struct {
	// Stored is true when this host now holds everything that the owner sent.
	Stored bool
	// WholeWanted asks the owner for the whole slot, because this host does not
	// hold every granted intent of the slot.
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
	t.freeMemory(now)
	return result
}

func (t *Table) copy(now time.Time, m CopyMessage, full bool) CopyResult {
	s := &t.slots[m.Slot]
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.acceptsEpoch(m.Epoch):
		return CopyResult{
			Reason: "the epoch of the view differs",
		}
	case s.role != roleCopy:
		return CopyResult{
			Reason: "this host does not hold the copy of the slot",
		}
	case m.Whole:
		return t.copyWholeSlot(s, now, m)
	case s.completeEpoch != m.Epoch:
		return CopyResult{
			WholeWanted: true,
			Reason:      "the copy of the slot is not complete",
		}
	case full && hasIntent(m.Content.Entries):
		return CopyResult{
			Reason: "the memory cap is reached on the copy holder",
		}
	}
	t.usedBytes.Add(s.merge(m.Content.Entries, t.limits, now))
	return s.acknowledge(m.Content.Entries)
}

// copyWholeSlot stores a whole slot; the lock of s is held. The entries of an earlier
// epoch are replaced: they may contain intents that were never granted, whose
// generation another attempt has used since. Within the epoch the entries are merged,
// so that a delayed message cannot remove newer ones.
func (t *Table) copyWholeSlot(s *slot, now time.Time, m CopyMessage) CopyResult {
	lostUntil := now.Add(m.Content.LostFor)
	if s.completeEpoch != m.Epoch {
		t.usedBytes.Add(s.replace(m.Content.Entries))
		s.lostUntil = lostUntil
		s.completeEpoch = m.Epoch
	} else {
		t.usedBytes.Add(s.merge(m.Content.Entries, t.limits, now))
		if lostUntil.After(s.lostUntil) {
			s.lostUntil = lostUntil
		}
	}
	return CopyResult{
		Stored: true,
	}
}

func hasIntent(entries []Entry) bool {
	for _, e := range entries {
		if e.State == Begun {
			return true
		}
	}
	return false
}

// acknowledge reports a copy as stored if the slot holds the intents as they were
// sent; mu is held. An intent that is held in a later state is not acknowledged,
// because the request may have run since.
func (s *slot) acknowledge(entries []Entry) CopyResult {
	for _, e := range entries {
		held := s.entries[e.Key]
		if !held.sameIntent(e) || held.State.rank() != e.State.rank() {
			return CopyResult{
				Reason: "a later entry is held",
			}
		}
	}
	return CopyResult{
		Stored: true,
	}
}
