package planner

import (
	"cmp"
	"slices"

	"github.com/heathermux/heathermux/internal/wire"
)

// movesAtOnce bounds the moves under way in the fleet. A data centre that
// leaves or returns changes all loads at once and must not cause a rush.
const movesAtOnce = 4

// inService reports whether the host's data centre takes work.
func inService(f fleet, h host) bool {
	d, _ := f.in.State.DataCentre(h.GetDataCentre())
	return d.GetState() == wire.ServiceState_SERVICE_STATE_IN
}

// moves returns the host moves to start now: from the spare pool to pools that
// need hosts, and back from pools that had too many for a long time.
func (p *Planner) moves(f fleet, b budgets) []*wire.Command {
	left := movesAtOnce
	for _, h := range f.hosts {
		if h.GetMovingTo() != "" {
			left--
		}
	}
	var commands []*wire.Command
	for _, pool := range byShortage(p, f) {
		if left <= 0 {
			break
		}
		if cmd := p.move(f, b, pool); cmd != nil {
			commands = append(commands, cmd)
			left--
		}
	}
	return commands
}

// byShortage returns the pools in service, the one that lacks most hosts first.
func byShortage(p *Planner, f fleet) []*wire.Pool {
	var pools []*wire.Pool
	for _, pool := range f.in.State.Pools() {
		if !pool.GetSpare() && pool.GetState() == wire.ServiceState_SERVICE_STATE_IN {
			pools = append(pools, pool)
		}
	}
	slices.SortStableFunc(pools, func(a, b *wire.Pool) int {
		return cmp.Compare(p.shortage(f, b), p.shortage(f, a))
	})
	return pools
}

func (p *Planner) shortage(f fleet, pool *wire.Pool) int64 {
	need := min(max(p.demand.need(pool.GetName()), pool.GetMinHosts()), pool.GetMaxHosts())
	c := f.counts[pool.GetName()]
	return need - c.usable - c.arriving
}

// move returns a move for one pool, or nil.
func (p *Planner) move(f fleet, b budgets, pool *wire.Pool) *wire.Command {
	name := pool.GetName()
	if p.shortage(f, pool) > 0 {
		if h, ok := spareHost(f, b, name); ok {
			return moveCommand(h, name)
		}
		return nil
	}
	spare, ok := sparePool(f)
	if !ok || !p.hasSurplus(f, pool) {
		return nil
	}
	if h, ok := surplusHost(f, b, name); ok {
		return moveCommand(h, spare)
	}
	return nil
}

// hasSurplus reports whether the pool can give up a host without lacking it in
// a peak like those of the last Quiet.
func (p *Planner) hasSurplus(f fleet, pool *wire.Pool) bool {
	d, ok := p.demand.pools[pool.GetName()]
	if !ok {
		return false
	}
	need, watched := d.recentNeed()
	need = max(need, pool.GetMinHosts())
	return watched && f.counts[pool.GetName()].usable-need >= p.opts.Policies(pool).Surplus
}

func sparePool(f fleet) (string, bool) {
	for _, p := range f.in.State.Pools() {
		if p.GetSpare() {
			return p.GetName(), true
		}
	}
	return "", false
}

// spareHost returns a usable host of the spare pool, from the rack and data
// centre in which the pool has the fewest hosts.
func spareHost(f fleet, b budgets, pool string) (host, bool) {
	spare, ok := sparePool(f)
	if !ok {
		return host{}, false
	}
	perRack := make(map[string]int)
	perDataCentre := make(map[string]int)
	for _, h := range f.hosts {
		if h.GetPool() == pool || h.GetMovingTo() == pool {
			perRack[rackOf(h)]++
			perDataCentre[h.GetDataCentre()]++
		}
	}
	best, found := least(f, func(h host) bool {
		return h.GetPool() == spare && h.usable() && inService(f, h) && b.allows(f, h)
	}, func(a, b host) int {
		return cmp.Or(
			cmp.Compare(perDataCentre[a.GetDataCentre()], perDataCentre[b.GetDataCentre()]),
			cmp.Compare(perRack[rackOf(a)], perRack[rackOf(b)]),
		)
	})
	return best, found && b.take(f, best)
}

// surplusHost returns the host of a pool that is cheapest to give up: idle
// hosts first, then those with the fewest tasks.
func surplusHost(f fleet, b budgets, pool string) (host, bool) {
	best, found := least(f, func(h host) bool {
		return h.GetPool() == pool && h.usable() && inService(f, h) && b.allows(f, h)
	}, func(a, b host) int {
		return cmp.Compare(a.use.GetTasks(), b.use.GetTasks())
	})
	return best, found && b.take(f, best)
}

// least returns the first host in the given order among those that fit; the
// name decides between equals.
func least(f fleet, fits func(host) bool, compare func(a, b host) int) (host, bool) {
	var best host
	found := false
	for _, h := range f.hosts {
		if fits(h) && (!found || compare(h, best) < 0) {
			best, found = h, true
		}
	}
	return best, found
}

func moveCommand(h host, pool string) *wire.Command {
	return &wire.Command{
		ExpectedRevision: h.GetRevision(),
		Change: &wire.Command_MoveHost{
			MoveHost: &wire.MoveHost{
				Host: h.GetName(),
				Pool: pool,
			},
		},
	}
}
