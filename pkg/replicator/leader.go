package replicator

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

const (
	// maxMessageEntries limits the entries in one message, so that sending to a
	// replica that is far behind does not delay heartbeats.
	maxMessageEntries = 512
	// maxInFlightEntries limits the entries that are sent to a replica before
	// it has acknowledged them.
	maxInFlightEntries = 4096
	// roundHistory is the number of heartbeat rounds whose start time is kept.
	// At a heartbeat interval of 100 ms it covers more than an authority lease.
	roundHistory = 64
)

// leaderState is the state that exists only on a leader.
type leaderState struct {
	electedAt time.Time
	progress  map[ID]*progress
	// round is the newest heartbeat round. Invariant: roundStarts[r%roundHistory]
	// is the time at which round r started.
	round       uint64
	roundStarts [roundHistory]time.Time
	// released is the index of the last entry that may be written and sent; releasedAt is
	// when it was set.
	released   uint64
	releasedAt time.Time
}

// progress is the replication state of another replica, as known to the leader.
type progress struct {
	// Invariant: the replica has synced the leader's entries up to match.
	match uint64
	// next is the index of the next entry to send. Invariant: at least match+1.
	next uint64
	// probing is true from a rejected append until the replica confirms that its
	// log matches up to next. Meanwhile only one message with entries is in
	// flight, because sending them again for each rejection would saturate a slow
	// link.
	probing bool
	// probedAt is when the last message with entries was sent while probing.
	probedAt time.Time
	// round is the newest heartbeat round that the replica has acknowledged.
	round uint64
	// snapshotSentAt is when a snapshot was last sent; zero when none is in flight.
	snapshotSentAt time.Time
	lastReply      time.Time
	trackedSince   time.Time
}

func (c *Core) becomeLeader(now time.Time) {
	c.leaderState = leaderState{
		electedAt: now,
		progress:  make(map[ID]*progress),
	}
	c.append(&Entry{
		Kind: replication.EntryKind_ENTRY_KIND_EMPTY,
	})
	c.releaseEntries(now)
	c.startHeartbeatRound(now)
}

func (c *Core) tickLeader(now time.Time) {
	contact, ok := c.QuorumContact(now)
	if !ok {
		contact = c.leaderState.electedAt
	}
	if now.Sub(contact) > c.cfg.ElectionTimeout {
		c.becomeFollower(now, c.hardState.GetTerm(), "")
		return
	}
	if now.Sub(c.leaderState.roundStarts[c.leaderState.round%roundHistory]) >= c.cfg.HeartbeatInterval {
		c.startHeartbeatRound(now)
	}
}

func (c *Core) startHeartbeatRound(now time.Time) {
	c.leaderState.round++
	c.leaderState.roundStarts[c.leaderState.round%roundHistory] = now
	c.replicateToAll(now, true)
}

// replicateToAll sends each replica the entries that it lacks. With force it also
// sends a message to replicas that lack none.
func (c *Core) replicateToAll(now time.Time, force bool) {
	for _, m := range c.membership().GetMembers() {
		if id := ID(m.GetId()); id != c.cfg.ID {
			c.sendAppend(now, id, force)
		}
	}
}

func (c *Core) progressOf(now time.Time, id ID) *progress {
	p, ok := c.leaderState.progress[id]
	if !ok {
		p = &progress{
			next:         c.log.stable + 1,
			trackedSince: now,
		}
		c.leaderState.progress[id] = p
	}
	return p
}

func (c *Core) sendAppend(now time.Time, id ID, force bool) {
	p := c.progressOf(now, id)
	m := &replication.Message{
		Kind:  replication.MessageKind_MESSAGE_KIND_APPEND,
		To:    string(id),
		Round: c.leaderState.round,
		// Also in a heartbeat, so that a replica knows whether it lacks committed entries.
		Commit: c.commit,
	}
	prevTerm, held := c.log.term(p.next - 1)
	switch {
	case !held && c.snapshotDue(now, p):
		p.snapshotSentAt = now
		m.Kind = replication.MessageKind_MESSAGE_KIND_SNAPSHOT
		m.Snapshot = c.snapshot
	case !held:
		// While the snapshot is in flight, heartbeats refer to index 0, the empty
		// log, which matches on every replica.
		if !force {
			return
		}
	case p.probing && now.Sub(p.probedAt) < c.cfg.ElectionTimeout:
		if !force {
			return
		}
		m.Index, m.LogTerm = p.next-1, prevTerm
	default:
		p.probedAt = now
		m.Index, m.LogTerm = p.next-1, prevTerm
		m.Entries = c.log.slice(p.next-1, min(p.next-1+maxMessageEntries, p.match+maxInFlightEntries, c.leaderState.released))
		if len(m.Entries) == 0 && !force {
			return
		}
		if !p.probing {
			p.next += uint64(len(m.Entries))
		}
	}
	c.send(m)
}

// snapshotDue reports whether to send a snapshot now. It is sent only to a replica
// that replies, and not again while the previous one may still be in flight.
func (c *Core) snapshotDue(now time.Time, p *progress) bool {
	resendAfter := 2 * c.cfg.ElectionTimeout
	return now.Sub(p.lastReply) < resendAfter && now.Sub(p.snapshotSentAt) >= resendAfter
}

// Propose appends data to the log. The proposal is committed if the entry that is
// later applied at the returned index has the returned term.
func (c *Core) Propose(_ time.Time, data []byte) (Position, error) {
	if c.role != leader {
		return Position{}, ErrNotLeader{
			Leader: c.leader,
		}
	}
	return c.append(&Entry{
		Kind: replication.EntryKind_ENTRY_KIND_DATA,
		Data: data,
	}), nil
}

