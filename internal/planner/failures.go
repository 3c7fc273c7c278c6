package planner

import "time"

const (
	// failureWindow is the time within which failures may count as correlated.
	// A failed rack or switch takes its hosts down within seconds; the worker
	// lease delays detection by up to 15 s.
	failureWindow = time.Minute

	// rackFailureThreshold and fleetFailureThreshold are the numbers of failed
	// hosts within failureWindow from which failures count as correlated. At the
	// target size about 110 of 6,600 hosts fail a day, so two independent
	// failures in one rack within a minute are very rare, and so are four in the
	// fleet.
	rackFailureThreshold  = 2
	fleetFailureThreshold = 4
)

// failureTracker detects correlated host failures.
type failureTracker struct {
	// dead holds, by host name, whether the host was dead at the last observation.
	dead map[string]bool
	// recent lists the failures within failureWindow, oldest first.
	recent []failure
	// awaitingBaseline is true until the first observation with reports. Hosts
	// that are already dead then do not count as new failures.
	awaitingBaseline bool
}

type failure struct {
	rack string
	at   time.Time
}

// observe records the hosts that failed since the last observation.
func (t *failureTracker) observe(f fleet) {
	for _, h := range f.hosts {
		if h.dead() && !t.dead[h.GetName()] && !t.awaitingBaseline {
			t.recent = append(t.recent, failure{
				rack: h.GetDataCentre() + "/" + h.GetRack(),
				at:   f.in.Now,
			})
		}
		t.dead[h.GetName()] = h.dead()
	}
	if len(f.in.Reports) > 0 {
		t.awaitingBaseline = false
	}
	for len(t.recent) > 0 && f.in.Now.Sub(t.recent[0].at) > failureWindow {
		t.recent = t.recent[1:]
	}
}

// correlated reports whether the recent failures reach one of the thresholds.
func (t *failureTracker) correlated() bool {
	racks := make(map[string]int)
	for _, f := range t.recent {
		racks[f.rack]++
		if racks[f.rack] >= rackFailureThreshold {
			return true
		}
	}
	return len(t.recent) >= fleetFailureThreshold
}
