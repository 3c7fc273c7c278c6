package jobscheduler

import (
	"math"
	"time"

	"github.com/heathermux/heathermux/internal/rebalancer"
)

// peakCycle describes the rotation of load peaks from pool to pool, as observed
// so far.
type peakCycle struct {
	// interval is the time from one pool's peak to the next pool's; 0 when
	// unknown.
	interval time.Duration
	// lastOnset is when the newest peak of any pool began.
	lastOnset time.Time
	// poolCount is the number of pools that take part, without those on standby.
	poolCount int
}

// peakCycle estimates the cycle from the peak onsets of all pools.
func (s *Scheduler) peakCycle() peakCycle {
	cycle := peakCycle{}
	var onsets []time.Time
	for _, cfg := range s.state.Configuration.GetPools() {
		if cfg.GetStandby() {
			continue
		}
		cycle.poolCount++
		if onset, ok := s.pool(cfg.GetName()).demand.Onset(); ok {
			onsets = append(onsets, onset)
			if onset.After(cycle.lastOnset) {
				cycle.lastOnset = onset
			}
		}
	}
	cycle.interval = rebalancer.MeanOnsetInterval(onsets)
	return cycle
}

// hostsToKeep returns how many hosts a pool should hold for its expected demand: none until
// shortly before the next peak is due, and then most of what the last peak took. While its
// peak may come at any time, because it is the first or overdue, the pool retains its
// initial number but gets no hosts for it, which other pools may need.
func (s *Scheduler) hostsToKeep(p *pool, cycle peakCycle, longRunning float64) (keep, retain int) {
	forecast := p.demand.Forecast(s.now, cycle.interval*time.Duration(cycle.poolCount))
	_, peaked := p.demand.Onset()
	switch {
	case !peaked && cycle.interval > 0 && s.now.Before(cycle.lastOnset.Add(cycle.interval-moveLeadTime)):
		// The next peak, of some other pool, is not due yet.
		return 0, 0
	case !peaked:
		return 0, p.initialHosts
	case !forecast.Known, s.now.Before(forecast.Next.Add(-moveLeadTime)):
		return 0, 0
	case s.now.Sub(forecast.Next) > peakOverdueTimeout:
		return 0, p.initialHosts
	}
	return int(math.Ceil(longRunning + forecast.Rate*expectedPeakShare/batchPackingShare)), 0
}
