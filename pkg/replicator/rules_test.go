package replicator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

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

// elect makes a the leader of term 4 by the votes of b.
func (m *machine) elect() {
	m.cores["a"].Tick(m.now)
	m.now = m.now.Add(2 * time.Second)
	m.cores["a"].Tick(m.now)
	m.flush("a", false)
	for _, kind := range []replication.MessageKind{
		replication.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY,
		replication.MessageKind_MESSAGE_KIND_VOTE_REPLY,
	} {
		m.step(&replication.Message{
			Kind: kind,
			From: "b",
			To:   "a",
			Term: 4,
		})
	}
}

// TestOldTerm guards against two faults of a new leader: committing an entry
// of an older term by counting its copies, which another leader may still
// replace, and acting as the leader before it has applied all that a former
// leader may have acknowledged.
func TestOldTerm(t *testing.T) {
	is := is.New(t)
	m := newMachine(nil)
	d := m.disks["a"]
	d.Hard = &replication.HardState{
		Term: 3,
	}
	d.Entries = []*replication.Entry{entry(2, 2)}
	m.disks["a"] = d
	m.restart("a")
	m.elect()
	a := m.cores["a"]
	is.True(a.Status().Leads)
	reply := func(index uint64) *replication.Message {
		return &replication.Message{
			Kind:  replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
			From:  "b",
			To:    "a",
			Term:  4,
			Index: index,
			Round: 1,
		}
	}
	is.Equal(m.step(reply(2)).Commit, uint64(1))
	_, contact := a.QuorumContact(m.now)
	is.True(contact)
	is.True(!a.Leading()) // a lease now could be on an old state
	_, err := a.ProposeMembership(m.now, replicator.Change{
		Kind: replicator.AddLearner,
		ID:   "e",
	})
	is.Equal(err, replicator.ErrMembershipBusy)
	is.Equal(m.step(reply(3)).Commit, uint64(3))
	is.True(a.Leading())
}

// TestLateAppend guards against a late message that undoes entries which this
// replica has acknowledged since.
func TestLateAppend(t *testing.T) {
	is := is.New(t)
	m := newMachine(nil)
	appendTo := func(last uint64) replicator.Status {
		msg := &replication.Message{
			Kind:    replication.MessageKind_MESSAGE_KIND_APPEND,
			From:    "a",
			To:      "b",
			Term:    2,
			Index:   1,
			LogTerm: 1,
			Commit:  1,
		}
		for i := uint64(2); i <= last; i++ {
			msg.Entries = append(msg.Entries, entry(2, i))
		}
		return m.step(msg)
	}
	is.Equal(appendTo(5).Last, uint64(5))
	is.Equal(appendTo(3).Last, uint64(5))
}

// TestVoteRefused guards against a returning replica that deposes a leader
// which the others hear from.
func TestVoteRefused(t *testing.T) {
	tests := map[string]time.Duration{
		"leader heard from":   400 * time.Millisecond,
		"leader almost lost":  499 * time.Millisecond,
		"leader long silent":  600 * time.Millisecond,
		"leader just too old": 500 * time.Millisecond,
	}
	for name, after := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMachine(nil)
			m.step(&replication.Message{
				Kind:    replication.MessageKind_MESSAGE_KIND_APPEND,
				From:    "a",
				To:      "b",
				Term:    2,
				Index:   1,
				LogTerm: 1,
			})
			m.now = m.now.Add(after)
			s := m.step(&replication.Message{
				Kind:    replication.MessageKind_MESSAGE_KIND_VOTE,
				From:    "c",
				To:      "b",
				Term:    3,
				Index:   1,
				LogTerm: 1,
			})
			is.New(t).Equal(s.Term == 3, after >= replicator.DefaultElectionTimeout)
		})
	}
}

// TestContactOfRemovedLeader guards against a lease that a leader grants by
// itself after it has started its own removal from a group of two.
func TestContactOfRemovedLeader(t *testing.T) {
	is := is.New(t)
	m := newMachine(nil)
	d := m.disks["a"]
	d.Hard = &replication.HardState{
		Term: 3,
	}
	m.disks["a"] = d
	m.restart("a")
	m.elect()
	elected := m.now
	acknowledge := func(index uint64) {
		m.step(&replication.Message{
			Kind:  replication.MessageKind_MESSAGE_KIND_APPEND_REPLY,
			From:  "b",
			To:    "a",
			Term:  4,
			Index: index,
			Round: 1,
		})
	}
	acknowledge(2)
	for i, id := range []replicator.ID{"c", "a"} {
		_, err := m.cores["a"].ProposeMembership(m.now, replicator.Change{
			Kind: replicator.Remove,
			ID:   id,
		})
		is.NoErr(err)
		m.flush("a", false)
		if i == 0 {
			acknowledge(3)
		}
	}
	contact, ok := m.cores["a"].QuorumContact(m.now.Add(time.Second))
	is.True(ok)
	is.True(!contact.After(elected)) // b has acknowledged nothing later
}

// TestCommitOfUnverified guards against committing an entry of a former leader
// because it lies before the commit index of the present one.
func TestCommitOfUnverified(t *testing.T) {
	is := is.New(t)
	m := newMachine(nil)
	d := m.disks["b"]
	d.Entries = []*replication.Entry{entry(2, 2)}
	m.disks["b"] = d
	m.restart("b")
	s := m.step(&replication.Message{
		Kind:    replication.MessageKind_MESSAGE_KIND_APPEND,
		From:    "a",
		To:      "b",
		Term:    3,
		Index:   1,
		LogTerm: 1,
		Commit:  2,
	})
	is.Equal(s.Commit, uint64(1))
}
