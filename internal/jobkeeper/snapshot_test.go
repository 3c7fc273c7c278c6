package jobkeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// A snapshot that does not fit its jobs is refused. If restoring it panicked, it would
// end each host that reads it.
func TestBadSnapshotIsRefused(t *testing.T) {
	job := &jobwire.Job{
		Id: "job",
		Steps: []*jobwire.Step{
			{
				Tasks: 1,
			},
		},
	}
	record := func(steps ...*jobwire.StepRecord) *jobwire.FleetState {
		return &jobwire.FleetState{
			Jobs: []*jobwire.JobRecord{
				{
					Job: job,
					Occurrences: []*jobwire.OccurrenceRecord{
						{
							Steps: steps,
						},
					},
				},
			},
		}
	}
	taskRecord := func(index int32) *jobwire.StepRecord {
		return &jobwire.StepRecord{
			Tasks: []*jobwire.TaskRecord{
				{
					Index: index,
				},
			},
		}
	}
	tests := map[string]*jobwire.FleetState{
		"task beyond the step":     record(taskRecord(1)),
		"negative task":            record(taskRecord(-1)),
		"more steps than the job":  record(taskRecord(0), taskRecord(0)),
		"step with negative tasks": record(taskRecord(0)),
	}
	for name, snapshot := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if name == "step with negative tasks" {
				snapshot = proto.CloneOf(snapshot)
				snapshot.Jobs[0].Job.Steps[0].Tasks = -3
			}
			data, err := proto.Marshal(snapshot)
			is.NoErr(err)
			is.True(jobkeeper.New(timer.System()).Restore(data) != nil)
		})
	}
}

// panicking is an observer that panics at each change.
type panicking struct{}

func (panicking) JobAdded(*jobkeeper.Job)               { panic("job added") }
func (panicking) JobEnded(*jobkeeper.Job)               { panic("job ended") }
func (panicking) RunEnded(*jobkeeper.Job, *jobwire.End) { panic("run ended") }
func (panicking) WorkerChanged(*jobwire.Worker)         { panic("worker changed") }
func (panicking) WorkerForgotten(*jobwire.Worker)       { panic("worker forgotten") }
func (panicking) FleetChanged()                         { panic("fleet changed") }

// Only the leader has an observer. If a panic of it cut a change short there, its state
// would differ from that of the other replicas.
func TestPanicOfObserverLeavesStateWhole(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	leader, follower := jobkeeper.New(timer.System()), jobkeeper.New(timer.System())
	leader.Observe(panicking{}, func(*jobkeeper.State) {})
	for _, m := range []*jobkeeper.StateMachine{leader, follower} {
		apply(t, m, now, configure(1, 1))
		apply(t, m, now, submit("job", 0, 1))
		apply(t, m, now, report(1, 1, 1000))
		for run := range uint64(3) {
			apply(t, m, now, crash("job", run+1))
		}
	}
	ours, err := leader.Encode()
	is.NoErr(err)
	theirs, err := follower.Encode()
	is.NoErr(err)
	is.Equal(string(ours), string(theirs))
}

// FuzzRestore guards against snapshots that end the process that reads them.
func FuzzRestore(f *testing.F) {
	m := jobkeeper.New(timer.System())
	now := time.Unix(1000, 0)
	apply(f, m, now, configure(1, 1))
	apply(f, m, now, submit("job", 2, 2, 3))
	apply(f, m, now, crash("job", 1))
	data, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		// An error is as good as success; only a panic is a failure.
		_ = jobkeeper.New(timer.System()).Restore(data)
	})
}
