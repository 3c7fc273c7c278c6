package jobscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/rebalancer"
)

const (
	// balanceInterval is the minimum time between two runs of the rebalancer.
	balanceInterval = 150 * time.Millisecond
	// moveLeadTime is how far ahead demand is forecast: a move and the first
	// heartbeat of the new worker take about that long.
	moveLeadTime = 2500 * time.Millisecond
	// backlogDrainTime is the time within which waiting batch work should be
	// done.
	backlogDrainTime = 800 * time.Millisecond
	// batchPackingShare is the part of a host that batch tasks can be packed
	// into.
	batchPackingShare = 0.8
	// minPeakHostShare is the part of a pool's initial hosts that its demand must reach to
	// count as a peak. Single large jobs reach less, and below it the pool needs no hosts of
	// others.
	minPeakHostShare = 0.7
	// expectedPeakShare is the part of the last peak for which hosts are kept.
	expectedPeakShare = 0.8
	// peakOverdueTimeout is how long an expected peak may be late before the pool
	// retains only its initial number of hosts.
	peakOverdueTimeout = 4 * time.Second
	// minPoolHosts is the minimum number of hosts of a pool.
	minPoolHosts = 3
	// surplusHostRetention is how long a pool keeps hosts that it does not need;
	// a move there and back costs about as much.
	surplusHostRetention = 3 * time.Second
	// smallFleetMaxMoves is the maximum number of moves of one plan;
	// maxMovesHostShare is the maximum as a share of all hosts and applies where it
	// is more.
	smallFleetMaxMoves = 12
	maxMovesHostShare  = 0.1
	// moveTimeout is the time after which a move that has not finished is
	// dropped.
	moveTimeout = 10 * time.Second
)

// move is the move of a host to another pool.
type move struct {
	to            string
	worker        *worker
	since         time.Time
	orderInFlight bool
	// orderAccepted is true once the provider has accepted the order to move.
	orderAccepted bool
	acceptedAt    time.Time
	retryAt       time.Time
}

// jobHostSeconds returns the work of the batch tasks of one occurrence of a job,
// in host-seconds.
func (s *Scheduler) jobHostSeconds(p *pool, queue string, job *jobwire.Job) float64 {
	return dominantShare(jobkeeper.WorkOf(job, s.runTimesOf(queue)), s.hostCapacity(p.name))
}

// restoreDemand fills the demand histories of the pools with the arrivals before
// this term. Counting the open jobs as new arrivals would look like a peak.
func (s *Scheduler) restoreDemand() {
	for _, cfg := range s.state.Configuration.GetPools() {
		s.pool(cfg.GetName()).demand.MinPeakRate = minPeakHostShare * s.evenHostsPerPool(len(s.workers))
	}
	for _, a := range s.state.Arrivals {
		q, ok := s.queues[a.Queue]
		if !ok {
			continue
		}
		p := s.pool(q.GetPool())
		// The clock of the leader that accepted the job may have been ahead.
		age := max(0, s.wall.Sub(a.At))
		p.demand.Add(s.now.Add(-age), dominantShare(a.Work, s.hostCapacity(p.name)))
	}
}

// evenHostsPerPool returns the hosts of each pool if the given number were split
// evenly.
func (s *Scheduler) evenHostsPerPool(hosts int) float64 {
	return float64(hosts) / float64(max(1, len(s.state.Configuration.GetPools())))
}

// hostCapacity returns the capacity of a host of a pool, or of any host when the
// pool has none.
func (s *Scheduler) hostCapacity(pool string) controller.Amount {
	var other controller.Amount
	for _, w := range s.workers {
		if w.info.GetPool() == pool {
			return w.capacity
		}
		other = w.capacity
	}
	return other
}

// dominantShare returns the largest share that an amount takes of any one
// resource of a host.
func dominantShare(amount, capacity controller.Amount) float64 {
	share := 0.0
	if capacity.MilliCores > 0 {
		share = float64(amount.MilliCores) / float64(capacity.MilliCores)
	}
	if capacity.MemoryBytes > 0 {
		share = math.Max(share, float64(amount.MemoryBytes)/float64(capacity.MemoryBytes))
	}
	if capacity.Accelerators > 0 {
		share = math.Max(share, float64(amount.Accelerators)/float64(capacity.Accelerators))
	}
	return share
}

// balance runs the rebalancer and begins the moves of hosts that it plans.
func (s *Scheduler) balance() {
	for name, m := range s.hosts.moves {
		s.advanceMove(name, m)
	}
	if s.now.Sub(s.hosts.balancedAt) < balanceInterval {
		return
	}
	s.hosts.balancedAt = s.now
	cycle := s.peakCycle()
	var pools []rebalancer.Pool
	for _, cfg := range s.state.Configuration.GetPools() {
		p := s.pool(cfg.GetName())
		view := s.rebalancerView(p, cycle)
		view.Reserve = cfg.GetStandby()
		if max(view.Need, view.Floor, view.Keep, view.Retain) >= view.Hosts {
			p.surplusSince = time.Time{}
		} else if p.surplusSince.IsZero() {
			p.surplusSince = s.now
		}
		view.SpareSince = p.surplusSince
		pools = append(pools, view)
	}
	s.logPools(pools)
	moves := rebalancer.Plan(s.now, pools, rebalancer.Settings{
		IdleTime: surplusHostRetention,
		MaxMoves: max(smallFleetMaxMoves, int(maxMovesHostShare*float64(len(s.hosts.known)))),
	})
	for _, m := range moves {
		s.beginMove(m, pools)
	}
}

