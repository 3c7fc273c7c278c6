package planner

import (
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// fleet joins the hosts of the state with what is reported of them.
type fleet struct {
	in    Input
	hosts []host
	// pools holds the load that runs and waits, over all data centres.
	pools map[string]controller.Amount
	// counts has the hosts of each pool by what they can do now.
	counts map[string]poolCount
	// capacity is the sum over all hosts.
	capacity controller.Amount
}

// poolCount counts the hosts of one pool.
type poolCount struct {
	// hosts are all hosts of the pool, and capacity their sum.
	hosts    int64
	capacity controller.Amount
	// usable hosts can take work now.
	usable int64
	// arriving hosts are moving to the pool.
	arriving int64
}

// host is one host with the newest report on it; use is nil without one.
type host struct {
	*wire.Host
	use    *wire.HostUse
	report Report
}

// idle reports whether nothing runs on the host as far as is known.
func (h host) idle() bool { return h.use.GetTasks() == 0 }

// dead reports whether the host was heard before and its lease has ended.
func (h host) dead() bool { return h.use != nil && !h.use.GetAlive() }

// usable reports whether the host can take work of its pool.
func (h host) usable() bool {
	return h.GetState() == wire.HostState_HOST_STATE_ACTIVE && !h.dead() && !h.use.GetQuarantined()
}

func newFleet(in Input) fleet {
	f := fleet{
		in:     in,
		pools:  make(map[string]controller.Amount),
		counts: make(map[string]poolCount),
	}
	uses := make(map[string]*wire.HostUse)
	for _, r := range in.Reports {
		for _, u := range r.Use.GetHosts() {
			uses[u.GetHost()] = u
		}
		for _, p := range r.Use.GetPools() {
			load := controller.AmountOf(p.GetRunning()).Plus(controller.AmountOf(p.GetWaiting()))
			f.pools[p.GetPool()] = f.pools[p.GetPool()].Plus(load)
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

// add takes one host into the fleet and its counts.
func (f *fleet) add(h host) {
	f.hosts = append(f.hosts, h)
	capacity := controller.AmountOf(h.GetCapacity())
	f.capacity = f.capacity.Plus(capacity)
	c := f.counts[h.GetPool()]
	c.hosts++
	c.capacity = c.capacity.Plus(capacity)
	if h.usable() && inService(*f, h) {
		c.usable++
	}
	f.counts[h.GetPool()] = c
	if to := h.GetMovingTo(); to != "" {
		c := f.counts[to]
		c.arriving++
		f.counts[to] = c
	}
}
