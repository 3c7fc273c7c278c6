package replicator

import (
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

// Ready returns the work that has come up, false when there is none. Between
// Ready and the matching Advance no other method is called.
func (c *Core) Ready(now time.Time) (Ready, bool) {
	if c.role == leader {
		c.broadcast(now, false)
	}
	r := Ready{
		Entries:   c.log.slice(c.log.stable, c.log.last()),
		Snapshot:  c.install,
		Messages:  c.messages,
		Committed: c.log.slice(c.applied, c.commit),
	}
	if c.hard != c.hardStable {
		r.Hard = c.hard
	}
	c.messages = nil
	some := r.Hard != nil || r.Snapshot != nil || len(r.Entries)+len(r.Messages)+len(r.Committed) > 0
	return r, some
}

// Advance tells the core that the work of r is done.
func (c *Core) Advance(now time.Time, r Ready) {
	c.install = nil
	c.hardStable = c.hard
	c.log.stable = c.log.last()
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
	// A leader that is no longer a voter stops leading once that is committed.
	if !c.isVoter(c.cfg.ID) && c.memberships[len(c.memberships)-1].index <= c.commit {
		c.become(now, c.hard.GetTerm(), "")
	}
}

// Compact takes the state as of the last applied entry, encoded in data, as
// the new snapshot, and forgets entries but for the last keep before it. It
// returns the snapshot to save and the index up to which the stored log can be
// compacted once that is saved.
func (c *Core) Compact(data []byte, keep uint64) (*Snapshot, uint64) {
	t, _ := c.log.term(c.applied)
	c.snapshot = &replication.Snapshot{
		Index:      c.applied,
		Term:       t,
		Membership: c.membershipAsOf(c.applied),
		Data:       data,
	}
	base := c.log.baseIndex
	if c.applied > keep {
		base = max(base, c.applied-keep)
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