// poolsLogInterval is the minimum time between two sets of log lines on all
// pools.
const poolsLogInterval = 2 * time.Second

// logPools logs the figures that the rebalancer uses.
func (s *Scheduler) logPools(pools []rebalancer.Pool) {
	if s.now.Sub(s.hosts.poolsLoggedAt) < poolsLogInterval {
		return
	}
	s.hosts.poolsLoggedAt = s.now
	for _, p := range pools {
		s.logger.Info("scheduler: pool", "pool", p.Name, "reserve", p.Reserve, "hosts", p.Hosts, "need", p.Need,
			"floor", p.Floor, "keep", p.Keep, "retain", p.Retain, "idle", len(p.Idle), "moving", len(s.hosts.moves))
	}
}

// rebalancerView returns the rebalancer's input for a pool.
func (s *Scheduler) rebalancerView(p *pool, cycle peakCycle) rebalancer.Pool {
	view := rebalancer.Pool{
		Name:  p.name,
		Floor: minPoolHosts,
	}
	capacity := s.hostCapacity(p.name)
	longRunning, batch := s.runningHosts(p, capacity)
	isolated := 0
	for _, j := range p.jobs {
		batch += s.waitingHosts(j, capacity, &view)
		isolated += s.isolatedHosts(j)
	}
	if isolated > 0 {
		// An isolated task needs a host without long-running tasks. Many of them, after
		// several crashes in a row, would wait for long on a few.
		most := max(minIsolatedHosts, int(s.evenHostsPerPool(len(s.hosts.known))))
		view.Floor = max(view.Floor, s.lastingHosts(p)+min(isolated, most))
	}
	batchHosts := max(p.demand.Rate(s.now), batch)
	view.Need = int(math.Ceil(longRunning + batchHosts/batchPackingShare))
	s.countHosts(p, &view)
	if p.initialHosts == 0 {
		p.initialHosts = view.Hosts
		if s.hadEarlierLoad {
			// The former leader may have moved hosts to a pool at its peak.
			p.initialHosts = int(s.evenHostsPerPool(len(s.hosts.known)))
		}
		p.demand.MinPeakRate = minPeakHostShare * float64(p.initialHosts)
	}
	view.Keep, view.Retain = s.hostsToKeep(p, cycle, longRunning)
	return view
}

// minIsolatedHosts is the least number of hosts that a pool gets for isolated tasks if
// that many wait.
const minIsolatedHosts = 2

// lastingHosts returns the number of hosts of a pool that have long-running tasks.
func (s *Scheduler) lastingHosts(p *pool) int {
	n := 0
	for _, w := range s.workers {
		if w.info.GetPool() == p.name && w.hasLastingRuns() {
			n++
		}
	}
	return n
}

// runningHosts returns how many hosts the running tasks of a pool fill,
// separately for long-running and batch tasks.
func (s *Scheduler) runningHosts(p *pool, capacity controller.Amount) (longRunning, batch float64) {
	for _, w := range s.workers {
		if w.info.GetPool() != p.name {
			continue
		}
		for _, r := range w.runs {
			share := dominantShare(r.reservation, capacity)
			if r.step != nil && r.step.spec.GetLasting() {
				longRunning += share
			} else {
				batch += share
			}
		}
	}
	return longRunning, batch
}

// waitingHosts returns how many hosts the waiting tasks of a job need, and raises
// the floor of the pool for long-running tasks that must be spread.
func (s *Scheduler) waitingHosts(j *job, capacity controller.Amount, view *rebalancer.Pool) float64 {
	need := 0.0
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			hostShare := dominantShare(reservationOf(st), capacity)
			seconds := st.runTime.Seconds()
			if st.spec.GetLasting() {
				seconds = backlogDrainTime.Seconds()
				view.Floor = max(view.Floor, minSpreadHosts(st.spec))
			}
			if st.ready {
				need += hostShare * float64(len(st.pending)) * seconds / backlogDrainTime.Seconds()
			}
		}
	}
	return need
}

// minSpreadHosts returns the minimum number of hosts for the tasks of a step:
// enough for its limits on tasks per worker and on tasks that it may miss, and
// one more; 0 when it has no such limit.
func minSpreadHosts(spec *jobwire.Step) int {
	limit := spec.GetMostPerWorker()
	if mayMiss := spec.GetMayMiss(); mayMiss > 0 && (limit == 0 || mayMiss < limit) {
		limit = mayMiss
	}
	if limit == 0 {
		return 0
	}
	return int((spec.GetTasks()+limit-1)/limit) + 1
}

