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

// message returns a message that refers to the first entry and the first round.
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

// step delivers one message to a replica and does the resulting work.
func (m *cluster) step(msg *replication.Message) replicator.Status {
	m.cores[msg.GetTo()].Step(m.now, msg)
	m.processReady(msg.GetTo(), false)
	return m.cores[msg.GetTo()].Status()
}

// acknowledge tells a that b has synced the log up to index.
func (m *cluster) acknowledge(index uint64) replicator.Status {
	msg := message(appendReply, "b", "a", 4)
	msg.Index = index
	return m.step(msg)
}

// restartWithOldEntry restarts a replica with an entry of term 2 and the term 3
// on its disk.
func (m *cluster) restartWithOldEntry(id string) {
	disk := m.disks[id]
	disk.Hard = &replication.HardState{
		Term: 3,
	}
	disk.Entries = []*replication.Entry{entry(2, 2)}
	m.disks[id] = disk
	m.restart(id)
}

// newElectedLeader returns a cluster in which a, with an entry of term 2 in its
// log, was elected leader of term 4 by the vote of b.
func newElectedLeader() (*cluster, *replicator.Core) {
	m := newCluster(nil)
	m.restartWithOldEntry("a")
	m.cores["a"].Tick(m.now)
	m.now = m.now.Add(2 * time.Second)
	m.cores["a"].Tick(m.now)
	m.processReady("a", false)
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

// TestLeaderBeforeCommitInOwnTerm guards against two faults of a new leader:
// committing an entry of an older term by counting its replicas, although another
// leader may still replace it, and acting as leader before it has applied
// everything that an earlier leader may have acknowledged.
func TestLeaderBeforeCommitInOwnTerm(t *testing.T) {
	is := is.New(t)
	m, a := newElectedLeader()
	is.Equal(m.acknowledge(2).Commit, uint64(1))
	_, contact := a.QuorumContact(m.now)
	is.True(contact)
	is.True(!a.LeaderReady()) // a lease granted now could be based on outdated state
	_, err := a.ProposeMembership(m.now, change(replicator.AddLearner, "e"))
	is.Equal(err, replicator.ErrMembershipBusy)
	is.Equal(m.acknowledge(3).Commit, uint64(3))
	is.True(a.LeaderReady())
}

// TestOneMembershipChange guards against two uncommitted membership changes at the
// same time, after which two majorities might not overlap.
func TestOneMembershipChange(t *testing.T) {
	is := is.New(t)
	m, a := newElectedLeader()
	m.acknowledge(3)
	for _, want := range []error{nil, replicator.ErrMembershipBusy} {
		_, err := a.ProposeMembership(m.now, change(replicator.Remove, "c"))
		is.Equal(err, want)
		m.processReady("a", false)
	}
	m.acknowledge(4)
	_, err := a.ProposeMembership(m.now, change(replicator.Remove, "c"))
	is.Equal(err, replicator.ErrMembershipChange) // c is no longer a member
}

// TestQuorumContactOfRemovedLeader guards against a lease that a leader grants on
// its own after it has started its own removal from a group of two.
func TestQuorumContactOfRemovedLeader(t *testing.T) {
	is := is.New(t)
	m, a := newElectedLeader()
	m.acknowledge(3)
	for _, id := range []replicator.ID{"c", "a"} {
		_, err := a.ProposeMembership(m.now, change(replicator.Remove, id))
		is.NoErr(err)
		m.processReady("a", false)
		if id == "c" {
			m.acknowledge(4)
		}
	}
	contact, ok := a.QuorumContact(m.now.Add(time.Second))
	is.True(ok)
	is.True(!contact.After(m.now)) // b has not acknowledged a later round
}

// TestLateAppend guards against a delayed message that removes entries which the
// replica has acknowledged since.
func TestLateAppend(t *testing.T) {
	m := newCluster(nil)
	for _, last := range []uint64{5, 3} {
		msg := message(appendTo, "a", "b", 2)
		for i := uint64(2); i <= last; i++ {
			msg.Entries = append(msg.Entries, entry(2, i))
		}
		is.New(t).Equal(m.step(msg).Last, uint64(5))
	}
}

// TestVoteRefused guards against a reconnecting replica that deposes a leader with
// which the others have contact.
func TestVoteRefused(t *testing.T) {
	tests := map[string]time.Duration{
		"leader contact is recent":                           400 * time.Millisecond,
		"leader contact is just within the election timeout": 499 * time.Millisecond,
		"leader contact is one election timeout ago":         500 * time.Millisecond,
		"leader contact is long ago":                         600 * time.Millisecond,
	}
	for name, after := range tests {
		t.Run(name, func(t *testing.T) {
			m := newCluster(nil)
			m.step(message(appendTo, "a", "b", 2))
			m.now = m.now.Add(after)
			s := m.step(message(vote, "c", "b", 3))
			is.New(t).Equal(s.Term == 3, after >= replicator.DefaultElectionTimeout)
		})
	}
}

// TestVoteSurvivesRestart guards against a replica that votes for two candidates in
// one term, with and without a restart in between.
func TestVoteSurvivesRestart(t *testing.T) {
	for name, restart := range map[string]bool{"running": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newCluster(nil)
			ask := func(from string) bool {
				m.now = m.now.Add(time.Second)
				m.inFlight = nil
				m.step(message(vote, from, "c", 5))
				return len(m.inFlight) == 1 && !m.inFlight[0].GetReject()
			}
			m.cores["c"].Tick(m.now)
			is.True(ask("a"))
			if restart {
				m.restart("c")
				m.cores["c"].Tick(m.now)
			}
			is.True(!ask("b"))
			is.True(ask("a")) // the same candidate is granted its vote again after a lost reply
		})
	}
}

// TestNoCommitOfUnverifiedEntry guards against committing an entry of an earlier
// leader only because its index is at most the commit index of the current leader.
func TestNoCommitOfUnverifiedEntry(t *testing.T) {
	m := newCluster(nil)
	m.restartWithOldEntry("b")
	msg := message(appendTo, "a", "b", 3)
	msg.Commit = 2
	is.New(t).Equal(m.step(msg).Commit, uint64(1))
}
