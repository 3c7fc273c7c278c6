package supervisor

import (
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// schedulerChanges returns an assignment for each data centre whose scheduler
// is not in the view, or was lent by another data centre and can go home. The scheduler runs in its own data centre, because a
// partition would otherwise stop starts on both sides; a data centre without
// entry hosts gets an idle one of another data centre, or none.
func schedulerChanges(s controller.State) []*wire.AssignScheduler {
	assigned := make(map[string]bool)
	for _, d := range s.DataCentres() {
		assigned[d.GetScheduler()] = true
	}
	var changes []*wire.AssignScheduler
	for _, d := range s.DataCentres() {
		name := idleMember(s, d.GetName(), assigned)
		present, ok := member(s, d.GetScheduler())
		next, _ := member(s, name)
		atHome := present.GetDataCentre() == d.GetName()
		goesHome := next.GetDataCentre() == d.GetName()
		if name == "" || ok && (atHome || !goesHome) {
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

func member(s controller.State, name string) (*wire.Member, bool) {
	for _, m := range s.View().GetMembers() {
		if m.GetName() == name {
			return m, true
		}
	}
	return nil, false
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
