package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// HostState is what the provider says of a host.
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
	// Worker is the id of the worker on it; empty while there is none.
	Worker     string
	DataCentre string
}

// ListHosts asks the provider for all hosts; the outcome goes to HostsListed.
type ListHosts struct{}

// Maintain asks the provider to take a host down for its maintenance; the
// outcome goes to Maintained.
type Maintain struct {
	Host string
	Wave string
}

// MoveHost asks the provider to move a host to another pool; the outcome goes
// to HostMoved.
type MoveHost struct {
	Host string
	Pool string
}

// NoteWave asks for the progress of a wave to be written to the log.
type NoteWave struct {
	Wave string
	Host string
}

// HostAnswer is the outcome of an order to the provider.
type HostAnswer int

// The outcomes of an order to the provider.
const (
	// HostOrderUnknown means that the order may have been carried out; it is sent again.
	HostOrderUnknown HostAnswer = iota
	HostOrderDone
	// HostOrderBusy means that the host is not up.
	HostOrderBusy
	// HostOrderInvalid means that there is no such host, or not in this wave.
	HostOrderInvalid
)

// Timing of the work on hosts.
const (
	// listInterval is the least time between two listings of the hosts.
	listInterval = 500 * time.Millisecond
	// quietListInterval is that time while no host is being worked on.
	quietListInterval = 3 * time.Second
	// orderPause is the time before an order to the provider is sent again.
	orderPause = 300 * time.Millisecond
	// prepareLimit is how long the short tasks of a host may take to end
	// before its maintenance.
	prepareLimit = 3 * time.Second
	// goneAfter is how long a host may be missing from the listings before it
	// counts as gone for good.
	goneAfter = 8 * time.Second
	// settled is how long a task has to have run to count as at work.
	settled = 1500 * time.Millisecond
	// eagerShare is the part of a wave's time after which busy pools are no
	// longer spared, and forceShare that after which short tasks are cut.
	eagerShare = 0.4
	forceShare = 0.75
)

// hosts is what the leader knows of hosts and of the work on them.
type hosts struct {
	known map[string]Host
	// at is when the newest listing was asked for; zero before the first one.
	at      time.Time
	listing bool
	askedAt time.Time
	// upkeeps holds the hosts that are prepared for, or in, their maintenance.
	upkeeps map[string]*upkeep
	// missing holds hosts of waves that the listings lack, and since when.
	missing map[string]time.Time
	// moves holds the hosts that are being moved.
	moves map[string]*move
	// loggedAt is when the pools were last logged.
	loggedAt time.Time
	// balancedAt is when the pools were last compared.
	balancedAt time.Time
}

type upkeep struct {
	host string
	wave string
	// worker is the one that was on the host; nil when there was none.
	worker *worker
	since  time.Time
	// ordered is true while an order is out; done once it was carried out.
	ordered bool
	done    bool
	doneAt  time.Time
	retryAt time.Time
	// loggedAt is when the last line told why the host can't be spared.
	loggedAt time.Time
}

// HostsListed takes the outcome of a ListHosts; nil means that it failed.
func (s *Scheduler) HostsListed(asked time.Time, listed []Host) {
	s.hosts.listing = false
	if listed == nil {
		return
	}
	s.hosts.at = asked
	s.hosts.known = make(map[string]Host, len(listed))
	for _, h := range listed {
		s.hosts.known[h.Name] = h
		delete(s.hosts.missing, h.Name)
	}
	s.settleMoves(asked)
	for name, u := range s.hosts.upkeeps {
		h, ok := s.hosts.known[name]
		if u.done && asked.After(u.doneAt) && (!ok || h.State == HostUp) {
			delete(s.hosts.upkeeps, name)
		}
	}
}

// Maintained takes the outcome of a Maintain.
func (s *Scheduler) Maintained(a Maintain, answer HostAnswer) {
	u, ok := s.hosts.upkeeps[a.Host]
	if !ok {
		return
	}
	u.ordered = false
	u.retryAt = s.now.Add(orderPause)
	switch answer {
	case HostOrderDone:
		s.logger.Info("scheduler: host is in maintenance", "host", a.Host, "wave", a.Wave, "prepared", s.now.Sub(u.since))
		u.done, u.doneAt = true, s.now
		if u.worker != nil && s.workers[u.worker.info.GetId()] == u.worker {
			s.leave(u.worker)
		}
		s.emit(NoteWave{
			Wave: a.Wave,
			Host: a.Host,
		})
	case HostOrderInvalid, HostOrderBusy:
		s.release(u)
	}
}

// release ends the preparation of a host.
func (s *Scheduler) release(u *upkeep) {
	if u.worker != nil {
		u.worker.held = false
		s.markPool(u.worker.info.GetPool())
	}
	delete(s.hosts.upkeeps, u.host)
}

// tickHosts goes on with the maintenance waves.
func (s *Scheduler) tickHosts() {
	if s.now.Sub(s.since) < s.settings.HolderLease {
		return
	}
	open := s.openWaves()
	s.noteDue(open)
	interval := quietListInterval
	if len(open) > 0 || len(s.hosts.moves) > 0 {
		interval = listInterval
	}
	if !s.hosts.listing && s.now.Sub(s.hosts.askedAt) >= interval {
		s.hosts.listing, s.hosts.askedAt = true, s.now
		s.emit(ListHosts{})
	}
	if s.hosts.at.IsZero() {
		return
	}
	for _, w := range open {
		s.advanceWave(w)
	}
	for _, u := range s.hosts.upkeeps {
		s.advanceUpkeep(u)
	}
	s.balance()
}

func (s *Scheduler) openWaves() []*jobwire.Wave {
	var open []*jobwire.Wave
	for _, w := range s.state.Waves {
		if len(w.GetBegun()) < len(w.GetHosts()) {
			open = append(open, w)
		}
	}
	return open
}
