package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// HostState is the state of a host as the provider reports it.
type HostState int

// The states of a host.
const (
	HostUnknown HostState = iota
	HostUp
	HostMoving
	HostInMaintenance
	HostDown
)

// Host is a host of workers as the provider lists it.
type Host struct {
	Name  string
	Pool  string
	State HostState
	// Worker is the id of the worker on the host; empty when there is none.
	Worker     string
	DataCentre string
}

// ListHosts asks the provider for all hosts; the outcome goes to HostsListed.
type ListHosts struct{}

// Maintain asks the provider to take a host down for maintenance; the outcome
// goes to Maintained.
type Maintain struct {
	Host string
	Wave string
	// Worker is the worker on the host; zero when none is known.
	Worker Target
}

// MoveHost asks the provider to move a host to another pool; the outcome goes
// to HostMoved.
type MoveHost struct {
	Host string
	Pool string
	// Worker is the worker on the host; zero when none is known.
	Worker Target
}

// RecordWaveHost asks for a log write that counts a host of a maintenance wave as
// begun.
type RecordWaveHost struct {
	Wave string
	Host string
}

// HostAnswer is the outcome of an order to the provider.
type HostAnswer int

// The outcomes of an order to the provider.
const (
	// HostOrderUnknown means that the order may or may not have been carried out;
	// it is sent again.
	HostOrderUnknown HostAnswer = iota
	HostOrderDone
	// HostOrderBusy means that the host is not up.
	HostOrderBusy
	// HostOrderInvalid means that there is no such host, or that it is not part
	// of the wave.
	HostOrderInvalid
	// HostOrderNotSent means that the order was not sent; it is decided on again.
	HostOrderNotSent
)

// Timing of host listings, moves and maintenance.
const (
	// hostListInterval is the minimum time between two listings of the hosts
	// while maintenance or moves are open.
	hostListInterval = 500 * time.Millisecond
	// idleHostListInterval is that time while there are none.
	idleHostListInterval = 3 * time.Second
	// hostOrderRetryDelay is the time before an order to the provider is sent
	// again.
	hostOrderRetryDelay = 300 * time.Millisecond
	// batchDrainTimeout is how long maintenance of a host waits for its batch
	// tasks to end before it stops them.
	batchDrainTimeout = 3 * time.Second
	// hostGoneTimeout is how long a host may be missing from the listings before
	// it counts as permanently gone.
	hostGoneTimeout = 8 * time.Second
	// minHealthyTime is how long a task must have been running to count as
	// healthy.
	minHealthyTime = 1500 * time.Millisecond
	// ignoreBusyWaveShare is the part of a wave's duration after which hosts of
	// busy pools are prepared too. forceStopWaveShare is the part after which
	// batch tasks get only a third of batchDrainTimeout.
	ignoreBusyWaveShare = 0.4
	forceStopWaveShare  = 0.75
)

// hosts is the leader's state of hosts, their moves and their maintenance.
type hosts struct {
	known map[string]Host
	// listedAt is when the newest listing was requested; zero before the first
	// one.
	listedAt        time.Time
	listInFlight    bool
	listRequestedAt time.Time
	// maintenances holds the hosts that are being prepared for maintenance or are
	// in it.
	maintenances map[string]*hostMaintenance
	// missingSince holds the hosts of waves that are missing from the listings,
	// with the time of the listing that first lacked them.
	missingSince map[string]time.Time
	// moves holds the hosts that are being moved to another pool.
	moves map[string]*move
	// poolsLoggedAt is when the pools were last logged.
	poolsLoggedAt time.Time
	// balancedAt is when the rebalancer last ran.
	balancedAt time.Time
}

// hostMaintenance is the maintenance of one host, from its preparation until a
// listing shows the host up again or no longer has it.
type hostMaintenance struct {
	host string
	wave string
	// worker is the worker on the host; nil while none is known.
	worker *worker
	// unknownSince is since when no known worker is on the host; zero while one is.
	unknownSince   time.Time
	preparingSince time.Time
	// orderInFlight is true while an order is unanswered; orderUnknown is true while
	// one whose outcome is unknown may have been executed; orderAccepted is true
	// once the provider has accepted one.
	orderInFlight bool
	orderUnknown  bool
	orderAccepted bool
	acceptedAt    time.Time
	retryAt       time.Time
	// blockerLoggedAt is when the reason that blocks the maintenance was last
	// logged.
	blockerLoggedAt time.Time
}

