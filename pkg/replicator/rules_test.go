package replicator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

const (
	vote         = replication.MessageKind_MESSAGE_KIND_VOTE
	voteReply    = replication.MessageKind_MESSAGE_KIND_VOTE_REPLY
	preVoteReply = replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	appendTo     = replication.MessageKind_MESSAGE_KIND_APPEND
	appendReply  = replication.MessageKind_MESSAGE_KIND_APPEND_REPLY
)

// message returns one that refers to the first entry and the first round.
func message(kind replication.MessageKind, from, to string, term uint64) *replication.Message {
	return &replication.Message{
		Kind:    kind,
		From:    from,
		To:      to,
		Term:    term,
		Index:   1,
		LogTerm: 1,
		Round:   1,
	}
}

func entry(term, index uint64) *replication.Entry {
	return &replication.Entry{
		Term:  term,
		Index: index,
	}
}

// step passes one message to a replica and lets it work.
func (m *machine) step(msg *replication.Message) replicator.Status {
	m.cores[msg.GetTo()].Step(m.now, msg)
	m.flush(msg.GetTo(), false)
	return m.cores[msg.GetTo()].Status()
}

// acknowledge tells a that b has synced the log up to index.
func (m *machine) acknowledge(index uint64) replicator.Status {
	msg := message(appendReply, "b", "a", 4)
	msg.Index = index
	return m.step(msg)
}

// hold lets a replica start with an entry of term 2 on its disk.
func (m *machine) hold(id string) {
	d := m.disks[id]
	d.Hard = &replication.HardState{
		Term: 3,
	}
	d.Entries = []*replication.Entry{entry(2, 2)}
	m.disks[id] = d
	m.restart(id)
}

// elected returns a machine in which a, with an entry of term 2, leads term 4
// by the votes of b.
func elected() (*machine, *replicator.Core) {
	m := newMachine(nil)
	m.hold("a")
	m.cores["a"].Tick(m.now)
	m.now = m.now.Add(2 * time.Second)
	m.cores["a"].Tick(m.now)
	m.flush("a", false)
	m.step(message(preVoteReply, "b", "a", 4))
	m.step(message(voteReply, "b", "a", 4))
	return m, m.cores["a"]
}

func change(kind replicator.ChangeKind, id replicator.ID) replicator.Change {
	return replicator.Change{
		Kind: kind,
		ID:   id,
	}
}

// TestOldTerm guards against two faults of a new leader: committing an entry
// of an older term by counting its copies, which another leader may still
// replace, and acting as the leader before it has applied all that a former
// leader may have acknowledged.
func TestOldTerm(t *testing.T) {
	is := is.New(t)
	m, a := elected()
	is.Equal(m.acknowledge(2).Commit, uint64(1))
	_, contact := a.QuorumContact(m.now)
	is.True(contact)
	is.True(!a.Leading()) // a lease now could be on an old state
	_, err := a.ProposeMembership(m.now, change(replicator.AddLearner, "e"))
	is.Equal(err, replicator.ErrMembershipBusy)
	is.Equal(m.acknowledge(3).Commit, uint64(3))
	is.True(a.Leading())
}

// TestOneMembershipChange guards against two uncommitted changes at once,
// after which two majorities might not overlap.
func TestOneMembershipChange(t *testing.T) {
	is := is.New(t)
	m, a := elected()
	m.acknowledge(3)
	for _, want := range []error{nil, replicator.ErrMembershipBusy} {
		_, err := a.ProposeMembership(m.now, change(replicator.Remove, "c"))
		is.Equal(err, want)
		m.flush("a", false)
	}
	m.acknowledge(4)
	_, err := a.ProposeMembership(m.now, change(replicator.Remove, "c"))
	is.Equal(err, replicator.ErrMembershipChange) // it has left already
}

// TestContactOfRemovedLeader guards against a lease that a leader grants by
// itself after it has started its own removal from a group of two.
func TestContactOfRemovedLeader(t *testing.T) {
	is := is.New(t)
	m, a := elected()
	m.acknowledge(3)
	for _, id := range []replicator.ID{"c", "a"} {
		_, err := a.ProposeMembership(m.now, change(replicator.Remove, id))
		is.NoErr(err)
		m.flush("a", false)
		if id == "c" {
			m.acknowledge(4)
		}
	}
	contact, ok := a.QuorumContact(m.now.Add(time.Second))
	is.True(ok)
	is.True(!contact.After(m.now)) // b has acknowledged nothing later
}

// TestLateAppend guards against a late message that undoes entries which this
// replica has acknowledged since.
func TestLateAppend(t *testing.T) {
	m := newMachine(nil)
	for _, last := range []uint64{5, 3} {
		msg := message(appendTo, "a", "b", 2)
		for i := uint64(2); i <= last; i++ {
			msg.Entries = append(msg.Entries, entry(2, i))
		}
		is.New(t).Equal(m.step(msg).Last, uint64(5))
	}
}

// TestVoteRefused guards against a returning replica that deposes a leader
// which the others hear from.
func TestVoteRefused(t *testing.T) {
	tests := map[string]time.Duration{
		"leader heard from":   400 * time.Millisecond,
		"leader almost lost":  499 * time.Millisecond,
		"leader just too old": 500 * time.Millisecond,
		"leader long silent":  600 * time.Millisecond,
	}
	for name, after := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMachine(nil)
			m.step(message(appendTo, "a", "b", 2))
			m.now = m.now.Add(after)
			s := m.step(message(vote, "c", "b", 3))
			is.New(t).Equal(s.Term == 3, after >= replicator.DefaultElectionTimeout)
		})
	}
}

// TestVoteSurvivesRestart guards against two votes of one replica in a term,
// with and without a restart in between.
func TestVoteSurvivesRestart(t *testing.T) {
	for name, restart := range map[string]bool{"running": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(nil)
			ask := func(from string) bool {
				m.now = m.now.Add(time.Second)
				m.flight = nil
				m.step(message(vote, from, "c", 5))
				return len(m.flight) == 1 && !m.flight[0].GetReject()
			}
			m.cores["c"].Tick(m.now)
			is.True(ask("a"))
			if restart {
				m.restart("c")
				m.cores["c"].Tick(m.now)
			}
			is.True(!ask("b"))
			is.True(ask("a")) // a lost reply is sent again
		})
	}
}

// TestCommitOfUnverified guards against committing an entry of a former leader
// because it lies before the commit index of the present one.
func TestCommitOfUnverified(t *testing.T) {
	m := newMachine(nil)
	m.hold("b")
	msg := message(appendTo, "a", "b", 3)
	msg.Commit = 2
	is.New(t).Equal(m.step(msg).Commit, uint64(1))
}
