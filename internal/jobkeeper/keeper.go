// Package jobkeeper is the replicated state of jobs and of the fleet that runs
// them: the configuration, data centres that are out of service, accepted jobs
// with the ends of their tasks, workers, and maintenance waves. It is the
// machine of a voter's log and does no input or output.
package jobkeeper

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// keptAfterEnd is how long an ended job can be asked for. It exceeds the two
// minutes that submitters are promised.
const keptAfterEnd = 3 * time.Minute

// Observer learns of each change. Its methods are called with the keeper's
// lock held.
type Observer interface {
	// JobAdded follows the acceptance of a job.
	JobAdded(j *Job)
	// JobEnded follows the end of a job, cancelled ones included.
	JobEnded(j *Job)
	// RunEnded follows the recording of the end of a run of an open job.
	RunEnded(j *Job, end *jobwire.End)
	// WorkerChanged follows a change of a worker's entry.
	WorkerChanged(w *jobwire.Worker)
	// WorkerForgotten follows the removal of a worker's entry.
	WorkerForgotten(w *jobwire.Worker)
	// FleetChanged follows a configuration, an evacuation or a wave.
	FleetChanged()
}

// Keeper holds the state. Apply, Encode and Restore are called by the log; the
// other methods may be called from any number of goroutines. Make one with New.
type Keeper struct {
	mu       sync.Mutex
	state    State
	observer Observer
}

// State is the present state. It is read within View only.
type State struct {
	// Configuration is nil before the first one.
	Configuration *jobwire.Configuration
	// Evacuated holds the data centres that are out of service.
	Evacuated map[string]bool
	// Jobs holds open jobs, ended ones for keptAfterEnd, and the ids of jobs
	// that were cancelled before they came.
	Jobs map[string]*Job
	// Workers holds the newest life of each worker by its id.
	Workers map[string]*jobwire.Worker
	// QueuesMoved is when a queue was last given another pool, so that its tasks
	// may still run in the former one; zero when none was.
	QueuesMoved time.Time
	// Waves holds all maintenance waves by their id.
	Waves map[string]*jobwire.Wave

	// Arrivals holds the latest acceptances in the order of the log. It is a
	// hint, which snapshots lack.
	Arrivals []Arrival

	// byAddress holds the ids of the workers at each address. Invariant: follows
	// from Workers.
	byAddress map[string][]string
	// queues holds the queues of the configuration by name.
	queues map[string]*jobwire.Queue
	// ended holds the ids of ended jobs in the order of their ends.
	ended []string
}

// New returns an empty keeper.
func New() *Keeper {
	return &Keeper{
		state: newState(),
	}
}

func newState() State {
	return State{
		Evacuated: make(map[string]bool),
		Jobs:      make(map[string]*Job),
		Workers:   make(map[string]*jobwire.Worker),
		Waves:     make(map[string]*jobwire.Wave),
		byAddress: make(map[string][]string),
	}
}

// View runs f with the state, which f must not keep.
func (k *Keeper) View(f func(s *State)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(&k.state)
}

// Observe makes o the only observer, or none when it is nil, and runs f with
// the state before o learns of the next change.
func (k *Keeper) Observe(o Observer, f func(s *State)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observer = o
	f(&k.state)
}

// Cancelled is the result of a cancellation.
type Cancelled struct {
	// Known is false when no such job had been accepted.
	Known bool
}

// Apply implements the machine of a voter.
func (k *Keeper) Apply(data []byte) any {
	cmd := &jobwire.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return errors.Wrap(err, "jobkeeper: log entry can't be decoded")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Unix(0, cmd.GetProposedAtUnixNanos())
	k.state.forgetEnded(now)
	switch c := cmd.GetChange().(type) {
	case *jobwire.Command_Submit:
		return k.submit(c.Submit)
	case *jobwire.Command_Cancel:
		return k.cancel(now, c.Cancel.GetId())
	case *jobwire.Command_Ends:
		return k.recordEnds(now, c.Ends.GetEnds())
	case *jobwire.Command_Configure:
		return k.configure(now, c.Configure)
	case *jobwire.Command_Packed:
		cfg, err := unpack(c.Packed)
		if err != nil {
			return err
		}
		return k.configure(now, cfg)
	case *jobwire.Command_Evacuate:
		return k.evacuate(c.Evacuate)
	case *jobwire.Command_Wave:
		return k.startWave(c.Wave)
	case *jobwire.Command_WaveProgress:
		return k.noteWave(c.WaveProgress)
	case *jobwire.Command_Worker:
		return k.noteWorker(c.Worker)
	case *jobwire.Command_ForgetWorker:
		return k.forgetWorker(c.ForgetWorker)
	}
	return errors.New("jobkeeper: unknown command")
}

func (k *Keeper) submit(spec *jobwire.Job) any {
	if _, ok := k.state.Jobs[spec.GetId()]; ok {
		return nil
	}
	j := newJob(spec)
	k.state.Jobs[spec.GetId()] = j
	k.state.noteArrival(spec)
	if k.observer != nil {
		k.observer.JobAdded(j)
	}
	return nil
}

// cancel also keeps the id of a job that is not known, so that a submission
// which arrives late does not start it.
func (k *Keeper) cancel(now time.Time, id string) any {
	j, ok := k.state.Jobs[id]
	if !ok {
		j = newJob(&jobwire.Job{
			Id: id,
		})
		k.state.Jobs[id] = j
	}
	if j.Open() {
		j.Ended = jobwire.JobState_JOB_STATE_CANCELLED
		k.end(now, j)
	}
	return Cancelled{
		Known: ok,
	}
}

