package replicator

import (
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

// campaign asks all voters for their vote, first without raising the term.
func (c *Core) campaign(now time.Time, as role) {
	c.role, c.lead = as, ""
	c.delay(now)
	c.votes = map[ID]bool{
		c.cfg.ID: true,
	}
	kind, term := replication.MessageKind_MESSAGE_KIND_PRE_VOTE, c.hard.GetTerm()+1
	if as == candidate {
		kind = replication.MessageKind_MESSAGE_KIND_VOTE
		c.hard = &HardState{
			Term: term,
			Vote: string(c.cfg.ID),
		}
	}
	for id := range c.voters() {
		if id == c.cfg.ID {
			continue
		}
		c.send(&replication.Message{
			Kind:    kind,
			To:      string(id),
			Term:    term,
			Index:   c.log.last(),
			LogTerm: c.log.lastTerm(),
		})
	}
	// A group of one voter needs no replies.
	if as == preCandidate {
		c.countVotes(now)
	}
}

// stepVote answers a candidate. A replica that hears from a leader ignores
// the request, so that a returning voter can't depose that leader.
func (c *Core) stepVote(now time.Time, m Message) {
	if now.Before(c.heard.Add(c.cfg.ElectionTimeout)) || c.role == leader {
		c.refuseOldTerm(m)
		return
	}
	pre := m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE
	if !pre && m.GetTerm() > c.hard.GetTerm() {
		c.become(now, m.GetTerm(), "")
	}
	free := c.hard.GetVote() == "" || c.hard.GetVote() == m.GetFrom()
	grant := m.GetTerm() > c.hard.GetTerm() || (!pre && m.GetTerm() == c.hard.GetTerm() && free)
	grant = grant && c.upToDate(m)
	reply := &replication.Message{
		Kind:   replication.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		To:     m.GetFrom(),
		Reject: !grant,
	}
	if pre {
		reply.Kind = replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	}
	if grant {
		reply.Term = m.GetTerm()
	}
	if grant && !pre {
		c.hard = &HardState{
			Term: m.GetTerm(),
			Vote: m.GetFrom(),
		}
		c.delay(now)
	}
	c.send(reply)
}

// refuseOldTerm tells a candidate of an older term about the present one; a
// candidate of a newer term gets no answer.
func (c *Core) refuseOldTerm(m Message) {
	if m.GetTerm() > c.hard.GetTerm() {
		return
	}
	c.send(&replication.Message{
		Kind:   replication.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		To:     m.GetFrom(),
		Reject: true,
	})
}

// upToDate reports whether the candidate's log holds all that this one holds.
func (c *Core) upToDate(m Message) bool {
	own := c.log.lastTerm()
	return m.GetLogTerm() > own || (m.GetLogTerm() == own && m.GetIndex() >= c.log.last())
}

func (c *Core) stepVoteReply(now time.Time, m Message) {
	pre := m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	if m.GetReject() {
		if m.GetTerm() > c.hard.GetTerm() {
			c.become(now, m.GetTerm(), "")
		}
		return
	}
	want := c.hard.GetTerm()
	if pre {
		want++
	}
	wrongRole := (pre && c.role != preCandidate) || (!pre && c.role != candidate)
	if wrongRole || m.GetTerm() != want {
		return
	}
	c.votes[ID(m.GetFrom())] = true
	c.countVotes(now)
}

func (c *Core) countVotes(now time.Time) {
	if !c.majority(func(id ID) bool { return c.votes[id] }) {
		return
	}
	switch c.role {
	case preCandidate:
		c.campaign(now, candidate)
	case candidate:
		c.lead, c.role = c.cfg.ID, leader
		c.startLeading(now)
	}
}