// releaseEntries lets the entries that wait be written and sent, once the last round is
// old enough.
func (c *Core) releaseEntries(now time.Time) {
	at, waiting := c.NextRound()
	if waiting && !now.Before(at) {
		c.leaderState.released, c.leaderState.releasedAt = c.log.lastIndex(), now
	}
}

// NextRound returns when the next round of appends is due, or false when no entry waits
// for one.
func (c *Core) NextRound() (time.Time, bool) {
	if c.role != leader || c.leaderState.released >= c.log.lastIndex() {
		return time.Time{}, false
	}
	spacing := c.cfg.AppendSpacing * time.Duration(len(c.membership().GetMembers())-1)
	return c.leaderState.releasedAt.Add(spacing), true
}

// append adds an entry of the current term. Ready sends it, so that all proposals
// between two calls of Ready share messages and one sync.
func (c *Core) append(e *Entry) Position {
	e.Term, e.Index = c.hardState.GetTerm(), c.log.lastIndex()+1
	c.log.appendEntry(e)
	c.recordMembershipEntry(e)
	if c.cfg.AppendSpacing == 0 {
		c.leaderState.released = e.GetIndex()
	}
	return Position{
		Index: e.GetIndex(),
		Term:  e.GetTerm(),
	}
}

func (c *Core) stepAppendReply(now time.Time, m Message) {
	if m.GetTerm() > c.hardState.GetTerm() {
		c.becomeFollower(now, m.GetTerm(), "")
		return
	}
	if c.role != leader || m.GetTerm() < c.hardState.GetTerm() || !c.isMember(ID(m.GetFrom())) {
		return
	}
	id := ID(m.GetFrom())
	p := c.progressOf(now, id)
	p.lastReply = now
	p.round = max(p.round, min(m.GetRound(), c.leaderState.round))
	switch {
	case m.GetReject() && m.GetIndex() > p.match && m.GetIndex() < p.next:
		p.next = max(p.match+1, min(m.GetIndex(), m.GetHint()+1))
		p.probing, p.probedAt = true, time.Time{}
	case !m.GetReject() && m.GetIndex() > p.match && m.GetIndex() <= c.log.lastIndex():
		p.match = m.GetIndex()
		p.next = max(p.next, p.match+1)
		p.snapshotSentAt = time.Time{}
		c.advanceCommit()
	}
	if !m.GetReject() && m.GetIndex()+1 >= p.next {
		p.probing = false
	}
	c.sendAppend(now, id, false)
}

func (c *Core) isMember(id ID) bool {
	return slices.ContainsFunc(c.membership().GetMembers(), func(m *replication.Member) bool {
		return m.GetId() == string(id)
	})
}

// matchIndex returns the index up to which a replica has synced the leader's log.
func (c *Core) matchIndex(id ID) uint64 {
	if id == c.cfg.ID {
		return c.log.stable
	}
	if p, ok := c.leaderState.progress[id]; ok {
		return p.match
	}
	return 0
}

// advanceCommit commits the entries that a majority has synced. Only replicas of
// an entry of the current term are counted; committing it commits all entries
// before it (Raft 3.6.2).
func (c *Core) advanceCommit() {
	matches := make([]uint64, 0, 8)
	for id := range c.voters() {
		matches = append(matches, c.matchIndex(id))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if t, ok := c.log.term(index); ok && t == c.hardState.GetTerm() && index > c.commit {
		c.commit = index
	}
}

// QuorumContact returns the start time of the newest heartbeat round that a
// majority has acknowledged, or false when this replica is not the leader or the
// majority has acknowledged none of the kept rounds of its term. A leader of a
// later term received its votes after that time, because a voter that voted in the
// later term acknowledges no round of this one.
func (c *Core) QuorumContact(now time.Time) (time.Time, bool) {
	if c.role != leader {
		return time.Time{}, false
	}
	rounds := make([]uint64, 0, 8)
	for id := range c.voters() {
		r := c.leaderState.round
		if id != c.cfg.ID {
			r = c.acknowledgedRound(id)
		}
		rounds = append(rounds, r)
	}
	slices.Sort(rounds)
	r := rounds[(len(rounds)-1)/2]
	// A leader that has been removed is not a voter, so the only voter may be
	// another replica.
	if len(rounds) == 1 && c.isVoter(c.cfg.ID) {
		return now, true
	}
	if r == 0 || r+roundHistory <= c.leaderState.round {
		return time.Time{}, false
	}
	return c.leaderState.roundStarts[r%roundHistory], true
}

func (c *Core) acknowledgedRound(id ID) uint64 {
	if p, ok := c.leaderState.progress[id]; ok {
		return p.round
	}
	return 0
}

// Progress is the replication state of another replica, as known to the leader.
type Progress struct {
	// Match is the index up to which the replica has synced the leader's log.
	Match uint64
	// LastReply is when the replica last replied; zero when it has not replied yet.
	LastReply time.Time
	// TrackedSince is when the leader started replicating to the replica.
	TrackedSince time.Time
}

// Progress returns the replication state of a replica, or the zero value when
// the leader has none for it or this replica is not the leader.
func (c *Core) Progress(id ID) Progress {
	p, ok := c.leaderState.progress[id]
	if c.role != leader || !ok {
		return Progress{}
	}
	return Progress{
		Match:        p.match,
		LastReply:    p.lastReply,
		TrackedSince: p.trackedSince,
	}
}
