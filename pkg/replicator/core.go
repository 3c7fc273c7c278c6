// Package replicator is the core of a replicated log: a state machine that
// takes messages and the time and returns what to write, send and apply. It
// does no input or output and starts no goroutine.
//
// The algorithm is Raft (D. Ongaro, "Consensus: Bridging Theory and Practice",
// Stanford, 2014) with pre-vote (9.6), single-step membership changes (4.1),
// learners, and refusal of votes while a leader is heard from (4.2.3).
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

// Core is one replica of the log. It is not safe for concurrent use; make one
// with New. Replicas that are in no membership follow but never campaign.
type Core struct {
	cfg  Config
	role role
	hard *HardState
	// Invariant: equals hard as last handed out for syncing.
	hardStable *HardState
	lead       ID

	log memLog
	// Invariant: its index is at least log.baseIndex and at most commit.
	snapshot *Snapshot
	// Invariant: never falls; entries up to it are the same on every replica.
	commit  uint64
	applied uint64

	// Invariant: membership as of each index that changed it, in index order;
	// the last one is in effect, committed or not.
	memberships []membershipAt

	// heard is when a leader was last heard from, or the start.
	heard    time.Time
	deadline time.Time
	votes    map[ID]bool

	leading leading

	messages []Message
	install  *Snapshot
}

// New returns a replica with what its disk held. It takes part only from the
// first Tick.
func New(cfg Config, recovered Recovered) *Core {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = DefaultElectionTimeout
	}
	c := &Core{
		cfg:  cfg,
		hard: &HardState{},
	}
	c.recover(recovered)
	return c
}

func (c *Core) recover(r Recovered) {
	if r.Hard != nil {
		c.hard = r.Hard
	}
	c.log.reset(r.BaseIndex, r.BaseTerm)
	c.log.entries = append(c.log.entries, r.Entries...)
	c.log.stable = c.log.last()
	if r.Snapshot != nil {
		c.snapshot = r.Snapshot
		c.commit, c.applied = r.Snapshot.GetIndex(), r.Snapshot.GetIndex()
		c.noteMembership(r.Snapshot.GetIndex(), r.Snapshot.GetMembership())
	}
	for _, e := range c.log.slice(c.commit, c.log.last()) {
		c.noteEntry(e)
	}
	// A crash between an installed snapshot and the hard state leaves an older term.
	if t := max(c.log.lastTerm(), c.snapshot.GetTerm()); t > c.hard.GetTerm() {
		c.hard = &HardState{
			Term: t,
		}
	}
	c.hardStable = c.hard
}

// Tick tells the core the time; it is called several times in a heartbeat interval.
func (c *Core) Tick(now time.Time) {
	if c.deadline.IsZero() {
		c.hear(now)
	}
	switch {
	case c.role == leader:
		c.tickLeader(now)
	case !now.Before(c.deadline) && c.isVoter(c.cfg.ID):
		c.campaign(now, preCandidate)
	}
}

// hear notes that a leader is alive and puts off the next campaign.
func (c *Core) hear(now time.Time) {
	c.heard = now
	c.delay(now)
}

func (c *Core) delay(now time.Time) {
	et := c.cfg.ElectionTimeout
	c.deadline = now.Add(et + time.Duration(c.cfg.Rand.Int64N(int64(et))))
}

// Step takes a message that another replica sent. Messages for another ID are dropped.
func (c *Core) Step(now time.Time, m Message) {
	if m.GetTo() != string(c.cfg.ID) || m.GetFrom() == m.GetTo() || !valid(m) {
		return
	}
	if c.deadline.IsZero() {
		c.hear(now)
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

// valid reports whether the entries of a message are contiguous, follow its
// index and have rising terms that are not above its own.
func valid(m Message) bool {
	index, term := m.GetIndex(), m.GetLogTerm()
	for _, e := range m.GetEntries() {
		if e == nil || e.GetIndex() != index+1 || e.GetTerm() < term || e.GetTerm() > m.GetTerm() {
			return false
		}
		index, term = e.GetIndex(), e.GetTerm()
	}
	return m.GetKind() != replication.MessageKind_MESSAGE_KIND_SNAPSHOT || m.GetSnapshot() != nil
}

// become turns the replica into a follower in the given term.
func (c *Core) become(now time.Time, term uint64, lead ID) {
	if term > c.hard.GetTerm() {
		c.hard = &HardState{
			Term: term,
		}
	}
	if c.role != follower {
		c.delay(now)
	}
	c.role, c.lead, c.votes = follower, lead, nil
	c.leading = leading{}
}

func (c *Core) send(m Message) {
	m.From = string(c.cfg.ID)
	if m.Term == 0 {
		m.Term = c.hard.GetTerm()
	}
	c.messages = append(c.messages, m)
}

// Leader returns the leader that this replica knows of, empty when none.
func (c *Core) Leader() ID { return c.lead }

// Leading reports whether this replica leads and has applied an entry of its
// own term, so that its applied state holds every change that was ever
// acknowledged.
func (c *Core) Leading() bool {
	if c.role != leader {
		return false
	}
	t, ok := c.log.term(c.applied)
	return ok && t == c.hard.GetTerm()
}

// Status is a summary of a replica for tests and status pages.
type Status struct {
	Term       uint64
	Leader     ID
	Leads      bool
	Commit     uint64
	Applied    uint64
	Last       uint64
	Membership *Membership
	// Voter reports whether this replica votes in the membership.
	Voter bool
	// Heard is when a leader was last heard from, or the first Tick.
	Heard time.Time
}

// Status returns a summary of the replica.
func (c *Core) Status() Status {
	return Status{
		Term:       c.hard.GetTerm(),
		Leader:     c.lead,
		Leads:      c.role == leader,
		Commit:     c.commit,
		Applied:    c.applied,
		Last:       c.log.last(),
		Membership: c.membership(),
		Voter:      c.isVoter(c.cfg.ID),
		Heard:      c.heard,
	}
}
