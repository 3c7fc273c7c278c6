package supervisor

import (
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// schedulerChanges returns an assignment for each data centre whose scheduler
// is not in the view. The scheduler runs in its own data centre, because a
// partition would otherwise stop starts on both sides; a data centre without
// entry hosts gets an idle one of another data centre, or none.
func schedulerChanges(s controller.State) []*wire.AssignScheduler {
	assigned := make(map[string]bool)
	for _, d := range s.DataCentres() {
		assigned[d.GetScheduler()] = true
	}
	var changes []*wire.AssignScheduler
	for _, d := range s.DataCentres() {
		if isMember(s, d.GetScheduler()) {
			continue
		}
		name := idleMember(s, d.GetName(), assigned)
		if name == "" {
			continue
		}
		assigned[name] = true
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

// idleMember returns a member without an assignment, one in the data centre
// first, or none; an entry host schedules one data centre at most.
func idleMember(s controller.State, dataCentre string, assigned map[string]bool) string {
	other := ""
	for _, m := range s.View().GetMembers() {
		if assigned[m.GetName()] {
			continue
		}
		if m.GetDataCentre() == dataCentre {
			return m.GetName()
		}
		if other == "" && hasEntryHost(s, m.GetDataCentre(), m.GetName()) {
			other = m.GetName()
		}
	}
	return other
}

// hasEntryHost reports whether the data centre keeps an entry host besides the
// named one, so that lending that one leaves it a scheduler.
func hasEntryHost(s controller.State, dataCentre, besides string) bool {
	for _, m := range s.View().GetMembers() {
		if m.GetDataCentre() == dataCentre && m.GetName() != besides {
			return true
		}
	}
	return false
}
