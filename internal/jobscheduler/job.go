package jobscheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// runNumbersPerTerm is the range of run numbers that one task has in one term.
// Because terms rise, run numbers rise across leaders without a log write for
// each start.
const runNumbersPerTerm = 1 << 12

// maxOpenOccurrences bounds the occurrences of one job that are open at once.
const maxOpenOccurrences = 64

// maxClockDifference bounds the difference between the times of day of two hosts.
const maxClockDifference = 5 * time.Second

// job is the scheduling state of an open job.
type job struct {
	id string
	// saved is the job in the replicated state.
	saved              *jobkeeper.Job
	pool               *pool
	acceptedBeforeTerm bool
	// confining is true while a change of the data centres where the job's tasks may
	// run is being written to the log.
	confining bool
	// home is the data centre that workHostSeconds counts for in pool.homeWork; empty
	// when the job may run in several.
	home string
	// started is true once a task has been ordered to start.
	started bool
	// Invariant: sorted by number; finished occurrences are removed.
	occurrences []*occurrence
	// nextOccurrence is the number of the first occurrence that has not been
	// opened.
	nextOccurrence int32
	// Invariant: counts the occurrences that are held.
	heldOccurrences int
	// criticalPathFrom[i] is the estimated time from the start of step i to the
	// end of the job; criticalPath is that of the whole job.
	criticalPathFrom []time.Duration
	criticalPath     time.Duration
	// workHostSeconds is the work of the batch tasks of one occurrence.
	workHostSeconds float64
}

type occurrence struct {
	job    *job
	number int32
	dueAt  time.Time
	// targetEnd is the time until which the end of the occurrence earns full
	// credit.
	targetEnd time.Time
	// held is true while the occurrence is open although it is not due by the clock of this
	// leader. By that of a former leader it may have been due, so that tasks may run.
	// Invariant: no step of a held occurrence is ready.
	held bool
	// started is true once a task has been ordered to start.
	started bool
	steps   []*step
}

type step struct {
	occurrence *occurrence
	number     int32
	spec       *jobwire.Step
	request    controller.Amount
	// hostShare is the part of a host that one task takes.
	hostShare float64
	// runTime is the expected run time of a task.
	runTime time.Duration
	// waitsNearSince is when a task first had to wait for a place near its data, or the step
	// for one near its group; zero if none had to.
	waitsNearSince time.Time
	// ready is true once the occurrence is due and all steps that this one depends on are
	// done.
	ready bool
	// Invariant: sorted indexes of the tasks that are not done and have no run.
	pending []int32
	// runs holds the newest run of each task that has one.
	runs map[int32]*run
	// lastRunNumber holds the newest run number of each task known in this term.
	lastRunNumber map[int32]uint64
	// lastFailedOn holds, by task, the worker on which it failed last.
	lastFailedOn map[int32]string
	// runsPerWorker counts the runs by worker id.
	runsPerWorker map[string]int
	// asksWorkers is true when the last search for a worker has found only ones that have to
	// be asked first. There is room, so the search says nothing about other steps.
	asksWorkers bool
	advice      advice
}

// JobAdded implements jobkeeper.Observer.
func (s *Scheduler) JobAdded(record *jobkeeper.Job) {
	j := s.addJob(record)
	if j.workHostSeconds > 0 {
		j.pool.demand.Add(s.now, j.workHostSeconds)
	}
}

// addJob adds an open job and opens its due occurrences.
func (s *Scheduler) addJob(record *jobkeeper.Job) *job {
	spec := record.Spec
	q := s.queues[spec.GetQueue()]
	j := &job{
		id:             spec.GetId(),
		saved:          record,
		pool:           s.pool(q.GetPool()),
		started:        record.HasRecordedRuns(),
		nextOccurrence: record.FirstOpen(),
	}
	j.criticalPathFrom, j.criticalPath = criticalPaths(spec.GetSteps(), s.runTimesOf(q.GetName()))
	s.jobs[j.id] = j
	j.pool.jobs[j.id] = j
	j.pool.dirty = true
	j.workHostSeconds = s.jobHostSeconds(j.pool, q.GetName(), spec)
	j.updateHome()
	s.openDueOccurrences(j)
	return j
}

// criticalPaths returns the longest chain of estimated run times from the start
// of each step to the end of the job, and the longest of all.
func criticalPaths(steps []*jobwire.Step, runTime func(*jobwire.Step) time.Duration) ([]time.Duration, time.Duration) {
	remaining := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := len(steps) - 1; i >= 0; i-- {
		remaining[i] += runTime(steps[i])
		longest = max(longest, remaining[i])
		for _, dependency := range steps[i].GetAfter() {
			remaining[dependency] = max(remaining[dependency], remaining[i])
		}
	}
	return remaining, longest
}

// openDueOccurrences opens the occurrences of a job that have become due.
func (s *Scheduler) openDueOccurrences(j *job) {
	s.releaseHeldOccurrences(j)
	for s.canOpenNext(j) && s.isDue(j, j.nextOccurrence) {
		s.openNextOccurrence(j)
	}
}

