package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// Report returns what is running and queued by team and pool, and what is running
// by host. A host whose lease has ended is reported as not alive and without tasks.
// One that has not polled since the rebuild is omitted until its lease has ended.
func (s *Scheduler) Report(now time.Time) *wire.SchedulerReport {
	r := &wire.SchedulerReport{
		DataCentre: s.opts.DataCentre,
		Epoch:      s.opts.Epoch,
	}
	running := make(map[string]controller.Amount)
	for _, w := range s.sortedWorkers() {
		alive := now.Before(w.leaseUntil)
		if w.host == nil || (w.incarnation == "" && alive) {
			continue
		}
		running[w.pool()] = running[w.pool()].Plus(w.charged)
		r.Hosts = append(r.Hosts, &wire.HostUse{
			Host:        w.name,
			PoolEpoch:   w.host.GetPoolEpoch(),
			Running:     w.charged.Wire(),
			Tasks:       int64(len(w.tasks)),
			Alive:       alive,
			Quarantined: w.quarantined(now),
			Incarnation: w.incarnation,
		})
	}
	waiting := make(map[string]controller.Amount)
	for _, team := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[team]
		var sum controller.Amount
		for pool, amount := range a.queuedSizeByPool {
			sum = sum.Plus(amount)
			waiting[pool] = waiting[pool].Plus(amount)
		}
		r.Teams = append(r.Teams, &wire.TeamUse{
			Team:    team,
			Running: a.charged.Wire(),
			Waiting: sum.Wire(),
		})
	}
	r.Pools = poolUses(running, waiting)
	return r
}

func poolUses(running, waiting map[string]controller.Amount) []*wire.PoolUse {
	pools := maps.Clone(running)
	for pool := range waiting {
		pools[pool] = pools[pool].Plus(controller.Amount{})
	}
	var uses []*wire.PoolUse
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		uses = append(uses, &wire.PoolUse{
			Pool:    pool,
			Running: running[pool].Wire(),
			Waiting: waiting[pool].Wire(),
		})
	}
	return uses
}

// AllHostsPolled reports whether every host whose pool serves a task queue has
// polled this scheduler.
func (s *Scheduler) AllHostsPolled() bool {
	for _, h := range s.control.taskHosts {
		if w := s.workers[h.GetName()]; w == nil || w.incarnation == "" {
			return false
		}
	}
	return true
}
