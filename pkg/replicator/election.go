package replicator

import (
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

// campaign requests the votes of all voters. A pre-candidate asks for the next
// term without raising its own; a candidate raises it and votes for itself.
func (c *Core) campaign(now time.Time, newRole role) {
	c.role, c.leader = newRole, ""
	c.resetElectionDeadline(now)
	c.votes = map[ID]bool{
		c.cfg.ID: true,
	}
	kind, term := replication.MessageKind_MESSAGE_KIND_PRE_VOTE, c.hardState.GetTerm()+1
	if newRole == candidate {
		kind = replication.MessageKind_MESSAGE_KIND_VOTE
		c.hardState = &HardState{
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
			Index:   c.log.lastIndex(),
			LogTerm: c.log.lastTerm(),
		})
	}
	// A pre-candidate that is the only voter needs no replies. The vote of a
	// candidate for itself counts after it is synced, in Advance.
	if newRole == preCandidate {
		c.countVotes(now)
	}
}

// stepVote answers a vote request. While there is contact with a leader the
// request is not considered, so that a voter that reconnects cannot depose that
// leader.
func (c *Core) stepVote(now time.Time, m Message) {
	if now.Before(c.lastLeaderContact.Add(c.cfg.ElectionTimeout)) || c.role == leader {
		c.rejectStaleCandidate(m)
		return
	}
	preVote := m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE
	if !preVote && m.GetTerm() > c.hardState.GetTerm() {
		c.becomeFollower(now, m.GetTerm(), "")
	}
	canVote := c.hardState.GetVote() == "" || c.hardState.GetVote() == m.GetFrom()
	grant := m.GetTerm() > c.hardState.GetTerm() || (!preVote && m.GetTerm() == c.hardState.GetTerm() && canVote)
	grant = grant && c.upToDate(m)
	reply := &replication.Message{
		Kind:   replication.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		To:     m.GetFrom(),
		Reject: !grant,
	}
	if preVote {
		reply.Kind = replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	}
	if grant {
		reply.Term = m.GetTerm()
	}
	if grant && !preVote {
		c.hardState = &HardState{
			Term: m.GetTerm(),
			Vote: m.GetFrom(),
		}
		c.resetElectionDeadline(now)
	}
	c.send(reply)
}

// rejectStaleCandidate rejects the request of a candidate whose term is not newer,
// which tells it the current term. A candidate of a newer term gets no reply.
func (c *Core) rejectStaleCandidate(m Message) {
	if m.GetTerm() > c.hardState.GetTerm() {
		return
	}
	c.send(&replication.Message{
		Kind:   replication.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		To:     m.GetFrom(),
		Reject: true,
	})
}

// upToDate reports whether the candidate's log is at least as up to date as this one.
func (c *Core) upToDate(m Message) bool {
	lastTerm := c.log.lastTerm()
	return m.GetLogTerm() > lastTerm || (m.GetLogTerm() == lastTerm && m.GetIndex() >= c.log.lastIndex())
}

func (c *Core) stepVoteReply(now time.Time, m Message) {
	preVote := m.GetKind() == replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	if m.GetReject() {
		if m.GetTerm() > c.hardState.GetTerm() {
			c.becomeFollower(now, m.GetTerm(), "")
		}
		return
	}
	wantTerm := c.hardState.GetTerm()
	if preVote {
		wantTerm++
	}
	wrongRole := (preVote && c.role != preCandidate) || (!preVote && c.role != candidate)
	if wrongRole || m.GetTerm() != wantTerm {
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
		c.leader, c.role = c.cfg.ID, leader
		c.becomeLeader(now)
	}
}
