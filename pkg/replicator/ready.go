package replicator

import (
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

// Ready returns the pending work, or false when there is none. No other method may
// be called between Ready and the matching Advance.
func (c *Core) Ready(now time.Time) (Ready, bool) {
	last := c.log.lastIndex()
	if c.role == leader {
		c.releaseEntries(now)
		c.replicateToAll(now, false)
		last = c.leaderState.released
	}
	r := Ready{
		Entries:   c.log.slice(c.log.stable, last),
		Snapshot:  c.pendingSnapshot,
		Messages:  c.pendingMessages,
		Committed: c.log.slice(c.applied, c.commit),
	}
	if c.hardState != c.stableHardState {
		r.Hard = c.hardState
	}
	c.pendingMessages = nil
	hasWork := r.Hard != nil || r.Snapshot != nil || len(r.Entries)+len(r.Messages)+len(r.Committed) > 0
	return r, hasWork
}

// Advance reports that the work of r is done.
func (c *Core) Advance(now time.Time, r Ready) {
	c.pendingSnapshot = nil
	c.stableHardState = c.hardState
	if n := len(r.Entries); n > 0 {
		c.log.stable = r.Entries[n-1].GetIndex()
	}
	if n := len(r.Committed); n > 0 {
		c.applied = r.Committed[n-1].GetIndex()
	}
	if c.role == candidate {
		c.countVotes(now)
	}
	if c.role != leader {
		return
	}
	c.advanceCommit()
	// A leader that is no longer a voter steps down once its removal is committed.
	if !c.isVoter(c.cfg.ID) && c.memberships[len(c.memberships)-1].index <= c.commit {
		c.becomeFollower(now, c.hardState.GetTerm(), "")
	}
}

// Compact makes data, the encoded state as of the last applied entry, the new
// snapshot and removes the entries before it from memory, except for the last
// trailing ones. It returns the snapshot to save, and the index up to which the
// stored log can be compacted once the snapshot is saved.
func (c *Core) Compact(data []byte, trailing uint64) (*Snapshot, uint64) {
	t, _ := c.log.term(c.applied)
	c.snapshot = &replication.Snapshot{
		Index:      c.applied,
		Term:       t,
		Membership: c.membershipAsOf(c.applied),
		Data:       data,
	}
	base := c.log.baseIndex
	if c.applied > trailing {
		base = max(base, c.applied-trailing)
	}
	c.log.compact(base)
	kept := c.memberships[:0]
	for i, m := range c.memberships {
		last := i+1 == len(c.memberships) || c.memberships[i+1].index > c.applied
		if last || m.index > c.applied {
			kept = append(kept, m)
		}
	}
	c.memberships = kept
	return c.snapshot, base
}
