package replicator

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

const (
	// messageEntries bounds the entries of one message, so that a replica that
	// is far behind does not delay heartbeats.
	messageEntries = 512
	// windowEntries bounds the entries that are sent ahead of confirmation.
	windowEntries = 4096
	// roundsKept is the number of heartbeat rounds whose send time is kept; at
	// 100 ms it covers more than an authority lease.
	roundsKept = 64
)

// leading is what only a leader keeps.
type leading struct {
	since    time.Time
	progress map[ID]*progress
	// Invariant: round is the newest heartbeat round; rounds[r%roundsKept] is
	// when it was started.
	round  uint64
	rounds [roundsKept]time.Time
}

// progress is what the leader knows of another replica.
type progress struct {
	// Invariant: the replica holds the leader's entries up to match on disk.
	match uint64
	// next is the next index to send; at least match+1.
	next uint64
	// probing is true from a refusal until the replica confirms that its log
	// matches up to next. Till then one message with entries is under way at a
	// time: copies for each refusal would fill a slow link.
	probing bool
	// probedAt is when the last such message was sent.
	probedAt time.Time
	// round is the newest heartbeat round that the replica acknowledged.
	round uint64
	// snapshotAt is when a snapshot was last sent; zero when none is under way.
	snapshotAt time.Time
	heard      time.Time
	since      time.Time
}

func (c *Core) startLeading(now time.Time) {
	c.leading = leading{
		since:    now,
		progress: make(map[ID]*progress),
	}
	c.append(&Entry{
		Kind: replication.EntryKind_ENTRY_KIND_EMPTY,
	})
	c.heartbeat(now)
}

func (c *Core) tickLeader(now time.Time) {
	contact, ok := c.QuorumContact(now)
	if !ok {
		contact = c.leading.since
	}
	if now.Sub(contact) > c.cfg.ElectionTimeout {
		c.become(now, c.hard.GetTerm(), "")
		return
	}
	if now.Sub(c.leading.rounds[c.leading.round%roundsKept]) >= c.cfg.HeartbeatInterval {
		c.heartbeat(now)
	}
}

func (c *Core) heartbeat(now time.Time) {
	c.leading.round++
	c.leading.rounds[c.leading.round%roundsKept] = now
	c.broadcast(now, true)
}

// broadcast sends what each replica lacks; force sends also when it lacks nothing.
func (c *Core) broadcast(now time.Time, force bool) {
	for _, m := range c.membership().GetMembers() {
		if id := ID(m.GetId()); id != c.cfg.ID {
			c.sendAppend(now, id, force)
		}
	}
}

func (c *Core) progressOf(now time.Time, id ID) *progress {
	p, ok := c.leading.progress[id]
	if !ok {
		p = &progress{
			next:  c.log.stable + 1,
			since: now,
		}
		c.leading.progress[id] = p
	}
	return p
}

func (c *Core) sendAppend(now time.Time, id ID, force bool) {
	p := c.progressOf(now, id)
	m := &replication.Message{
		Kind:  replication.MessageKind_MESSAGE_KIND_APPEND,
		To:    string(id),
		Round: c.leading.round,
	}
	prevTerm, held := c.log.term(p.next - 1)
	switch {
	case !held && c.snapshotDue(now, p):
		p.snapshotAt = now
		m.Kind = replication.MessageKind_MESSAGE_KIND_SNAPSHOT
		m.Snapshot = c.snapshot
	case !held:
		// While the snapshot travels, heartbeats refer to the empty log, which
		// every replica matches.
		if !force {
			return
		}
	case p.probing && now.Sub(p.probedAt) < c.cfg.ElectionTimeout:
		if !force {
			return
		}
		m.Index, m.LogTerm, m.Commit = p.next-1, prevTerm, c.commit
	default:
		p.probedAt = now
		m.Index, m.LogTerm = p.next-1, prevTerm
		m.Commit = c.commit
		m.Entries = c.log.slice(p.next-1, min(p.next-1+messageEntries, p.match+windowEntries))
		if len(m.Entries) == 0 && !force {
			return
		}
		if !p.probing {
			p.next += uint64(len(m.Entries))
		}
	}
	c.send(m)
}

// snapshotDue reports whether to send a snapshot now: only to a replica that
// is heard from, and not again while the last one may still be under way.
func (c *Core) snapshotDue(now time.Time, p *progress) bool {
	wait := 2 * c.cfg.ElectionTimeout
	return now.Sub(p.heard) < wait && now.Sub(p.snapshotAt) >= wait
}

