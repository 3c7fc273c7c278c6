// Package scheduler decides which tasks of one data centre run on which worker. It
// is a state machine without sockets, goroutines or a clock: Step takes an event and
// the time and returns the resulting actions.
//
// Shares follow weighted dominant resource fairness: A. Ghodsi et al.,
// "Dominant resource fairness: fair allocation of multiple resource types"
// (NSDI 2011). Upper limits are the allotments of the control state, which
// add up to at most the limit of a team.
package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/estimator"
	"github.com/heathermux/heathermux/internal/wire"
)

// Options configures a Scheduler.
type Options struct {
	// DataCentre is the data centre whose tasks are scheduled.
	DataCentre string
	// Epoch is the fencing token: workers refuse orders with a lower one, which
	// come from a former scheduler of the data centre.
	Epoch uint64
	// State is the control state to start with.
	State controller.State
	// MaxTasks bounds the tasks held at once, including ended ones that are
	// still retained; 0 means no bound.
	MaxTasks int
}

// Scheduler holds the tasks and workers of one data centre. Create it with New.
// It is not safe for concurrent use.
type Scheduler struct {
	opts    Options
	control controlState
	ramp    ramp

	// Invariant: holds every task that has not ended, and each ended one for
	// Retention.
	tasks    map[string]*task
	accounts map[string]*account
	// Invariant: holds the tasks whose transfer has not been answered.
	moving  map[string]*task
	workers map[string]*worker
	kinds   map[estimator.Key]*taskKind
	// workersByName is a cache of workers sorted by name; nil when it is stale.
	workersByName []*worker

	estimates estimator.Table
	changes   changeLog
	deadlines deadlineHeap
	// Invariant: in the order of endedAt.
	ended []*task
	// Invariant: the highest task.number; rises with each new task.
	lastNumber uint64
	// Invariant: the sum of cost() over all running tasks.
	charged controller.Amount
	// rebuilt is true once all reachable replicas have been adopted.
	rebuilt bool
	// preemptScanStart is the offset at which the next search for tasks to
	// preempt starts, so that preemptions are spread over the workers.
	preemptScanStart int
	// firstEventAt is the time of the first event; zero before it.
	firstEventAt time.Time
	// unpolledLeaseUntil is UnpolledLeaseUntil of the last Adopt.
	unpolledLeaseUntil time.Time
}

// New returns a scheduler without tasks. It accepts and starts no tasks until it
// gets the event Rebuilt.
func New(opts Options) *Scheduler {
	s := &Scheduler{
		opts:     opts,
		tasks:    make(map[string]*task),
		moving:   make(map[string]*task),
		accounts: make(map[string]*account),
		workers:  make(map[string]*worker),
		kinds:    make(map[estimator.Key]*taskKind),
	}
	s.control.set(opts.State, opts.DataCentre)
	return s
}

// Step processes one event and returns the resulting actions.
func (s *Scheduler) Step(now time.Time, event Event) []Action {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
		s.ramp.start(now, s.control.dataCentre)
	}
	switch e := event.(type) {
	case ControlStateUpdate:
		s.setControlState(now, e.State)
	case Submit:
		return s.submit(now, e.Task, e.Moved)
	case Cancel:
		return s.cancel(now, e)
	case Poll:
		return s.poll(now, e.Poll, e.MayStart)
	case Adopt:
		s.adopt(now, e)
	case Move:
		s.move(e)
	case Moved:
		s.moved(now, e.ID)
	case MoveUnknown:
		if t := s.moving[e.ID]; t != nil {
			t.uncertain = true
		}
	case MoveRefused:
		s.moveRefused(e.ID)
	case Rebuilt:
		s.rebuilt = true
	case Pass:
		return s.pass(now, e.MayStart)
	}
	return nil
}

// Epoch returns the fencing token that every response to a worker carries.
func (s *Scheduler) Epoch() uint64 { return s.opts.Epoch }

// DataCentre returns the data centre whose tasks are scheduled.
func (s *Scheduler) DataCentre() string { return s.opts.DataCentre }

// Status returns the status of one task, and false if it is not known.
func (s *Scheduler) Status(now time.Time, id string) (*wire.TaskStatus, bool) {
	t, ok := s.tasks[id]
	if !ok {
		return nil, false
	}
	return s.status(now, t), true
}

func (s *Scheduler) setControlState(now time.Time, state controller.State) {
	if state.Revision() == s.control.state.Revision() {
		return
	}
	s.control.set(state, s.opts.DataCentre)
	s.ramp.observe(now, s.control.dataCentre.GetState())
	for _, w := range s.workers {
		w.host, _ = state.Host(w.name)
	}
}
