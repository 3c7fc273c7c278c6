package replicator

import (
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

// stepFromLeader takes entries, a heartbeat or a snapshot.
func (c *Core) stepFromLeader(now time.Time, m Message) {
	if m.GetTerm() < c.hard.GetTerm() {
		// The reply carries the newer term and makes the old leader step down.
		c.send(&replication.Message{
			Kind:   replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
			To:     m.GetFrom(),
			Reject: true,
		})
		return
	}
	if c.role == leader && m.GetTerm() == c.hard.GetTerm() {
		return
	}
	c.become(now, m.GetTerm(), ID(m.GetFrom()))
	c.hear(now)
	reply := &replication.Message{
		Kind:  replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:    m.GetFrom(),
		Round: m.GetRound(),
	}
	if m.GetKind() == replication.MessageKind_MESSAGE_KIND_SNAPSHOT {
		reply.Index = c.takeSnapshot(m.GetSnapshot())
	} else {
		c.takeEntries(m, reply)
	}
	c.send(reply)
}

func (c *Core) takeEntries(m, reply Message) {
	reply.Index = m.GetIndex()
	// Everything up to the commit index matches by definition, also where it
	// is no longer held.
	t, ok := c.log.term(m.GetIndex())
	if m.GetIndex() > c.commit && (!ok || t != m.GetLogTerm()) {
		reply.Reject = true
		reply.Hint = min(m.GetIndex()-1, c.log.last())
		return
	}
	for _, e := range m.GetEntries() {
		c.takeEntry(e)
	}
	reply.Index += uint64(len(m.GetEntries()))
	c.commit = max(c.commit, min(m.GetCommit(), reply.Index))
}

// takeEntry stores an entry unless it is held already. Only a conflicting
// entry truncates the log, so that a late message does not undo a newer one.
func (c *Core) takeEntry(e *Entry) {
	if e.GetIndex() <= c.commit {
		return
	}
	if t, ok := c.log.term(e.GetIndex()); ok && t == e.GetTerm() {
		return
	}
	c.forgetMemberships(e.GetIndex())
	c.log.put(e)
	c.noteEntry(e)
}

// takeSnapshot installs a snapshot that is ahead of the commit index and
// returns up to where the log matches the leader's.
func (c *Core) takeSnapshot(s *Snapshot) uint64 {
	if s.GetIndex() <= c.commit {
		return c.commit
	}
	if t, ok := c.log.term(s.GetIndex()); ok && t == s.GetTerm() {
		c.commit = s.GetIndex()
		return s.GetIndex()
	}
	c.log.reset(s.GetIndex(), s.GetTerm())
	c.memberships = nil
	c.noteMembership(s.GetIndex(), s.GetMembership())
	c.snapshot, c.install = s, s
	c.commit, c.applied = s.GetIndex(), s.GetIndex()
	return s.GetIndex()
}
