// Package jobscheduler decides, on the leader, which task starts on which worker
// and when, and which hosts move between pools or go into maintenance. Its inputs
// are the replicated state, the answers of workers, of the provider and of the
// placement adviser, and the time; its output is a list of actions. It does no
// I/O and starts no goroutines. All methods are called with the lock of the
// jobkeeper.StateMachine held.
package jobscheduler

import (
	"log/slog"
	"time"

	"github.com/heathermux/heathermux/internal/calibrator"
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/localizer"
	"github.com/heathermux/heathermux/internal/prober"
	"github.com/heathermux/heathermux/internal/rebalancer"
	"github.com/heathermux/heathermux/internal/sequencer"
)

// Settings holds the durations that depend on the deployment, and a hook for
// metrics.
type Settings struct {
	// Lease is the worker lease: how long a worker may run tasks without hearing
	// from the leader.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts, whatever an order says.
	MaxLease time.Duration
	// Heartbeat is the time between two heartbeats of a worker; 0 if unknown.
	Heartbeat time.Duration
	// ProviderOrderDelay is how far apart the orders of two leaders for one host
	// are. A new leader waits that long before the orders of a maintenance wave.
	ProviderOrderDelay time.Duration
	// RecordBatchStarts has the starts of batch tasks in the log before they are sent, too. A
	// task then never runs twice after a change of leader, but each start waits for a log
	// write, and peaks last longer.
	RecordBatchStarts bool
	// Locality says how much slower tasks are away from their data or their group.
	Locality localizer.Settings
	// ObserveStartDelay, if not nil, is called with the time between the due time
	// of an occurrence and its first start.
	ObserveStartDelay func(time.Duration)
}

// Scheduler holds the scheduling state of one leader term. It is not safe for
// concurrent use; create it with New.
type Scheduler struct {
	settings  Settings
	logger    *slog.Logger
	state     *jobkeeper.State
	term      uint64
	termStart time.Time
	// unreconciled holds the workers whose runs or ends this leader does not all know yet,
	// without those that are lapsed (see recordLapsed). Jobs of their pools that
	// were accepted before this term wait until each of these workers has answered
	// a poll or has ended, or until the leases of the former leader have ended. Jobs that
	// may have had another pool wait for those of all pools.
	unreconciled map[string]*worker
	// stoppedAccounts holds the accounts with jobs that were stopped while their
	// tasks may have been running on workers that are unreconciled now.
	stoppedAccounts map[string]bool
	// unreconciledUses holds the results of unreconciledUse in the current pass.
	unreconciledUses map[string]controller.Amount
	allReconciled    bool
	// hadEarlierLoad is true when jobs had arrived before this term.
	hadEarlierLoad bool

	jobs    map[string]*job
	workers map[string]*worker
	// removedWhilePolled holds incarnations of workers that have ended while a
	// poll of them was in flight.
	removedWhilePolled map[incarnation]*worker
	// removedStarts holds the lateStarts of workers that were removed, by id.
	removedStarts map[string]map[runKey]time.Time
	// removedIncarnations holds the incarnations of workers that were removed within
	// lateOrderTime, by id.
	removedIncarnations map[string]removedIncarnation
	// minEpoch is the highest epoch of the removed incarnations that are forgotten.
	minEpoch uint64
	// lateOrders holds the workers that may execute a start late, by id; see lateorder.go.
	lateOrders *prober.Schedule[Target]

	pools map[string]*pool
	// queues holds the queues in force and the removed ones that open jobs have, by name.
	queues        map[string]*jobwire.Queue
	usedByAccount map[string]controller.Amount
	// Invariant: counts the runs of each task that are not known to have ended.
	liveRuns map[taskKey]int
	// Invariant: counts the runs of each job that are not known to have ended, by id.
	liveRunsByJob map[string]int
	// Invariant: counts the ends of each task that are being written to the log.
	unrecordedEnds map[taskKey]int
	// heldStarts holds the tasks with a start of a former leader that may still be executed;
	// heldOn holds their keys by the worker of the start.
	heldStarts map[taskKey]heldStart
	heldOn     map[string][]taskKey
	// begunRuns holds the runs that are to be recorded as begun, the first of them since
	// begunSince.
	begunRuns  []*run
	begunSince time.Time
	// unknownFates holds the tasks that wait for news of a worker that they may have
	// crashed, with the time until which they wait.
	unknownFates map[taskKey]time.Time
	// pendingPlacements holds the tasks with crashes whose placement is being written to
	// the log, or is there, and whose start has not been ordered.
	pendingPlacements map[taskKey]*pendingPlacement
	// disconnections holds the workers that broke their connections lately.
	disconnections []disconnection
	// crashingUntil holds until when queues count as crashing, by name.
	crashingUntil map[string]time.Time

	// waitingForRack counts, in the current pass, the tasks that wait for a place on a rack.
	waitingForRack map[string]int
	// runTimes holds what this leader has learned about the run times of tasks.
	runTimes calibrator.Table[taskKind]

	hosts hosts
	// adviceCalls holds the calls to the placement adviser.
	adviceCalls *sequencer.Line[StepKey]
	// allowedShares holds what part of the workers the adviser allows, by queue.
	allowedShares map[string]allowedShare
	// maintenanceDue holds the workers whose hosts still await maintenance in an
	// open wave.
	maintenanceDue map[string]bool

	longWaits longWaits
	// orderSenders is the number of hosts that send orders to workers, with the
	// leader.
	orderSenders int
	// startsLeft is how many tasks the current pass may still start.
	startsLeft int
	// allMarkedAt is when the periodic pass last marked all pools dirty.
	allMarkedAt time.Time
	// now is the monotonic time and wall the time of day of the current call.
	now  time.Time
	wall time.Time

	actions  []Action
	counters Metrics
}

