package replica

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// minHistoryLength is the number of commands that the history retains at least
// once it has grown that long. A follower that is further behind than the
// history reaches gets a snapshot instead.
const minHistoryLength = 2000

// history holds the most recent accepted commands, for followers to catch up.
type history struct {
	// Invariant: entries[i] led to revision base+1+i, and was applied here at
	// appliedAt[i].
	base      uint64
	entries   []*wire.Applied
	appliedAt []time.Time
	// baseAt is an upper bound of the commit time of revision base.
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
	h.appliedAt = append(h.appliedAt, now)
	// Dropping half of the entries at a time makes add O(1) amortized.
	if len(h.entries) > 2*minHistoryLength {
		h.baseAt = h.appliedAt[minHistoryLength-1]
		h.base += minHistoryLength
		h.entries = append([]*wire.Applied(nil), h.entries[minHistoryLength:]...)
		h.appliedAt = append([]time.Time(nil), h.appliedAt[minHistoryLength:]...)
	}
}

// since returns the commands after a revision, or false if some of them are no
// longer held or the revision is newer than the history.
func (h *history) since(revision uint64) ([]*wire.Applied, bool) {
	if revision < h.base || revision > h.base+uint64(len(h.entries)) {
		return nil, false
	}
	return h.entries[revision-h.base:], true
}

// committedBy returns an upper bound of the commit time of a revision.
func (h *history) committedBy(revision uint64) time.Time {
	if revision <= h.base {
		return h.baseAt
	}
	return h.appliedAt[revision-h.base-1]
}
