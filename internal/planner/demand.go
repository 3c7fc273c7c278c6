package planner

import (
	"math"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
)

// Policy sets the trade-off between the cost of spare capacity and host moves on
// one side and waiting work on the other. The zero value is not usable; see
// FavourShares and FavourCost.
type Policy struct {
	// Headroom is the spare capacity added to the average load, as a fraction of it.
	Headroom float64
	// AveragingTime is the time constant of the exponential moving average of the
	// load. A peak that is much shorter causes no move.
	AveragingTime time.Duration
	// SurplusWindow is how long a pool must have had surplus hosts before it
	// returns one to the spare pool.
	SurplusWindow time.Duration
	// MinSurplus is the smallest number of hosts above the need that counts as a surplus.
	MinSurplus int64
}

// FavourShares returns a policy that grows pools early and keeps hosts longer, so
// that teams reach their shares and work continues while data centres go out of
// service and return.
func FavourShares() Policy {
	return Policy{
		Headroom:      0.2,
		AveragingTime: 15 * time.Second,
		SurplusWindow: 10 * time.Minute,
		MinSurplus:    2,
	}
}

// FavourCost returns a policy that grows pools late and keeps little headroom, so
// that few hosts are idle and few are moved.
func FavourCost() Policy {
	return Policy{
		Headroom:      0.05,
		AveragingTime: 45 * time.Second,
		SurplusWindow: 10 * time.Minute,
		MinSurplus:    3,
	}
}

// demandTracker tracks the load of the pools within one leader's term.
type demandTracker struct {
	pools map[string]*demand
}

// demand is the observed load of one pool, in hosts. It is immutable.
type demand struct {
	observedAt  time.Time
	averageLoad float64
	neededHosts int64
	// windowStart is the start of the current window of length SurplusWindow.
	windowStart time.Time
	// windowNeed is the highest need in the current window, previousWindowNeed
	// that in the window before. The latter is negative until the first window
	// has ended.
	windowNeed, previousWindowNeed int64
}

// recentNeed returns the highest need within at least the last SurplusWindow, and
// whether the pool was observed for that long. Queues peak at different times, so
// the current need alone does not tell which hosts a pool can give up.
func (d *demand) recentNeed() (int64, bool) {
	return max(d.windowNeed, d.previousWindowNeed), d.previousWindowNeed >= 0
}

// observe updates the demand of every pool with its current load.
func (d *demandTracker) observe(f fleet, policies map[string]Policy) {
	for _, pool := range f.in.State.Pools() {
		name := pool.GetName()
		p := policies[name]
		capacity := meanHostCapacity(f, name)
		load := hostsForLoad(f.poolLoads[name], capacity)
		d.pools[name] = d.pools[name].observe(f.in.Now, load, p)
	}
}

// observe returns the demand after one more observation. The load average is an
// exponential moving average with the time constant AveragingTime.
func (d *demand) observe(now time.Time, load float64, p Policy) *demand {
	if d == nil {
		d = &demand{
			observedAt:         now,
			windowStart:        now,
			previousWindowNeed: -1,
		}
	}
	n := *d
	weight := 1 - math.Exp(-now.Sub(d.observedAt).Seconds()/p.AveragingTime.Seconds())
	n.observedAt = now
	n.averageLoad += (load - d.averageLoad) * weight
	n.neededHosts = int64(math.Ceil(n.averageLoad * (1 + p.Headroom)))
	if now.Sub(d.windowStart) >= p.SurplusWindow {
		n.windowStart = now
		n.previousWindowNeed = d.windowNeed
		n.windowNeed = 0
	}
	n.windowNeed = max(n.windowNeed, n.neededHosts)
	return &n
}

// need returns how many hosts a pool currently needs, including headroom.
func (d *demandTracker) need(pool string) int64 {
	if p, ok := d.pools[pool]; ok {
		return p.neededHosts
	}
	return 0
}

// meanHostCapacity returns the mean capacity of the pool's hosts, or of all hosts
// if the pool has none.
func meanHostCapacity(f fleet, pool string) controller.Amount {
	sum, count := f.poolCounts[pool].capacity, f.poolCounts[pool].hosts
	if count == 0 {
		sum, count = f.capacity, int64(len(f.hosts))
	}
	count = max(count, 1)
	return controller.Amount{
		MilliCores:   sum.MilliCores / count,
		MemoryBytes:  sum.MemoryBytes / count,
		Accelerators: sum.Accelerators / count,
	}
}

// hostsForLoad returns how many hosts of the given capacity the load fills. The
// resource that needs the most hosts decides.
func hostsForLoad(load, capacity controller.Amount) float64 {
	ratio := func(used, available int64) float64 {
		if available <= 0 {
			return 0
		}
		return float64(used) / float64(available)
	}
	return max(
		ratio(load.MilliCores, capacity.MilliCores),
		ratio(load.MemoryBytes, capacity.MemoryBytes),
		ratio(load.Accelerators, capacity.Accelerators),
	)
}
