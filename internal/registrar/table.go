package registrar

import (
	"cmp"
	"slices"

	"github.com/heathermux/heathermux/internal/wire"
)

// table is an immutable index of the live upstreams by queue.
type table struct {
	queues map[string][]*wire.Upstream
}

// rebuildTable replaces the table with one of the current records. r.mu must be held.
func (r *Registrar) rebuildTable() {
	live := make(map[string]*wire.Upstream, len(r.own))
	for _, o := range r.origins {
		if !o.live {
			continue
		}
		for id, u := range o.records {
			r.addLive(live, id, u)
		}
	}
	for id, rec := range r.own {
		r.addLive(live, id, rec.upstream)
	}
	t := &table{
		queues: make(map[string][]*wire.Upstream),
	}
	for _, u := range live {
		t.queues[u.GetQueue()] = append(t.queues[u.GetQueue()], u)
	}
	for _, list := range t.queues {
		slices.SortFunc(list, func(a, b *wire.Upstream) int { return cmp.Compare(a.GetId(), b.GetId()) })
	}
	r.table.Store(t)
	r.generation.Add(1)
}

// addLive adds the upstream to live unless this incarnation has left. r.mu must be
// held.
func (r *Registrar) addLive(live map[string]*wire.Upstream, id string, u *wire.Upstream) {
	if _, left := r.departures[departureKey(u)]; !left {
		live[id] = u
	}
}

// Upstreams returns the live upstreams of a queue, sorted by ID. The result is
// shared and must not be modified.
func (r *Registrar) Upstreams(queue string) []*wire.Upstream {
	return r.table.Load().queues[queue]
}

// Generation returns a number that increases whenever the result of Upstreams may
// have changed.
func (r *Registrar) Generation() uint64 {
	return r.generation.Load()
}