// Metrics holds event counters of one term and current numbers.
type Metrics struct {
	// Starts and Stops count the starts and the orders to stop, with repeated
	// orders to stop; NoRoom counts the starts that a worker declined for lack of
	// room. Done, Failed, Lost and Lapses count runs by how they ended; a lapse is
	// the end of a run whose lease had ended.
	Starts, Done, Failed, Lost, Stops, NoRoom, Lapses int64
	// NotSent counts the starts that found no connection to their worker.
	NotSent int64
	// WorkerCrashes counts the incarnations of workers that ended without notice.
	WorkerCrashes int64
	// GivenUp counts the tasks that were given up because workers crash under them.
	GivenUp int64
	// NearStarts and FarStarts count the starts of tasks with a data rack, on it and on
	// others; NearWaitMillis is how long the former have waited for their places in all.
	NearStarts, FarStarts, NearWaitMillis int64
	// Probes counts the polls that only carry a fencing token to workers that may execute a
	// start late.
	Probes int64
	// Copies counts the copies of slow tasks that were started.
	Copies int64
	// LongWaits counts the waits of tasks with a place that were logged as long.
	LongWaits int64
	// Refused counts the jobs that were refused because their pool could not do them in time.
	Refused int64
	// Waiting is the number of open jobs of which no task has started.
	Waiting int64
	// Workers is the number of known workers.
	Workers int64
}

// Counters returns the events since New and the current numbers.
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
	// demand is the history of the work that arrived, in host-seconds.
	demand rebalancer.Demand
	// homeWork is the work of the open jobs that are confined to one data centre, in
	// host-seconds by data centre.
	homeWork map[string]float64
	// held is what the runs on its workers hold.
	held heldHosts
	// sharesLoggedAt is when logShares last logged.
	sharesLoggedAt time.Time
	// backlog is the waiting work as of the last look at it.
	backlog backlog
	// copiesSoughtAt is when slow tasks were last sought.
	copiesSoughtAt time.Time
	// refusalLoggedAt is when logRefusal last logged.
	refusalLoggedAt time.Time
	// startRate is the rate at which work has started recently.
	startRate startRate
	// initialHosts is the number of hosts that the pool had when the term began,
	// or an even share of all hosts when the term took over a load.
	initialHosts int
	// surplusSince is since when the pool has had more hosts than it needs; zero
	// when it has not.
	surplusSince time.Time
	// dirty is true when the next pass may find a task to start.
	dirty bool
}

