package jobkeeper

import (
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// Job is an accepted job and its progress.
type Job struct {
	// Invariant: never changes while the job is open; of an ended one id, queue,
	// account and time of acceptance are kept.
	Spec *jobwire.Job
	// Ended is unspecified while the job is open.
	Ended jobwire.JobState
	// EndedAt is when the job ended, by the clock of the leader of that time.
	EndedAt time.Time

	// Invariant: holds the open occurrences of which an end is recorded.
	occurrences map[int32]*occurrence
	// Invariant: holds the done occurrences from firstOpen on.
	done map[int32]bool
	// Invariant: all occurrences before it are done.
	firstOpen int32
}

type occurrence struct {
	steps []step
}

type step struct {
	// Invariant: number of the tasks that are done.
	done  int
	tasks []Progress
}

// Progress is what is recorded of one task. The zero value is a task of which
// no run has ended.
type Progress struct {
	Done bool
	// Failures counts the failed runs.
	Failures int32
	// Run is the newest run whose end is recorded.
	Run uint64
	// Checkpoint is the newest one; empty when there is none.
	Checkpoint string
}

func newJob(spec *jobwire.Job) *Job {
	return &Job{
		Spec:        spec,
		occurrences: make(map[int32]*occurrence),
		done:        make(map[int32]bool),
	}
}

// Open reports whether the job has not ended.
func (j *Job) Open() bool { return j.Ended == jobwire.JobState_JOB_STATE_UNSPECIFIED }

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int32 { return max(1, j.Spec.GetRepeatCount()) }

// FirstOpen returns the first occurrence that is not done.
func (j *Job) FirstOpen() int32 { return j.firstOpen }

// Due returns when an occurrence may start.
func (j *Job) Due(k int32) time.Time {
	if j.Spec.GetRepeatCount() == 0 {
		return time.Unix(0, j.Spec.GetAcceptedAtUnixNanos())
	}
	return time.Unix(0, j.Spec.GetStartAtUnixNanos()+int64(k)*j.Spec.GetIntervalNanos())
}

// OccurrenceDone reports whether all tasks of an occurrence are done.
func (j *Job) OccurrenceDone(k int32) bool { return k < j.firstOpen || j.done[k] }

// StepDone reports whether all tasks of a step of an occurrence are done.
func (j *Job) StepDone(k, s int32) bool {
	if j.OccurrenceDone(k) {
		return true
	}
	o, ok := j.occurrences[k]
	return ok && o.steps[s].done == int(j.Spec.GetSteps()[s].GetTasks())
}

// Task returns the progress of a task.
func (j *Job) Task(t *jobwire.Task) Progress {
	if j.OccurrenceDone(t.GetOccurrence()) {
		return Progress{
			Done: true,
		}
	}
	o, ok := j.occurrences[t.GetOccurrence()]
	if !ok || o.steps[t.GetStep()].tasks == nil {
		return Progress{}
	}
	return o.steps[t.GetStep()].tasks[t.GetIndex()]
}

// Progress returns the number of tasks of all occurrences, and of those that
// are done.
func (j *Job) Progress() (tasks, done int64) {
	each := int64(0)
	for _, s := range j.Spec.GetSteps() {
		each += int64(s.GetTasks())
	}
	done = each * int64(j.firstOpen+int32(len(j.done)))
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			done += int64(s.done)
		}
	}
	return each * int64(j.Occurrences()), done
}

// Started reports whether the end of any task is recorded.
func (j *Job) Started() bool { return j.firstOpen > 0 || len(j.occurrences) > 0 || len(j.done) > 0 }

// has reports whether the job has the task.
func (j *Job) has(t *jobwire.Task) bool {
	steps := j.Spec.GetSteps()
	return t.GetOccurrence() >= 0 && t.GetOccurrence() < j.Occurrences() &&
		t.GetStep() >= 0 && int(t.GetStep()) < len(steps) &&
		t.GetIndex() >= 0 && t.GetIndex() < steps[t.GetStep()].GetTasks()
}

// record notes the end of one run of a task of the job; what is known already
// changes nothing.
func (j *Job) record(end *jobwire.End, attempts int32) {
	t := end.GetTask()
	if !j.Open() || j.OccurrenceDone(t.GetOccurrence()) {
		return
	}
	s := j.step(t)
	p := &s.tasks[t.GetIndex()]
	if p.Done || (end.GetRun() <= p.Run && end.GetEnding() != jobwire.Ending_ENDING_DONE) {
		return
	}
	p.Run = max(p.Run, end.GetRun())
	if c := end.GetCheckpoint(); c != "" {
		p.Checkpoint = c
	}
	spec := j.Spec.GetSteps()[t.GetStep()]
	if spec.GetLasting() {
		return
	}
	switch end.GetEnding() {
	case jobwire.Ending_ENDING_DONE:
		j.finish(t, s, spec)
	case jobwire.Ending_ENDING_FAILED:
		p.Failures++
		if p.Failures >= max(1, attempts) {
			j.Ended = jobwire.JobState_JOB_STATE_FAILED
		}
	}
}

// step returns the progress of the step of a task.
func (j *Job) step(t *jobwire.Task) *step {
	o, ok := j.occurrences[t.GetOccurrence()]
	if !ok {
		o = &occurrence{
			steps: make([]step, len(j.Spec.GetSteps())),
		}
		j.occurrences[t.GetOccurrence()] = o
	}
	s := &o.steps[t.GetStep()]
	if s.tasks == nil {
		s.tasks = make([]Progress, j.Spec.GetSteps()[t.GetStep()].GetTasks())
	}
	return s
}

// finish marks a task as done, with all members of its gang, and the
// occurrence and the job with the last one.
func (j *Job) finish(t *jobwire.Task, s *step, spec *jobwire.Step) {
	if spec.GetGang() {
		for i := range s.tasks {
			s.tasks[i].Done = true
		}
		s.done = len(s.tasks)
	} else {
		s.tasks[t.GetIndex()].Done = true
		s.done++
	}
	o := j.occurrences[t.GetOccurrence()]
	for i, each := range j.Spec.GetSteps() {
		if o.steps[i].done < int(each.GetTasks()) {
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
		j.Ended = jobwire.JobState_JOB_STATE_COMPLETED
	}
}
