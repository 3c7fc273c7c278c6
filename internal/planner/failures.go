package planner

import "time"

const (
	// failureWindow is how long failures count together. Racks and switches
	// take their hosts down within seconds, worker leases add 15 s.
	failureWindow = time.Minute

	// rackFailures and fleetFailures are the numbers of failed hosts in the
	// window from which failures count as correlated. At the target size about
	// 110 of 6,600 hosts fail a day, so two independent failures within one
	// rack and a minute are very rare, and four in the fleet are too.
	rackFailures  = 2
	fleetFailures = 4
)

// failures watches hosts die.
type failures struct {
	// dead holds the hosts that were dead in the last round.
	dead map[string]bool
	// recent lists failures within the window, the oldest first.
	recent []failure
	// first is true until one round has shown which hosts were dead before.
	first bool
}

type failure struct {
	rack string
	at   time.Time
}

// observe records hosts that died since the last round.
func (w *failures) observe(f fleet) {
	for _, h := range f.hosts {
		if h.dead() && !w.dead[h.GetName()] && !w.first {
			w.recent = append(w.recent, failure{
				rack: h.GetDataCentre() + "/" + h.GetRack(),
				at:   f.in.Now,
			})
		}
		w.dead[h.GetName()] = h.dead()
	}
	if len(f.in.Reports) > 0 {
		w.first = false
	}
	for len(w.recent) > 0 && f.in.Now.Sub(w.recent[0].at) > failureWindow {
		w.recent = w.recent[1:]
	}
}

// correlated reports whether hosts fail together at present.
func (w *failures) correlated() bool {
	racks := make(map[string]int)
	for _, f := range w.recent {
		racks[f.rack]++
		if racks[f.rack] >= rackFailures {
			return true
		}
	}
	return len(w.recent) >= fleetFailures
}
