package jobscheduler

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// runsPerTerm is the room for run numbers of one task in one term. Numbers rise
// across leaders without a write for each start, since terms rise.
const runsPerTerm = 1 << 12

// occurrencesAhead bounds the occurrences of one job that are open at once.
const occurrencesAhead = 64

// job is what the leader keeps of an open job.
type job struct {
	id     string
	record *jobkeeper.Job
	pool   *pool
	// old is true for a job that was accepted before this term.
	old bool
	// started is true once a task has been ordered to start.
	started bool
	// Invariant: sorted by number, without the done ones.
	occurrences []*occurrence
	// next is the first occurrence that is not loaded.
	next int32
	// tail[i] is the estimated time from the start of step i to the job's end.
	tail  []time.Duration
	chain time.Duration
	// size is the work of one occurrence, in host-seconds.
	size float64
}

type occurrence struct {
	job    *job
	number int32
	due    time.Time
	// objective is until when its end earns full credit.
	objective time.Time
	// begun is true once a task has been ordered to start.
	begun bool
	steps []*step
}

type step struct {
	occurrence *occurrence
	number     int32
	spec       *jobwire.Step
	each       controller.Amount
	// share is the part of a host that a task takes.
	share float64
	ready bool
	// Invariant: sorted indexes of the tasks that are not done and have no run.
	pending []int32
	// runs holds the newest run of each task that has one.
	runs map[int32]*run
	// numbers holds the newest run number given in this term.
	numbers map[int32]uint64
	// avoid is the worker on which a task failed last.
	avoid map[int32]string
	// perWorker counts the runs by worker.
	perWorker map[string]int
	advice    advice
}

// JobAdded implements jobkeeper.Observer.
func (s *Scheduler) JobAdded(record *jobkeeper.Job) {
	j := s.addJob(record)
	if j.size > 0 {
		j.pool.demand.Add(s.now, j.size)
	}
}

// addJob takes in an open job.
func (s *Scheduler) addJob(record *jobkeeper.Job) *job {
	spec := record.Spec
	q := s.queues[spec.GetQueue()]
	j := &job{
		id:      spec.GetId(),
		record:  record,
		pool:    s.pool(q.GetPool()),
		started: record.Started(),
		next:    record.FirstOpen(),
	}
	j.tail, j.chain = tails(spec.GetSteps())
	s.jobs[j.id] = j
	j.pool.jobs[j.id] = j
	j.pool.dirty = true
	j.size = s.workOf(j.pool, spec)
	s.load(j)
	return j
}

// tails returns the longest chain of estimates from each step on, and of all.
func tails(steps []*jobwire.Step) ([]time.Duration, time.Duration) {
	tail := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := len(steps) - 1; i >= 0; i-- {
		tail[i] += time.Duration(steps[i].GetEstimateNanos())
		longest = max(longest, tail[i])
		for _, before := range steps[i].GetAfter() {
			tail[before] = max(tail[before], tail[i])
		}
	}
	return tail, longest
}

// load opens the occurrences that are due.
func (s *Scheduler) load(j *job) {
	for j.next < j.record.Occurrences() && len(j.occurrences) < occurrencesAhead {
		due := j.record.Due(j.next)
		if due.After(s.wall) {
			return
		}
		if !j.record.OccurrenceDone(j.next) {
			j.occurrences = append(j.occurrences, s.newOccurrence(j, j.next, due))
			j.pool.dirty = true
		}
		j.next++
	}
}

func (s *Scheduler) newOccurrence(j *job, number int32, due time.Time) *occurrence {
	q := s.queues[j.record.Spec.GetQueue()]
	o := &occurrence{
		job:    j,
		number: number,
		due:    due,
	}
	o.objective = due.Add(time.Duration(q.GetStretch()*float64(j.chain)) + time.Duration(q.GetTargetNanos()))
	for i, spec := range j.record.Spec.GetSteps() {
		o.steps = append(o.steps, s.newStep(o, int32(i), spec))
	}
	o.refresh()
	return o
}

func (s *Scheduler) newStep(o *occurrence, number int32, spec *jobwire.Step) *step {
	st := &step{
		occurrence: o,
		number:     number,
		spec:       spec,
		each:       controller.AmountOf(spec.GetEach()),
		share:      hostShare(controller.AmountOf(spec.GetEach()), s.hostSize(o.job.pool.name)),
		runs:       make(map[int32]*run),
		numbers:    make(map[int32]uint64),
		avoid:      make(map[int32]string),
		perWorker:  make(map[string]int),
	}
	for i := range spec.GetTasks() {
		if !o.job.record.Task(st.key(i).task()).Done {
			st.pending = append(st.pending, i)
		}
	}
	return st
}

