package jobkeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/isolator"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// crash returns the record of a prompt crash of a worker that ran only the first task of
// a job.
func crash(job string, run uint64) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_Crashes{
			Crashes: &jobwire.TaskCrashes{
				Crashes: []*jobwire.TaskCrash{
					{
						Task: &jobwire.Task{
							Job: job,
						},
						Run:    run,
						Alone:  true,
						Prompt: true,
						Begun:  true,
					},
				},
			},
		},
	}
}

func endState(m *jobkeeper.StateMachine, job string) jobwire.JobState {
	state := jobwire.JobState_JOB_STATE_UNSPECIFIED
	m.View(func(s *jobkeeper.State) { state = s.Jobs[job].EndState })
	return state
}

// A replica that starts from a snapshot, as after a lost disk, must go on counting where
// the others are: a task that crashes its workers would be started anew otherwise.
func TestCrashesOutliveSnapshot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := jobkeeper.New(timer.System())
	apply(t, m, now, configure(1, 2))
	apply(t, m, now, submit("job", 0, 2))
	apply(t, m, now, crash("job", 1))
	apply(t, m, now, crash("job", 2))
	apply(t, m, now, &jobwire.Command{
		Change: &jobwire.Command_Placements{
			Placements: &jobwire.Placements{
				Placements: []*jobwire.Placement{
					{
						Task: &jobwire.Task{
							Job: "job",
						},
						Run:    3,
						Worker: "w",
						Born:   7,
						Alone:  true,
					},
				},
			},
		},
	})
	data, err := m.Encode()
	is.NoErr(err)
	restored := jobkeeper.New(timer.System())
	is.NoErr(restored.Restore(data))
	restored.View(func(s *jobkeeper.State) {
		j := s.Jobs["job"]
		is.True(j.HasCrashRecords())
		record := j.Task(&jobwire.Task{Job: "job"}).Crashes
		is.Equal(record.Treatment(), isolator.Isolated)
		is.Equal(record.Placement(), isolator.Placement{
			Run:    3,
			Worker: "w",
			Born:   7,
			Circumstances: isolator.Circumstances{
				Alone: true,
			},
		})
	})
	apply(t, restored, now, crash("job", 3))
	is.Equal(endState(restored, "job"), jobwire.JobState_JOB_STATE_FAILED)
}

// A leader repeats a log write whose outcome it doesn't know, and its successor counts a
// crash that it has counted as well.
func TestRepeatedCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := jobkeeper.New(timer.System())
	apply(t, m, now, configure(1, 2))
	apply(t, m, now, submit("job", 0, 1))
	for range 5 {
		apply(t, m, now, crash("job", 1))
	}
	is.Equal(endState(m, "job"), jobwire.JobState_JOB_STATE_UNSPECIFIED)
	apply(t, m, now, crash("unknown", 1))
	apply(t, m, now, crash("job", 2))
	apply(t, m, now, crash("job", 3))
	is.Equal(endState(m, "job"), jobwire.JobState_JOB_STATE_FAILED)
}

// placement returns the record of a run of the first task of a job on a worker.
func placement(job string, run uint64, worker string) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_Placements{
			Placements: &jobwire.Placements{
				Placements: []*jobwire.Placement{
					{
						Task: &jobwire.Task{
							Job: job,
						},
						Run:    run,
						Worker: worker,
						Born:   1,
					},
				},
			},
		},
	}
}

func crashRecord(m *jobkeeper.StateMachine, job string) *isolator.Record {
	var record *isolator.Record
	m.View(func(s *jobkeeper.State) {
		record = s.Jobs[job].Task(&jobwire.Task{Job: job}).Crashes
	})
	return record
}

// A log write that is repeated may come after the placement of the next run. The next
// leader would then look for the task on a worker that it has left.
func TestOlderPlacementChangesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := jobkeeper.New(timer.System())
	apply(t, m, now, configure(1, 2))
	apply(t, m, now, submit("job", 0, 1))
	apply(t, m, now, placement("job", 2, "b"))
	apply(t, m, now, placement("job", 1, "a"))
	is.Equal(crashRecord(m, "job").Placement().Worker, "b")
}

