package jobkeeper

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/isolator"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// Job is an accepted job and its progress.
type Job struct {
	// Spec is the job as submitted. Invariant: while the job is open, only its data
	// centres change; once it has ended, only the ID, queue, account and time of
	// acceptance are kept.
	Spec *jobwire.Job
	// EndState is the final state; unspecified while the job is open.
	EndState jobwire.JobState
	// EndedAt is when the job ended, by the clock of the leader at that time.
	EndedAt time.Time
	// GivenUp is true when the job has failed because workers crash when they run one of
	// its tasks.
	GivenUp bool

	// occurrences holds the progress of started occurrences by number. Invariant:
	// contains every open occurrence with a recorded start or end of a run.
	occurrences map[int32]*occurrenceProgress
	// done holds the numbers of completed occurrences. Invariant: contains only
	// those after firstOpen; all before firstOpen are completed.
	done map[int32]bool
	// firstOpen is the first occurrence that is not completed.
	firstOpen int32
	// hasCrashRecords is true once a task has had Crashes.
	hasCrashRecords bool
}

// occurrenceProgress is the progress of one occurrence, by step.
type occurrenceProgress struct {
	steps []stepProgress
}

// stepProgress is the progress of one step of an occurrence.
type stepProgress struct {
	// Invariant: equals the number of entries of tasks with Done set.
	done int
	// tasks holds the progress by task index; nil until a start or an end is recorded.
	tasks []TaskProgress
}

// TaskProgress is the recorded progress of one task. The zero value stands for a
// task of whose runs nothing is recorded.
type TaskProgress struct {
	// Done is true once the task has succeeded.
	Done bool
	// Failures counts the failed runs.
	Failures int32
	// FailedRuns holds the numbers of the failed runs of a task that may have copies, whose
	// ends can be recorded in any order.
	FailedRuns []uint64
	// Run is the highest number of a run whose end is recorded.
	Run uint64
	// Checkpoint identifies the latest checkpoint; empty without one.
	Checkpoint string
	// Crashes holds the crashes of workers that ran the task, and the placement of a run
	// whose worker may have crashed; nil when there is neither.
	Crashes *isolator.Record
	// Start is the newest recorded start; nil once the end of its run or of a later one is
	// recorded.
	Start *RecordedStart
}

func newJob(spec *jobwire.Job) *Job {
	return &Job{
		Spec:        spec,
		occurrences: make(map[int32]*occurrenceProgress),
		done:        make(map[int32]bool),
	}
}

// Open reports whether the job has neither completed, failed nor been cancelled.
func (j *Job) Open() bool { return j.EndState == jobwire.JobState_JOB_STATE_UNSPECIFIED }

// Occurrences returns the number of times that the job's steps run, at least 1.
func (j *Job) Occurrences() int32 { return max(1, j.Spec.GetRepeatCount()) }

// FirstOpen returns the number of the first occurrence that is not completed.
func (j *Job) FirstOpen() int32 { return j.firstOpen }

// Scheduled reports whether the job's occurrences have start times. A job without them may
// start as soon as it is accepted.
func (j *Job) Scheduled() bool { return j.Spec.GetRepeatCount() > 0 }

// Due returns the earliest start time of an occurrence. For a job that is not scheduled it is
// the time of acceptance by the clock of the leader that accepted it; the clock of a later
// leader may be behind it.
func (j *Job) Due(occurrence int32) time.Time {
	if !j.Scheduled() {
		return time.Unix(0, j.Spec.GetAcceptedAtUnixNanos())
	}
	return time.Unix(0, j.Spec.GetStartAtUnixNanos()+int64(occurrence)*j.Spec.GetIntervalNanos())
}

// OccurrenceDone reports whether all tasks of an occurrence are done.
func (j *Job) OccurrenceDone(occurrence int32) bool {
	return occurrence < j.firstOpen || j.done[occurrence]
}

// StepDone reports whether all tasks of a step of an occurrence are done.
func (j *Job) StepDone(occurrence, step int32) bool {
	if j.OccurrenceDone(occurrence) {
		return true
	}
	o, ok := j.occurrences[occurrence]
	return ok && o.steps[step].done == int(j.Spec.GetSteps()[step].GetTasks())
}

// Task returns the progress of a task. The tasks of completed occurrences are no
// longer recorded one by one: for them only Done is set.
func (j *Job) Task(t *jobwire.Task) TaskProgress {
	if j.OccurrenceDone(t.GetOccurrence()) {
		return TaskProgress{
			Done: true,
		}
	}
	o, ok := j.occurrences[t.GetOccurrence()]
	if !ok || o.steps[t.GetStep()].tasks == nil {
		return TaskProgress{}
	}
	return o.steps[t.GetStep()].tasks[t.GetIndex()]
}

