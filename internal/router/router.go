// Package router selects the upstream for a request: the better of two random
// ones (M. Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", IEEE TPDS 2001), with preference for the local data centre. It
// ejects upstreams that fail repeatedly and ramps up new ones slowly.
package router

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// shardCount is the number of locks that the queues are spread over, which
// reduces lock contention between queues.
const shardCount = 16

// Source provides the live upstreams.
type Source interface {
	// Upstreams returns the upstreams of a queue that are live and not draining.
	Upstreams(queue string) []*wire.Upstream
	// Generation returns a number that changes whenever the upstreams of any queue
	// change.
	Generation() uint64
}

// Config configures a Router.
type Config[P Policy] struct {
	Clock timer.Clock
	// DataCentre is the local data centre, whose upstreams are preferred.
	DataCentre string
	Source     Source
	Policy     P
	// IntN returns a random number in [0, n); nil means that of math/rand/v2. It
	// must be safe for concurrent use.
	IntN func(n int) int
	// Removed, if set, is called with each upstream that the Source no longer
	// lists, or lists with other settings.
	Removed func(u *wire.Upstream)
}

// shard holds the state of a part of the queues, by name.
type shard struct {
	mu     sync.RWMutex
	queues map[string]*queueState
}

// Router selects upstreams. It is safe for concurrent use. Create one with New.
type Router[P Policy] struct {
	cfg    Config[P]
	shards [shardCount]shard
}

// New returns a Router without requests in flight.
func New[P Policy](cfg Config[P]) *Router[P] {
	if cfg.IntN == nil {
		cfg.IntN = rand.IntN
	}
	r := &Router[P]{
		cfg: cfg,
	}
	for i := range r.shards {
		r.shards[i].queues = make(map[string]*queueState)
	}
	return r
}

// Pick selects an upstream for a request, which counts as in flight until
// Choice.Done or Choice.Release. It selects an upstream in another data centre
// only if the local candidate is missing or has no free slot. It reports false
// when no upstream can take the request.
func (r *Router[P]) Pick(queue string) (Choice, bool) {
	s := r.queueState(queue)
	list := r.refresh(s)
	now := r.cfg.Clock.Now().UnixNano()
	local, localCandidate := r.pickFrom(list.local, now)
	if local != nil && localCandidate.Free() > 0 {
		return s.acquire(local), true
	}
	remote, remoteCandidate := r.pickFrom(list.remote, now)
	switch {
	case local == nil && remote == nil:
		return Choice{}, false
	case local == nil, remote != nil && remoteCandidate.Free() > 0:
		return s.acquire(remote), true
	}
	return s.acquire(local), true
}

// pickFrom returns the better of two random upstreams of a group. When both are
// unavailable, it returns the best of the whole group.
func (r *Router[P]) pickFrom(group []*upstream, now int64) (*upstream, Candidate) {
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
	return r.bestOf(group, now, nil)
}

// PickOther selects an upstream for a retry. It excludes the upstreams already
// tried and prefers those in racks not tried yet, then those in the local data
// centre.
func (r *Router[P]) PickOther(queue string, tried []Choice) (Choice, bool) {
	s := r.queueState(queue)
	list := r.refresh(s)
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
		for _, group := range [][]*upstream{list.local, list.remote} {
			u, _ := r.bestOf(group, now, func(u *upstream) bool { return accept(u, sameRack) })
			if u != nil {
				return s.acquire(u), true
			}
		}
	}
	return Choice{}, false
}

// bestOf returns the best available upstream of a group among those that accept
// allows; a nil accept allows all.
func (r *Router[P]) bestOf(group []*upstream, now int64, accept func(*upstream) bool) (*upstream, Candidate) {
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

// Capacity returns the maximum number of requests of a queue in flight: the slots
// of the upstreams that accept requests, plus the requests still in flight to
// ejected or removed upstreams. Without the latter, these requests would take up
// capacity of the other upstreams until they end.
func (r *Router[P]) Capacity(queue string) int64 {
	s := r.queueState(queue)
	list := r.refresh(s)
	now := r.cfg.Clock.Now().UnixNano()
	var slots int64
	capacity := s.outstanding.Load()
	for _, group := range [2][]*upstream{list.local, list.remote} {
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

// Live reports whether the chosen upstream is still listed. Callers check it
// before they write the first byte of a request that has waited for a connection.
func (r *Router[P]) Live(c Choice) bool {
	r.refresh(c.queue)
	return !c.upstream.removed.Load()
}

// queueState returns the state of a queue, and creates it on first use.
func (r *Router[P]) queueState(queue string) *queueState {
	sh := &r.shards[xxhash.Sum64String(queue)%shardCount]
	sh.mu.RLock()
	s := sh.queues[queue]
	sh.mu.RUnlock()
	if s != nil {
		return s
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.queues[queue] == nil {
		sh.queues[queue] = &queueState{
			queue: queue,
			clock: r.cfg.Clock,
		}
	}
	return sh.queues[queue]
}
