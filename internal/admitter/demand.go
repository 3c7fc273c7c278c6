package admitter

import (
	"slices"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// Demands returns the load of each team, ordered by name. The rates are those
// since the last call.
func (a *Admitter) Demands() []*wire.TeamDemand {
	now := a.cfg.Clock.Now()
	a.mu.RLock()
	demands := make([]*wire.TeamDemand, 0, len(a.teams))
	for _, t := range a.teams {
		demands = append(demands, t.demand(now))
	}
	a.mu.RUnlock()
	slices.SortFunc(demands, func(x, y *wire.TeamDemand) int { return strings.Compare(x.GetTeam(), y.GetTeam()) })
	return demands
}

// demand returns the load of the team, and restarts the count of arrivals.
func (t *team) demand(now time.Time) *wire.TeamDemand {
	rate, concurrency := t.allotment(t.name)
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &wire.TeamDemand{
		Team:            t.name,
		InFlight:        t.inFlight,
		Queued:          t.queued,
		HeldRate:        rate,
		HeldConcurrency: concurrency,
	}
	if elapsed := now.Sub(t.countedFrom); elapsed > 0 {
		// Round up, so that a single request is reported as demand.
		d.Rate = (t.arrivals*int64(time.Second) + int64(elapsed) - 1) / int64(elapsed)
		t.arrivals = 0
		t.countedFrom = now
	}
	return d
}
