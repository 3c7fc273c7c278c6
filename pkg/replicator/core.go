// Package replicator implements the core of a replicated log as a deterministic
// state machine: it is given messages and the current time and returns what to
// write, send and apply. It performs no I/O and starts no goroutines.
//
// The algorithm is Raft (D. Ongaro, "Consensus: Bridging Theory and Practice",
// Stanford, 2014) with pre-vote (9.6), single-server membership changes (4.1),
// learners, and rejection of vote requests while there is contact with a leader
// (4.2.3).
package replicator

import (
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Core is one replica of the log. It is not safe for concurrent use; create one
// with New. A replica that is not in the membership follows a leader but never
// campaigns.
type Core struct {
	cfg       Config
	role      role
	hardState *HardState
	// stableHardState is the hard state that was synced last.
	stableHardState *HardState
	leader          ID

	log memLog
	// Invariant: its index is at least log.baseIndex and at most commit.
	snapshot *Snapshot
	// Invariant: never decreases; entries up to commit are the same on every replica.
	commit  uint64
	applied uint64

	// memberships holds each membership with the index of the entry that set it, in
	// index order. The last one is in effect, whether committed or not.
	memberships []membershipAt

	// lastLeaderContact is when the last message of a leader arrived, or the time
	// of the first Tick or Step.
	lastLeaderContact time.Time
	// caughtUpSince is since when such messages have arrived without a gap of maxContactGap.
	caughtUpSince time.Time
	// caughtUpAt is when the last message of a leader arrived whose commit index this
	// replica has reached; zero while it lacks committed entries.
	caughtUpAt       time.Time
	electionDeadline time.Time
	votes            map[ID]bool

	leaderState leaderState

	pendingMessages []Message
	pendingSnapshot *Snapshot
}

// New returns a replica with the state recovered from its disk. Its election
// timeout starts with the first Tick or Step.
func New(cfg Config, recovered Recovered) *Core {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = DefaultElectionTimeout
	}
	c := &Core{
		cfg:       cfg,
		hardState: &HardState{},
	}
	c.recover(recovered)
	return c
}

func (c *Core) recover(r Recovered) {
	if r.Hard != nil {
		c.hardState = r.Hard
	}
	c.log.reset(r.BaseIndex, r.BaseTerm)
	c.log.entries = append(c.log.entries, r.Entries...)
	c.log.stable = c.log.lastIndex()
	if r.Snapshot != nil {
		c.snapshot = r.Snapshot
		c.commit, c.applied = r.Snapshot.GetIndex(), r.Snapshot.GetIndex()
		c.recordMembership(r.Snapshot.GetIndex(), r.Snapshot.GetMembership())
	}
	for _, e := range c.log.slice(c.commit, c.log.lastIndex()) {
		c.recordMembershipEntry(e)
	}
	// After a crash between the sync of a snapshot and that of the hard state,
	// the stored term is older than that of the snapshot.
	if t := max(c.log.lastTerm(), c.snapshot.GetTerm()); t > c.hardState.GetTerm() {
		c.hardState = &HardState{
			Term: t,
		}
	}
	c.stableHardState = c.hardState
}

// Tick advances the clock of the core. The caller calls it several times per
// heartbeat interval.
func (c *Core) Tick(now time.Time) {
	if c.electionDeadline.IsZero() {
		c.recordLeaderContact(now)
	}
	switch {
	case c.role == leader:
		c.tickLeader(now)
	case !now.Before(c.electionDeadline) && c.isVoter(c.cfg.ID):
		c.campaign(now, preCandidate)
	}
}

// recordLeaderContact notes contact with a leader and restarts the election timeout.
func (c *Core) recordLeaderContact(now time.Time) {
	c.lastLeaderContact = now
	c.resetElectionDeadline(now)
}

func (c *Core) resetElectionDeadline(now time.Time) {
	timeout := c.cfg.ElectionTimeout
	c.electionDeadline = now.Add(timeout + time.Duration(c.cfg.Rand.Int64N(int64(timeout))))
}