// The survival of a run is decided before its log write; the run may crash its worker
// between the two, and that crash has to count.
func TestSurvivalKeepsLaterCrash(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := jobkeeper.New(timer.System())
	apply(t, m, now, configure(1, 2))
	apply(t, m, now, submit("job", 0, 1))
	apply(t, m, now, crash("job", 1))
	apply(t, m, now, crash("job", 2))
	apply(t, m, now, &jobwire.Command{
		Change: &jobwire.Command_SurvivedRuns{
			SurvivedRuns: &jobwire.SurvivedRuns{
				Runs: []*jobwire.SurvivedRun{
					{
						Task: &jobwire.Task{
							Job: "job",
						},
						Run: 2,
					},
				},
			},
		},
	})
	crashes := crashRecord(m, "job").Crashes()
	is.Equal(len(crashes), 1)
	is.Equal(crashes[0].Run, uint64(2))
}

// How many runs may have crashed a worker decides whether a task runs alone at once. A
// replica that starts from a snapshot has to decide like the others.
func TestSuspectsOutliveSnapshot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := jobkeeper.New(timer.System())
	apply(t, m, now, configure(1, 2))
	apply(t, m, now, submit("job", 0, 2))
	first := crash("job", 1)
	first.GetCrashes().GetCrashes()[0].Alone = false
	first.GetCrashes().GetCrashes()[0].Suspects = 1
	apply(t, m, now, first)
	data, err := m.Encode()
	is.NoErr(err)
	restored := jobkeeper.New(timer.System())
	is.NoErr(restored.Restore(data))
	for _, replica := range []*jobkeeper.StateMachine{m, restored} {
		replica.View(func(s *jobkeeper.State) {
			is.Equal(s.Jobs["job"].Task(&jobwire.Task{Job: "job"}).Crashes.Treatment(), isolator.Isolated)
		})
	}
}

// A job whose long-running tasks are all given up serves no one and ends, so that its
// caller learns of it. Until then it goes on, also on a replica that starts from a
// snapshot.
func TestJobFailsWithItsLastLongRunningTask(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := jobkeeper.New(timer.System())
	apply(t, m, now, configure(1, 2))
	lasting := submit("job", 0, 2)
	lasting.GetSubmit().Steps[0].Lasting = true
	apply(t, m, now, lasting)
	giveUp := func(index int32) {
		for run := uint64(1); run <= 3; run++ {
			c := crash("job", run)
			c.GetCrashes().GetCrashes()[0].Task.Index = index
			apply(t, m, now, c)
		}
	}
	giveUp(0)
	is.Equal(endState(m, "job"), jobwire.JobState_JOB_STATE_UNSPECIFIED)
	data, err := m.Encode()
	is.NoErr(err)
	is.NoErr(m.Restore(data))
	is.Equal(endState(m, "job"), jobwire.JobState_JOB_STATE_UNSPECIFIED)
	giveUp(1)
	is.Equal(endState(m, "job"), jobwire.JobState_JOB_STATE_FAILED)
}

// What a crash says about its task, and that a task was given up, are needed after a restart
// from a snapshot: a replica that had lost them would decide differently from the others.
func TestEvidenceOutlivesSnapshot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := jobkeeper.New(timer.System())
	apply(t, m, now, configure(1, 3))
	apply(t, m, now, submit("slow", 0, 1))
	apply(t, m, now, submit("deadly", 0, 1))
	for run := range uint64(4) {
		late := crash("slow", run+1)
		late.GetCrashes().GetCrashes()[0].Prompt = false
		late.GetCrashes().GetCrashes()[0].LivedMs = 2000
		apply(t, m, now, late)
		apply(t, m, now, crash("deadly", run+1))
	}
	apply(t, m, now, &jobwire.Command{
		Change: &jobwire.Command_Placements{
			Placements: &jobwire.Placements{
				Placements: []*jobwire.Placement{
					{
						Task: &jobwire.Task{
							Job: "slow",
						},
						Run:    5,
						Others: 3,
					},
				},
			},
		},
	})
	data, err := m.Encode()
	is.NoErr(err)
	restored := jobkeeper.New(timer.System())
	is.NoErr(restored.Restore(data))
	for _, replica := range []*jobkeeper.StateMachine{m, restored} {
		replica.View(func(s *jobkeeper.State) {
			record := s.Jobs["slow"].Task(&jobwire.Task{Job: "slow"}).Crashes
			is.Equal(record.Treatment(), isolator.Isolated)
			is.Equal(record.Crashes()[0].Lived, 2*time.Second)
			is.Equal(record.Placement().Others, int32(3))
			is.True(s.Jobs["deadly"].GivenUp)
		})
	}
}
