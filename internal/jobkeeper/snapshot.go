package jobkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// Encode returns a snapshot of the state, as voter.Machine requires. Jobs,
// workers and waves are written in an order that is the same on all replicas.
// Arrivals are left out.
func (k *StateMachine) Encode() ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.state
	m := &jobwire.FleetState{
		Configuration: s.Configuration,
		Evacuated:     slices.Sorted(maps.Keys(s.Evacuated)),
	}
	for _, id := range s.endedIDs {
		m.Jobs = append(m.Jobs, s.Jobs[id].encode())
	}
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		if s.Jobs[id].Open() {
			m.Jobs = append(m.Jobs, s.Jobs[id].encode())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Workers)) {
		m.Workers = append(m.Workers, s.Workers[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.Waves)) {
		m.Waves = append(m.Waves, s.Waves[id])
	}
	if !s.QueuesMovedAt.IsZero() {
		m.QueuesMovedUnixNanos = s.QueuesMovedAt.UnixNano()
	}
	data, err := proto.Marshal(m)
	return data, errors.Wrap(err, "jobkeeper: encode snapshot")
}

// Restore replaces the state by a snapshot, as voter.Machine requires.
func (k *StateMachine) Restore(data []byte) error {
	m := &jobwire.FleetState{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errors.Wrap(err, "jobkeeper: decode snapshot")
	}
	s := newState()
	s.Configuration = m.GetConfiguration()
	s.setQueues(s.Configuration)
	if moved := m.GetQueuesMovedUnixNanos(); moved != 0 {
		s.QueuesMovedAt = time.Unix(0, moved)
	}
	for _, dataCentre := range m.GetEvacuated() {
		s.Evacuated[dataCentre] = true
	}
	for _, r := range m.GetJobs() {
		j := decodeJob(r)
		s.Jobs[j.Spec.GetId()] = j
		if !j.Open() {
			s.endedIDs = append(s.endedIDs, j.Spec.GetId())
		}
	}
	for _, w := range m.GetWorkers() {
		s.setWorker(w)
	}
	for _, w := range m.GetWaves() {
		s.Waves[w.GetId()] = w
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	return nil
}

func (j *Job) encode() *jobwire.JobRecord {
	r := &jobwire.JobRecord{
		Job:              j.Spec,
		Ended:            j.EndState,
		EndedAtUnixNanos: j.EndedAt.UnixNano(),
		FirstOpen:        j.firstOpen,
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
			if p == (TaskProgress{}) {
				continue
			}
			record.Tasks = append(record.Tasks, &jobwire.TaskRecord{
				Index:      int32(i),
				Done:       p.Done,
				Failures:   p.Failures,
				Run:        p.Run,
				Checkpoint: p.Checkpoint,
			})
		}
		r.Steps = append(r.Steps, record)
	}
	return r
}

func decodeJob(r *jobwire.JobRecord) *Job {
	j := newJob(r.GetJob())
	j.EndState, j.firstOpen = r.GetEnded(), r.GetFirstOpen()
	if !j.Open() {
		j.EndedAt = time.Unix(0, r.GetEndedAtUnixNanos())
		j.occurrences, j.done = nil, nil
		return j
	}
	for _, o := range r.GetOccurrences() {
		if len(o.GetSteps()) == 0 {
			j.done[o.GetNumber()] = true
			continue
		}
		j.occurrences[o.GetNumber()] = decodeOccurrence(j.Spec, o)
	}
	return j
}

func decodeOccurrence(spec *jobwire.Job, r *jobwire.OccurrenceRecord) *occurrenceProgress {
	o := &occurrenceProgress{
		steps: make([]stepProgress, len(spec.GetSteps())),
	}
	for i, record := range r.GetSteps() {
		if len(record.GetTasks()) == 0 {
			continue
		}
		s := &o.steps[i]
		s.tasks = make([]TaskProgress, spec.GetSteps()[i].GetTasks())
		for _, t := range record.GetTasks() {
			s.tasks[t.GetIndex()] = TaskProgress{
				Done:       t.GetDone(),
				Failures:   t.GetFailures(),
				Run:        t.GetRun(),
				Checkpoint: t.GetCheckpoint(),
			}
			if t.GetDone() {
				s.done++
			}
		}
	}
	return o
}
