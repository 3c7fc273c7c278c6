package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

const (
	// liveTimeout is the time since its last answer within which a replica
	// counts as live.
	liveTimeout = replicator.DefaultElectionTimeout
	// learnerTimeout is the time after which an unresponsive learner is removed.
	learnerTimeout = 10 * time.Second
	// voterTimeout is the time after which an unresponsive voter of an open
	// group is replaced by a live learner. It is longer than a restart takes.
	voterTimeout = 2500 * time.Millisecond
)

func (r *Replica) tickLeader(now time.Time) {
	if !r.core.LeaderReady() {
		return
	}
	r.pruneFollowers(now)
	r.repairMembership(now)
}

// repairMembership starts at most one membership change. A host that lost its
// disk joins as a learner under its new ID and becomes a voter once it has caught
// up; only then is its former ID removed. In between the group has one more
// voter, so each change commits on as many live hosts as before, and when the
// repair ends an acknowledged change is on every live voter.
func (r *Replica) repairMembership(now time.Time) {
	members := r.core.Status().Membership.GetMembers()
	for _, change := range r.membershipChanges(now, members) {
		_, err := r.core.ProposeMembership(now, change)
		if err != nil {
			return
		}
		r.opts.Logger.Info("voter: membership change proposed", "kind", change.Kind.String(), "id", string(change.ID))
		return
	}
}

// membershipChanges returns the changes that the group needs, in order of
// priority.
func (r *Replica) membershipChanges(now time.Time, members []*replication.Member) []replicator.Change {
	var changes []replicator.Change
	for _, name := range slices.Sorted(maps.Keys(r.leader.joinRequests)) {
		changes = append(changes, r.joinChanges(now, name, members)...)
	}
	for i, m := range members {
		switch {
		case m.GetLearner() && r.shouldPromote(now, members, m.GetId()) && r.caughtUp(now, m.GetId()) && r.hasLiveMajority(now, votersWith(members, m.GetId())):
			changes = append(changes, replicator.Change{
				Kind: replicator.Promote,
				ID:   replicator.ID(m.GetId()),
			})
		case m.GetLearner() && r.learnerTimedOut(now, m.GetId()), r.canRemoveSilentVoter(now, members, m), !m.GetLearner() && r.canRemoveFormerID(now, members, i):
			changes = append(changes, replicator.Change{
				Kind: replicator.Remove,
				ID:   replicator.ID(m.GetId()),
			})
		}
	}
	return changes
}

// joinChanges returns the change that adds a host's new ID as a learner. A
// learner left over from an earlier attempt of the host is removed first, unless
// it is live: then this request is an old one that arrived late, and is dropped.
func (r *Replica) joinChanges(now time.Time, name string, members []*replication.Member) []replicator.Change {
	id := r.leader.joinRequests[name]
	for _, m := range members {
		unfinished := m.GetLearner() && nameOf(m.GetId()) == name
		if m.GetId() == id || (unfinished && r.isLive(now, m.GetId())) {
			delete(r.leader.joinRequests, name)
			return nil
		}
		if unfinished {
			return []replicator.Change{
				{
					Kind: replicator.Remove,
					ID:   replicator.ID(m.GetId()),
				},
			}
		}
	}
	return []replicator.Change{
		{
			Kind: replicator.AddLearner,
			ID:   replicator.ID(id),
		},
	}
}

func (r *Replica) isLive(now time.Time, id string) bool {
	return id == r.identity.GetId() || now.Sub(r.core.Progress(replicator.ID(id)).LastReply) <= liveTimeout
}

func (r *Replica) caughtUp(now time.Time, id string) bool {
	return r.isLive(now, id) && r.core.Progress(replicator.ID(id)).Match >= r.core.Status().Commit
}

func (r *Replica) learnerTimedOut(now time.Time, id string) bool {
	p := r.core.Progress(replicator.ID(id))
	return now.Sub(p.LastReply) > learnerTimeout && now.Sub(p.TrackedSince) > learnerTimeout
}

// canRemoveFormerID reports whether members[i] is the former ID of a host that
// votes under a newer ID, and the remaining voters have a live majority.
func (r *Replica) canRemoveFormerID(now time.Time, members []*replication.Member, i int) bool {
	for _, later := range members[i+1:] {
		if !later.GetLearner() && nameOf(later.GetId()) == nameOf(members[i].GetId()) {
			return r.hasLiveMajority(now, votersWithout(members, members[i].GetId()))
		}
	}
	return false
}

// hasLiveMajority reports whether a majority of the given voters is live.
func (r *Replica) hasLiveMajority(now time.Time, voters []string) bool {
	n := 0
	for _, id := range voters {
		if r.isLive(now, id) {
			n++
		}
	}
	return n > len(voters)/2
}

// votersWith returns the IDs of the voters plus id.
func votersWith(members []*replication.Member, id string) []string {
	return append(votersWithout(members, id), id)
}

// votersWithout returns the IDs of the voters except id.
func votersWithout(members []*replication.Member, id string) []string {
	var voters []string
	for _, m := range members {
		if !m.GetLearner() && m.GetId() != id {
			voters = append(voters, m.GetId())
		}
	}
	return voters
}

// shouldPromote reports whether a learner should become a voter. In a closed
// group every learner should; in an open group it takes the place of a missing
// voter, of an unresponsive one, or of its own host's former ID.
func (r *Replica) shouldPromote(now time.Time, members []*replication.Member, id string) bool {
	if r.opts.VoterCount == 0 {
		return true
	}
	responsive := 0
	for _, voter := range votersWithout(members, id) {
		if nameOf(voter) != nameOf(id) && r.isResponsive(now, voter) {
			responsive++
		}
	}
	return responsive < r.opts.VoterCount
}

// canRemoveSilentVoter reports whether m is an unresponsive voter of an open
// group that has enough other voters and a live majority without it.
func (r *Replica) canRemoveSilentVoter(now time.Time, members []*replication.Member, m *replication.Member) bool {
	if r.opts.VoterCount == 0 || m.GetLearner() || r.isResponsive(now, m.GetId()) {
		return false
	}
	rest := votersWithout(members, m.GetId())
	return len(rest) >= r.opts.VoterCount && r.hasLiveMajority(now, rest)
}

// isResponsive reports whether a voter of an open group was heard from, or became
// a member, within voterTimeout.
func (r *Replica) isResponsive(now time.Time, id string) bool {
	if id == r.identity.GetId() {
		return true
	}
	p := r.core.Progress(replicator.ID(id))
	return now.Sub(p.LastReply) <= voterTimeout || now.Sub(p.TrackedSince) <= voterTimeout
}
