package jobkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// Encode returns a snapshot of the state, as voter.StateMachine requires.
// Jobs, workers and waves are written in an order that is the same on all
// replicas. Arrivals are left out.
func (m *StateMachine) Encode() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.state
	snapshot := &jobwire.FleetState{
		Configuration: s.Configuration,
		Evacuated:     slices.Sorted(maps.Keys(s.Evacuated)),

		EvacuationRevisions: s.encodeEvacuationRevisions(),
		FormerQueues:        s.encodeFormerQueues(),
	}
	for _, id := range s.endedIDs {
		snapshot.Jobs = append(snapshot.Jobs, s.Jobs[id].encode())
	}
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		if s.Jobs[id].Open() {
			snapshot.Jobs = append(snapshot.Jobs, s.Jobs[id].encode())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Workers)) {
		snapshot.Workers = append(snapshot.Workers, s.Workers[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.Waves)) {
		snapshot.Waves = append(snapshot.Waves, s.Waves[id])
	}
	if !s.QueuesMovedAt.IsZero() {
		snapshot.QueuesMovedUnixNanos = s.QueuesMovedAt.UnixNano()
	}
	data, err := proto.Marshal(snapshot)
	return data, errors.Wrap(err, "jobkeeper: encode snapshot")
}

// Restore replaces the state by a snapshot, as voter.StateMachine requires.
func (m *StateMachine) Restore(data []byte) error {
	snapshot := &jobwire.FleetState{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return errors.Wrap(err, "jobkeeper: decode snapshot")
	}
	s := newState(m.clock.Now())
	s.Configuration = snapshot.GetConfiguration()
	s.setQueues(s.Configuration)
	if moved := snapshot.GetQueuesMovedUnixNanos(); moved != 0 {
		s.QueuesMovedAt = time.Unix(0, moved)
	}
	for _, dataCentre := range snapshot.GetEvacuated() {
		s.Evacuated[dataCentre] = true
	}
	for _, r := range snapshot.GetEvacuationRevisions() {
		s.EvacuationRevisions[r.GetDataCentre()] = r.GetRevision()
	}
	for _, f := range snapshot.GetFormerQueues() {
		s.formerQueues[f.GetQueue().GetName()] = f
	}
	for _, r := range snapshot.GetJobs() {
		j, err := decodeJob(r)
		if err != nil {
			return errors.Wrap(err, "jobkeeper: decode snapshot")
		}
		s.Jobs[j.Spec.GetId()] = j
		if !j.Open() {
			s.endedIDs = append(s.endedIDs, j.Spec.GetId())
		}
	}
	for _, w := range snapshot.GetWorkers() {
		s.setWorker(w)
	}
	for _, w := range snapshot.GetWaves() {
		s.Waves[w.GetId()] = w
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	return nil
}

func (j *Job) encode() *jobwire.JobRecord {
	r := &jobwire.JobRecord{
		Job:              j.Spec,
		Ended:            j.EndState,
		EndedAtUnixNanos: j.EndedAt.UnixNano(),
		FirstOpen:        j.firstOpen,
		GivenUp:          j.GivenUp,
		Occurrences:      nil,
	}
	for _, n := range slices.Sorted(maps.Keys(j.occurrences)) {
		r.Occurrences = append(r.Occurrences, j.occurrences[n].encode(n))
	}
	// A record without steps stands for an occurrence that completed while an
	// earlier one is still open.
	for _, n := range slices.Sorted(maps.Keys(j.done)) {
		r.Occurrences = append(r.Occurrences, &jobwire.OccurrenceRecord{
			Number: n,
		})
	}
	return r
}

func (o *occurrenceProgress) encode(n int32) *jobwire.OccurrenceRecord {
	r := &jobwire.OccurrenceRecord{
		Number: n,
	}
	for _, s := range o.steps {
		record := &jobwire.StepRecord{}
		for i, p := range s.tasks {
			if p.isNew() {
				continue
			}
			task := &jobwire.TaskRecord{
				Index:      int32(i),
				Done:       p.Done,
				Failures:   p.Failures,
				FailedRuns: p.FailedRuns,
				Run:        p.Run,
				Checkpoint: p.Checkpoint,
				Start:      encodeStart(p.Start),
			}
			encodeCrashes(task, p.Crashes)
			record.Tasks = append(record.Tasks, task)
		}
		r.Steps = append(r.Steps, record)
	}
	return r
}

func decodeJob(r *jobwire.JobRecord) (*Job, error) {
	j := newJob(r.GetJob())
	j.EndState, j.firstOpen, j.GivenUp = r.GetEnded(), r.GetFirstOpen(), r.GetGivenUp()
	if !j.Open() {
		j.EndedAt = time.Unix(0, r.GetEndedAtUnixNanos())
		j.occurrences, j.done = nil, nil
		return j, nil
	}
	for _, o := range r.GetOccurrences() {
		if len(o.GetSteps()) == 0 {
			j.done[o.GetNumber()] = true
			continue
		}
		progress, err := decodeOccurrence(j.Spec, o)
		if err != nil {
			return nil, errors.Wrapf(err, "job %s, occurrence %d", j.Spec.GetId(), o.GetNumber())
		}
		j.occurrences[o.GetNumber()] = progress
		j.hasCrashRecords = j.hasCrashRecords || progress.hasCrashRecords()
	}
	return j, nil
}

func decodeOccurrence(spec *jobwire.Job, r *jobwire.OccurrenceRecord) (*occurrenceProgress, error) {
	if len(r.GetSteps()) > len(spec.GetSteps()) {
		return nil, errors.Errorf("record has %d steps, job has %d", len(r.GetSteps()), len(spec.GetSteps()))
	}
	o := &occurrenceProgress{
		steps: make([]stepProgress, len(spec.GetSteps())),
	}
	for i, record := range r.GetSteps() {
		if err := o.steps[i].decode(spec.GetSteps()[i].GetTasks(), record); err != nil {
			return nil, errors.Wrapf(err, "step %d", i)
		}
	}
	return o, nil
}

// decode sets the progress of a step with the given number of tasks to its record.
func (s *stepProgress) decode(tasks int32, record *jobwire.StepRecord) error {
	if len(record.GetTasks()) == 0 {
		return nil
	}
	if tasks < 0 {
		return errors.Errorf("step has %d tasks", tasks)
	}
	s.tasks = make([]TaskProgress, tasks)
	for _, t := range record.GetTasks() {
		if t.GetIndex() < 0 || t.GetIndex() >= tasks {
			return errors.Errorf("record of task %d, step has %d", t.GetIndex(), tasks)
		}
		s.tasks[t.GetIndex()] = TaskProgress{
			Done:       t.GetDone(),
			Failures:   t.GetFailures(),
			FailedRuns: t.GetFailedRuns(),
			Run:        t.GetRun(),
			Checkpoint: t.GetCheckpoint(),
			Crashes:    decodeCrashes(t),
			Start:      decodeStart(t.GetStart()),
		}
		if t.GetDone() {
			s.done++
		}
	}
	return nil
}
