package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

const (
	// liveWithin is how recently a replica must have answered to count as live.
	liveWithin = replicator.DefaultElectionTimeout
	// silentLearner is the time after which a learner that does not answer is removed.
	silentLearner = 10 * time.Second
	// silentVoter is the time after which a voter of an open group that does
	// not answer gives its place to a live learner: longer than a restart.
	silentVoter = 2500 * time.Millisecond
)

func (r *Replica) tickLeading(now time.Time) {
	if !r.core.Leading() {
		return
	}
	r.pruneFollowers(now)
	r.repair(now)
}

// repair starts at most one membership change: a host that lost its disk joins
// under its new ID as a learner, becomes a voter when it has caught up, and
// only then its old ID is removed. The group has one voter more in between, so
// each change commits on as many live hosts as before, and an acknowledged
// change is on every live voter when the repair ends.
func (r *Replica) repair(now time.Time) {
	members := r.core.Status().Membership.GetMembers()
	for _, change := range r.repairs(now, members) {
		_, err := r.core.ProposeMembership(now, change)
		if err != nil {
			return
		}
		r.opts.Logger.Info("voter: membership change started", "kind", change.Kind.String(), "id", string(change.ID))
		return
	}
}

func (r *Replica) repairs(now time.Time, members []*replication.Member) []replicator.Change {
	var changes []replicator.Change
	for _, name := range slices.Sorted(maps.Keys(r.leading.joins)) {
		changes = append(changes, r.join(now, name, members)...)
	}
	for i, m := range members {
		switch {
		case m.GetLearner() && r.wanted(now, members, m.GetId()) && r.caughtUp(now, m.GetId()) && r.safe(now, with(members, m.GetId())):
			changes = append(changes, replicator.Change{
				Kind: replicator.Promote,
				ID:   replicator.ID(m.GetId()),
			})
		case m.GetLearner() && r.silent(now, m.GetId()), r.surplus(now, members, m), !m.GetLearner() && r.replaced(now, members, i):
			changes = append(changes, replicator.Change{
				Kind: replicator.Remove,
				ID:   replicator.ID(m.GetId()),
			})
		}
	}
	return changes
}

// join adds a new ID of a host. An unfinished former attempt is removed first,
// unless it is live: then the request is an old one that was delayed.
func (r *Replica) join(now time.Time, name string, members []*replication.Member) []replicator.Change {
	id := r.leading.joins[name]
	for _, m := range members {
		unfinished := m.GetLearner() && nameOf(m.GetId()) == name
		if m.GetId() == id || (unfinished && r.live(now, m.GetId())) {
			delete(r.leading.joins, name)
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

func (r *Replica) live(now time.Time, id string) bool {
	return id == r.identity.GetId() || now.Sub(r.core.Progress(replicator.ID(id)).Heard) <= liveWithin
}

func (r *Replica) caughtUp(now time.Time, id string) bool {
	return r.live(now, id) && r.core.Progress(replicator.ID(id)).Match >= r.core.Status().Commit
}

func (r *Replica) silent(now time.Time, id string) bool {
	p := r.core.Progress(replicator.ID(id))
	return now.Sub(p.Heard) > silentLearner && now.Sub(p.Since) > silentLearner
}

// replaced reports whether a voter's host has a later voting ID, so that the
// voter can go.
func (r *Replica) replaced(now time.Time, members []*replication.Member, i int) bool {
	for _, later := range members[i+1:] {
		if !later.GetLearner() && nameOf(later.GetId()) == nameOf(members[i].GetId()) {
			return r.safe(now, without(members, members[i].GetId()))
		}
	}
	return false
}

// safe reports whether a majority of the given voters is live.
func (r *Replica) safe(now time.Time, voters []string) bool {
	n := 0
	for _, id := range voters {
		if r.live(now, id) {
			n++
		}
	}
	return n > len(voters)/2
}

// with returns the voters and id.
func with(members []*replication.Member, id string) []string {
	return append(without(members, id), id)
}

// without returns the voters but for id.
func without(members []*replication.Member, id string) []string {
	var voters []string
	for _, m := range members {
		if !m.GetLearner() && m.GetId() != id {
			voters = append(voters, m.GetId())
		}
	}
	return voters
}

// wanted reports whether a learner should vote: in a closed group each does; in
// an open one it takes the place of a missing voter, of a silent one, or of the
// former identity of its host.
func (r *Replica) wanted(now time.Time, members []*replication.Member, id string) bool {
	if r.opts.Voters == 0 {
		return true
	}
	live := 0
	for _, voter := range without(members, id) {
		if nameOf(voter) != nameOf(id) && r.present(now, voter) {
			live++
		}
	}
	return live < r.opts.Voters
}

// surplus reports whether a silent voter of an open group has been replaced.
func (r *Replica) surplus(now time.Time, members []*replication.Member, m *replication.Member) bool {
	if r.opts.Voters == 0 || m.GetLearner() || r.present(now, m.GetId()) {
		return false
	}
	rest := without(members, m.GetId())
	return len(rest) >= r.opts.Voters && r.safe(now, rest)
}

// present reports whether a voter has been heard from recently enough to keep
// its place in an open group.
func (r *Replica) present(now time.Time, id string) bool {
	if id == r.identity.GetId() {
		return true
	}
	p := r.core.Progress(replicator.ID(id))
	return now.Sub(p.Heard) <= silentVoter || now.Sub(p.Since) <= silentVoter
}