// Propose appends data to the log. Whether it is committed shows when the
// entry at the returned index is applied.
func (c *Core) Propose(_ time.Time, data []byte) (Position, error) {
	if c.role != leader {
		return Position{}, ErrNotLeader{
			Leader: c.lead,
		}
	}
	return c.append(&Entry{
		Kind: replication.EntryKind_ENTRY_KIND_DATA,
		Data: data,
	}), nil
}

// append adds an entry of the present term; Ready sends it, so that all
// proposals between two calls of Ready share messages and one sync.
func (c *Core) append(e *Entry) Position {
	e.Term, e.Index = c.hard.GetTerm(), c.log.last()+1
	c.log.extend(e)
	c.noteEntry(e)
	return Position{
		Index: e.GetIndex(),
		Term:  e.GetTerm(),
	}
}

func (c *Core) stepAppendReply(now time.Time, m Message) {
	if m.GetTerm() > c.hard.GetTerm() {
		c.become(now, m.GetTerm(), "")
		return
	}
	if c.role != leader || m.GetTerm() < c.hard.GetTerm() || !c.isMember(ID(m.GetFrom())) {
		return
	}
	id := ID(m.GetFrom())
	p := c.progressOf(now, id)
	p.heard = now
	p.round = max(p.round, min(m.GetRound(), c.leading.round))
	switch {
	case m.GetReject() && m.GetIndex() > p.match && m.GetIndex() < p.next:
		p.next = max(p.match+1, min(m.GetIndex(), m.GetHint()+1))
		p.probing, p.probedAt = true, time.Time{}
	case !m.GetReject() && m.GetIndex() > p.match && m.GetIndex() <= c.log.last():
		p.match = m.GetIndex()
		p.next = max(p.next, p.match+1)
		p.snapshotAt = time.Time{}
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

// matchOf returns up to where a replica has synced the leader's log.
func (c *Core) matchOf(id ID) uint64 {
	if id == c.cfg.ID {
		return c.log.stable
	}
	if p, ok := c.leading.progress[id]; ok {
		return p.match
	}
	return 0
}

// advanceCommit commits what a majority has synced. Only an entry of the
// present term is counted; it commits all before it.
func (c *Core) advanceCommit() {
	matches := make([]uint64, 0, 8)
	for id := range c.voters() {
		matches = append(matches, c.matchOf(id))
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if t, ok := c.log.term(index); ok && t == c.hard.GetTerm() && index > c.commit {
		c.commit = index
	}
}

// QuorumContact returns the send time of the newest heartbeat round that a
// majority has acknowledged, false when this replica does not lead or no round
// of its term was acknowledged. A leader of a later term got its votes after
// that time, because a voter that has voted in it acknowledges no round of
// this one.
func (c *Core) QuorumContact(now time.Time) (time.Time, bool) {
	if c.role != leader {
		return time.Time{}, false
	}
	rounds := make([]uint64, 0, 8)
	for id := range c.voters() {
		r := c.leading.round
		if id != c.cfg.ID {
			r = c.roundOf(id)
		}
		rounds = append(rounds, r)
	}
	slices.Sort(rounds)
	r := rounds[(len(rounds)-1)/2]
	// A leader that is removed is no voter, so that the only one may be another.
	if len(rounds) == 1 && c.isVoter(c.cfg.ID) {
		return now, true
	}
	if r == 0 || r+roundsKept <= c.leading.round {
		return time.Time{}, false
	}
	return c.leading.rounds[r%roundsKept], true
}

func (c *Core) roundOf(id ID) uint64 {
	if p, ok := c.leading.progress[id]; ok {
		return p.round
	}
	return 0
}

// Progress is what the leader knows of another replica.
type Progress struct {
	// Match is up to where the replica has synced the leader's log.
	Match uint64
	// Heard is when the replica last answered; zero when it has not.
	Heard time.Time
	// Since is when the leader began to send to the replica.
	Since time.Time
}

// Progress returns what the leader knows of a replica; the zero value when it
// knows nothing or this replica does not lead.
func (c *Core) Progress(id ID) Progress {
	p, ok := c.leading.progress[id]
	if c.role != leader || !ok {
		return Progress{}
	}
	return Progress{
		Match: p.match,
		Heard: p.heard,
		Since: p.since,
	}
}
