package jobkeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

func recordStart(job string, run uint64, worker string) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_RecordedStarts{
			RecordedStarts: &jobwire.RecordedStarts{
				Starts: []*jobwire.RecordedStart{
					{
						Task: &jobwire.Task{
							Job: job,
						},
						Run:    run,
						Worker: worker,
						Born:   7,
					},
				},
			},
		},
	}
}

func recordBegun(job string, run uint64) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_RecordedStarts{
			RecordedStarts: &jobwire.RecordedStarts{
				Begun: []*jobwire.BegunRun{
					{
						Task: &jobwire.Task{
							Job: job,
						},
						Run: run,
					},
				},
			},
		},
	}
}

// startOf returns the recorded start of the first task of a job without its time; the zero
// value without one.
func startOf(m *jobkeeper.StateMachine, job string) jobkeeper.RecordedStart {
	var found jobkeeper.RecordedStart
	m.View(func(s *jobkeeper.State) {
		if j := s.Jobs[job]; j.Open() {
			for _, start := range j.RecordedStarts() {
				found = *start
				found.At = time.Time{}
			}
		}
	})
	return found
}

// The newest recorded start of a task tells the next leader where a run may still begin. If an
// older one replaced it, or it outlived its run, tasks would run twice or wait without need.
func TestNewestStartIsKept(t *testing.T) {
	tests := map[string]struct {
		commands []*jobwire.Command
		run      uint64
		worker   string
		begun    bool
	}{
		"recorded": {
			commands: []*jobwire.Command{recordStart("job", 3, "a")},
			run:      3,
			worker:   "a",
		},
		"later start replaces": {
			commands: []*jobwire.Command{recordStart("job", 3, "a"), recordStart("job", 4, "b")},
			run:      4,
			worker:   "b",
		},
		"delayed write of earlier start": {
			commands: []*jobwire.Command{recordStart("job", 4, "b"), recordStart("job", 3, "a")},
			run:      4,
			worker:   "b",
		},
		"begun": {
			commands: []*jobwire.Command{recordStart("job", 3, "a"), recordBegun("job", 3)},
			run:      3,
			worker:   "a",
			begun:    true,
		},
		"another run has begun": {
			commands: []*jobwire.Command{recordStart("job", 4, "b"), recordBegun("job", 3)},
			run:      4,
			worker:   "b",
		},
		"later start has not begun": {
			commands: []*jobwire.Command{recordStart("job", 3, "a"), recordBegun("job", 3), recordStart("job", 4, "b")},
			run:      4,
			worker:   "b",
		},
		"repeated write keeps the mark": {
			commands: []*jobwire.Command{recordStart("job", 3, "a"), recordBegun("job", 3), recordStart("job", 3, "a")},
			run:      3,
			worker:   "a",
			begun:    true,
		},
		"begun without a start": {
			commands: []*jobwire.Command{recordBegun("job", 3)},
		},
		"end clears": {
			commands: []*jobwire.Command{recordStart("job", 3, "a"), end("job", 0, 0, 0, 3, jobwire.Ending_ENDING_STOPPED)},
		},
		"end of a later run clears": {
			commands: []*jobwire.Command{recordStart("job", 3, "a"), end("job", 0, 0, 0, 4, jobwire.Ending_ENDING_STOPPED)},
		},
		"end of an earlier run": {
			commands: []*jobwire.Command{recordStart("job", 3, "a"), end("job", 0, 0, 0, 2, jobwire.Ending_ENDING_STOPPED)},
			run:      3,
			worker:   "a",
		},
		"done by an earlier run clears": {
			commands: []*jobwire.Command{recordStart("job", 3, "a"), end("job", 0, 0, 0, 2, jobwire.Ending_ENDING_DONE)},
		},
		"start of a run that has ended": {
			commands: []*jobwire.Command{end("job", 0, 0, 0, 3, jobwire.Ending_ENDING_STOPPED), recordStart("job", 3, "a")},
		},
		"crash clears": {
			commands: []*jobwire.Command{recordStart("job", 3, "a"), crash("job", 3)},
		},
		"job ends": {
			commands: []*jobwire.Command{recordStart("job", 3, "a"), cancel("job")},
		},
		"start of a job that has ended": {
			commands: []*jobwire.Command{cancel("job"), recordStart("job", 3, "a")},
		},
		"task that the job does not have": {
			commands: []*jobwire.Command{recordStart("other", 3, "a")},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			m := jobkeeper.New(timer.System())
			apply(t, m, now, configure(1, 5))
			apply(t, m, now, submit("job", 0, 2))
			for _, cmd := range test.commands {
				apply(t, m, now, cmd)
			}
			want := jobkeeper.RecordedStart{
				Run:    test.run,
				Worker: test.worker,
				Begun:  test.begun,
			}
			if test.run > 0 {
				want.Born = 7
			}
			is.Equal(startOf(m, "job"), want)
			data, err := m.Encode()
			is.NoErr(err)
			restored := jobkeeper.New(timer.System())
			is.NoErr(restored.Restore(data))
			is.Equal(startOf(restored, "job"), want)
			again, err := restored.Encode()
			is.NoErr(err)
			is.Equal(string(again), string(data))
		})
	}
}

// A start from a snapshot has no time of this replica. It must count as recorded no earlier
// than the snapshot was restored, or its order counts as too old while it may be executed.
func TestStartFromSnapshotCountsFromRestore(t *testing.T) {
	is := is.New(t)
	m := jobkeeper.New(timer.System())
	apply(t, m, time.Unix(1000, 0), configure(1, 5))
	apply(t, m, time.Unix(1000, 0), submit("job", 0, 1))
	apply(t, m, time.Unix(1000, 0), recordStart("job", 3, "a"))
	data, err := m.Encode()
	is.NoErr(err)
	restored := jobkeeper.New(timer.System())
	before := timer.System().Now()
	is.NoErr(restored.Restore(data))
	restored.View(func(s *jobkeeper.State) {
		n := 0
		for _, start := range s.Jobs["job"].RecordedStarts() {
			n++
			is.True(!s.StartRecordedBy(start).Before(before))
		}
		is.Equal(n, 1)
	})
}

// An older build doesn't know a command that a newer leader writes. It must go on with its
// state as it was.
func TestUnknownCommandChangesNothing(t *testing.T) {
	is := is.New(t)
	m := jobkeeper.New(timer.System())
	now := time.Unix(1000, 0)
	apply(t, m, now, configure(1, 5))
	apply(t, m, now, submit("job", 0, 1))
	before, err := m.Encode()
	is.NoErr(err)
	// Field 2047 of Command, with a message of two bytes.
	_, failed := m.Apply([]byte{0xfa, 0x7f, 2, 8, 1}).(error)
	is.True(failed)
	after, err := m.Encode()
	is.NoErr(err)
	is.Equal(string(after), string(before))
	apply(t, m, now, submit("next", 0, 1))
}
