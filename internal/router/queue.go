package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// consecutiveFailuresToEject is the number of failed requests in a row after
	// which an upstream is ejected. Fewer would eject it for single interrupted
	// connections.
	consecutiveFailuresToEject = 5
	// baseEjectionTime is the duration of the first ejection. It doubles with each
	// further one up to maxEjectionTime, so that an upstream that keeps failing
	// costs few requests.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// ejectionDivisor limits ejections to one third of the upstreams of a queue. If
	// more fail, the service as a whole is faulty, and further ejections would
	// overload the remaining upstreams.
	ejectionDivisor = 3
)

// upstreamList is an immutable list of the upstreams of a queue.
type upstreamList struct {
	generation uint64
	// local holds the upstreams in the own data centre, remote those in the others.
	local  []*upstream
	remote []*upstream
}

// queueState holds the upstreams of one queue.
type queueState struct {
	queue string
	clock timer.Clock
	list  atomic.Pointer[upstreamList]
	// outstanding is the number of requests in flight. Invariant: equals the sum of
	// outstanding over all upstreams, including removed ones.
	outstanding atomic.Int64
	// mu serialises changes of list and of the ejection state of upstreams.
	mu sync.Mutex
}

// Choice is a selected upstream with a request that counts as in flight until Done
// or Release.
type Choice struct {
	queue    *queueState
	upstream *upstream
}

// acquire counts a request to the upstream.
func (s *queueState) acquire(u *upstream) Choice {
	u.outstanding.Add(1)
	s.outstanding.Add(1)
	return Choice{
		queue:    s,
		upstream: u,
	}
}

// Upstream returns the selected upstream. The caller must not modify it.
func (c Choice) Upstream() *wire.Upstream { return c.upstream.wire }

// Done ends the request and reports whether the upstream handled it successfully.
// Consecutive failures eject the upstream. Exactly one of Done and Release must
// be called, once.
func (c Choice) Done(success bool) {
	u := c.upstream
	c.Release()
	if success {
		if u.failures.Load() != 0 || u.ejections.Load() != 0 {
			c.queue.resetFailures(u)
		}
		return
	}
	if u.failures.Add(1) >= consecutiveFailuresToEject {
		c.queue.eject(u)
	}
}

// Release ends the request without a result for the upstream, for example when
// the caller cancelled it or it was not sent.
func (c Choice) Release() {
	c.upstream.outstanding.Add(-1)
	c.queue.outstanding.Add(-1)
}

// resetFailures clears the failure history of an upstream after a success. A request
// from before an ejection, which ends well during it, says nothing about its return.
func (s *queueState) resetFailures(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.failures.Store(0)
	if s.clock.Now().UnixNano() >= u.ejectedUntil.Load() {
		u.ejections.Store(0)
	}
}

// eject takes an upstream out of selection for a time, followed by a slow start,
// unless it is already ejected or too many others are.
func (s *queueState) eject(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now().UnixNano()
	if u.removed.Load() || now < u.ejectedUntil.Load() || !s.mayEject(now) {
		return
	}
	duration := min(baseEjectionTime<<min(u.ejections.Load(), 10), maxEjectionTime)
	u.ejections.Add(1)
	u.failures.Store(0)
	u.slowStartAt.Store(now + int64(duration))
	u.ejectedUntil.Store(now + int64(duration))
}

// mayEject reports whether one more ejection stays within the limit of
// ejectionDivisor.
func (s *queueState) mayEject(now int64) bool {
	list := s.list.Load()
	ejected := 0
	for _, group := range [2][]*upstream{list.local, list.remote} {
		for _, u := range group {
			if now < u.ejectedUntil.Load() {
				ejected++
			}
		}
	}
	return (ejected+1)*ejectionDivisor <= len(list.local)+len(list.remote)
}

// refresh returns the current upstreams of a queue, and rebuilds the list first if
// the source has changed.
func (r *Router[P]) refresh(s *queueState) *upstreamList {
	generation := r.cfg.Source.Generation()
	if list := s.list.Load(); list != nil && list.generation == generation {
		return list
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if list := s.list.Load(); list != nil && list.generation == generation {
		return list
	}
	list, removed := r.rebuild(s, generation)
	s.list.Store(list)
	for _, u := range removed {
		u.removed.Store(true)
		if r.cfg.Removed != nil {
			r.cfg.Removed(u.wire)
		}
	}
	return list
}

// rebuild returns the new list and the removed upstreams. It keeps the state of
// upstreams whose settings are unchanged. New upstreams get a slow start, except
// in the first list, in which every upstream is new to the router.
func (r *Router[P]) rebuild(s *queueState, generation uint64) (*upstreamList, []*upstream) {
	old := s.list.Load()
	previous := make(map[string]*upstream)
	if old != nil {
		for _, group := range [2][]*upstream{old.local, old.remote} {
			for _, u := range group {
				previous[u.wire.GetId()] = u
			}
		}
	}
	list := &upstreamList{
		generation: generation,
	}
	for _, w := range r.cfg.Source.Upstreams(s.queue) {
		u := previous[w.GetId()]
		if u != nil && sameSettings(u.wire, w) {
			delete(previous, w.GetId())
		} else {
			u = &upstream{
				wire: w,
			}
			if old != nil {
				u.slowStartAt.Store(s.clock.Now().UnixNano())
			}
		}
		if w.GetDataCentre() == r.cfg.DataCentre {
			list.local = append(list.local, u)
		} else {
			list.remote = append(list.remote, u)
		}
	}
	removed := make([]*upstream, 0, len(previous))
	for _, u := range previous {
		removed = append(removed, u)
	}
	return list, removed
}

// sameSettings reports whether two descriptions of an upstream agree in all that
// the router uses.
func sameSettings(a, b *wire.Upstream) bool {
	return a.GetAddress() == b.GetAddress() && a.GetSlots() == b.GetSlots() && a.GetConnections() == b.GetConnections() &&
		a.GetDataCentre() == b.GetDataCentre() && a.GetRack() == b.GetRack()
}
