package jobkeeper

import (
	"iter"
	"time"

	"github.com/heathermux/heathermux/internal/isolator"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// HasCrashRecords reports whether a task of the job has had a record of crashes. It is
// false for nearly all jobs.
func (j *Job) HasCrashRecords() bool { return j.hasCrashRecords }

// recordCrashes records crashes of workers during runs of tasks. A job with a task that
// is given up has failed, unless long-running tasks of it are left: they serve users, and
// stopping them would take away more than the job may miss.
func (m *StateMachine) recordCrashes(now time.Time, crashes []*jobwire.TaskCrash) any {
	for _, c := range crashes {
		j, p := m.state.openTask(c.GetTask())
		if p == nil {
			continue
		}
		j.hasCrashRecords = true
		p.Run = max(p.Run, c.GetRun())
		p.clearEndedStart()
		p.Crashes = p.Crashes.WithCrash(isolator.Crash{
			Run:           c.GetRun(),
			Circumstances: CircumstancesOf(c),
		})
		if p.Crashes.Treatment() == isolator.GivenUp && !j.servesOn() {
			j.EndState, j.GivenUp = jobwire.JobState_JOB_STATE_FAILED, true
			m.endJob(now, j)
		}
	}
	return nil
}

// servesOn reports whether a long-running task of the job is left that is not given up.
func (j *Job) servesOn() bool {
	for i, spec := range j.Spec.GetSteps() {
		if !spec.GetLasting() {
			continue
		}
		if len(j.occurrences) < int(j.Occurrences()) {
			// No task of the other occurrences has had a crash.
			return true
		}
		for _, o := range j.occurrences {
			if !o.steps[i].givenUp(spec) {
				return true
			}
		}
	}
	return false
}

// givenUp reports whether no task of the step is started any more. The members of a gang
// run together or not at all.
func (s *stepProgress) givenUp(spec *jobwire.Step) bool {
	n := 0
	for _, p := range s.tasks {
		if p.Crashes.Treatment() == isolator.GivenUp {
			n++
		}
	}
	return n == int(spec.GetTasks()) || n > 0 && spec.GetGang()
}

// recordPlacements records on which workers runs are or are about to be. An earlier
// placement may be written later, because log writes are repeated.
func (m *StateMachine) recordPlacements(placements []*jobwire.Placement) any {
	for _, placement := range placements {
		if j, p := m.state.openTask(placement.GetTask()); p != nil && placement.GetRun() >= p.Crashes.Placement().Run {
			j.hasCrashRecords = true
			p.Crashes = p.Crashes.WithPlacement(decodePlacement(placement))
		}
	}
	return nil
}

// clearPlacements clears the placements on a worker that ends by plan: the next leader
// must not take its end for a crash.
func (s *State) clearPlacements(worker string, born int64) {
	for _, j := range s.Jobs {
		if !j.hasCrashRecords || !j.Open() {
			continue
		}
		for p := range j.progressedTasks() {
			if placement := p.Crashes.Placement(); placement.Run > 0 && placement.Worker == worker && placement.Born == born {
				p.Crashes = p.Crashes.WithoutPlacement()
			}
		}
	}
}

// progressedTasks returns the progress of the tasks of all steps that have any.
func (j *Job) progressedTasks() iter.Seq[*TaskProgress] {
	return func(yield func(*TaskProgress) bool) {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for i := range s.tasks {
					if !yield(&s.tasks[i]) {
						return
					}
				}
			}
		}
	}
}

// recordSurvivals clears the crashes of tasks before runs that have gone on without
// another one.
func (m *StateMachine) recordSurvivals(runs []*jobwire.SurvivedRun) any {
	for _, r := range runs {
		if _, p := m.state.openTask(r.GetTask()); p != nil {
			p.Crashes = p.Crashes.WithoutCrashesBefore(r.GetRun())
		}
	}
	return nil
}

// openTask returns the job of a task and the progress of the task, for an open job whose
// task is not done; otherwise nil.
func (s *State) openTask(t *jobwire.Task) (*Job, *TaskProgress) {
	j, ok := s.Jobs[t.GetJob()]
	if !ok || !j.Open() || !j.hasTask(t) || j.OccurrenceDone(t.GetOccurrence()) {
		return nil, nil
	}
	p := &j.stepProgressOf(t).tasks[t.GetIndex()]
	if p.Done {
		return nil, nil
	}
	return j, p
}

func (o *occurrenceProgress) hasCrashRecords() bool {
	for _, s := range o.steps {
		for _, p := range s.tasks {
			if p.Crashes != nil {
				return true
			}
		}
	}
	return false
}

// wireCircumstances are the messages that tell how likely a run has crashed its worker.
type wireCircumstances interface {
	GetAlone() bool
	GetPrompt() bool
	GetBystander() bool
	GetSuspects() int32
	GetBegun() bool
	GetOthers() int32
	GetLivedMs() int64
}

// CircumstancesOf returns the circumstances that a message tells.
func CircumstancesOf(m wireCircumstances) isolator.Circumstances {
	return isolator.Circumstances{
		Alone:     m.GetAlone(),
		Prompt:    m.GetPrompt(),
		Bystander: m.GetBystander(),
		Suspects:  m.GetSuspects(),
		Begun:     m.GetBegun(),
		Others:    m.GetOthers(),
		Lived:     time.Duration(m.GetLivedMs()) * time.Millisecond,
	}
}

func decodePlacement(p *jobwire.Placement) isolator.Placement {
	return isolator.Placement{
		Run:           p.GetRun(),
		Worker:        p.GetWorker(),
		Born:          p.GetBorn(),
		Circumstances: CircumstancesOf(p),
	}
}

// encodeCrashes adds the crashes of a task to its record in a snapshot.
func encodeCrashes(record *jobwire.TaskRecord, r *isolator.Record) {
	for _, c := range r.Crashes() {
		record.Crashes = append(record.Crashes, &jobwire.CrashRecord{
			Run:       c.Run,
			Alone:     c.Alone,
			Prompt:    c.Prompt,
			Bystander: c.Bystander,
			Suspects:  c.Suspects,
			Begun:     c.Begun,
			Others:    c.Others,
			LivedMs:   c.Lived.Milliseconds(),
		})
	}
	if p := r.Placement(); p.Run > 0 {
		record.Placement = &jobwire.Placement{
			Run:       p.Run,
			Worker:    p.Worker,
			Born:      p.Born,
			Alone:     p.Alone,
			Prompt:    p.Prompt,
			Bystander: p.Bystander,
			Suspects:  p.Suspects,
			Begun:     p.Begun,
			Others:    p.Others,
			LivedMs:   p.Lived.Milliseconds(),
		}
	}
}

func decodeCrashes(record *jobwire.TaskRecord) *isolator.Record {
	if len(record.GetCrashes()) == 0 && record.GetPlacement() == nil {
		return nil
	}
	crashes := make([]isolator.Crash, 0, len(record.GetCrashes()))
	for _, c := range record.GetCrashes() {
		crashes = append(crashes, isolator.Crash{
			Run:           c.GetRun(),
			Circumstances: CircumstancesOf(c),
		})
	}
	return isolator.NewRecord(crashes, decodePlacement(record.GetPlacement()))
}
