package jobkeeper

import (
	"maps"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// hostOrderRetention is how long an announced order is kept; it exceeds the time that
// the orders of two leaders for one host must be apart.
const hostOrderRetention = time.Minute

// HostOrder is an order for a host that a leader has announced. It is sent after the
// announcement is in the log, so a later leader knows of it.
type HostOrder struct {
	Term uint64
	// At is when this replica applied the announcement, which is not before it was
	// made.
	At time.Time
}

// announceHostOrders notes orders to the provider before they are sent.
func (m *StateMachine) announceHostOrders(orders *jobwire.HostOrders) any {
	now := m.clock.Now()
	maps.DeleteFunc(m.state.HostOrders, func(_ string, o HostOrder) bool { return now.Sub(o.At) > hostOrderRetention })
	for _, host := range orders.GetHosts() {
		m.state.HostOrders[host] = HostOrder{
			Term: orders.GetTerm(),
			At:   now,
		}
	}
	maps.DeleteFunc(m.state.workerOrders, func(_ string, o workerOrder) bool { return now.Sub(o.At) > hostOrderRetention })
	for _, w := range orders.GetWorkers() {
		m.state.workerOrders[w.GetId()] = workerOrder{
			HostOrder: HostOrder{
				Term: orders.GetTerm(),
				At:   now,
			},
			born: w.GetBorn(),
		}
		m.state.clearPlacements(w.GetId(), w.GetBorn())
	}
	return nil
}

// OrderedBefore returns the latest time at which a leader of an earlier term than the
// given one may have announced an order for a host.
func (s *State) OrderedBefore(host string, term uint64) time.Time {
	o, ok := s.HostOrders[host]
	switch {
	case !ok:
		return s.HostOrdersSince
	case o.Term == term:
		return time.Time{}
	}
	return o.At
}

// workerOrder is an announced order for the host of an incarnation of a worker.
type workerOrder struct {
	HostOrder

	born int64
}

// WorkerOrderedBefore returns when a leader of an earlier term than the given one has
// announced an order for the host of a worker, as far as this replica knows; zero if it
// knows of none. A new leader knows this before it has a listing of the hosts.
func (s *State) WorkerOrderedBefore(w *jobwire.Worker, term uint64) time.Time {
	if o, ok := s.workerOrders[w.GetId()]; ok && o.born == w.GetBorn() && o.Term != term {
		return o.At
	}
	return time.Time{}
}
