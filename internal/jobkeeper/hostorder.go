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
	maps.DeleteFunc(m.state.workerOrders, func(_ string, o HostOrder) bool { return now.Sub(o.At) > hostOrderRetention })
	for _, w := range orders.GetWorkers() {
		m.state.workerOrders[w.GetId()] = HostOrder{
			Term: orders.GetTerm(),
			At:   now,
		}
		m.state.clearPlacements(w.GetId(), w.GetBorn())
	}
	return nil
}

// OrderedBefore returns the latest time at which a leader of an earlier term than the
// given one may have announced an order for a host.
func (s *State) OrderedBefore(host string, term uint64) time.Time {
	return s.orderedBefore(s.HostOrders, host, term)
}

// WorkerOrderedBefore returns that time for the host of a worker, which a new leader
// knows before it has a listing of the hosts.
func (s *State) WorkerOrderedBefore(worker string, term uint64) time.Time {
	return s.orderedBefore(s.workerOrders, worker, term)
}

func (s *State) orderedBefore(orders map[string]HostOrder, name string, term uint64) time.Time {
	o, ok := orders[name]
	switch {
	case !ok:
		return s.HostOrdersSince
	case o.Term == term:
		return time.Time{}
	}
	return o.At
}
