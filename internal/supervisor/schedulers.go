package supervisor

import (
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// schedulerChanges returns a new assignment for each data centre whose scheduler
// is not in the view, or is in another data centre although an idle entry host
// of its own is available. A scheduler should run in the data centre that it
// schedules, because otherwise a partition would stop task starts on both sides.
// A data centre without entry hosts is assigned an idle one of another data
// centre, if there is one.
func schedulerChanges(s controller.State) []*wire.AssignScheduler {
	assigned := make(map[string]bool)
	for _, d := range s.DataCentres() {
		assigned[d.GetScheduler()] = true
	}
	var changes []*wire.AssignScheduler
	for _, d := range s.DataCentres() {
		name := idleMember(s, d.GetName(), assigned)
		current, ok := findMember(s, d.GetScheduler())
		next, _ := findMember(s, name)
		currentIsLocal := current.GetDataCentre() == d.GetName()
		nextIsLocal := next.GetDataCentre() == d.GetName()
		if name == "" || ok && (currentIsLocal || !nextIsLocal) {
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

func findMember(s controller.State, name string) (*wire.Member, bool) {
	for _, m := range s.View().GetMembers() {
		if m.GetName() == name {
			return m, true
		}
	}
	return nil, false
}

// idleMember returns the name of a member of the view without an assignment,
// preferably one in the data centre, or an empty string if there is none. An
// entry host schedules at most one data centre.
func idleMember(s controller.State, dataCentre string, assigned map[string]bool) string {
	fallback := ""
	for _, m := range s.View().GetMembers() {
		if assigned[m.GetName()] {
			continue
		}
		if m.GetDataCentre() == dataCentre {
			return m.GetName()
		}
		if fallback == "" && hasOtherEntryHost(s, m.GetDataCentre(), m.GetName()) {
			fallback = m.GetName()
		}
	}
	return fallback
}

// hasOtherEntryHost reports whether the data centre has an entry host other than
// the excepted one, so that one remains to schedule it if that one is assigned to
// another data centre.
func hasOtherEntryHost(s controller.State, dataCentre, except string) bool {
	for _, m := range s.View().GetMembers() {
		if m.GetDataCentre() == dataCentre && m.GetName() != except {
			return true
		}
	}
	return false
}
