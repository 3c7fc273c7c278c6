package supervisor

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
)

// LossLimit is how long an entry host may be silent before it is taken out of
// the view. Follow calls come every 400 ms, so several have to be lost.
const LossLimit = 3 * time.Second

// nextView returns the view that should follow the present one, or nil when
// it need not change. A silent host stays until its authority lease has ended,
// because until then it acts under the present view. Hosts that this leader
// has not heard yet are given LossLimit from since, the start of its term.
func nextView(now, since time.Time, s controller.State, followers []voter.FollowerStatus) *wire.View {
	present := s.View()
	// The newest incarnation of a name is last in the list.
	heard := make(map[string]voter.FollowerStatus, len(followers))
	for _, f := range followers {
		heard[f.Member.GetName()] = f
	}
	var members []*wire.Member
	for _, m := range present.GetMembers() {
		f, ok := heard[m.GetName()]
		if !ok && now.Sub(since) < LossLimit {
			members = append(members, m)
		}
		if ok && f.Member.GetIncarnation() == m.GetIncarnation() && !lost(now, f) {
			members = append(members, m)
		}
	}
	for name, f := range heard {
		known := slices.ContainsFunc(members, func(m *wire.Member) bool { return m.GetName() == name })
		if !known && !lost(now, f) {
			members = append(members, f.Member)
		}
	}
	slices.SortFunc(members, func(a, b *wire.Member) int { return cmp.Compare(a.GetName(), b.GetName()) })
	next := &wire.View{
		Epoch:   present.GetEpoch() + 1,
		Members: members,
	}
	if slices.EqualFunc(members, present.GetMembers(), func(a, b *wire.Member) bool { return proto.Equal(a, b) }) {
		return nil
	}
	return next
}

// lost reports whether an entry host has left, or is silent and its authority
// lease is over. A host that leaves has drained and acts no more.
func lost(now time.Time, f voter.FollowerStatus) bool {
	return f.Member.GetLeaving() || now.Sub(f.LastContact) > LossLimit && now.After(f.LeaseEnd)
}