// New returns the scheduler of a term that begins now. It reads the replicated
// state; the first passes poll all workers for their runs.
func New(now, wall time.Time, term uint64, state *jobkeeper.State, settings Settings, logger *slog.Logger) *Scheduler {
	s := &Scheduler{
		settings:       settings,
		logger:         logger,
		state:          state,
		term:           term,
		termStart:      now,
		now:            now,
		wall:           wall,
		jobs:           make(map[string]*job),
		workers:        make(map[string]*worker),
		pools:          make(map[string]*pool),
		usedByAccount:  make(map[string]controller.Amount),
		liveRuns:       make(map[taskKey]int),
		liveRunsByJob:  make(map[string]int),
		waitingForRack: make(map[string]int),
		unreconciled:   make(map[string]*worker),
		hadEarlierLoad: len(state.Arrivals) > 0,

		stoppedAccounts:    make(map[string]bool),
		unreconciledUses:   make(map[string]controller.Amount),
		unrecordedEnds:     make(map[taskKey]int),
		heldStarts:         make(map[taskKey]heldStart),
		heldOn:             make(map[string][]taskKey),
		unknownFates:       make(map[taskKey]time.Time),
		pendingPlacements:  make(map[taskKey]*pendingPlacement),
		crashingUntil:      make(map[string]time.Time),
		removedWhilePolled: make(map[incarnation]*worker),
		removedStarts:      make(map[string]map[runKey]time.Time),

		removedIncarnations: make(map[string]removedIncarnation),
		adviceCalls: sequencer.New[StepKey](sequencer.Settings{
			MaxInFlight:   maxAdviceCallsInFlight,
			TimeoutMargin: adviceTimeoutMargin,
			RetryDelay:    adviceRetryDelay,
			PriorityDelay: advicePriorityDelay,
			AbsentAfter:   adviceAbsentAfter,
		}),
		allowedShares: make(map[string]allowedShare),
		lateOrders: prober.New[Target](prober.Settings{
			AnsweredInterval:  answeredProbeInterval,
			FailedInterval:    failedProbeInterval,
			IntervalPerTarget: probeIntervalPerWorker,
			MaxAtOnce:         maxProbesAtOnce,
		}),
		hosts: hosts{
			maintenances: make(map[string]*hostMaintenance),
			moves:        make(map[string]*move),
			missingSince: make(map[string]time.Time),
		},
	}
	s.FleetChanged()
	for _, w := range state.Workers {
		s.WorkerChanged(w)
		s.workers[w.GetId()].mayObeyFormer = s.restartedLately(w)
		if !w.GetLapsed() {
			s.workers[w.GetId()].reconcileBy = now.Add(s.leaseBoundOf(w))
			s.unreconciled[w.GetId()] = s.workers[w.GetId()]
		}
	}
	for _, j := range state.Jobs {
		if j.Open() {
			added := s.addJob(j)
			added.acceptedBeforeTerm = true
			s.openBegunOccurrences(added)
			s.restorePlacements(added)
			s.holdRecordedStarts(j)
		} else if wall.Sub(j.EndedAt) < stoppedJobSettleTime {
			s.noteStoppedJob(j)
			s.restoreQueueOfEndedJob(j)
		}
	}
	if len(s.heldStarts) > 0 {
		s.logger.Info("scheduler: starts of a former leader may not have been executed; their tasks wait until the workers have answered, or can't execute them any more",
			"term", term, "tasks", len(s.heldStarts), "workers", len(s.heldOn))
	}
	s.restoreDemand()
	return s
}

// SetTime sets the time for the calls that follow: now is monotonic, wall is the
// time of day.
func (s *Scheduler) SetTime(now, wall time.Time) { s.now, s.wall = now, wall }

// queueMoveSettleTime is by how much the time of acceptance of a job may lie after a change of
// its queue's pool although it had runs in the former pool: the clocks of hosts differ.
const queueMoveSettleTime = 20 * time.Second