// countHosts counts the hosts that can serve a pool, with those on their way to
// it, and lists the idle ones, which may leave it.
func (s *Scheduler) countHosts(p *pool, view *rebalancer.Pool) {
	var idle []Host
	for name, h := range s.hosts.known {
		m, moving := s.hosts.moves[name]
		if moving {
			if m.to == p.name {
				view.Hosts++
			}
			continue
		}
		if h.Pool != p.name || s.hosts.maintenances[name] != nil || s.state.Evacuated[h.DataCentre] {
			continue
		}
		w, known := s.workers[h.Worker]
		switch {
		case h.State != HostUp:
			continue
		case known && s.schedulable(w):
			view.Hosts++
			if len(w.runs) == 0 && !w.recordInFlight && !w.moreEnds && w.reservation == nil && s.mayOrder(name) {
				idle = append(idle, h)
			}
		case !known:
			// The host is off, or its worker has not reported yet. A listing may name a
			// worker that has ended while the next one serves, so only a host without
			// any worker counts as idle.
			view.Hosts++
			if s.mayOrder(name) && (h.Worker == "" || s.standby(p.name)) {
				idle = append(idle, h)
			}
		}
	}
	slices.SortFunc(idle, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	for _, h := range idle {
		view.Idle = append(view.Idle, h.Name)
	}
}

// standby reports whether the hosts of a pool are off.
func (s *Scheduler) standby(pool string) bool {
	for _, p := range s.state.Configuration.GetPools() {
		if p.GetName() == pool {
			return p.GetStandby()
		}
	}
	return false
}

// beginMove cordons the worker of a host and orders its move.
func (s *Scheduler) beginMove(m rebalancer.Move, pools []rebalancer.Pool) {
	h := s.hosts.known[m.Host]
	begun := &move{
		to:    m.To,
		since: s.now,
	}
	if w, ok := s.workers[h.Worker]; ok {
		begun.worker = w
		w.cordoned = true
	}
	s.hosts.moves[m.Host] = begun
	for _, p := range pools {
		if p.Name == m.To {
			s.logger.Info("scheduler: host moves", "host", m.Host, "from", m.From, "to", m.To,
				"hosts", p.Hosts, "need", p.Need, "floor", p.Floor)
		}
	}
	s.advanceMove(m.Host, begun)
}

// advanceMove orders a move, and repeats the order while its outcome is unknown. A host
// that was listed without a worker is listed again first: one may have registered since,
// and the order would end its tasks, unchecked.
func (s *Scheduler) advanceMove(host string, m *move) {
	if m.orderAccepted || m.orderInFlight || s.now.Before(m.retryAt) {
		return
	}
	h := s.hosts.known[host]
	if m.worker == nil && !s.standby(h.Pool) {
		if h.Worker != "" {
			s.endMove(host, m)
			return
		}
		if !s.hosts.listedAt.After(m.since) {
			return
		}
	}
	m.orderInFlight = true
	s.emit(MoveHost{
		Host:   host,
		Pool:   m.to,
		Worker: targetOf(m.worker),
	})
}

// HostMoved handles the outcome of a MoveHost.
func (s *Scheduler) HostMoved(a MoveHost, answer HostAnswer) {
	m, ok := s.hosts.moves[a.Host]
	if !ok {
		return
	}
	m.orderInFlight = false
	m.retryAt = s.now.Add(hostOrderRetryDelay)
	switch answer {
	case HostOrderDone:
		m.orderAccepted, m.acceptedAt = true, s.now
		if m.worker != nil && s.workers[m.worker.info.GetId()] == m.worker {
			s.forgetIfEnded(m.worker, endEvidence{
				kind: endHostMoved,
			})
		}
	case HostOrderNotSent:
		// The rebalancer decides anew.
		s.endMove(a.Host, m)
	case HostOrderBusy, HostOrderInvalid:
		s.endMove(a.Host, m)
		s.distrustListing(a.Host)
	}
}

func (s *Scheduler) endMove(host string, m *move) {
	if m.worker != nil {
		m.worker.cordoned = false
		s.markPoolDirty(m.worker.info.GetPool())
	}
	delete(s.hosts.moves, host)
}

// finishMoves ends the moves whose host is up in its new pool, according to a
// listing requested at the given time, and those that have timed out or whose
// host is no longer listed.
func (s *Scheduler) finishMoves(requestedAt time.Time) {
	for name, m := range s.hosts.moves {
		h, ok := s.hosts.known[name]
		arrived := m.orderAccepted && requestedAt.After(m.acceptedAt) && ok && h.State == HostUp && h.Pool == m.to
		if arrived || !ok || s.now.Sub(m.since) > moveTimeout {
			s.endMove(name, m)
		}
	}
}
