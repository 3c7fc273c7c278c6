package planner

import (
	"math"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
)

// Policy sets how the planner weighs buffer cost and moves against work that
// waits. The zero value is not usable; see FavourShares and FavourCost.
type Policy struct {
	// Headroom is added to the need, as a part of it.
	Headroom float64
	// React is the time constant of the load average that a pool grows by. A
	// peak that is much shorter causes no move.
	React time.Duration
	// Quiet is how long a pool must have had too many hosts before it returns one.
	Quiet time.Duration
	// Surplus is the least number of hosts above the need that counts as too many.
	Surplus int64
}

// FavourShares grows early and keeps hosts for longer, so that teams reach
// their shares and work goes on while data centres leave and return.
func FavourShares() Policy {
	return Policy{
		Headroom: 0.2,
		React:    15 * time.Second,
		Quiet:    10 * time.Minute,
		Surplus:  2,
	}
}

// FavourCost grows late and keeps little headroom, so that few hosts are idle
// and few moves are made.
func FavourCost() Policy {
	return Policy{
		Headroom: 0.05,
		React:    45 * time.Second,
		Quiet:    10 * time.Minute,
		Surplus:  3,
	}
}

// demands follows the load of the pools. It keeps what it learned in one term.
type demands struct {
	pools map[string]*demand
}

// demand is the load of one pool, in hosts. It is immutable.
type demand struct {
	at      time.Time
	average float64
	needed  int64
	// windowStart is the start of the present window of length Quiet.
	windowStart time.Time
	// windowNeed is the highest need in the present window, and formerNeed that
	// in the window before; it is negative before the first window is over.
	windowNeed, formerNeed int64
}

// recentNeed returns the highest need of at least the last Quiet, and whether
// the pool was watched for that long. Queues peak in turn, so the need of a
// moment says nothing about what a pool can give up.
func (d *demand) recentNeed() (int64, bool) {
	return max(d.windowNeed, d.formerNeed), d.formerNeed >= 0
}

// observe updates the averages with the load of the moment.
func (d *demands) observe(f fleet, policies map[string]Policy) {
	for _, pool := range f.in.State.Pools() {
		name := pool.GetName()
		p := policies[name]
		size := hostSize(f, name)
		load := hostsFor(f.pools[name], size)
		d.pools[name] = d.pools[name].next(f.in.Now, load, p)
	}
}

// next returns the demand after one more observation. The average rises and
// falls exponentially with the time constant React.
func (d *demand) next(now time.Time, load float64, p Policy) *demand {
	if d == nil {
		d = &demand{
			at:          now,
			windowStart: now,
			formerNeed:  -1,
		}
	}
	n := *d
	weight := 1 - math.Exp(-now.Sub(d.at).Seconds()/p.React.Seconds())
	n.at = now
	n.average += (load - d.average) * weight
	n.needed = int64(math.Ceil(n.average * (1 + p.Headroom)))
	if now.Sub(d.windowStart) >= p.Quiet {
		n.windowStart = now
		n.formerNeed = d.windowNeed
		n.windowNeed = 0
	}
	n.windowNeed = max(n.windowNeed, n.needed)
	return &n
}

// need returns how many hosts a pool needs.
func (d *demands) need(pool string) int64 {
	if p, ok := d.pools[pool]; ok {
		return p.needed
	}
	return 0
}

// hostSize returns the mean capacity of the pool's hosts, or of all hosts when
// it has none.
func hostSize(f fleet, pool string) controller.Amount {
	sum, count := f.counts[pool].capacity, f.counts[pool].hosts
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

// hostsFor returns how many hosts of the size the load fills, by its scarcest resource.
func hostsFor(load, size controller.Amount) float64 {
	part := func(l, s int64) float64 {
		if s <= 0 {
			return 0
		}
		return float64(l) / float64(s)
	}
	return max(
		part(load.MilliCores, size.MilliCores),
		part(load.MemoryBytes, size.MemoryBytes),
		part(load.Accelerators, size.Accelerators),
	)
}
