// Package jobkeeper is the replicated state machine of jobs and of the fleet
// that runs them: the configuration, evacuated data centres, accepted jobs and
// the progress of their tasks, workers, and maintenance waves. The voters apply
// it to the entries of the replicated log. It performs no I/O.
package jobkeeper

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/recoverer"
	"github.com/heathermux/heathermux/pkg/timer"
)

// endedJobRetention is how long the state of an ended job can be queried. It
// exceeds the two minutes that submitters are promised.
const endedJobRetention = 3 * time.Minute

// Observer is notified of each state change. Its methods are called with the
// lock of the StateMachine held, so they must not call it.
type Observer interface {
	// JobAdded is called after a job has been accepted.
	JobAdded(j *Job)
	// JobEnded is called when a job has completed, failed or been cancelled,
	// before its Spec is reduced.
	JobEnded(j *Job)
	// RunEnded is called after the end of a run of an open job has been recorded.
	RunEnded(j *Job, end *jobwire.End)
	// WorkerChanged is called after a worker has been added or replaced.
	WorkerChanged(w *jobwire.Worker)
	// WorkerForgotten is called after a worker has been removed.
	WorkerForgotten(w *jobwire.Worker)
	// FleetChanged is called after a change of the configuration, of the evacuated
	// data centres or of a maintenance wave.
	FleetChanged()
}

// StateMachine is the replicated state machine; it implements voter.StateMachine.
// Apply, Encode and Restore are called by the replicated log, the other methods
// are safe for concurrent use. Create one with New.
type StateMachine struct {
	clock    timer.Clock
	mu       sync.Mutex
	state    State
	observer Observer
}

// State is the current state of the state machine. It may only be read within
// View, Observe and the methods of an Observer.
type State struct {
	// Configuration is the one in force; nil until the first has been applied.
	Configuration *jobwire.Configuration
	// Evacuated holds the data centres that are out of service.
	Evacuated map[string]bool
	// EvacuationRevisions counts the evacuation orders that took effect, by data centre.
	EvacuationRevisions map[string]uint64
	// Jobs holds the jobs by ID: open ones, ended ones for endedJobRetention, and
	// placeholders for jobs that were cancelled before their submission arrived.
	Jobs map[string]*Job
	// Workers holds the latest incarnation of each worker by its ID. Incarnations
	// are told apart by the start time of the process, Worker.Born.
	Workers map[string]*jobwire.Worker
	// QueuesMovedAt is when a queue was last assigned to another pool, also by being removed
	// and added again; some of its tasks may still run in the previous pool. Zero if that never
	// happened.
	QueuesMovedAt time.Time
	// Waves holds all maintenance waves by their ID.
	Waves map[string]*jobwire.Wave

	// HostOrders holds the latest announced order to the provider by host, for
	// hostOrderRetention. It is not in snapshots: HostOrdersSince is the time from
	// which on it is complete. Both are times of this replica's clock.
	HostOrders      map[string]HostOrder
	HostOrdersSince time.Time
	// workerOrders holds the same orders by the worker on the host, where one was known.
	workerOrders map[string]workerOrder

	// Arrivals holds the latest job arrivals in log order. It is best effort:
	// snapshots don't contain it, so replicas may differ.
	Arrivals []Arrival

	// workersByAddress holds the IDs of the workers at each address. Invariant: an
	// index of Workers.
	workersByAddress map[string][]string
	// queues indexes the queues of Configuration by name.
	queues map[string]*jobwire.Queue
	// formerQueues holds removed queues by name. Invariant: contains each queue that an open job
	// has and that is not in queues, unless it was removed more than formerQueueRetention before
	// the job was added.
	formerQueues map[string]*jobwire.FormerQueue
	// endedIDs holds the IDs of ended jobs in the order in which they ended.
	endedIDs []string
}

// New returns a StateMachine with empty state. The clock must include time spent
// suspended.
func New(clock timer.Clock) *StateMachine {
	return &StateMachine{
		clock: clock,
		state: newState(clock.Now()),
	}
}