// Progress returns the number of tasks of all occurrences and the number of
// those that are done.
func (j *Job) Progress() (tasks, done int64) {
	perOccurrence := int64(0)
	for _, s := range j.Spec.GetSteps() {
		perOccurrence += int64(s.GetTasks())
	}
	done = perOccurrence * int64(j.firstOpen+int32(len(j.done)))
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			done += int64(s.done)
		}
	}
	return perOccurrence * int64(j.Occurrences()), done
}

// HasRecordedRuns reports whether the start or the end of any run is recorded.
func (j *Job) HasRecordedRuns() bool {
	return j.firstOpen > 0 || len(j.occurrences) > 0 || len(j.done) > 0
}

// hasTask reports whether the occurrence, step and index of a task are within
// those of the job.
func (j *Job) hasTask(t *jobwire.Task) bool {
	steps := j.Spec.GetSteps()
	return t.GetOccurrence() >= 0 && t.GetOccurrence() < j.Occurrences() &&
		t.GetStep() >= 0 && int(t.GetStep()) < len(steps) &&
		t.GetIndex() >= 0 && t.GetIndex() < steps[t.GetStep()].GetTasks()
}

// recordEnd records the end of one run of a task. It is idempotent, and ignores
// the ends of runs that are not newer than the last recorded one, unless they
// succeeded.
func (j *Job) recordEnd(end *jobwire.End, maxAttempts int32) {
	t := end.GetTask()
	if !j.Open() || j.OccurrenceDone(t.GetOccurrence()) {
		return
	}
	s := j.stepProgressOf(t)
	p := &s.tasks[t.GetIndex()]
	spec := j.Spec.GetSteps()[t.GetStep()]
	if p.Done || p.recorded(end, spec) && end.GetEnding() != jobwire.Ending_ENDING_DONE {
		return
	}
	if c := end.GetCheckpoint(); c != "" && end.GetRun() >= p.Run {
		p.Checkpoint = c
	}
	p.Run = max(p.Run, end.GetRun())
	p.clearEndedStart()
	if spec.GetLasting() {
		return
	}
	switch end.GetEnding() {
	case jobwire.Ending_ENDING_DONE:
		j.markDone(t, s, spec)
	case jobwire.Ending_ENDING_FAILED:
		p.Failures++
		if spec.GetSpeculative() {
			p.FailedRuns = append(p.FailedRuns, end.GetRun())
		}
		if p.Failures >= max(1, maxAttempts) {
			j.EndState = jobwire.JobState_JOB_STATE_FAILED
		}
	}
}

// isNew reports whether nothing is recorded of the task.
func (p *TaskProgress) isNew() bool {
	return !p.Done && p.Failures == 0 && p.Run == 0 && p.Checkpoint == "" && p.Crashes == nil && p.Start == nil
}

// recorded reports whether the end of a run was recorded before, or that of a later run. A
// failure of a task that may have copies counts also after the end of its later copy.
func (p *TaskProgress) recorded(end *jobwire.End, spec *jobwire.Step) bool {
	if spec.GetSpeculative() && end.GetEnding() == jobwire.Ending_ENDING_FAILED {
		return slices.Contains(p.FailedRuns, end.GetRun())
	}
	return end.GetRun() <= p.Run
}

// stepProgressOf returns the progress of the step of a task, and creates it on
// first use.
func (j *Job) stepProgressOf(t *jobwire.Task) *stepProgress {
	o, ok := j.occurrences[t.GetOccurrence()]
	if !ok {
		o = &occurrenceProgress{
			steps: make([]stepProgress, len(j.Spec.GetSteps())),
		}
		j.occurrences[t.GetOccurrence()] = o
	}
	s := &o.steps[t.GetStep()]
	if s.tasks == nil {
		s.tasks = make([]TaskProgress, j.Spec.GetSteps()[t.GetStep()].GetTasks())
	}
	return s
}

// markDone marks a task as done, or all tasks of the step when it is a gang. With
// the last task it completes the occurrence, and with the last occurrence the
// job.
func (j *Job) markDone(t *jobwire.Task, s *stepProgress, spec *jobwire.Step) {
	if spec.GetGang() {
		for i := range s.tasks {
			s.tasks[i].Done = true
			s.tasks[i].clearEndedStart()
		}
		s.done = len(s.tasks)
	} else {
		s.tasks[t.GetIndex()].Done = true
		s.tasks[t.GetIndex()].clearEndedStart()
		s.done++
	}
	o := j.occurrences[t.GetOccurrence()]
	for i, stepSpec := range j.Spec.GetSteps() {
		if o.steps[i].done < int(stepSpec.GetTasks()) {
			return
		}
	}
	delete(j.occurrences, t.GetOccurrence())
	j.done[t.GetOccurrence()] = true
	for j.done[j.firstOpen] {
		delete(j.done, j.firstOpen)
		j.firstOpen++
	}
	if j.firstOpen == j.Occurrences() {
		j.EndState = jobwire.JobState_JOB_STATE_COMPLETED
	}
}
