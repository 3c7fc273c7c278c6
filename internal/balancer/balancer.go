// Package balancer decides which hosts move between pools. It is a pure
// function of what each pool needs and holds.
//
// It answers a load whose peak goes from pool to pool: the pool at its peak
// gets hosts of the reserve and of idle pools, and hosts that stay idle go back
// to the reserve, where they cost nothing.
package balancer

import (
	"cmp"
	"slices"
	"time"
)

// Pool is one pool as of now.
type Pool struct {
	Name string
	// Reserve is true for a pool whose hosts are off and cost nothing.
	Reserve bool
	// Hosts is the number of hosts that serve the pool or are on their way to it.
	Hosts int
	// Need is the number of hosts that the present and the expected work asks for.
	Need int
	// Floor is the number of hosts that the pool keeps at least.
	Floor int
	// Keep is the number of hosts that the pool should hold for what it expects:
	// they do not go back to the reserve, but to a pool that lacks hosts now.
	Keep int
	// Idle holds the hosts that nothing runs on, those to part with first.
	Idle []string
	// SpareSince is since when the pool has had more hosts than it needs; zero
	// when it has not.
	SpareSince time.Time
}

// Move takes a host to another pool.
type Move struct {
	Host string
	From string
	To   string
}

// Settings weigh moves.
type Settings struct {
	// IdleTime is how long a pool keeps hosts that it does not need: a move
	// there and back costs as much as that time in the pool.
	IdleTime time.Duration
	// MostMoves bounds the moves of one plan.
	MostMoves int
}

// Plan returns the moves to make now, the neediest pools first.
func Plan(now time.Time, pools []Pool, settings Settings) []Move {
	p := planner{
		now:      now,
		settings: settings,
		pools:    slices.Clone(pools),
	}
	p.fill(lack)
	p.fill(lackToKeep)
	p.release()
	return p.moves
}

type planner struct {
	now      time.Time
	settings Settings
	pools    []Pool
	moves    []Move
}

// lack returns how many hosts a pool is short of for its present work.
func lack(p Pool) int {
	if p.Reserve {
		return 0
	}
	return max(p.Need, p.Floor) - p.Hosts
}

// lackToKeep returns how many hosts a pool is short of for what it expects.
func lackToKeep(p Pool) int {
	if p.Reserve {
		return 0
	}
	return max(p.Need, p.Floor, p.Keep) - p.Hosts
}

// fill gives hosts to pools that lack some, one at a time to the one that
// lacks the largest part.
func (p *planner) fill(lacks func(Pool) int) {
	for len(p.moves) < p.settings.MostMoves {
		to := -1
		for i, pool := range p.pools {
			if lacks(pool) > 0 && (to < 0 || share(pool, lacks) > share(p.pools[to], lacks)) {
				to = i
			}
		}
		if to < 0 {
			return
		}
		from := p.giver(lacks)
		if from < 0 {
			return
		}
		p.move(from, to)
	}
}

// share returns the part of its hosts that a pool lacks.
func share(p Pool, lacks func(Pool) int) float64 {
	return float64(lacks(p)) / float64(max(p.Hosts+lacks(p), 1))
}

// giver returns the pool that gives a host: the reserve, else the one with most
// hosts beyond what it should keep; -1 when there is none.
func (p *planner) giver(lacks func(Pool) int) int {
	best := -1
	for i, pool := range p.pools {
		if len(pool.Idle) == 0 || (!pool.Reserve && lacks(pool) >= 0) {
			continue
		}
		if best < 0 || cmp.Or(boolOrder(pool.Reserve, p.pools[best].Reserve), cmp.Compare(lackToKeep(pool), lackToKeep(p.pools[best]))) < 0 {
			best = i
		}
	}
	return best
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// release returns hosts to the reserve that a pool has not needed for some time.
func (p *planner) release() {
	reserve := slices.IndexFunc(p.pools, func(pool Pool) bool { return pool.Reserve })
	if reserve < 0 {
		return
	}
	for i := range p.pools {
		pool := &p.pools[i]
		if pool.Reserve || pool.SpareSince.IsZero() || p.now.Sub(pool.SpareSince) < p.settings.IdleTime {
			continue
		}
		for lackToKeep(*pool) < 0 && len(pool.Idle) > 0 && len(p.moves) < p.settings.MostMoves {
			p.move(i, reserve)
		}
	}
}

func (p *planner) move(from, to int) {
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
