package planner

import (
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// fleet combines the hosts of the control state with the reports on them.
type fleet struct {
	in    Input
	hosts []host
	// poolLoads holds the running and waiting load of each pool over all data centres.
	poolLoads map[string]controller.Amount
	// poolCounts holds the host counts of each pool.
	poolCounts map[string]poolCount
	// capacity is the total capacity of all hosts.
	capacity controller.Amount
}

// poolCount counts the hosts of one pool.
type poolCount struct {
	// hosts counts all hosts of the pool; capacity is their total capacity.
	hosts    int64
	capacity controller.Amount
	// usable counts the hosts that can take work now.
	usable int64
	// arriving counts the hosts that are moving to the pool.
	arriving int64
}

// host is one host with the latest report on it; use is nil if no scheduler
// reported the host.
type host struct {
	*wire.Host
	use    *wire.HostUse
	report Report
}

// idle reports whether no task is reported to run on the host. A host without a
// report counts as idle.
func (h host) idle() bool { return h.use.GetTasks() == 0 }

// dead reports whether the host is listed in a report but its worker lease has
// expired.
func (h host) dead() bool { return h.use != nil && !h.use.GetAlive() }

// usable reports whether the host itself can take work: it is active, not dead
// and not quarantined.
func (h host) usable() bool {
	return h.GetState() == wire.HostState_HOST_STATE_ACTIVE && !h.dead() && !h.use.GetQuarantined()
}

// newFleet builds the fleet from one input of the planner.
func newFleet(in Input) fleet {
	f := fleet{
		in:         in,
		poolLoads:  make(map[string]controller.Amount),
		poolCounts: make(map[string]poolCount),
	}
	uses := make(map[string]*wire.HostUse)
	for _, r := range in.Reports {
		for _, u := range r.Use.GetHosts() {
			uses[u.GetHost()] = u
		}
		for _, p := range r.Use.GetPools() {
			load := controller.AmountOf(p.GetRunning()).Plus(controller.AmountOf(p.GetWaiting()))
			f.poolLoads[p.GetPool()] = f.poolLoads[p.GetPool()].Plus(load)
		}
	}
	for _, h := range in.State.Hosts() {
		f.add(host{
			Host:   h,
			use:    uses[h.GetName()],
			report: in.Reports[h.GetDataCentre()],
		})
	}
	return f
}

// add adds one host to the fleet and its counts.
func (f *fleet) add(h host) {
	f.hosts = append(f.hosts, h)
	capacity := controller.AmountOf(h.GetCapacity())
	f.capacity = f.capacity.Plus(capacity)
	c := f.poolCounts[h.GetPool()]
	c.hosts++
	c.capacity = c.capacity.Plus(capacity)
	if h.usable() && inService(*f, h) {
		c.usable++
	}
	f.poolCounts[h.GetPool()] = c
	if to := h.GetMovingTo(); to != "" {
		c := f.poolCounts[to]
		c.arriving++
		f.poolCounts[to] = c
	}
}
