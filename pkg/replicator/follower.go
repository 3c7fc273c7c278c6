package replicator

import (
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

// maxContactGap is more than the time between two heartbeats of a leader, one of which may be
// late.
const maxContactGap = 2 * DefaultHeartbeatInterval

// stepFromLeader processes an append, a heartbeat or a snapshot.
func (c *Core) stepFromLeader(now time.Time, m Message) {
	if m.GetTerm() < c.hardState.GetTerm() {
		// The reply carries the newer term, which makes the old leader step down.
		c.send(&replication.Message{
			Kind:   replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
			To:     m.GetFrom(),
			Reject: true,
		})
		return
	}
	if c.role == leader && m.GetTerm() == c.hardState.GetTerm() {
		return
	}
	c.becomeFollower(now, m.GetTerm(), ID(m.GetFrom()))
	c.recordLeaderContact(now)
	reply := &replication.Message{
		Kind:  replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:    m.GetFrom(),
		Round: m.GetRound(),
	}
	if m.GetKind() == replication.MessageKind_MESSAGE_KIND_SNAPSHOT {
		reply.Index = c.installSnapshot(m.GetSnapshot())
	} else {
		c.acceptEntries(m, reply)
	}
	c.noteCaughtUp(now, c.commit >= m.GetCommit() && !reply.GetReject())
	c.send(reply)
}

// noteCaughtUp notes a message of a leader, after which this replica holds all that the leader
// had committed or does not.
func (c *Core) noteCaughtUp(now time.Time, caughtUp bool) {
	if !caughtUp {
		c.caughtUpAt = time.Time{}
		return
	}
	if now.Sub(c.caughtUpAt) > maxContactGap {
		c.caughtUpSince = now
	}
	c.caughtUpAt = now
}

func (c *Core) acceptEntries(m, reply Message) {
	reply.Index = m.GetIndex()
	// Entries up to the commit index always match, including those that are no
	// longer in memory.
	t, ok := c.log.term(m.GetIndex())
	if m.GetIndex() > c.commit && (!ok || t != m.GetLogTerm()) {
		reply.Reject = true
		reply.Hint = min(m.GetIndex()-1, c.log.lastIndex())
		return
	}
	for _, e := range m.GetEntries() {
		c.acceptEntry(e)
	}
	reply.Index += uint64(len(m.GetEntries()))
	c.commit = max(c.commit, min(m.GetCommit(), reply.Index))
}

// acceptEntry stores an entry unless it is present already. Only a conflicting entry
// truncates the log, so that a delayed message does not remove newer entries.
func (c *Core) acceptEntry(e *Entry) {
	if e.GetIndex() <= c.commit {
		return
	}
	if t, ok := c.log.term(e.GetIndex()); ok && t == e.GetTerm() {
		return
	}
	c.truncateMemberships(e.GetIndex())
	c.log.truncateAndAppend(e)
	c.recordMembershipEntry(e)
}

// installSnapshot installs a snapshot that is ahead of the commit index and
// returns the index up to which the log matches the leader's.
func (c *Core) installSnapshot(s *Snapshot) uint64 {
	if s.GetIndex() <= c.commit {
		return c.commit
	}
	if t, ok := c.log.term(s.GetIndex()); ok && t == s.GetTerm() {
		c.commit = s.GetIndex()
		return s.GetIndex()
	}
	c.log.reset(s.GetIndex(), s.GetTerm())
	c.memberships = nil
	c.recordMembership(s.GetIndex(), s.GetMembership())
	c.snapshot, c.pendingSnapshot = s, s
	c.commit, c.applied = s.GetIndex(), s.GetIndex()
	return s.GetIndex()
}
