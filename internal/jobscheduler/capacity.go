package jobscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/balancer"
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// balanceInterval is the time between two comparisons of the pools.
	balanceInterval = 150 * time.Millisecond
	// moveAhead is how far ahead work is forecast: a move and the first
	// heartbeat of the new worker take about that long.
	moveAhead = 2500 * time.Millisecond
	// backlogTime is the time in which waiting work should be done.
	backlogTime = 800 * time.Millisecond
	// fillShare is the part of a host that short tasks can be packed into.
	fillShare = 0.8
	// peakShare is the part of its hosts that a pool's work has to ask for to
	// count as a peak.
	peakShare = 0.3
	// expectShare is the part of the last peak that is prepared for.
	expectShare = 0.8
	// overdueLimit is how long an expected peak may be late before the pool
	// goes back to the hosts that it began with.
	overdueLimit = 4 * time.Second
	// leastHosts is the least size of a pool that works.
	leastHosts = 3
	// idleTime is how long a pool keeps hosts that it does not need; a move
	// there and back costs about as much.
	idleTime = 3 * time.Second
	// mostMoves bounds the moves that are ordered at once, and movesShare is
	// that bound as a part of all hosts where they are many.
	mostMoves  = 12
	movesShare = 0.1
	// moveLimit is the time after which a move that does not end is forgotten.
	moveLimit = 10 * time.Second
)

// move is a host on its way to another pool.
type move struct {
	to      string
	worker  *worker
	since   time.Time
	ordered bool
	done    bool
	doneAt  time.Time
	retryAt time.Time
}

// workOf returns the work of the short tasks of one occurrence of a job, in
// host-seconds.
func (s *Scheduler) workOf(p *pool, job *jobwire.Job) float64 {
	return hostShare(jobkeeper.WorkOf(job), s.hostSize(p.name))
}

// recallDemand fills the histories of the pools with what came before this
// term. Counting the waiting jobs as new ones would look like a peak.
func (s *Scheduler) recallDemand() {
	for _, cfg := range s.state.Configuration.GetPools() {
		s.pool(cfg.GetName()).demand.Least = peakShare * s.evenShare(len(s.workers))
	}
	for _, a := range s.state.Arrivals {
		q, ok := s.queues[a.Queue]
		if !ok {
			continue
		}
		p := s.pool(q.GetPool())
		p.demand.Add(s.now.Add(a.At.Sub(s.wall)), hostShare(a.Work, s.hostSize(p.name)))
	}
}

// evenShare returns the hosts of a pool if each had as many of the given number.
func (s *Scheduler) evenShare(hosts int) float64 {
	return float64(hosts) / float64(max(1, len(s.state.Configuration.GetPools())))
}

// hostSize returns the capacity of a host of a pool, or of any when the pool
// has none.
func (s *Scheduler) hostSize(pool string) controller.Amount {
	var other controller.Amount
	for _, w := range s.workers {
		if w.info.GetPool() == pool {
			return w.capacity
		}
		other = w.capacity
	}
	return other
}

// hostShare returns the part of a host that a task takes.
func hostShare(a, whole controller.Amount) float64 {
	share := 0.0
	if whole.MilliCores > 0 {
		share = float64(a.MilliCores) / float64(whole.MilliCores)
	}
	if whole.MemoryBytes > 0 {
		share = math.Max(share, float64(a.MemoryBytes)/float64(whole.MemoryBytes))
	}
	if whole.Accelerators > 0 {
		share = math.Max(share, float64(a.Accelerators)/float64(whole.Accelerators))
	}
	return share
}

// balance moves hosts to the pools that need them.
func (s *Scheduler) balance() {
	for name, m := range s.hosts.moves {
		s.advanceMove(name, m)
	}
	if s.now.Sub(s.hosts.balancedAt) < balanceInterval {
		return
	}
	s.hosts.balancedAt = s.now
	turn := s.turn()
	var pools []balancer.Pool
	for _, cfg := range s.state.Configuration.GetPools() {
		p := s.pool(cfg.GetName())
		view := s.viewPool(p, turn)
		view.Reserve = cfg.GetStandby()
		if max(view.Need, view.Floor, view.Keep) >= view.Hosts {
			p.spareSince = time.Time{}
		} else if p.spareSince.IsZero() {
			p.spareSince = s.now
		}
		view.SpareSince = p.spareSince
		pools = append(pools, view)
	}
	s.logPools(pools)
	moves := balancer.Plan(s.now, pools, balancer.Settings{
		IdleTime:  idleTime,
		MostMoves: max(mostMoves, int(movesShare*float64(len(s.hosts.known)))),
	})
	for _, m := range moves {
		s.beginMove(m, pools)
	}
}

// poolsLogInterval is the time between two lines on all pools.
const poolsLogInterval = 2 * time.Second

// logPools writes what the next plan goes by.
func (s *Scheduler) logPools(pools []balancer.Pool) {
	if s.now.Sub(s.hosts.loggedAt) < poolsLogInterval {
		return
	}
	s.hosts.loggedAt = s.now
	for _, p := range pools {
		s.logger.Info("scheduler: pool", "pool", p.Name, "reserve", p.Reserve, "hosts", p.Hosts, "need", p.Need,
			"floor", p.Floor, "keep", p.Keep, "idle", len(p.Idle), "moving", len(s.hosts.moves))
	}
}