// refresh marks the steps whose earlier steps are all done.
func (o *occurrence) refresh() {
	for _, st := range o.steps {
		if st.ready {
			continue
		}
		st.ready = true
		for _, before := range st.spec.GetAfter() {
			st.ready = st.ready && o.job.record.StepDone(o.number, before)
		}
	}
}

func (st *step) key(index int32) taskKey {
	return taskKey{
		StepKey: StepKey{
			Job:        st.occurrence.job.id,
			Occurrence: st.occurrence.number,
			Step:       st.number,
		},
		index: index,
	}
}

// requeue makes a task wait again unless it is done.
func (st *step) requeue(index int32) {
	j := st.occurrence.job
	if j.record.Task(st.key(index).task()).Done {
		return
	}
	if at, found := slices.BinarySearch(st.pending, index); !found {
		st.pending = slices.Insert(st.pending, at, index)
		j.pool.dirty = true
	}
}

func (st *step) unqueue(index int32) {
	if at, found := slices.BinarySearch(st.pending, index); found {
		st.pending = slices.Delete(st.pending, at, at+1)
	}
}

// nextRun returns the number of the next run of a task.
func (s *Scheduler) nextRun(st *step, index int32) uint64 {
	recorded := st.occurrence.job.record.Task(st.key(index).task()).Run
	n := max(recorded, st.numbers[index], (s.term-1)*runsPerTerm) + 1
	st.numbers[index] = n
	return n
}

// find returns the step of a task; nil when it is not open.
func (s *Scheduler) find(k StepKey) *step {
	j, ok := s.jobs[k.Job]
	if !ok {
		return nil
	}
	for _, o := range j.occurrences {
		if o.number == k.Occurrence && k.Step >= 0 && int(k.Step) < len(o.steps) {
			return o.steps[k.Step]
		}
	}
	return nil
}

// findTask returns the step of a task; nil when it is not open or, as workers
// name tasks, has no such task.
func (s *Scheduler) findTask(k taskKey) *step {
	st := s.find(k.StepKey)
	if st == nil || k.index < 0 || k.index >= st.spec.GetTasks() {
		return nil
	}
	return st
}

// JobEnded implements jobkeeper.Observer. Runs of the job are stopped.
func (s *Scheduler) JobEnded(record *jobkeeper.Job) {
	j, ok := s.jobs[record.Spec.GetId()]
	if !ok {
		return
	}
	s.logEnd(j)
	delete(s.jobs, j.id)
	delete(j.pool.jobs, j.id)
	j.pool.dirty = true
	for _, w := range s.workers {
		for key, r := range w.runs {
			if key.Job == j.id {
				s.stop(r)
			}
		}
	}
}

// logEnd writes how a job has ended, and by how much its last occurrence missed
// its objective or kept it.
func (s *Scheduler) logEnd(j *job) {
	spare := time.Duration(0)
	if n := len(j.occurrences); n > 0 {
		spare = j.occurrences[n-1].objective.Sub(s.wall)
	}
	s.logger.Info("scheduler: job ended", "job", j.id, "queue", j.record.Spec.GetQueue(), "pool", j.pool.name,
		"account", j.record.Spec.GetAccount(), "state", j.record.Ended.String(),
		"took", s.wall.Sub(time.Unix(0, j.record.Spec.GetAcceptedAtUnixNanos())), "spare", spare)
}

// RunEnded implements jobkeeper.Observer.
func (s *Scheduler) RunEnded(record *jobkeeper.Job, end *jobwire.End) {
	j, ok := s.jobs[record.Spec.GetId()]
	if !ok || !record.Open() {
		return
	}
	t := end.GetTask()
	st := s.findTask(keyOf(t))
	if st == nil {
		return
	}
	j.pool.dirty = true
	if record.OccurrenceDone(t.GetOccurrence()) {
		j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool { return o.number == t.GetOccurrence() })
		s.load(j)
		return
	}
	if record.StepDone(t.GetOccurrence(), t.GetStep()) {
		st.pending = nil
		st.occurrence.refresh()
		return
	}
	s.requeue(keyOf(t))
}

// requeue makes a task wait again once no run of it is live and no end of it
// is on its way to the log.
func (s *Scheduler) requeue(key taskKey) {
	if s.live[key] > 0 || s.unrecorded[key] > 0 {
		return
	}
	if st := s.findTask(key); st != nil {
		st.requeue(key.index)
	}
}

// Pending returns how many jobs of a queue have started no task.
func (s *Scheduler) Pending(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if !j.started && j.record.Spec.GetQueue() == queue {
			n++
		}
	}
	return n
}

// Running reports whether a task of an open job has been ordered to start.
func (s *Scheduler) Running(id string) bool {
	j, ok := s.jobs[id]
	return ok && j.started
}
