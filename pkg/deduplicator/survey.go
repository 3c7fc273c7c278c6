package deduplicator

import "time"

// Content is the answer of a host to a Fetch of a slot.
type Content struct {
	// CompleteEpoch is the last epoch in which the host held every granted intent of
	// the slot; 0 when there was none.
	CompleteEpoch uint64
	// LostFor is for how long keys without an entry still count as unknown because
	// entries of the slot were lost.
	LostFor time.Duration
	// Entries are the stored entries. Changed is on the clock of this process: a
	// message carries the age of an entry, which the receiver subtracts from its
	// own time.
	Entries []Entry
}

// Verdict is the result of surveying the earlier holders of a slot.
type Verdict int

const (
	// Wait means that a holder that may still answer has to be asked.
	Wait Verdict = iota + 1
	// Take means that the returned content is complete.
	Take
	// Lost means that complete content no longer exists.
	Lost
)

// Survey decides from which earlier holder a new owner takes over the content of a
// slot. The history contains the maps before the present one, newest first. The
// answers are those to Fetch under the present epoch, by the host incarnation that
// answered; these hosts no longer acknowledge anything of an earlier epoch.
//
// A grant requires that both holders of its epoch are complete. A holder that was
// complete in the newest epoch therefore has every grant. A holder that answers
// without having been complete proves that the epoch had no grants, so that the
// epoch before it decides. An empty map stands for the time before the first view.
// A gap in the history may hide grants, so content from an epoch before a gap is
// not taken over.
func Survey(present *SlotMap, history []*SlotMap, slot int, answers map[Host]Content) (Content, Verdict) {
	epoch := present.Epoch()
	for _, m := range history {
		if m.Epoch()+1 != epoch {
			return Content{}, Lost
		}
		if m.Empty() {
			return Content{}, Take
		}
		epoch = m.Epoch()
		holders := m.Holders(slot).List()
		content, complete, answered := completeContent(holders, epoch, answers)
		switch {
		case complete:
			return content, Take
		case !answered && present.hasAny(holders):
			return Content{}, Wait
		case !answered:
			return Content{}, Lost
		}
	}
	return Content{}, Lost
}

// completeContent returns the content of a holder that was complete in the epoch, and
// whether any holder answered at all.
func completeContent(holders []Host, epoch uint64, answers map[Host]Content) (content Content, complete, answered bool) {
	for _, h := range holders {
		c, ok := answers[h]
		answered = answered || ok
		if ok && c.CompleteEpoch >= epoch {
			return c, true, true
		}
	}
	return Content{}, false, answered
}

func (m *SlotMap) hasAny(hosts []Host) bool {
	for _, h := range hosts {
		if m.Has(h) {
			return true
		}
	}
	return false
}
