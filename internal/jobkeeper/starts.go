package jobkeeper

import (
	"iter"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// RecordedStart names the worker of a run whose start may have been ordered. It is
// immutable.
type RecordedStart struct {
	Run    uint64
	Worker string
	Born   int64
	// Begun is true once the worker is known to have begun the run and no copy of the
	// order may still be executed.
	Begun bool
	// At is when this replica applied the entry, by its own clock; zero for a start from
	// a snapshot. Replicas differ in it.
	At time.Time
}

func (r *RecordedStart) withBegun() *RecordedStart {
	begun := *r
	begun.Begun = true
	return &begun
}

// StartRecordedBy returns a time, by the clock of this replica, that is not before the
// entry of the start was written.
func (s *State) StartRecordedBy(r *RecordedStart) time.Time {
	if r.At.IsZero() {
		// A snapshot doesn't tell; HostOrdersSince is when it was restored.
		return s.HostOrdersSince
	}
	return r.At
}

// RecordedStarts returns the tasks of an open job whose newest recorded start is that of a
// run whose end is not recorded.
func (j *Job) RecordedStarts() iter.Seq2[*jobwire.Task, *RecordedStart] {
	return func(yield func(*jobwire.Task, *RecordedStart) bool) {
		for number, o := range j.occurrences {
			for i, s := range o.steps {
				for index, p := range s.tasks {
					if p.Start == nil || p.Done {
						continue
					}
					task := &jobwire.Task{
						Job:        j.Spec.GetId(),
						Occurrence: number,
						Step:       int32(i),
						Index:      int32(index),
					}
					if !yield(task, p.Start) {
						return
					}
				}
			}
		}
	}
}

// recordStarts records starts before they are ordered, and which earlier ones have begun.
// An earlier start may be written later than the next one of its task, because a write may
// take effect after it has failed.
func (m *StateMachine) recordStarts(list *jobwire.RecordedStarts) any {
	now := m.clock.Now()
	for _, start := range list.GetStarts() {
		_, p := m.state.openTask(start.GetTask())
		if p == nil || start.GetRun() <= p.Run || p.Start != nil && start.GetRun() <= p.Start.Run {
			continue
		}
		recorded := decodeStart(start)
		recorded.At = now
		if w, ok := m.state.Workers[recorded.Worker]; ok {
			// All starts on a worker share the memory of its id.
			recorded.Worker = w.GetId()
		}
		p.Start = recorded
	}
	for _, begun := range list.GetBegun() {
		_, p := m.state.openTask(begun.GetTask())
		if p != nil && p.Start != nil && p.Start.Run == begun.GetRun() {
			p.Start = p.Start.withBegun()
		}
	}
	return nil
}

// clearEndedStart clears the recorded start of a run that has ended.
func (p *TaskProgress) clearEndedStart() {
	if p.Start != nil && (p.Done || p.Start.Run <= p.Run) {
		p.Start = nil
	}
}

// encodeStart returns the message of a start in a snapshot; nil without a start.
func encodeStart(r *RecordedStart) *jobwire.RecordedStart {
	if r == nil {
		return nil
	}
	return &jobwire.RecordedStart{
		Run:    r.Run,
		Worker: r.Worker,
		Born:   r.Born,
		Begun:  r.Begun,
	}
}

func decodeStart(start *jobwire.RecordedStart) *RecordedStart {
	if start == nil {
		return nil
	}
	return &RecordedStart{
		Run:    start.GetRun(),
		Worker: start.GetWorker(),
		Born:   start.GetBorn(),
		Begun:  start.GetBegun(),
	}
}
