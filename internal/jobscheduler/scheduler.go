// Package jobscheduler decides, on the leader, which task starts on which
// worker and when. It takes the replicated state, what workers answer and the
// time, and returns actions; it does no input or output and starts no
// goroutine. All methods are called with the lock of the job keeper held.
package jobscheduler

import (
	"log/slog"
	"time"

	"github.com/heathermux/heathermux/internal/balancer"
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// Settings are the bounds that the decisions keep to.
type Settings struct {
	// Lease is how long a worker may run tasks without hearing from the leader.
	Lease time.Duration
	// HolderLease is how long a leader waits before it orders work on hosts, so
	// that its orders do not mix with those of the former one.
	HolderLease time.Duration
	// Waited is told how long each job waited for its first start; nil is not.
	Waited func(time.Duration)
}

// Scheduler is the scheduler of one term of a leader. It is not safe for
// concurrent use; make one with New.
type Scheduler struct {
	settings Settings
	logger   *slog.Logger
	state    *jobkeeper.State
	term     uint64
	since    time.Time
	// unknown holds the workers that may run tasks of a former leader and have
	// not told which. Old jobs of their pools wait until they have, or until the
	// leases of the former leader have ended.
	unknown map[string]*worker
	// allWait is true when old jobs of all pools wait for each unknown worker.
	allWait bool
	opened  bool
	// followed is true when load came before this term.
	followed bool

	jobs    map[string]*job
	workers map[string]*worker
	// departing holds lives of workers that have ended while an answer of them
	// was on its way.
	departing map[life]*worker
	pools     map[string]*pool
	queues    map[string]*jobwire.Queue
	used      map[string]controller.Amount
	// Invariant: counts the runs of a task that are not known to have ended.
	live map[taskKey]int
	// Invariant: counts the ends of a task that are on their way to the log.
	unrecorded map[taskKey]int

	hosts hosts
	// advising is the number of calls that wait for the adviser.
	advising int
	// due holds the workers whose hosts have their maintenance before them.
	due map[string]bool

	// carriers is the number of hosts that carry orders.
	carriers int
	// startsLeft is how many tasks the present pass may still start.
	startsLeft int
	// markedAt is when all pools were last marked for a pass.
	markedAt time.Time
	// now and wall are the times of the present call.
	now  time.Time
	wall time.Time

	actions  []Action
	counters Metrics
}

// Metrics counts the events of one term, and holds present numbers.
type Metrics struct {
	Starts, Done, Failed, Lost, Stops, NoRoom, Lapses int64
	// Waiting is the number of open jobs of which no task has started.
	Waiting int64
	// Workers is the number of known workers.
	Workers int64
}

// Counters returns what has happened since New and what is known now.
func (s *Scheduler) Counters() Metrics {
	m := s.counters
	m.Workers = int64(len(s.workers))
	for _, j := range s.jobs {
		if !j.started {
			m.Waiting++
		}
	}
	return m
}

// pool holds the jobs and workers of one pool.
type pool struct {
	name string
	jobs map[string]*job
	// demand is the history of the work that came, in host-seconds.
	demand balancer.Demand
	// pace is the work that has started lately.
	pace pace
	// base is the number of hosts that the pool had when the term began.
	base int
	// spareSince is since when the pool has had hosts that it does not need.
	spareSince time.Time
	// dirty is true when a pass may find something to start.
	dirty bool
}

// New returns the scheduler of a term that begins now. It reads the state and
// asks all workers what they run.
func New(now, wall time.Time, term uint64, state *jobkeeper.State, settings Settings, logger *slog.Logger) *Scheduler {
	s := &Scheduler{
		settings: settings,
		logger:   logger,
		state:    state,
		term:     term,
		since:    now,
		now:      now,
		wall:     wall,
		jobs:     make(map[string]*job),
		workers:  make(map[string]*worker),
		pools:    make(map[string]*pool),
		queues:   make(map[string]*jobwire.Queue),
		used:     make(map[string]controller.Amount),
		live:     make(map[taskKey]int),
		unknown:  make(map[string]*worker),
		followed: len(state.Arrivals) > 0,

		unrecorded: make(map[taskKey]int),
		departing:  make(map[life]*worker),
		hosts: hosts{
			upkeeps: make(map[string]*upkeep),
			moves:   make(map[string]*move),
			missing: make(map[string]time.Time),
		},
	}
	s.FleetChanged()
	for _, w := range state.Workers {
		s.WorkerChanged(w)
		if !w.GetLapsed() {
			s.unknown[w.GetId()] = s.workers[w.GetId()]
		}
	}
	s.allWait = wall.Sub(state.QueuesMoved) < queuesMovedRecently
	for _, j := range state.Jobs {
		if j.Open() {
			s.addJob(j).old = true
		}
	}
	s.recallDemand()
	return s
}

// SetTime sets the time of the calls that follow: now is steady, wall is the
// time of day.
func (s *Scheduler) SetTime(now, wall time.Time) { s.now, s.wall = now, wall }

// queuesMovedRecently is the age of a queue's change of its pool up to which its
// tasks may run in the former pool.
const queuesMovedRecently = 20 * time.Second

// mayBeUnknown reports whether a task of the job may run on a worker that has
// not told what it runs.
func (s *Scheduler) mayBeUnknown(j *job) bool {
	if !j.old || len(s.unknown) == 0 {
		return false
	}
	for _, w := range s.unknown {
		if s.allWait || w.info.GetPool() == j.pool.name {
			return true
		}
	}
	return false
}

// unknownUse returns what may be running on workers that have not told.
func (s *Scheduler) unknownUse() controller.Amount {
	var sum controller.Amount
	for _, w := range s.unknown {
		sum = sum.Plus(w.capacity)
	}
	return sum
}

// Workers returns how many workers are known.
func (s *Scheduler) Workers() int { return len(s.workers) }

func (s *Scheduler) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{
			name: name,
			jobs: make(map[string]*job),
		}
		s.pools[name] = p
	}
	return p
}

// FleetChanged implements jobkeeper.Observer. Jobs follow their queue to the
// pool that the newest configuration names.
func (s *Scheduler) FleetChanged() {
	clear(s.queues)
	for _, q := range s.state.Configuration.GetQueues() {
		s.queues[q.GetName()] = q
	}
	for _, j := range s.jobs {
		if q := s.queues[j.record.Spec.GetQueue()]; q != nil && q.GetPool() != j.pool.name {
			delete(j.pool.jobs, j.id)
			j.pool = s.pool(q.GetPool())
			j.pool.jobs[j.id] = j
		}
	}
	s.markAll()
}

func (s *Scheduler) markAll() {
	for _, p := range s.pools {
		p.dirty = true
	}
}

// take returns the actions since the last call.
func (s *Scheduler) take() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }
