package deduplicator

import "time"

// Content is what one host answers to a Fetch of a slot.
type Content struct {
	// Complete is the last epoch in which the host held every granted intent
	// of the slot; 0 when there was none.
	Complete uint64
	// Lost is how long keys that are not in Entries remain unknown because
	// the slot's entries were lost.
	Lost time.Duration
	// Entries are the held entries. Changed is on the clock of this process:
	// the receiver of a message subtracts the age that it carries from its own time.
	Entries []Entry
}

// Verdict is the result of a survey of the earlier holders of a slot.
type Verdict int

const (
	// Wait means that a holder that may still answer has to be asked.
	Wait Verdict = iota + 1
	// Take means that the returned content is complete.
	Take
	// Lost means that no complete content exists any more.
	Lost
)

// Survey decides from which earlier holder a new owner takes a slot. The
// history holds the maps before the present one, newest first. The answers
// come from Fetch calls under the present epoch, by the incarnation that
// answered; each of those hosts acknowledges nothing of an earlier epoch any more.
//
// A grant needs both holders of its epoch to be complete. One holder that was
// complete in the newest epoch therefore has every grant, and one holder that
// answers without having been complete proves that the epoch had no grant, so
// that the epoch before it decides. An empty map stands for the time before
// the first view. A gap in the history may hide grants, so that content of an
// epoch before the gap is not taken.
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
		content, found, answered := newest(holders, epoch, answers)
		switch {
		case found:
			return content, Take
		case !answered && present.anyOf(holders):
			return Content{}, Wait
		case !answered:
			return Content{}, Lost
		}
	}
	return Content{}, Lost
}

// newest returns the content of a holder that was complete in the epoch, and
// whether any holder answered at all.
func newest(holders []Host, epoch uint64, answers map[Host]Content) (content Content, found, answered bool) {
	for _, h := range holders {
		c, ok := answers[h]
		answered = answered || ok
		if ok && c.Complete >= epoch {
			return c, true, true
		}
	}
	return Content{}, false, answered
}

func (m *SlotMap) anyOf(hosts []Host) bool {
	for _, h := range hosts {
		if m.Has(h) {
			return true
		}
	}
	return false
}
