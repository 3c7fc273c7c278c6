package controller

import "github.com/heathermux/heathermux/internal/wire"

// setAllotments applies all given allotments or none. The sum of a team's
// allotments may not grow beyond the team's limit. If the sum already exceeds
// the limit, because the limit was lowered, the sum may not grow further.
func (s State) setAllotments(allotments []*wire.Allotment) transition {
	if len(allotments) == 0 {
		return rejected("allotments: none is named")
	}
	next := s
	teams := make(map[string]bool)
	for _, a := range allotments {
		if _, ok := s.dataCentres.Get(a.GetDataCentre()); !ok {
			return rejected("allotment: data centre %q is not known", a.GetDataCentre())
		}
		amount, target := AmountOf(a.GetAmount()), AmountOf(a.GetTarget())
		if amount.Negative() || target.Negative() || !target.FitsIn(amount) {
			return rejected("allotment of team %q in %q: target is not between nothing and the amount", a.GetTeam(), a.GetDataCentre())
		}
		teams[a.GetTeam()] = true
		next = next.WithAllotment(clone(a))
	}
	for team := range teams {
		ref, _ := s.teams.Get(team)
		limit, before, after := AmountOf(ref.Team.GetLimit()), s.Allotted(team), next.Allotted(team)
		if !withinLimit(after.MilliCores, before.MilliCores, limit.MilliCores) ||
			!withinLimit(after.MemoryBytes, before.MemoryBytes, limit.MemoryBytes) ||
			!withinLimit(after.Accelerators, before.Accelerators, limit.Accelerators) {
			return rejected("allotments: the sum for a team would grow beyond its limit")
		}
	}
	return accepted(next, "allotments")
}

// withinLimit reports whether the new sum is within the limit or, if it is above
// the limit, not larger than the sum before.
func withinLimit(after, before, limit int64) bool {
	return after <= limit || after <= before
}
