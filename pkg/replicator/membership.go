package replicator

import (
	"iter"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/pkg/replication"
)

type membershipAt struct {
	index      uint64
	membership *Membership
}

func (c *Core) recordMembership(index uint64, m *Membership) {
	c.memberships = append(c.memberships, membershipAt{
		index:      index,
		membership: m,
	})
}

func (c *Core) recordMembershipEntry(e *Entry) {
	if e.GetKind() == replication.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.recordMembership(e.GetIndex(), e.GetMembership())
	}
}

// truncateMemberships removes the memberships set by entries at index or later.
func (c *Core) truncateMemberships(index uint64) {
	for n := len(c.memberships); n > 0 && c.memberships[n-1].index >= index; n-- {
		c.memberships = c.memberships[:n-1]
	}
}

// membership returns the membership in effect, or nil when none is known.
func (c *Core) membership() *Membership {
	if len(c.memberships) == 0 {
		return nil
	}
	return c.memberships[len(c.memberships)-1].membership
}

// membershipAsOf returns the membership that was in effect at an index.
func (c *Core) membershipAsOf(index uint64) *Membership {
	var m *Membership
	for _, recorded := range c.memberships {
		if recorded.index <= index {
			m = recorded.membership
		}
	}
	return m
}

// voters iterates over the voters of the membership in effect.
func (c *Core) voters() iter.Seq[ID] {
	return func(yield func(ID) bool) {
		for _, m := range c.membership().GetMembers() {
			if !m.GetLearner() && !yield(ID(m.GetId())) {
				return
			}
		}
	}
}

func (c *Core) isVoter(id ID) bool {
	for v := range c.voters() {
		if v == id {
			return true
		}
	}
	return false
}

// majority reports whether more than half of the voters satisfy the predicate.
func (c *Core) majority(satisfies func(ID) bool) bool {
	total, count := 0, 0
	for id := range c.voters() {
		total++
		if satisfies(id) {
			count++
		}
	}
	return count > total/2
}

// ProposeMembership starts one membership change. It takes effect as soon as it
// is in the log. The next change can start once it is committed.
func (c *Core) ProposeMembership(_ time.Time, change Change) (Position, error) {
	if c.role != leader {
		return Position{}, ErrNotLeader{
			Leader: c.leader,
		}
	}
	// A leader that has not committed an entry of its own term may not know of
	// a membership that an earlier leader committed. The majorities of the two
	// memberships might then not overlap.
	t, _ := c.log.term(c.commit)
	if t != c.hardState.GetTerm() || c.memberships[len(c.memberships)-1].index > c.commit {
		return Position{}, ErrMembershipBusy
	}
	next, ok := applyChange(c.membership(), change)
	if !ok {
		return Position{}, ErrMembershipChange
	}
	if change.Kind == AddLearner {
		// Any progress recorded under this ID is from an earlier membership.
		delete(c.leaderState.progress, change.ID)
	}
	return c.append(&Entry{
		Kind:       replication.EntryKind_ENTRY_KIND_MEMBERSHIP,
		Membership: next,
	}), nil
}

// applyChange returns the membership after a change, or false when the change does
// not apply to it or would leave no voter.
func applyChange(m *Membership, change Change) (*Membership, bool) {
	next := &Membership{}
	found, voters := false, 0
	for _, old := range m.GetMembers() {
		member := proto.CloneOf(old)
		if member.GetId() == string(change.ID) {
			found = true
			if change.Kind == Remove {
				continue
			}
			member.Learner = false
		}
		if !member.GetLearner() {
			voters++
		}
		next.Members = append(next.Members, member)
	}
	if change.Kind == AddLearner {
		next.Members = append(next.Members, &replication.Member{
			Id:      string(change.ID),
			Learner: true,
		})
	}
	return next, found == (change.Kind != AddLearner) && voters > 0
}