func newState(now time.Time) State {
	return State{
		HostOrders:      make(map[string]HostOrder),
		workerOrders:    make(map[string]workerOrder),
		HostOrdersSince: now,
		Evacuated:       make(map[string]bool),

		EvacuationRevisions: make(map[string]uint64),

		Jobs:             make(map[string]*Job),
		Workers:          make(map[string]*jobwire.Worker),
		Waves:            make(map[string]*jobwire.Wave),
		workersByAddress: make(map[string][]string),
		formerQueues:     make(map[string]*jobwire.FormerQueue),
	}
}

// View calls f with the state under the lock. The state is read-only for f, and f
// must not retain it.
func (m *StateMachine) View(f func(s *State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(&m.state)
}

// Observe replaces the observer by o; nil removes it. Under the same lock it
// calls f with the state, so that o misses no change after what f has read.
func (m *StateMachine) Observe(o Observer, f func(s *State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observer = o
	f(&m.state)
}

// CancelResult is the result that Apply returns for a cancellation.
type CancelResult struct {
	// Known is false when the state has no job with this ID.
	Known bool
}

// Apply executes one log entry and returns its result, as voter.StateMachine
// requires: nil, a CancelResult, an EvacuateResult, or an error for an entry that can't be
// executed.
func (m *StateMachine) Apply(data []byte) any {
	cmd := &jobwire.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return errors.Wrap(err, "jobkeeper: decode log entry")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Unix(0, cmd.GetProposedAtUnixNanos())
	m.state.removeExpiredJobs(now)
	switch c := cmd.GetChange().(type) {
	case *jobwire.Command_Submit:
		return m.submit(c.Submit)
	case *jobwire.Command_Cancel:
		return m.cancel(now, c.Cancel.GetId())
	case *jobwire.Command_Ends:
		return m.recordEnds(now, c.Ends.GetEnds())
	case *jobwire.Command_Configure:
		return m.configure(now, c.Configure)
	case *jobwire.Command_Packed:
		cfg, err := unpack(c.Packed)
		if err != nil {
			return err
		}
		return m.configure(now, cfg)
	case *jobwire.Command_Evacuate:
		return m.evacuate(c.Evacuate)
	case *jobwire.Command_Wave:
		return m.startWave(c.Wave)
	case *jobwire.Command_WaveProgress:
		return m.recordWaveProgress(c.WaveProgress)
	case *jobwire.Command_Worker:
		return m.updateWorker(c.Worker)
	case *jobwire.Command_ForgetWorker:
		return m.forgetWorker(c.ForgetWorker)
	case *jobwire.Command_HostOrders:
		return m.announceHostOrders(c.HostOrders)
	case *jobwire.Command_Confinements:
		return m.confineJobs(c.Confinements.GetJobs())
	case *jobwire.Command_Crashes:
		return m.recordCrashes(now, c.Crashes.GetCrashes())
	case *jobwire.Command_Placements:
		return m.recordPlacements(c.Placements.GetPlacements())
	case *jobwire.Command_SurvivedRuns:
		return m.recordSurvivals(c.SurvivedRuns.GetRuns())
	case *jobwire.Command_LapsedMarks:
		return m.markLapsed(c.LapsedMarks.GetMarks())
	case *jobwire.Command_RecordedStarts:
		return m.recordStarts(c.RecordedStarts)
	}
	return errors.New("jobkeeper: log entry has an unknown command")
}

func (m *StateMachine) submit(spec *jobwire.Job) any {
	if _, ok := m.state.Jobs[spec.GetId()]; ok {
		return nil
	}
	j := newJob(spec)
	m.state.Jobs[spec.GetId()] = j
	m.state.addArrival(spec)
	m.notify(func(o Observer) { o.JobAdded(j) })
	return nil
}

// confineJobs sets the data centres in which the tasks of open jobs may run.
func (m *StateMachine) confineJobs(list []*jobwire.JobConfinement) any {
	for _, c := range list {
		if j, ok := m.state.Jobs[c.GetId()]; ok && j.Open() {
			j.Spec.DataCentres = c.GetDataCentres()
		}
	}
	return nil
}

// cancel also records the ID of an unknown job as cancelled, so that a
// submission that arrives late does not start it.
func (m *StateMachine) cancel(now time.Time, id string) any {
	j, ok := m.state.Jobs[id]
	if !ok {
		j = newJob(&jobwire.Job{
			Id: id,
		})
		m.state.Jobs[id] = j
	}
	if j.Open() {
		j.EndState = jobwire.JobState_JOB_STATE_CANCELLED
		m.endJob(now, j)
	}
	return CancelResult{
		Known: ok,
	}
}

// endJob notifies the observer and drops what only an open job needs.
func (m *StateMachine) endJob(now time.Time, j *Job) {
	j.EndedAt = now
	m.state.endedIDs = append(m.state.endedIDs, j.Spec.GetId())
	m.notify(func(o Observer) { o.JobEnded(j) })
	j.Spec = &jobwire.Job{
		Id:                  j.Spec.GetId(),
		Queue:               j.Spec.GetQueue(),
		Account:             j.Spec.GetAccount(),
		AcceptedAtUnixNanos: j.Spec.GetAcceptedAtUnixNanos(),
	}
	j.occurrences, j.done = nil, nil
}

func (m *StateMachine) recordEnds(now time.Time, ends []*jobwire.End) any {
	for _, end := range ends {
		j, ok := m.state.Jobs[end.GetTask().GetJob()]
		if !ok || !j.Open() || !j.hasTask(end.GetTask()) {
			continue
		}
		j.recordEnd(end, m.state.TermsOf(j).GetAttempts())
		m.notify(func(o Observer) { o.RunEnded(j, end) })
		if !j.Open() {
			m.endJob(now, j)
		}
	}
	return nil
}

// Queue returns the queue of the configuration in force with the given name, or
// nil.
func (s *State) Queue(name string) *jobwire.Queue { return s.queues[name] }

// HasPool reports whether the configuration in force has a pool with the given name.
func (s *State) HasPool(name string) bool {
	return slices.ContainsFunc(s.Configuration.GetPools(), func(p *jobwire.Pool) bool { return p.GetName() == name })
}

// setQueues rebuilds the index of queues by name.
func (s *State) setQueues(c *jobwire.Configuration) {
	s.queues = make(map[string]*jobwire.Queue, len(c.GetQueues()))
	for _, q := range c.GetQueues() {
		s.queues[q.GetName()] = q
	}
}

// configure puts a configuration in force unless its version is not newer than
// the current one.
func (m *StateMachine) configure(now time.Time, c *jobwire.Configuration) any {
	if c.GetVersion() > m.state.Configuration.GetVersion() {
		previousQueues, latestQueues := m.state.queues, m.state.LatestQueues()
		m.state.setQueues(c)
		for name, q := range m.state.queues {
			if latest, ok := latestQueues[name]; ok && latest.GetPool() != q.GetPool() {
				m.state.QueuesMovedAt = now
			}
		}
		m.state.Configuration = c
		m.state.keepRemovedQueues(now, previousQueues)
		m.notifyFleetChanged()
	}
	return nil
}

func (m *StateMachine) startWave(w *jobwire.Wave) any {
	if _, ok := m.state.Waves[w.GetId()]; !ok {
		m.state.Waves[w.GetId()] = w
		m.notifyFleetChanged()
	}
	return nil
}

func (m *StateMachine) recordWaveProgress(p *jobwire.WaveProgress) any {
	w, ok := m.state.Waves[p.GetId()]
	if !ok {
		return nil
	}
	for _, host := range p.GetBegun() {
		if !slices.Contains(w.Begun, host) {
			w.Begun = append(w.Begun, host)
		}
	}
	m.notifyFleetChanged()
	return nil
}

// updateWorker stores a worker unless a later incarnation of it, or a later report of this
// one, is known: a new leader may receive a report that was delayed for seconds. An
// incarnation that drains never stops draining, and only markLapsed marks it as
// lapsed: the command may have been formed before the last change.
func (m *StateMachine) updateWorker(w *jobwire.Worker) any {
	current, ok := m.state.Workers[w.GetId()]
	if ok && (current.GetBorn() > w.GetBorn() || current.GetBorn() == w.GetBorn() && current.GetSequence() > w.GetSequence()) {
		return nil
	}
	if ok && current.GetBorn() == w.GetBorn() {
		w.Draining = w.GetDraining() || current.GetDraining()
		w.Lapsed = w.GetLapsed() && current.GetLapsed()
		w.Restarted = current.GetRestarted()
	} else {
		w.Restarted = ok
	}
	if w.GetDraining() {
		m.state.clearPlacements(w.GetId(), w.GetBorn())
	}
	m.state.setWorker(w)
	m.notify(func(o Observer) { o.WorkerChanged(w) })
	return nil
}

// markLapsed sets or clears the marks of known incarnations of workers.
func (m *StateMachine) markLapsed(marks []*jobwire.LapsedMark) any {
	for _, mark := range marks {
		current, ok := m.state.Workers[mark.GetId()]
		if !ok || current.GetBorn() != mark.GetBorn() || current.GetLapsed() == mark.GetLapsed() {
			continue
		}
		w := proto.CloneOf(current)
		w.Lapsed = mark.GetLapsed()
		m.state.setWorker(w)
		m.notify(func(o Observer) { o.WorkerChanged(w) })
	}
	return nil
}

// forgetWorker removes a worker if the given incarnation is the current one.
func (m *StateMachine) forgetWorker(f *jobwire.ForgetWorker) any {
	w, ok := m.state.Workers[f.GetId()]
	if !ok || w.GetBorn() != f.GetBorn() {
		return nil
	}
	m.state.removeWorker(w)
	m.notify(func(o Observer) { o.WorkerForgotten(w) })
	return nil
}

// WorkersAt returns the workers with the given address. There may be several,
// since a restarted worker can have a new ID at the same address.
func (s *State) WorkersAt(address string) []*jobwire.Worker {
	workers := make([]*jobwire.Worker, 0, len(s.workersByAddress[address]))
	for _, id := range s.workersByAddress[address] {
		workers = append(workers, s.Workers[id])
	}
	return workers
}

func (s *State) setWorker(w *jobwire.Worker) {
	if previous, ok := s.Workers[w.GetId()]; ok {
		s.removeWorker(previous)
	}
	s.Workers[w.GetId()] = w
	s.workersByAddress[w.GetAddress()] = append(s.workersByAddress[w.GetAddress()], w.GetId())
}

func (s *State) removeWorker(w *jobwire.Worker) {
	delete(s.Workers, w.GetId())
	remaining := slices.DeleteFunc(s.workersByAddress[w.GetAddress()], func(id string) bool { return id == w.GetId() })
	if len(remaining) == 0 {
		delete(s.workersByAddress, w.GetAddress())
		return
	}
	s.workersByAddress[w.GetAddress()] = remaining
}

func (m *StateMachine) notifyFleetChanged() { m.notify(func(o Observer) { o.FleetChanged() }) }

// notify calls a method of the observer, which only the leader has. If it panics, the
// change is still carried out to its end, as on the other replicas.
func (m *StateMachine) notify(call func(o Observer)) {
	if m.observer == nil {
		return
	}
	// The panic is logged; the state does not depend on the observer.
	_ = recoverer.Run(slog.Default(), "jobkeeper: the observer of a change panicked", func() { call(m.observer) })
}

// removeExpiredJobs removes the jobs that ended more than endedJobRetention ago.
func (s *State) removeExpiredJobs(now time.Time) {
	n := 0
	for n < len(s.endedIDs) {
		j, ok := s.Jobs[s.endedIDs[n]]
		if ok && now.Sub(j.EndedAt) <= endedJobRetention {
			break
		}
		delete(s.Jobs, s.endedIDs[n])
		n++
	}
	s.endedIDs = s.endedIDs[n:]
}
