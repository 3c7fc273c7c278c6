package replica

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// historyKept is the number of changes that a follower may be behind before it
// is sent the whole state.
const historyKept = 2000

// history holds the newest accepted commands for followers.
type history struct {
	// Invariant: entries[i] led to revision base+1+i.
	base    uint64
	entries []*wire.Applied
	times   []time.Time
	// baseAt is not before the commit of the change that led to base.
	baseAt time.Time
}

func newHistory(revision uint64, now time.Time) history {
	return history{
		base:   revision,
		baseAt: now,
	}
}

func (h *history) add(now time.Time, revision uint64, cmd *wire.Command) {
	h.entries = append(h.entries, &wire.Applied{
		Revision: revision,
		Command:  cmd,
	})
	h.times = append(h.times, now)
	// Dropping half at a time keeps the cost of an addition constant.
	if len(h.entries) > 2*historyKept {
		h.baseAt = h.times[historyKept-1]
		h.base += historyKept
		h.entries = append([]*wire.Applied(nil), h.entries[historyKept:]...)
		h.times = append([]time.Time(nil), h.times[historyKept:]...)
	}
}

// since returns the commands after a revision, false when they are not all held.
func (h *history) since(revision uint64) ([]*wire.Applied, bool) {
	if revision < h.base || revision > h.base+uint64(len(h.entries)) {
		return nil, false
	}
	return h.entries[revision-h.base:], true
}

// committedBy returns a time that is not before the commit of a revision.
func (h *history) committedBy(revision uint64) time.Time {
	if revision <= h.base {
		return h.baseAt
	}
	return h.times[revision-h.base-1]
}