// stoppedJobSettleTime is how long after the end of a job its tasks may still be
// running on workers that did not hear of it, however the clocks of hosts differ.
const stoppedJobSettleTime = 20 * time.Second

// mayRunOnUnreconciled reports whether a task of the job may be running on a
// worker that has not reported its runs.
func (s *Scheduler) mayRunOnUnreconciled(j *job) bool {
	if !j.acceptedBeforeTerm || len(s.unreconciled) == 0 {
		return false
	}
	inAllPools := s.mayHaveMoved(j)
	for _, w := range s.unreconciled {
		if (inAllPools || w.info.GetPool() == j.pool.name) && j.mayRunIn(w.info.GetDataCentre()) {
			return true
		}
	}
	return false
}

// mayHaveMoved reports whether a job may have been accepted before a queue, perhaps its own,
// was last assigned to another pool. Its runs stay in the former pool until they end.
func (s *Scheduler) mayHaveMoved(j *job) bool {
	movedAt := s.state.QueuesMovedAt
	return !movedAt.IsZero() && time.Unix(0, j.saved.Spec.GetAcceptedAtUnixNanos()).Before(movedAt.Add(queueMoveSettleTime))
}

// unreconciledUse returns an upper bound of what an account may have running on the
// unreconciled workers: the tasks of its open jobs that may run there, or all that the
// workers can hold if a job of the account may have been stopped there. After that it is what
// held starts may yet take.
func (s *Scheduler) unreconciledUse(account string) controller.Amount {
	if len(s.unreconciled) == 0 {
		return s.heldUse(account)
	}
	if use, ok := s.unreconciledUses[account]; ok {
		return use
	}
	var use controller.Amount
	if s.stoppedAccounts[account] {
		for _, w := range s.unreconciled {
			use = use.Plus(w.capacity)
		}
	} else {
		for _, j := range s.jobs {
			if j.saved.Spec.GetAccount() == account && s.mayRunOnUnreconciled(j) {
				use = use.Plus(j.unplacedRequest())
			}
		}
	}
	s.unreconciledUses[account] = use
	return use
}

// unplacedRequest returns the sum of the requests of all tasks that may have begun
// and have no known run. Any task of a held occurrence may have begun under a former leader.
func (j *job) unplacedRequest() controller.Amount {
	var sum controller.Amount
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if !st.ready && !o.held {
				continue
			}
			for range st.pending {
				sum = sum.Plus(st.request)
			}
		}
	}
	return sum
}

// noteStoppedJob notes the account of an ended job whose tasks may still run on
// unreconciled workers. The tasks of a completed job do not.
func (s *Scheduler) noteStoppedJob(record *jobkeeper.Job) {
	if record.EndState != jobwire.JobState_JOB_STATE_COMPLETED {
		s.stoppedAccounts[record.Spec.GetAccount()] = true
	}
}

// Workers returns the number of known workers.
func (s *Scheduler) Workers() int { return len(s.workers) }

func (s *Scheduler) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{
			name:     name,
			jobs:     make(map[string]*job),
			homeWork: make(map[string]float64),
		}
		s.pools[name] = p
	}
	return p
}

// FleetChanged implements jobkeeper.Observer. Open jobs follow their queue to the
// pool that the new configuration names; those of a removed queue stay.
func (s *Scheduler) FleetChanged() {
	s.queues = s.state.LatestQueues()
	s.forgetRunTimes()
	for _, j := range s.jobs {
		if q := s.queues[j.saved.Spec.GetQueue()]; q != nil && q.GetPool() != j.pool.name {
			j.leavePool()
			j.pool = s.pool(q.GetPool())
			j.pool.jobs[j.id] = j
			j.updateHome()
		}
	}
	s.markAllPoolsDirty()
}

func (s *Scheduler) markAllPoolsDirty() {
	for _, p := range s.pools {
		p.dirty = true
	}
}

// takeActions returns the actions emitted since the last call.
func (s *Scheduler) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }
