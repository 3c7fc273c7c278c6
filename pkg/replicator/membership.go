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

func (c *Core) noteMembership(index uint64, m *Membership) {
	c.memberships = append(c.memberships, membershipAt{
		index:      index,
		membership: m,
	})
}

func (c *Core) noteEntry(e *Entry) {
	if e.GetKind() == replication.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.noteMembership(e.GetIndex(), e.GetMembership())
	}
}

// forgetMemberships drops the memberships of entries from index on.
func (c *Core) forgetMemberships(index uint64) {
	for n := len(c.memberships); n > 0 && c.memberships[n-1].index >= index; n-- {
		c.memberships = c.memberships[:n-1]
	}
}

// membership returns the one in effect; nil when this replica knows none.
func (c *Core) membership() *Membership {
	if len(c.memberships) == 0 {
		return nil
	}
	return c.memberships[len(c.memberships)-1].membership
}

// membershipAsOf returns the membership as of an index.
func (c *Core) membershipAsOf(index uint64) *Membership {
	var m *Membership
	for _, at := range c.memberships {
		if at.index <= index {
			m = at.membership
		}
	}
	return m
}

// voters yields the voters of the membership in effect.
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

// majority reports whether more than half of the voters satisfy f.
func (c *Core) majority(f func(ID) bool) bool {
	all, n := 0, 0
	for id := range c.voters() {
		all++
		if f(id) {
			n++
		}
	}
	return n > all/2
}

// ProposeMembership starts one membership change. It takes effect as soon as
// it is in the log; the next one may start when it is committed.
func (c *Core) ProposeMembership(_ time.Time, change Change) (Position, error) {
	if c.role != leader {
		return Position{}, ErrNotLeader{
			Leader: c.lead,
		}
	}
	// A leader that has committed nothing in its term may not know of a
	// membership that a former leader committed, so that two majorities might
	// not overlap.
	t, _ := c.log.term(c.commit)
	if t != c.hard.GetTerm() || c.memberships[len(c.memberships)-1].index > c.commit {
		return Position{}, ErrMembershipBusy
	}
	next, ok := with(c.membership(), change)
	if !ok {
		return Position{}, ErrMembershipChange
	}
	if change.Kind == AddLearner {
		// What is known of an earlier membership of the same replica is old.
		delete(c.leading.progress, change.ID)
	}
	return c.append(&Entry{
		Kind:       replication.EntryKind_ENTRY_KIND_MEMBERSHIP,
		Membership: next,
	}), nil
}

// with returns the membership after a change, false when the change does not fit.
func with(m *Membership, change Change) (*Membership, bool) {
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
