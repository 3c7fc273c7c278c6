package supervisor

import (
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// schedulerChanges returns an assignment for each data centre whose scheduler
// is not in the view. The scheduler runs in its own data centre, because a
// partition would otherwise stop starts on both sides; a data centre without
// entry hosts gets one of another data centre.
func schedulerChanges(s controller.State) []*wire.AssignScheduler {
	load := make(map[string]int)
	for _, d := range s.DataCentres() {
		load[d.GetScheduler()]++
	}
	var changes []*wire.AssignScheduler
	for _, d := range s.DataCentres() {
		if isMember(s, d.GetScheduler()) {
			continue
		}
		name := leastLoaded(s, d.GetName(), load)
		if name == "" {
			continue
		}
		load[name]++
		changes = append(changes, &wire.AssignScheduler{
			DataCentre: d.GetName(),
			EntryHost:  name,
		})
	}
	return changes
}

func isMember(s controller.State, name string) bool {
	for _, m := range s.View().GetMembers() {
		if m.GetName() == name {
			return true
		}
	}
	return false
}

// leastLoaded returns the member with the fewest assignments, members in the
// data centre first; the name decides between equals.
func leastLoaded(s controller.State, dataCentre string, load map[string]int) string {
	best, bestLocal := "", false
	for _, m := range s.View().GetMembers() {
		local := m.GetDataCentre() == dataCentre
		switch {
		case best == "", local && !bestLocal:
		case local == bestLocal && load[m.GetName()] < load[best]:
		default:
			continue
		}
		best, bestLocal = m.GetName(), local
	}
	return best
}
