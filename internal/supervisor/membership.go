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

// EntryHostTimeout is how long an entry host may send no follow call before it is
// removed from the view. Follow calls are sent every 400 ms, so several have to
// be lost.
const EntryHostTimeout = 3 * time.Second

// nextView returns the view that should replace the current one, or nil if it
// need not change. A silent host stays until its authority lease has ended,
// because until then it acts under the current view. Hosts that have not yet
// contacted this leader have LossLimit from termStart to do so.
func nextView(now, termStart time.Time, s controller.State, followers []voter.FollowerStatus) *wire.View {
	current := s.View()
	// The newest incarnation of a name is last in the list and overwrites the
	// older ones.
	statusByName := make(map[string]voter.FollowerStatus, len(followers))
	for _, f := range followers {
		statusByName[f.Member.GetName()] = f
	}
	var members []*wire.Member
	for _, m := range current.GetMembers() {
		f, ok := statusByName[m.GetName()]
		if !ok && now.Sub(termStart) < EntryHostTimeout {
			members = append(members, m)
		}
		if ok && f.Member.GetIncarnation() == m.GetIncarnation() && !isLost(now, f) {
			members = append(members, m)
		}
	}
	for name, f := range statusByName {
		included := slices.ContainsFunc(members, func(m *wire.Member) bool { return m.GetName() == name })
		if !included && !isLost(now, f) {
			members = append(members, f.Member)
		}
	}
	slices.SortFunc(members, func(a, b *wire.Member) int { return cmp.Compare(a.GetName(), b.GetName()) })
	next := &wire.View{
		Epoch:   current.GetEpoch() + 1,
		Members: members,
	}
	if slices.EqualFunc(members, current.GetMembers(), func(a, b *wire.Member) bool { return proto.Equal(a, b) }) {
		return nil
	}
	return next
}

// isLost reports whether an entry host is shutting down, or has been silent for
// LossLimit and its authority lease has ended. A host that announces its shutdown
// has drained and no longer acts, so its lease need not end first.
func isLost(now time.Time, f voter.FollowerStatus) bool {
	return f.Member.GetLeaving() || now.Sub(f.LastContact) > EntryHostTimeout && now.After(f.LeaseEnd)
}