// openBegunOccurrences opens the occurrences of a job that a former leader may have begun,
// because its clock may have been ahead of the one here.
func (s *Scheduler) openBegunOccurrences(j *job) {
	for s.canOpenNext(j) && !j.saved.Due(j.nextOccurrence).After(s.wall.Add(maxClockDifference)) {
		s.openNextOccurrence(j)
	}
}

// openOccurrence opens the occurrence of a run that a worker reports, however far ahead the
// clock was of the leader that has started it. Earlier ones were due before it.
func (s *Scheduler) openOccurrence(k StepKey) {
	j, ok := s.jobs[k.Job]
	if !ok {
		return
	}
	for s.canOpenNext(j) && j.nextOccurrence <= k.Occurrence {
		s.openNextOccurrence(j)
	}
}

// isDue reports whether the tasks of an occurrence may start now. A job that is not scheduled
// is due once it is accepted, whatever the clock of the leader showed that accepted it.
func (s *Scheduler) isDue(j *job, occurrence int32) bool {
	return !j.saved.Scheduled() || !j.saved.Due(occurrence).After(s.wall)
}

func (s *Scheduler) canOpenNext(j *job) bool {
	return j.nextOccurrence < j.saved.Occurrences() && len(j.occurrences) < maxOpenOccurrences
}

// openNextOccurrence opens the next occurrence of a job unless it is done. It is held if it
// is not due.
func (s *Scheduler) openNextOccurrence(j *job) {
	if !j.saved.OccurrenceDone(j.nextOccurrence) {
		o := s.newOccurrence(j, j.nextOccurrence)
		j.occurrences = append(j.occurrences, o)
		j.pool.dirty = true
		if o.held {
			j.heldOccurrences++
		}
	}
	j.nextOccurrence++
}

// releaseHeldOccurrences lets the tasks of held occurrences start that have become due.
func (s *Scheduler) releaseHeldOccurrences(j *job) {
	if j.heldOccurrences == 0 {
		return
	}
	j.heldOccurrences = 0
	for _, o := range j.occurrences {
		if !o.held {
			continue
		}
		if !s.isDue(j, o.number) {
			j.heldOccurrences++
			continue
		}
		o.held = false
		o.markReadySteps()
		j.pool.dirty = true
	}
}

func (s *Scheduler) newOccurrence(j *job, number int32) *occurrence {
	terms := s.state.TermsOf(j.saved)
	dueAt := j.saved.Due(number)
	if !j.saved.Scheduled() && dueAt.After(s.wall) {
		dueAt = s.wall
	}
	o := &occurrence{
		job:    j,
		number: number,
		dueAt:  dueAt,
		held:   !s.isDue(j, number),
	}
	o.targetEnd = dueAt.Add(targetTime(terms, j.criticalPath))
	for i, spec := range j.saved.Spec.GetSteps() {
		o.steps = append(o.steps, s.newStep(o, int32(i), spec))
	}
	o.markReadySteps()
	return o
}

// maxTargetTime bounds both parts of a target time, of which several are added up.
const maxTargetTime = 30 * 365 * 24 * time.Hour

// targetTime returns how long a job with the given critical path may take to be in time.
func targetTime(terms *jobwire.JobTerms, criticalPath time.Duration) time.Duration {
	stretched := min(max(terms.GetStretch()*float64(criticalPath), -float64(maxTargetTime)), float64(maxTargetTime))
	return time.Duration(stretched) + min(max(time.Duration(terms.GetTargetNanos()), -maxTargetTime), maxTargetTime)
}

func (s *Scheduler) newStep(o *occurrence, number int32, spec *jobwire.Step) *step {
	st := &step{
		occurrence:    o,
		number:        number,
		spec:          spec,
		request:       controller.AmountOf(spec.GetEach()),
		runTime:       s.runTime(o.job.saved.Spec.GetQueue(), spec),
		hostShare:     dominantShare(controller.AmountOf(spec.GetEach()), s.hostCapacity(o.job.pool.name)),
		runs:          make(map[int32]*run),
		lastRunNumber: make(map[int32]uint64),
		lastFailedOn:  make(map[int32]string),
		runsPerWorker: make(map[string]int),
	}
	for i := range spec.GetTasks() {
		// A former leader may have started the task before the occurrence was opened here.
		if !o.job.saved.Task(st.key(i).task()).Done && !s.mayHaveRun(st.key(i)) {
			st.pending = append(st.pending, i)
		}
	}
	return st
}

// mayHaveRun reports whether a task has a live run, or an end that is being written to the
// log and may say that it is done.
func (s *Scheduler) mayHaveRun(key taskKey) bool {
	return s.liveRuns[key] > 0 || s.unrecordedEnds[key] > 0
}