// HostsListed handles the outcome of a ListHosts; hosts is nil when it failed.
func (s *Scheduler) HostsListed(requestedAt time.Time, hosts []Host) {
	s.hosts.listInFlight = false
	if hosts == nil {
		return
	}
	s.hosts.listedAt = requestedAt
	s.hosts.known = make(map[string]Host, len(hosts))
	for _, h := range hosts {
		s.hosts.known[h.Name] = h
		delete(s.hosts.missingSince, h.Name)
	}
	s.finishMoves(requestedAt)
	for _, m := range s.hosts.maintenances {
		s.maintenanceListed(m, requestedAt)
	}
}

// Maintained handles the outcome of a Maintain.
func (s *Scheduler) Maintained(a Maintain, answer HostAnswer) {
	m, ok := s.hosts.maintenances[a.Host]
	if !ok {
		return
	}
	m.orderInFlight = false
	if answer != HostOrderNotSent {
		m.orderUnknown = answer == HostOrderUnknown
	}
	m.retryAt = s.now.Add(hostOrderRetryDelay)
	switch answer {
	case HostOrderDone:
		s.logger.Info("scheduler: host is in maintenance", "host", a.Host, "wave", a.Wave, "prepared", s.now.Sub(m.preparingSince))
		m.orderAccepted, m.acceptedAt = true, s.now
		s.awaitEnd(m)
		s.emit(RecordWaveHost{
			Wave: a.Wave,
			Host: a.Host,
		})
	case HostOrderInvalid, HostOrderBusy:
		s.cancelMaintenance(m)
		s.distrustListing(a.Host)
	}
}

// distrustListing marks the state of a host as unknown until the next listing: the
// provider has refused an order, so the host is not in the state that was listed.
func (s *Scheduler) distrustListing(name string) {
	if h, ok := s.hosts.known[name]; ok {
		h.State = HostUnknown
		s.hosts.known[name] = h
	}
}

// cancelMaintenance ends the preparation of a host and lets tasks start there
// again.
func (s *Scheduler) cancelMaintenance(m *hostMaintenance) {
	if m.worker != nil {
		m.worker.cordoned = false
		s.markPoolDirty(m.worker.info.GetPool())
	}
	delete(s.hosts.maintenances, m.host)
}

// updateHosts requests host listings, advances the maintenance waves and balances
// the pools.
func (s *Scheduler) updateHosts() {
	if !s.hadEarlierLoad && s.now.Sub(s.termStart) < s.settings.ProviderOrderDelay {
		// When the system starts, the fleet has to register before it is counted.
		return
	}
	open := s.openWaves()
	s.updateMaintenanceDue(open)
	interval := idleHostListInterval
	if len(open) > 0 || len(s.hosts.moves) > 0 {
		interval = hostListInterval
	}
	if !s.hosts.listInFlight && s.now.Sub(s.hosts.listRequestedAt) >= interval {
		s.hosts.listInFlight, s.hosts.listRequestedAt = true, s.now
		s.emit(ListHosts{})
	}
	if s.hosts.listedAt.IsZero() {
		return
	}
	if s.now.Sub(s.termStart) >= s.settings.ProviderOrderDelay {
		// Before that, hosts that the former leader has sent into maintenance may
		// still be listed as up, and a wave could exceed its ceiling.
		for _, wave := range open {
			s.advanceWave(wave)
		}
		for _, m := range s.hosts.maintenances {
			s.advanceMaintenance(m)
		}
	}
	if s.fleetKnown() {
		s.balance()
	}
}

// firstReportsTimeout is how long a new leader waits for the first reports of workers
// before it plans with those that it has.
const firstReportsTimeout = 300 * time.Millisecond

// fleetKnown reports whether enough workers have reported to plan moves.
func (s *Scheduler) fleetKnown() bool {
	return len(s.unreconciled) == 0 || s.now.Sub(s.termStart) >= firstReportsTimeout
}

// mayOrder reports whether this leader may send orders for a host: those of a former
// leader are long enough ago.
func (s *Scheduler) mayOrder(host string) bool {
	former := s.state.OrderedBefore(host, s.term)
	return s.now.Sub(former) >= s.settings.ProviderOrderDelay
}

// openWaves returns the waves with hosts whose maintenance has not begun.
func (s *Scheduler) openWaves() []*jobwire.Wave {
	var open []*jobwire.Wave
	for _, wave := range s.state.Waves {
		if len(wave.GetBegun()) < len(wave.GetHosts()) {
			open = append(open, wave)
		}
	}
	return open
}