// end frees what only an open job needs.
func (k *Keeper) end(now time.Time, j *Job) {
	j.EndedAt = now
	k.state.ended = append(k.state.ended, j.Spec.GetId())
	if k.observer != nil {
		k.observer.JobEnded(j)
	}
	j.Spec = &jobwire.Job{
		Id:                  j.Spec.GetId(),
		Queue:               j.Spec.GetQueue(),
		Account:             j.Spec.GetAccount(),
		AcceptedAtUnixNanos: j.Spec.GetAcceptedAtUnixNanos(),
	}
	j.occurrences, j.done = nil, nil
}

func (k *Keeper) recordEnds(now time.Time, ends []*jobwire.End) any {
	for _, end := range ends {
		j, ok := k.state.Jobs[end.GetTask().GetJob()]
		if !ok || !j.Open() || !j.has(end.GetTask()) {
			continue
		}
		j.record(end, k.state.attempts(j))
		if k.observer != nil {
			k.observer.RunEnded(j, end)
		}
		if !j.Open() {
			k.end(now, j)
		}
	}
	return nil
}

// attempts returns the failed runs after which a task of the job fails.
func (s *State) attempts(j *Job) int32 {
	if q := s.Queue(j.Spec.GetQueue()); q != nil {
		return q.GetAttempts()
	}
	return 1
}

// Queue returns the queue of the given name, nil when there is none.
func (s *State) Queue(name string) *jobwire.Queue { return s.queues[name] }

// setQueues indexes the queues of a configuration.
func (s *State) setQueues(c *jobwire.Configuration) {
	s.queues = make(map[string]*jobwire.Queue, len(c.GetQueues()))
	for _, q := range c.GetQueues() {
		s.queues[q.GetName()] = q
	}
}

func (k *Keeper) configure(now time.Time, c *jobwire.Configuration) any {
	if c.GetVersion() > k.state.Configuration.GetVersion() {
		former := k.state.queues
		k.state.setQueues(c)
		for name, q := range k.state.queues {
			if f, ok := former[name]; ok && f.GetPool() != q.GetPool() {
				k.state.QueuesMoved = now
			}
		}
		k.state.Configuration = c
		k.fleetChanged()
	}
	return nil
}

func (k *Keeper) evacuate(e *jobwire.Evacuation) any {
	if e.GetFinish() {
		delete(k.state.Evacuated, e.GetDataCentre())
	} else {
		k.state.Evacuated[e.GetDataCentre()] = true
	}
	k.fleetChanged()
	return nil
}

func (k *Keeper) startWave(w *jobwire.Wave) any {
	if _, ok := k.state.Waves[w.GetId()]; !ok {
		k.state.Waves[w.GetId()] = w
		k.fleetChanged()
	}
	return nil
}

func (k *Keeper) noteWave(p *jobwire.WaveProgress) any {
	w, ok := k.state.Waves[p.GetId()]
	if !ok {
		return nil
	}
	for _, host := range p.GetBegun() {
		if !slices.Contains(w.Begun, host) {
			w.Begun = append(w.Begun, host)
		}
	}
	k.fleetChanged()
	return nil
}

// noteWorker replaces the entry of a worker unless it is of an earlier life.
func (k *Keeper) noteWorker(w *jobwire.Worker) any {
	if known, ok := k.state.Workers[w.GetId()]; ok && known.GetBorn() > w.GetBorn() {
		return nil
	}
	k.state.setWorker(w)
	if k.observer != nil {
		k.observer.WorkerChanged(w)
	}
	return nil
}

func (k *Keeper) forgetWorker(f *jobwire.ForgetWorker) any {
	w, ok := k.state.Workers[f.GetId()]
	if !ok || w.GetBorn() != f.GetBorn() {
		return nil
	}
	k.state.removeWorker(w)
	if k.observer != nil {
		k.observer.WorkerForgotten(w)
	}
	return nil
}

// WorkersAt returns the workers at an address.
func (s *State) WorkersAt(address string) []*jobwire.Worker {
	list := make([]*jobwire.Worker, 0, len(s.byAddress[address]))
	for _, id := range s.byAddress[address] {
		list = append(list, s.Workers[id])
	}
	return list
}

func (s *State) setWorker(w *jobwire.Worker) {
	if former, ok := s.Workers[w.GetId()]; ok {
		s.removeWorker(former)
	}
	s.Workers[w.GetId()] = w
	s.byAddress[w.GetAddress()] = append(s.byAddress[w.GetAddress()], w.GetId())
}

func (s *State) removeWorker(w *jobwire.Worker) {
	delete(s.Workers, w.GetId())
	rest := slices.DeleteFunc(s.byAddress[w.GetAddress()], func(id string) bool { return id == w.GetId() })
	if len(rest) == 0 {
		delete(s.byAddress, w.GetAddress())
		return
	}
	s.byAddress[w.GetAddress()] = rest
}

func (k *Keeper) fleetChanged() {
	if k.observer != nil {
		k.observer.FleetChanged()
	}
}

// forgetEnded drops the jobs that ended long ago.
func (s *State) forgetEnded(now time.Time) {
	n := 0
	for n < len(s.ended) {
		j, ok := s.Jobs[s.ended[n]]
		if ok && now.Sub(j.EndedAt) <= keptAfterEnd {
			break
		}
		delete(s.Jobs, s.ended[n])
		n++
	}
	s.ended = s.ended[n:]
}