// markReadySteps marks the steps whose dependencies are all done, unless the occurrence is
// held.
func (o *occurrence) markReadySteps() {
	if o.held {
		return
	}
	for _, st := range o.steps {
		if st.ready {
			continue
		}
		st.ready = true
		for _, dependency := range st.spec.GetAfter() {
			st.ready = st.ready && o.job.saved.StepDone(o.number, dependency)
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

// requeue adds a task to the pending ones unless it is done.
func (st *step) requeue(index int32) {
	j := st.occurrence.job
	if j.saved.Task(st.key(index).task()).Done {
		return
	}
	if at, found := slices.BinarySearch(st.pending, index); !found {
		st.pending = slices.Insert(st.pending, at, index)
		j.pool.dirty = true
	}
}

func (st *step) dequeue(index int32) {
	if at, found := slices.BinarySearch(st.pending, index); found {
		st.pending = slices.Delete(st.pending, at, at+1)
	}
}

// nextRunNumber allocates the number of the next run of a task.
func (s *Scheduler) nextRunNumber(st *step, index int32) uint64 {
	recordedRun := st.occurrence.job.saved.Task(st.key(index).task()).Run
	number := max(recordedRun, st.lastRunNumber[index], (s.term-1)*runNumbersPerTerm) + 1
	st.lastRunNumber[index] = number
	return number
}

// findStep returns the step with the given key; nil when it is not open.
func (s *Scheduler) findStep(k StepKey) *step {
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

// findTaskStep returns the step of a task; nil when the step is not open or has
// no such task. Keys that workers report may name tasks that do not exist.
func (s *Scheduler) findTaskStep(k taskKey) *step {
	st := s.findStep(k.StepKey)
	if st == nil || k.index < 0 || k.index >= st.spec.GetTasks() {
		return nil
	}
	return st
}

// JobEnded implements jobkeeper.Observer. It stops all runs of the job.
func (s *Scheduler) JobEnded(record *jobkeeper.Job) {
	j, ok := s.jobs[record.Spec.GetId()]
	if !ok {
		return
	}
	s.logJobEnd(j)
	if j.acceptedBeforeTerm && len(s.unreconciled) > 0 {
		s.noteStoppedJob(record)
	}
	delete(s.jobs, j.id)
	j.leavePool()
	j.pool.dirty = true
	s.stopRunsOf(j)
	maps.DeleteFunc(s.unknownFates, func(key taskKey, _ time.Time) bool { return key.Job == j.id })
	for key := range s.pendingPlacements {
		if key.Job == j.id {
			s.dropPlacement(key)
		}
	}
}

// stopRunsOf stops all runs of a job. Most jobs end with their last run and have none.
func (s *Scheduler) stopRunsOf(j *job) {
	if s.liveRunsByJob[j.id] == 0 {
		return
	}
	for _, w := range s.workers {
		for key, r := range w.runs {
			if key.Job == j.id {
				s.stop(r)
			}
		}
	}
}

// logJobEnd logs how a job has ended, and by how much its last occurrence met or
// missed its target.
func (s *Scheduler) logJobEnd(j *job) {
	slack := time.Duration(0)
	if n := len(j.occurrences); n > 0 {
		slack = j.occurrences[n-1].targetEnd.Sub(s.wall)
	}
	s.logger.Info("scheduler: job ended", "job", j.id, "queue", j.saved.Spec.GetQueue(), "pool", j.pool.name,
		"account", j.saved.Spec.GetAccount(), "state", j.saved.EndState.String(),
		"took", s.wall.Sub(time.Unix(0, j.saved.Spec.GetAcceptedAtUnixNanos())), "spare", slack)
}

// RunEnded implements jobkeeper.Observer. It makes dependent steps ready, or
// requeues the task when it needs another run.
func (s *Scheduler) RunEnded(record *jobkeeper.Job, end *jobwire.End) {
	j, ok := s.jobs[record.Spec.GetId()]
	if !ok || !record.Open() {
		return
	}
	t := end.GetTask()
	st := s.findTaskStep(keyOf(t))
	if st == nil {
		return
	}
	j.pool.dirty = true
	if record.OccurrenceDone(t.GetOccurrence()) {
		j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool { return o.number == t.GetOccurrence() })
		s.openDueOccurrences(j)
		return
	}
	if record.StepDone(t.GetOccurrence(), t.GetStep()) {
		st.pending = nil
		st.occurrence.markReadySteps()
		return
	}
	s.requeueIfNotRunning(keyOf(t))
}

// requeueIfNotRunning requeues a task once it has no live run and none of its
// ends is being written to the log.
func (s *Scheduler) requeueIfNotRunning(key taskKey) {
	if s.mayHaveRun(key) {
		return
	}
	if st := s.findTaskStep(key); st != nil {
		st.requeue(key.index)
	}
}

// WaitingJobs returns the number of open jobs of a queue of which no task has
// started.
func (s *Scheduler) WaitingJobs(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if !j.started && j.saved.Spec.GetQueue() == queue {
			n++
		}
	}
	return n
}

// Started reports whether a task of the open job has been ordered to start.
func (s *Scheduler) Started(id string) bool {
	j, ok := s.jobs[id]
	return ok && j.started
}
