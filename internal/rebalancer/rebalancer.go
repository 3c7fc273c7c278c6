// Package rebalancer plans which hosts move between pools. A plan is a pure
// function of the hosts that each pool needs and holds.
//
// It serves loads whose peak moves from pool to pool: the pool with the peak
// gets hosts from the reserve and from idle pools, and hosts that stay idle
// return to the reserve, where they are off and cost nothing. Demand forecasts
// the next peak of a pool.
package rebalancer

import (
	"cmp"
	"slices"
	"time"
)

// Pool is the current state of one pool.
type Pool struct {
	Name string
	// Reserve is true for a pool whose hosts are off and cost nothing.
	Reserve bool
	// Hosts is the number of hosts that serve the pool or are moving to it.
	Hosts int
	// Need is the number of hosts required for the current and the imminent work.
	Need int
	// Floor is the minimum number of hosts of the pool.
	Floor int
	// Keep is the number of hosts that the pool should hold for forecast work.
	// Such hosts don't return to the reserve, but move to pools with a shortage.
	Keep int
	// Retain is the number of hosts that do not return to the reserve while they are idle. A
	// pool with fewer gets none for it.
	Retain int
	// Idle holds the hosts without running tasks, in the order in which the pool
	// gives them away.
	Idle []string
	// SpareSince is the time since which the pool has had more hosts than it
	// needs; zero when it has no spare hosts.
	SpareSince time.Time
}

// Move reassigns a host to another pool.
type Move struct {
	Host string
	From string
	To   string
}

// Settings limit the moves of a plan.
type Settings struct {
	// IdleTime is how long a pool keeps spare hosts before they return to the
	// reserve. It should be the time for which an idle host costs as much as a
	// move to the reserve and back.
	IdleTime time.Duration
	// MaxMoves is the maximum number of moves in one plan.
	MaxMoves int
}

// Plan returns the moves to start now, those to the pools with the largest
// relative shortage first: for present work, then for forecast work, then back
// to the reserve.
func Plan(now time.Time, pools []Pool, settings Settings) []Move {
	p := planner{
		now:      now,
		settings: settings,
		pools:    slices.Clone(pools),
	}
	p.fillShortages(presentShortage, presentShortage)
	p.fillShortages(expectedShortage, unretainedShortage)
	p.returnToReserve()
	return p.moves
}

// planner builds one plan. It updates its copy of the pools with each move.
type planner struct {
	now      time.Time
	settings Settings
	pools    []Pool
	moves    []Move
}

// presentShortage returns how many hosts a pool lacks for its present work. It is
// negative when the pool has spare hosts.
func presentShortage(p Pool) int {
	if p.Reserve {
		return 0
	}
	return max(p.Need, p.Floor) - p.Hosts
}

// expectedShortage is like presentShortage, but includes forecast work.
func expectedShortage(p Pool) int {
	if p.Reserve {
		return 0
	}
	return max(p.Need, p.Floor, p.Keep) - p.Hosts
}

// unretainedShortage is like expectedShortage, but includes the hosts that the pool retains.
func unretainedShortage(p Pool) int {
	if p.Reserve {
		return 0
	}
	return max(p.Need, p.Floor, p.Keep, p.Retain) - p.Hosts
}

// fillShortages assigns hosts to pools with a shortage, each to the pool with the
// largest relative shortage at that point. A pool gives hosts while its donorShortage is
// negative.
func (p *planner) fillShortages(shortage, donorShortage func(Pool) int) {
	for len(p.moves) < p.settings.MaxMoves {
		to := -1
		for i, pool := range p.pools {
			if shortage(pool) > 0 && (to < 0 || relativeShortage(pool, shortage) > relativeShortage(p.pools[to], shortage)) {
				to = i
			}
		}
		if to < 0 {
			return
		}
		from := p.donor(donorShortage)
		if from < 0 {
			return
		}
		p.moveHost(from, to)
	}
}

// relativeShortage returns the shortage as a fraction of the hosts that the pool
// should have.
func relativeShortage(p Pool, shortage func(Pool) int) float64 {
	return float64(shortage(p)) / float64(max(p.Hosts+shortage(p), 1))
}

// donor returns the index of the pool to take a host from: the reserve, otherwise
// the pool with the most hosts beyond its expected need; -1 when there is none.
func (p *planner) donor(shortage func(Pool) int) int {
	best := -1
	for i, pool := range p.pools {
		if len(pool.Idle) == 0 || (!pool.Reserve && shortage(pool) >= 0) {
			continue
		}
		if best < 0 || cmp.Or(compareTrueFirst(pool.Reserve, p.pools[best].Reserve), cmp.Compare(expectedShortage(pool), expectedShortage(p.pools[best]))) < 0 {
			best = i
		}
	}
	return best
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// returnToReserve moves idle hosts to the reserve from pools that have had spare
// hosts for at least IdleTime.
func (p *planner) returnToReserve() {
	reserve := slices.IndexFunc(p.pools, func(pool Pool) bool { return pool.Reserve })
	if reserve < 0 {
		return
	}
	for i := range p.pools {
		pool := &p.pools[i]
		if pool.Reserve || pool.SpareSince.IsZero() || p.now.Sub(pool.SpareSince) < p.settings.IdleTime {
			continue
		}
		for expectedShortage(*pool) < 0 && pool.Hosts > pool.Retain && len(pool.Idle) > 0 && len(p.moves) < p.settings.MaxMoves {
			p.moveHost(i, reserve)
		}
	}
}

// moveHost plans the move of the first idle host of a pool.
func (p *planner) moveHost(from, to int) {
	host := p.pools[from].Idle[0]
	p.pools[from].Idle = p.pools[from].Idle[1:]
	p.pools[from].Hosts--
	p.pools[to].Hosts++
	p.moves = append(p.moves, Move{
		Host: host,
		From: p.pools[from].Name,
		To:   p.pools[to].Name,
	})
}
