package jobkeeper

import (
	"maps"
	"slices"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// EvacuateResult is the result that Apply returns for an evacuation order.
type EvacuateResult struct {
	// Superseded is true if the order had no effect, because another one for the data centre
	// took effect after its revision had been read.
	Superseded bool
}

// evacuate starts or finishes the evacuation of a data centre. An outdated order may find the
// data centre as it wants it, as when its first copy has been executed; it counts as executed
// then.
func (m *StateMachine) evacuate(e *jobwire.Evacuation) any {
	s := &m.state
	dataCentre := e.GetDataCentre()
	outdated := e.ExpectedRevision != nil && e.GetExpectedRevision() != s.EvacuationRevisions[dataCentre]
	changes := s.Evacuated[dataCentre] == e.GetFinish()
	if outdated && changes {
		return EvacuateResult{
			Superseded: true,
		}
	}
	// An order without a change counts, too: one that was read before it is outdated.
	s.EvacuationRevisions[dataCentre]++
	if e.GetFinish() {
		delete(s.Evacuated, dataCentre)
	} else {
		s.Evacuated[dataCentre] = true
	}
	m.notifyFleetChanged()
	return EvacuateResult{}
}

// encodeEvacuationRevisions returns the revisions in an order that is the same on all replicas.
func (s *State) encodeEvacuationRevisions() []*jobwire.EvacuationRevision {
	var list []*jobwire.EvacuationRevision
	for _, dataCentre := range slices.Sorted(maps.Keys(s.EvacuationRevisions)) {
		list = append(list, &jobwire.EvacuationRevision{
			DataCentre: dataCentre,
			Revision:   s.EvacuationRevisions[dataCentre],
		})
	}
	return list
}