// viewPool returns what the balancer needs to know of a pool.
func (s *Scheduler) viewPool(p *pool, turn turn) balancer.Pool {
	view := balancer.Pool{
		Name:  p.name,
		Floor: leastHosts,
	}
	whole := s.hostSize(p.name)
	lasting, busy := s.poolLoad(p, whole)
	for _, j := range p.jobs {
		busy += s.waitingNeed(j, whole, &view)
	}
	short := max(p.demand.Rate(s.now), busy)
	view.Need = int(math.Ceil(lasting + short/fillShare))
	s.countHosts(p, &view)
	if p.base == 0 {
		p.base = view.Hosts
		if s.followed {
			// Hosts may be anywhere in the middle of the load's turns.
			p.base = int(s.evenShare(len(s.hosts.known)))
		}
		p.demand.Least = peakShare * float64(p.base)
	}
	view.Keep = s.keep(p, turn, lasting)
	return view
}

// poolLoad returns how many hosts the lasting and the short tasks fill that run
// in a pool.
func (s *Scheduler) poolLoad(p *pool, whole controller.Amount) (lasting, short float64) {
	for _, w := range s.workers {
		if w.info.GetPool() != p.name {
			continue
		}
		for _, r := range w.runs {
			share := hostShare(r.room, whole)
			if r.step != nil && r.step.spec.GetLasting() {
				lasting += share
			} else {
				short += share
			}
		}
	}
	return lasting, short
}

// waitingNeed returns how many hosts the waiting tasks of a job need, and
// raises the floor for lasting tasks that have to be spread.
func (s *Scheduler) waitingNeed(j *job, whole controller.Amount, view *balancer.Pool) float64 {
	need := 0.0
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			share := hostShare(roomOf(st), whole)
			seconds := time.Duration(st.spec.GetEstimateNanos()).Seconds()
			if st.spec.GetLasting() {
				seconds = backlogTime.Seconds()
				view.Floor = max(view.Floor, spreadOf(st.spec))
			}
			if st.ready {
				need += share * float64(len(st.pending)) * seconds / backlogTime.Seconds()
			}
		}
	}
	return need
}

// spreadOf returns over how many hosts the tasks of a step have to be spread.
func spreadOf(spec *jobwire.Step) int {
	most := spec.GetMostPerWorker()
	if miss := spec.GetMayMiss(); miss > 0 && (most == 0 || miss < most) {
		most = miss
	}
	if most == 0 {
		return 0
	}
	return int((spec.GetTasks()+most-1)/most) + 1
}

// countHosts counts the hosts of a pool and finds those that can leave it.
func (s *Scheduler) countHosts(p *pool, view *balancer.Pool) {
	var idle []Host
	for name, h := range s.hosts.known {
		m, moving := s.hosts.moves[name]
		if moving {
			if m.to == p.name {
				view.Hosts++
			}
			continue
		}
		if h.Pool != p.name || s.hosts.upkeeps[name] != nil || s.state.Evacuated[h.DataCentre] {
			continue
		}
		w, known := s.workers[h.Worker]
		switch {
		case h.State != HostUp:
			continue
		case known && s.usable(w):
			view.Hosts++
			if len(w.runs) == 0 && !w.recording {
				idle = append(idle, h)
			}
		case !known:
			// The host is off, or its worker has not reported yet.
			view.Hosts++
			idle = append(idle, h)
		}
	}
	slices.SortFunc(idle, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	for _, h := range idle {
		view.Idle = append(view.Idle, h.Name)
	}
}

func (s *Scheduler) beginMove(m balancer.Move, pools []balancer.Pool) {
	h := s.hosts.known[m.Host]
	begun := &move{
		to:    m.To,
		since: s.now,
	}
	if w, ok := s.workers[h.Worker]; ok {
		begun.worker = w
		w.held = true
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

// advanceMove orders a move, again when its outcome is not known.
func (s *Scheduler) advanceMove(host string, m *move) {
	if m.done || m.ordered || s.now.Before(m.retryAt) {
		return
	}
	m.ordered = true
	s.emit(MoveHost{
		Host: host,
		Pool: m.to,
	})
}

// HostMoved takes the outcome of a MoveHost.
func (s *Scheduler) HostMoved(a MoveHost, answer HostAnswer) {
	m, ok := s.hosts.moves[a.Host]
	if !ok {
		return
	}
	m.ordered = false
	m.retryAt = s.now.Add(orderPause)
	switch answer {
	case HostOrderDone:
		m.done, m.doneAt = true, s.now
		if m.worker != nil && s.workers[m.worker.info.GetId()] == m.worker {
			s.leave(m.worker)
		}
	case HostOrderBusy, HostOrderInvalid:
		s.endMove(a.Host, m)
	}
}

func (s *Scheduler) endMove(host string, m *move) {
	if m.worker != nil {
		m.worker.held = false
		s.markPool(m.worker.info.GetPool())
	}
	delete(s.hosts.moves, host)
}

// settleMoves ends the moves whose host is up with a new worker, going by a
// listing that was asked for at the given time.
func (s *Scheduler) settleMoves(asked time.Time) {
	for name, m := range s.hosts.moves {
		h, ok := s.hosts.known[name]
		arrived := m.done && asked.After(m.doneAt) && ok && h.State == HostUp && h.Pool == m.to
		if arrived || !ok || s.now.Sub(m.since) > moveLimit {
			s.endMove(name, m)
		}
	}
}