// Step processes a message from another replica. Messages addressed to another
// ID are dropped.
func (c *Core) Step(now time.Time, m Message) {
	if m.GetTo() != string(c.cfg.ID) || m.GetFrom() == m.GetTo() || !validMessage(m) {
		return
	}
	if c.electionDeadline.IsZero() {
		c.recordLeaderContact(now)
	}
	switch m.GetKind() {
	case replication.MessageKind_MESSAGE_KIND_PRE_VOTE, replication.MessageKind_MESSAGE_KIND_VOTE:
		c.stepVote(now, m)
	case replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, replication.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		c.stepVoteReply(now, m)
	case replication.MessageKind_MESSAGE_KIND_APPEND, replication.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.stepFromLeader(now, m)
	case replication.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		c.stepAppendReply(now, m)
	}
}

// validMessage reports whether the entries of a message are contiguous, follow
// its index and have non-decreasing terms that do not exceed the message's term.
// A snapshot message must contain a snapshot.
func validMessage(m Message) bool {
	index, term := m.GetIndex(), m.GetLogTerm()
	for _, e := range m.GetEntries() {
		if e == nil || e.GetIndex() != index+1 || e.GetTerm() < term || e.GetTerm() > m.GetTerm() {
			return false
		}
		index, term = e.GetIndex(), e.GetTerm()
	}
	return m.GetKind() != replication.MessageKind_MESSAGE_KIND_SNAPSHOT || m.GetSnapshot() != nil
}

// becomeFollower makes the replica a follower in the given term.
func (c *Core) becomeFollower(now time.Time, term uint64, leaderID ID) {
	if term > c.hardState.GetTerm() {
		c.hardState = &HardState{
			Term: term,
		}
	}
	if c.role != follower {
		c.resetElectionDeadline(now)
	}
	c.role, c.leader, c.votes = follower, leaderID, nil
	c.leaderState = leaderState{}
}

func (c *Core) send(m Message) {
	m.From = string(c.cfg.ID)
	if m.Term == 0 {
		m.Term = c.hardState.GetTerm()
	}
	c.pendingMessages = append(c.pendingMessages, m)
}

// Leader returns the known leader, or an empty ID when none is known.
func (c *Core) Leader() ID { return c.leader }

// LeaderReady reports whether this replica is the leader and has applied an entry
// of its own term. Its applied state then contains every change that was ever
// acknowledged.
func (c *Core) LeaderReady() bool {
	if c.role != leader {
		return false
	}
	t, ok := c.log.term(c.applied)
	return ok && t == c.hardState.GetTerm()
}

// Status is a summary of the state of a replica, for tests and status pages.
type Status struct {
	Term       uint64
	Leader     ID
	IsLeader   bool
	Commit     uint64
	Applied    uint64
	Last       uint64
	Membership *Membership
	// Voter reports whether this replica is a voter of the membership.
	Voter bool
	// CaughtUpAt is when the last message of a leader arrived after which this replica held
	// all that the leader had committed; zero while it does not. CaughtUpSince is since when
	// such messages have arrived without a gap. Messages that waited in a buffer while this
	// replica was paused, or cut off, come after a gap.
	CaughtUpAt, CaughtUpSince time.Time
	// LastLeaderContact is when the last message of a leader arrived, or the time
	// of the first Tick or Step.
	LastLeaderContact time.Time
}

// Status returns a summary of the state of the replica.
func (c *Core) Status() Status {
	return Status{
		Term:              c.hardState.GetTerm(),
		Leader:            c.leader,
		IsLeader:          c.role == leader,
		Commit:            c.commit,
		Applied:           c.applied,
		Last:              c.log.lastIndex(),
		Membership:        c.membership(),
		Voter:             c.isVoter(c.cfg.ID),
		CaughtUpAt:        c.caughtUpAt,
		CaughtUpSince:     c.caughtUpSince,
		LastLeaderContact: c.lastLeaderContact,
	}
}
