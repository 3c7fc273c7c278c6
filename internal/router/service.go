package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// failuresToEject in a row make an upstream bad. Fewer would eject on
	// single cut connections.
	failuresToEject = 5
	// firstEjection doubles with each further one up to maxEjection, so that
	// an upstream that stays bad costs few requests.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// ejectionCap is the part of a service that may be ejected: a third.
	// Beyond that the service as a whole is bad, and ejection would move its
	// load to the rest.
	ejectionCap = 3
)

// members is an immutable list of a service's upstreams.
type members struct {
	generation uint64
	// near are in the own data centre, far in the others.
	near []*upstream
	far  []*upstream
}

// service is the upstreams of one queue.
type service struct {
	queue string
	clock timer.Clock
	set   atomic.Pointer[members]
	// Invariant: sum of outstanding over all upstreams, with those that left.
	outstanding atomic.Int64
	// mu guards rebuilding and ejecting.
	mu sync.Mutex
}

// Choice is a selected upstream that counts a request until Done.
type Choice struct {
	service  *service
	upstream *upstream
}

func (s *service) take(u *upstream) Choice {
	u.outstanding.Add(1)
	s.outstanding.Add(1)
	return Choice{
		service:  s,
		upstream: u,
	}
}

// Upstream returns the selected upstream; it is read-only.
func (c Choice) Upstream() *wire.Upstream { return c.upstream.wire }

// Done ends the request. A request is good when the upstream did its part;
// requests in a row that are not good eject it. Done is called once.
func (c Choice) Done(good bool) {
	u := c.upstream
	c.Release()
	if good {
		if u.failures.Load() != 0 {
			c.service.recovered(u)
		}
		return
	}
	if u.failures.Add(1) >= failuresToEject {
		c.service.eject(u)
	}
}

// Release ends a request that was not sent for a reason of its own, which
// says nothing about the upstream.
func (c Choice) Release() {
	c.upstream.outstanding.Add(-1)
	c.service.outstanding.Add(-1)
}

func (s *service) recovered(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.failures.Store(0)
	u.ejections = 0
}

func (s *service) eject(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now().UnixNano()
	if u.gone.Load() || now < u.ejectedUntil.Load() || !s.mayEject(now) {
		return
	}
	length := min(firstEjection<<min(u.ejections, 10), maxEjection)
	u.ejections++
	u.failures.Store(0)
	u.rampFrom.Store(now + int64(length))
	u.ejectedUntil.Store(now + int64(length))
}

// mayEject reports whether one more ejection stays within the cap.
func (s *service) mayEject(now int64) bool {
	set := s.set.Load()
	ejected := 0
	for _, group := range [2][]*upstream{set.near, set.far} {
		for _, u := range group {
			if now < u.ejectedUntil.Load() {
				ejected++
			}
		}
	}
	return (ejected+1)*ejectionCap <= len(set.near)+len(set.far)
}

// refresh returns the present members, rebuilt if the source has changed.
func (r *Router[P]) refresh(s *service) *members {
	generation := r.cfg.Source.Generation()
	if set := s.set.Load(); set != nil && set.generation == generation {
		return set
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if set := s.set.Load(); set != nil && set.generation == generation {
		return set
	}
	set, removed := r.rebuild(s, generation)
	s.set.Store(set)
	for _, u := range removed {
		u.gone.Store(true)
		if r.cfg.Removed != nil {
			r.cfg.Removed(u.wire)
		}
	}
	return set
}

// rebuild keeps what is known of upstreams that are still listed at the same
// address. New ones start slowly, but not when the router itself has just
// started: every upstream is new to it then.
func (r *Router[P]) rebuild(s *service, generation uint64) (*members, []*upstream) {
	old := s.set.Load()
	known := make(map[string]*upstream)
	if old != nil {
		for _, group := range [2][]*upstream{old.near, old.far} {
			for _, u := range group {
				known[u.wire.GetId()] = u
			}
		}
	}
	set := &members{
		generation: generation,
	}
	for _, w := range r.cfg.Source.Upstreams(s.queue) {
		u := known[w.GetId()]
		if u != nil && same(u.wire, w) {
			delete(known, w.GetId())
		} else {
			u = &upstream{
				wire: w,
			}
			if old != nil {
				u.rampFrom.Store(s.clock.Now().UnixNano())
			}
		}
		if w.GetDataCentre() == r.cfg.DataCentre {
			set.near = append(set.near, u)
		} else {
			set.far = append(set.far, u)
		}
	}
	removed := make([]*upstream, 0, len(known))
	for _, u := range known {
		removed = append(removed, u)
	}
	return set, removed
}

func same(a, b *wire.Upstream) bool {
	return a.GetAddress() == b.GetAddress() && a.GetSlots() == b.GetSlots() && a.GetConnections() == b.GetConnections() &&
		a.GetDataCentre() == b.GetDataCentre() && a.GetRack() == b.GetRack()
}
