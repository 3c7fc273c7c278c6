package jobscheduler

import (
	"math"
	"time"

	"github.com/heathermux/heathermux/internal/balancer"
)

// turn is what the peaks of all pools so far say of the next one.
type turn struct {
	// interval is the time from one peak to the next; 0 when it is not known.
	interval time.Duration
	// last is when the newest peak began.
	last time.Time
	// pools is the number of pools that take turns.
	pools int
}

func (s *Scheduler) turn() turn {
	t := turn{}
	var onsets []time.Time
	for _, cfg := range s.state.Configuration.GetPools() {
		if cfg.GetStandby() {
			continue
		}
		t.pools++
		if onset, ok := s.pool(cfg.GetName()).demand.Onset(); ok {
			onsets = append(onsets, onset)
			if onset.After(t.last) {
				t.last = onset
			}
		}
	}
	t.interval = balancer.Interval(onsets)
	return t
}

// keep returns how many hosts a pool should hold for what it expects: those
// that it began with while its first peak may come at any time, few until the
// next peak is due, and most of what the last peak took then.
func (s *Scheduler) keep(p *pool, t turn, lasting float64) int {
	outlook := p.demand.Outlook(s.now, t.interval*time.Duration(t.pools))
	_, peaked := p.demand.Onset()
	switch {
	case !peaked && t.interval > 0 && s.now.Before(t.last.Add(t.interval-moveAhead)):
		// Another pool has its turn.
		return 0
	case !peaked:
		return p.base
	case !outlook.Known, s.now.Before(outlook.Next.Add(-moveAhead)):
		return 0
	case s.now.Sub(outlook.Next) > overdueLimit:
		return p.base
	}
	return int(math.Ceil(lasting + outlook.Rate*expectShare/fillShare))
}
