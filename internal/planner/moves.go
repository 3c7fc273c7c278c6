package planner

import (
	"cmp"
	"slices"

	"github.com/heathermux/heathermux/internal/wire"
)

// maxConcurrentMoves limits the moves in progress in the fleet. A data centre that
// goes out of service or returns changes all loads at once and must not cause a
// burst of moves.
const maxConcurrentMoves = 4

// inService reports whether the host's data centre takes work.
func inService(f fleet, h host) bool {
	d, _ := f.in.State.DataCentre(h.GetDataCentre())
	return d.GetState() == wire.ServiceState_SERVICE_STATE_IN
}

// moveCommands returns the host moves to start now: from the spare pool to pools
// that need hosts, and back from pools that had a surplus throughout the policy's
// SurplusWindow.
func (p *Planner) moveCommands(f fleet, b budgets) []*wire.Command {
	remaining := maxConcurrentMoves
	for _, h := range f.hosts {
		if h.GetMovingTo() != "" {
			remaining--
		}
	}
	var commands []*wire.Command
	for _, pool := range poolsByShortage(p, f) {
		if remaining <= 0 {
			break
		}
		if cmd := p.moveCommandForPool(f, b, pool); cmd != nil {
			commands = append(commands, cmd)
			remaining--
		}
	}
	return commands
}

// poolsByShortage returns the pools in service except the spare pool, sorted by
// descending shortage.
func poolsByShortage(p *Planner, f fleet) []*wire.Pool {
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

// shortage returns how many hosts the pool lacks, counting hosts that are moving
// to it as present; it is negative for a surplus.
func (p *Planner) shortage(f fleet, pool *wire.Pool) int64 {
	need := min(max(p.demand.need(pool.GetName()), pool.GetMinHosts()), pool.GetMaxHosts())
	c := f.poolCounts[pool.GetName()]
	return need - c.usable - c.arriving
}

// moveCommandForPool returns one move to or from the pool, or nil if none is needed
// or possible.
func (p *Planner) moveCommandForPool(f fleet, b budgets, pool *wire.Pool) *wire.Command {
	name := pool.GetName()
	if p.shortage(f, pool) > 0 {
		if h, ok := spareHost(f, b, name); ok {
			return newMoveCommand(h, name)
		}
		return nil
	}
	spare, ok := sparePool(f)
	if !ok || !p.hasSurplus(f, pool) {
		return nil
	}
	if h, ok := surplusHost(f, b, name); ok {
		return newMoveCommand(h, spare)
	}
	return nil
}

// hasSurplus reports whether the pool could give up a host and still have enough
// for a peak like those within the last SurplusWindow.
func (p *Planner) hasSurplus(f fleet, pool *wire.Pool) bool {
	d, ok := p.demand.pools[pool.GetName()]
	if !ok {
		return false
	}
	need, observed := d.recentNeed()
	need = max(need, pool.GetMinHosts())
	return observed && f.poolCounts[pool.GetName()].usable-need >= p.opts.Policies(pool).MinSurplus
}

// sparePool returns the name of the spare pool, if there is one.
func sparePool(f fleet) (string, bool) {
	for _, p := range f.in.State.Pools() {
		if p.GetSpare() {
			return p.GetName(), true
		}
	}
	return "", false
}

// spareHost reserves a usable host of the spare pool, from the data centre and then
// the rack in which the given pool has the fewest hosts.
func spareHost(f fleet, b budgets, pool string) (host, bool) {
	spare, ok := sparePool(f)
	if !ok {
		return host{}, false
	}
	perRack := make(map[string]int)
	perDataCentre := make(map[string]int)
	for _, h := range f.hosts {
		if h.GetPool() == pool || h.GetMovingTo() == pool {
			perRack[rackKey(h)]++
			perDataCentre[h.GetDataCentre()]++
		}
	}
	best, found := minHost(f, func(h host) bool {
		return h.GetPool() == spare && h.usable() && inService(f, h) && b.allows(f, h)
	}, func(a, b host) int {
		return cmp.Or(
			cmp.Compare(perDataCentre[a.GetDataCentre()], perDataCentre[b.GetDataCentre()]),
			cmp.Compare(perRack[rackKey(a)], perRack[rackKey(b)]),
		)
	})
	return best, found && b.reserve(f, best)
}

// surplusHost reserves the host of a pool that is cheapest to give up, the one
// with the fewest running tasks.
func surplusHost(f fleet, b budgets, pool string) (host, bool) {
	best, found := minHost(f, func(h host) bool {
		return h.GetPool() == pool && h.usable() && inService(f, h) && b.allows(f, h)
	}, func(a, b host) int {
		return cmp.Compare(a.use.GetTasks(), b.use.GetTasks())
	})
	return best, found && b.reserve(f, best)
}

// minHost returns the smallest eligible host in the order of compare. Of equal
// hosts it returns the one whose name sorts first.
func minHost(f fleet, eligible func(host) bool, compare func(a, b host) int) (host, bool) {
	var best host
	found := false
	for _, h := range f.hosts {
		if eligible(h) && (!found || compare(h, best) < 0) {
			best, found = h, true
		}
	}
	return best, found
}

func newMoveCommand(h host, pool string) *wire.Command {
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
