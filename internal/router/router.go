// Package router selects the upstream for a request: the better of two random
// ones (M. Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", IEEE TPDS 2001), in the own data centre first.
package router

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// shards splits the services, so that queues do not wait for each other.
const shards = 16

// Source lists the live upstreams.
type Source interface {
	// Upstreams returns the upstreams of a queue that are live and not leaving.
	Upstreams(queue string) []*wire.Upstream
	// Generation changes with every change of any queue's upstreams.
	Generation() uint64
}

// Config holds what a Router works with.
type Config[P Policy] struct {
	Clock timer.Clock
	// DataCentre whose upstreams come first.
	DataCentre string
	Source     Source
	Policy     P
	// IntN returns a random number in [0, n); nil means math/rand/v2. It is
	// called from many goroutines.
	IntN func(n int) int
	// Removed, if set, is called with each upstream that has left.
	Removed func(u *wire.Upstream)
}

type shard struct {
	mu       sync.RWMutex
	services map[string]*service
}

// Router selects upstreams. It may be used from any number of goroutines; make
// one with New.
type Router[P Policy] struct {
	cfg    Config[P]
	shards [shards]shard
}

// New returns a router that has selected nothing yet.
func New[P Policy](cfg Config[P]) *Router[P] {
	if cfg.IntN == nil {
		cfg.IntN = rand.IntN
	}
	r := &Router[P]{
		cfg: cfg,
	}
	for i := range r.shards {
		r.shards[i].services = make(map[string]*service)
	}
	return r
}

// Pick selects an upstream and counts a request to it until Choice.Done. It
// reports false when no upstream can take the request.
func (r *Router[P]) Pick(queue string) (Choice, bool) {
	s := r.service(queue)
	set := r.refresh(s)
	now := r.cfg.Clock.Now().UnixNano()
	near, nearCandidate := r.pickOf(set.near, now)
	if near != nil && nearCandidate.Free() > 0 {
		return s.take(near), true
	}
	far, farCandidate := r.pickOf(set.far, now)
	switch {
	case near == nil && far == nil:
		return Choice{}, false
	case near == nil, far != nil && farCandidate.Free() > 0:
		return s.take(far), true
	}
	return s.take(near), true
}

// pickOf returns the better of two random upstreams of a group. When both are
// unavailable it looks at all of them.
func (r *Router[P]) pickOf(group []*upstream, now int64) (*upstream, Candidate) {
	n := len(group)
	if n == 0 {
		return nil, Candidate{}
	}
	i := r.cfg.IntN(n)
	best, candidate := group[i], group[i].candidate(now)
	ok := best.available(candidate, now)
	if n > 1 {
		j := r.cfg.IntN(n - 1)
		if j >= i {
			j++
		}
		other := group[j].candidate(now)
		if group[j].available(other, now) && (!ok || r.cfg.Policy.Better(other, candidate)) {
			best, candidate, ok = group[j], other, true
		}
	}
	if ok {
		return best, candidate
	}
	return r.scan(group, now, nil)
}

// PickOther selects an upstream for a retry: not one of those tried, in a rack
// that none of them is in if there is one, with a free slot if there is one.
func (r *Router[P]) PickOther(queue string, tried []Choice) (Choice, bool) {
	s := r.service(queue)
	set := r.refresh(s)
	now := r.cfg.Clock.Now().UnixNano()
	accept := func(u *upstream, sameRack bool) bool {
		for _, t := range tried {
			if t.upstream == u || t.upstream.wire.GetId() == u.wire.GetId() || (!sameRack && t.upstream.rack() == u.rack()) {
				return false
			}
		}
		return true
	}
	for _, sameRack := range []bool{false, true} {
		for _, group := range [][]*upstream{set.near, set.far} {
			u, _ := r.scan(group, now, func(u *upstream) bool { return accept(u, sameRack) })
			if u != nil {
				return s.take(u), true
			}
		}
	}
	return Choice{}, false
}

// scan returns the best available upstream of a group.
func (r *Router[P]) scan(group []*upstream, now int64, accept func(*upstream) bool) (*upstream, Candidate) {
	var best *upstream
	var candidate Candidate
	for _, u := range group {
		c := u.candidate(now)
		if !u.available(c, now) || (accept != nil && !accept(u)) {
			continue
		}
		if best == nil || r.cfg.Policy.Better(c, candidate) {
			best, candidate = u, c
		}
	}
	return best, candidate
}

// Capacity returns how many requests of a queue may be under way: the slots of
// the upstreams that take work, and the requests that are still with upstreams
// that take none any more. Without the latter, a leaving upstream would hold
// back work for the others until its own has ended.
func (r *Router[P]) Capacity(queue string) int64 {
	s := r.service(queue)
	set := r.refresh(s)
	now := r.cfg.Clock.Now().UnixNano()
	var slots int64
	capacity := s.outstanding.Load()
	for _, group := range [2][]*upstream{set.near, set.far} {
		for _, u := range group {
			if now >= u.ejectedUntil.Load() {
				c := u.candidate(now)
				slots += c.Slots
				capacity += c.Free()
			}
		}
	}
	if slots == 0 {
		return 0
	}
	return capacity
}

// Live reports whether the chosen upstream is still listed. A request that has
// waited for a connection asks before its first byte is written.
func (r *Router[P]) Live(c Choice) bool {
	r.refresh(c.service)
	return !c.upstream.gone.Load()
}

func (r *Router[P]) service(queue string) *service {
	sh := &r.shards[xxhash.Sum64String(queue)%shards]
	sh.mu.RLock()
	s := sh.services[queue]
	sh.mu.RUnlock()
	if s != nil {
		return s
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.services[queue] == nil {
		sh.services[queue] = &service{
			queue: queue,
			clock: r.cfg.Clock,
		}
	}
	return sh.services[queue]
}
