// Package scheduler decides which tasks of one data centre run on which
// worker. It holds no socket, goroutine or clock: Step takes an event and the
// time and returns the actions that follow.
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

// Options sets up a Scheduler.
type Options struct {
	// DataCentre is the data centre whose workers are scheduled.
	DataCentre string
	// Epoch fences former schedulers of the data centre.
	Epoch uint64
	// State is the control state to start with.
	State controller.State
}

// Scheduler holds the tasks and workers of one data centre. Make one with New.
// It must not be used by several goroutines at once.
type Scheduler struct {
	opts  Options
	facts facts
	ramp  ramp

	// Invariant: holds every task that has not ended, and each ended one for
	// Retention.
	tasks    map[string]*task
	accounts map[string]*account
	// Invariant: holds the tasks whose hand-over has not been answered.
	moving  map[string]*task
	workers map[string]*worker
	kinds   map[estimator.Key]*kind
	// roster is workers by name, or nil when it has to be sorted again.
	roster []*worker

	estimates estimator.Table
	changes   changeLog
	deadlines deadlineHeap
	// Invariant: in the order of endedAt.
	ended []*task
	// Invariant: rises with each accepted task.
	number uint64
	// Invariant: the sum of cost over all running tasks.
	charged controller.Amount
	// complete is true once all copies have been fetched.
	complete bool
	// scanFrom spreads the search for workers with work to put off.
	scanFrom int
	// started is the time of the first event.
	started time.Time
	// unheardUntil is that of the last Adopt.
	unheardUntil time.Time
}

// New returns a scheduler without tasks. It accepts and starts nothing until
// it gets the event Rebuilt.
func New(opts Options) *Scheduler {
	s := &Scheduler{
		opts:     opts,
		tasks:    make(map[string]*task),
		moving:   make(map[string]*task),
		accounts: make(map[string]*account),
		workers:  make(map[string]*worker),
		kinds:    make(map[estimator.Key]*kind),
	}
	s.facts.set(opts.State, opts.DataCentre)
	return s
}

// Step takes in one event and returns the actions that follow from it.
func (s *Scheduler) Step(now time.Time, event Event) []Action {
	if s.started.IsZero() {
		s.started = now
		s.ramp.start(now, s.facts.dataCentre)
	}
	switch e := event.(type) {
	case Facts:
		s.setFacts(now, e.State)
	case Submit:
		return s.submit(now, e.Task, e.Moved)
	case Cancel:
		return s.cancel(now, e)
	case Poll:
		return s.poll(now, e.Poll, e.Starts)
	case Adopt:
		s.adopt(now, e)
	case Move:
		s.move(e)
	case Moved:
		s.moved(now, e.ID)
	case MoveUnknown:
		if t := s.moving[e.ID]; t != nil {
			t.doubtful = true
		}
	case MoveRefused:
		s.moveRefused(e.ID)
	case Rebuilt:
		s.complete = true
	case Pass:
		return s.pass(now, e.Starts)
	}
	return nil
}

// Epoch returns the scheduler epoch that every start carries.
func (s *Scheduler) Epoch() uint64 { return s.opts.Epoch }

// DataCentre returns the data centre that is scheduled.
func (s *Scheduler) DataCentre() string { return s.opts.DataCentre }

// Status returns the state of one task.
func (s *Scheduler) Status(now time.Time, id string) (*wire.TaskStatus, bool) {
	t, ok := s.tasks[id]
	if !ok {
		return nil, false
	}
	return s.status(now, t), true
}

func (s *Scheduler) setFacts(now time.Time, state controller.State) {
	if state.Revision() == s.facts.state.Revision() {
		return
	}
	s.facts.set(state, s.opts.DataCentre)
	s.ramp.observe(now, s.facts.dataCentre.GetState())
	for _, w := range s.workers {
		w.host, _ = state.Host(w.name)
	}
}
