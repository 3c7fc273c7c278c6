package jobkeeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// apply executes a command as one log entry proposed at the given time. It fails
// the test when the result is an error.
func apply(t interface{ Fatal(args ...any) }, m *jobkeeper.StateMachine, at time.Time, cmd *jobwire.Command) any {
	cmd.ProposedAtUnixNanos = at.UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	result := m.Apply(data)
	if err, failed := result.(error); failed {
		t.Fatal(err)
	}
	return result
}

// configure returns a configuration with one queue "q" that allows the given
// number of failed runs per task.
func configure(version uint64, attempts int32) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: version,
				Queues: []*jobwire.Queue{
					{
						Name:     "q",
						Pool:     "p",
						Attempts: attempts,
					},
				},
			},
		},
	}
}

// submit returns the submission of a job whose steps have the given numbers of
// tasks, each step depending on the one before.
func submit(id string, repeat int32, tasks ...int32) *jobwire.Command {
	job := &jobwire.Job{
		Id:          id,
		Queue:       "q",
		RepeatCount: repeat,
	}
	for i, n := range tasks {
		s := &jobwire.Step{
			Tasks: n,
		}
		if i > 0 {
			s.After = []int32{int32(i - 1)}
		}
		job.Steps = append(job.Steps, s)
	}
	return &jobwire.Command{
		Change: &jobwire.Command_Submit{
			Submit: job,
		},
	}
}

func cancel(id string) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_Cancel{
			Cancel: &jobwire.CancelJob{
				Id: id,
			},
		},
	}
}

func end(job string, occurrence, step, index int32, run uint64, ending jobwire.Ending) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_Ends{
			Ends: &jobwire.Ends{
				Ends: []*jobwire.End{
					{
						Task: &jobwire.Task{
							Job:        job,
							Occurrence: occurrence,
							Step:       step,
							Index:      index,
						},
						Run:    run,
						Ending: ending,
					},
				},
			},
		},
	}
}

const (
	done   = jobwire.Ending_ENDING_DONE
	failed = jobwire.Ending_ENDING_FAILED
)

// Each case guards against reporting a wrong state of a job to its submitter.
func TestJobStates(t *testing.T) {
	cases := map[string]struct {
		commands []*jobwire.Command
		state    jobwire.JobState
	}{
		"completed only with the last task": {
			commands: []*jobwire.Command{submit("a", 0, 2), end("a", 0, 0, 0, 1, done)},
			state:    jobwire.JobState_JOB_STATE_UNSPECIFIED,
		},
		"completed": {
			commands: []*jobwire.Command{submit("a", 0, 2), end("a", 0, 0, 0, 1, done), end("a", 0, 0, 1, 1, done)},
			state:    jobwire.JobState_JOB_STATE_COMPLETED,
		},
		"a run end recorded twice counts once": {
			commands: []*jobwire.Command{submit("a", 0, 2), end("a", 0, 0, 0, 1, done), end("a", 0, 0, 0, 1, done)},
			state:    jobwire.JobState_JOB_STATE_UNSPECIFIED,
		},
		"a failure recorded twice counts once": {
			commands: []*jobwire.Command{submit("a", 0, 1), end("a", 0, 0, 0, 1, failed), end("a", 0, 0, 0, 1, failed)},
			state:    jobwire.JobState_JOB_STATE_UNSPECIFIED,
		},
		"failed after as many failed runs as the queue allows": {
			commands: []*jobwire.Command{submit("a", 0, 1), end("a", 0, 0, 0, 1, failed), end("a", 0, 0, 0, 2, failed)},
			state:    jobwire.JobState_JOB_STATE_FAILED,
		},
		"stopped and lapsed runs are not failures": {
			commands: []*jobwire.Command{
				submit("a", 0, 1), end("a", 0, 0, 0, 1, jobwire.Ending_ENDING_STOPPED),
				end("a", 0, 0, 0, 2, jobwire.Ending_ENDING_LAPSED), end("a", 0, 0, 0, 3, failed),
			},
			state: jobwire.JobState_JOB_STATE_UNSPECIFIED,
		},
		"a repeated job is completed with its last occurrence": {
			commands: []*jobwire.Command{submit("a", 2, 1), end("a", 1, 0, 0, 1, done)},
			state:    jobwire.JobState_JOB_STATE_UNSPECIFIED,
		},
		"a job cancelled before its submission does not start": {
			commands: []*jobwire.Command{cancel("a"), submit("a", 0, 1)},
			state:    jobwire.JobState_JOB_STATE_CANCELLED,
		},
		"a cancelled job stays cancelled": {
			commands: []*jobwire.Command{submit("a", 0, 1), cancel("a"), end("a", 0, 0, 0, 1, done), submit("a", 0, 1)},
			state:    jobwire.JobState_JOB_STATE_CANCELLED,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := jobkeeper.New(timer.System())
			now := time.Unix(1000, 0)
			apply(t, m, now, configure(1, 2))
			for _, cmd := range c.commands {
				apply(t, m, now, cmd)
			}
			m.View(func(s *jobkeeper.State) { is.Equal(s.Jobs["a"].EndState, c.state) })
		})
	}
}

// Guards against an older configuration that replaces a newer one when log
// entries arrive out of the order of their versions.
func TestHighestVersionIsInForce(t *testing.T) {
	is := is.New(t)
	m := jobkeeper.New(timer.System())
	now := time.Unix(1000, 0)
	for _, version := range []uint64{3, 7, 5, 7} {
		apply(t, m, now, configure(version, int32(version)))
	}
	m.View(func(s *jobkeeper.State) {
		is.Equal(s.Configuration.GetVersion(), uint64(7))
		is.Equal(s.Queue("q").GetAttempts(), int32(7))
	})
}

// Guards against a delayed update or removal of an earlier incarnation of a
// worker that replaces or removes the current one.
func TestOlderWorkerIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	m := jobkeeper.New(timer.System())
	now := time.Unix(1000, 0)
	for _, born := range []int64{5, 9, 7} {
		apply(t, m, now, &jobwire.Command{
			Change: &jobwire.Command_Worker{
				Worker: &jobwire.Worker{
					Id:   "w",
					Born: born,
				},
			},
		})
	}
	apply(t, m, now, &jobwire.Command{
		Change: &jobwire.Command_ForgetWorker{
			ForgetWorker: &jobwire.ForgetWorker{
				Id:   "w",
				Born: 5,
			},
		},
	})
	m.View(func(s *jobkeeper.State) { is.Equal(s.Workers["w"].GetBorn(), int64(9)) })
}

// Ended jobs must stay queryable for the promised two minutes and be removed
// after the retention period: otherwise a submitter is told too early that its
// job is unknown, or memory grows without bound.
func TestEndedJobsAreForgotten(t *testing.T) {
	is := is.New(t)
	m := jobkeeper.New(timer.System())
	now := time.Unix(1000, 0)
	apply(t, m, now, configure(1, 1))
	apply(t, m, now, submit("a", 0, 1))
	apply(t, m, now, end("a", 0, 0, 0, 1, done))
	apply(t, m, now.Add(2*time.Minute), submit("b", 0, 1))
	m.View(func(s *jobkeeper.State) { is.True(s.Jobs["a"] != nil) })
	apply(t, m, now.Add(4*time.Minute), submit("c", 0, 1))
	m.View(func(s *jobkeeper.State) {
		is.True(s.Jobs["a"] == nil)
		is.True(s.Jobs["b"] != nil)
	})
}

// A replica that starts from a snapshot must reach the same state as one that
// applied all entries; otherwise replicas report different states of one job.
func TestSnapshotEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replayed, now := jobkeeper.New(timer.System()), time.Unix(1000, 0)
		apply(t, replayed, now, configure(1, 2))
		restored := replayed
		n := rapid.IntRange(1, 60).Draw(t, "commands")
		snapshotAt := rapid.IntRange(0, n).Draw(t, "snapshot at")
		for i := range n {
			if i == snapshotAt {
				data, err := replayed.Encode()
				if err != nil {
					t.Fatal(err)
				}
				restored = jobkeeper.New(timer.System())
				if err := restored.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
			cmd := drawCommand(t)
			apply(t, replayed, now, proto.CloneOf(cmd))
			if restored != replayed {
				apply(t, restored, now, cmd)
			}
		}
		a, errA := replayed.Encode()
		b, errB := restored.Encode()
		if errA != nil || errB != nil || string(a) != string(b) {
			t.Fatal("the replica restored from a snapshot has another state than the one that applied all entries")
		}
	})
}

// drawCommand returns a random submission, cancellation, configuration, start or run end.
func drawCommand(t *rapid.T) *jobwire.Command {
	id := fmt.Sprint("job", rapid.IntRange(0, 3).Draw(t, "job"))
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return submit(id, int32(rapid.IntRange(0, 3).Draw(t, "repeat")), 2, 1)
	case 1:
		return cancel(id)
	case 2:
		return configure(uint64(rapid.IntRange(1, 5).Draw(t, "version")), 2)
	case 3:
		return recordStart(id, uint64(rapid.IntRange(1, 4).Draw(t, "run")), "a")
	case 4:
		return recordBegun(id, uint64(rapid.IntRange(1, 4).Draw(t, "run")))
	default:
		ending := rapid.SampledFrom([]jobwire.Ending{done, failed, jobwire.Ending_ENDING_STOPPED}).Draw(t, "ending")
		return end(id, int32(rapid.IntRange(0, 2).Draw(t, "occurrence")), int32(rapid.IntRange(0, 1).Draw(t, "step")),
			int32(rapid.IntRange(0, 1).Draw(t, "index")), uint64(rapid.IntRange(1, 4).Draw(t, "run")), ending)
	}
}

// Each case is an invalid configuration. One that passes the check is put in
// force.
func TestCheckRefuses(t *testing.T) {
	valid := func() *jobwire.Configuration {
		return &jobwire.Configuration{
			Version: 1,
			Pools: []*jobwire.Pool{
				{
					Name: "p",
				},
			},
			Queues: []*jobwire.Queue{
				{
					Name:         "q",
					Host:         "h",
					Prefix:       "/a/",
					Pool:         "p",
					TimeoutNanos: 1,
				},
				{
					Name:         "r",
					Host:         "h",
					Prefix:       "/b/",
					Pool:         "p",
					TimeoutNanos: 1,
				},
			},
			Accounts: []*jobwire.Account{
				{
					Name: "one",
					Keys: []string{"k1", "k2"},
				},
				{
					Name: "two",
					Keys: []string{"k3"},
				},
			},
		}
	}
	is := is.New(t)
	is.NoErr(jobkeeper.Check(valid()))
	cases := map[string]func(c *jobwire.Configuration){
		"unknown pool":         func(c *jobwire.Configuration) { c.Queues[0].Pool = "x" },
		"same host and prefix": func(c *jobwire.Configuration) { c.Queues[1].Prefix = "/a/" },
		"no timeout":           func(c *jobwire.Configuration) { c.Queues[1].TimeoutNanos = 0 },
		"shared key":           func(c *jobwire.Configuration) { c.Accounts[1].Keys = []string{"k2"} },
		"duplicate queue":      func(c *jobwire.Configuration) { c.Queues[1].Name = "q" },
		"queue without a name": func(c *jobwire.Configuration) { c.Queues[1].Name = "" },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := valid()
			invalidate(c)
			is.True(jobkeeper.Check(c) != nil)
		})
	}
}

// The index of workers by address must follow every change and be rebuilt from a
// snapshot; otherwise a restarted worker does not replace its predecessor at the
// same address.
func TestWorkersAtAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := jobkeeper.New(timer.System())
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			born := rapid.Int64Range(1, 3).Draw(t, "born")
			cmd := &jobwire.Command{
				Change: &jobwire.Command_Worker{
					Worker: &jobwire.Worker{
						Id:      id,
						Born:    born,
						Address: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"),
					},
				},
			}
			if rapid.Bool().Draw(t, "forget") {
				cmd.Change = &jobwire.Command_ForgetWorker{
					ForgetWorker: &jobwire.ForgetWorker{
						Id:   id,
						Born: born,
					},
				}
			}
			data, err := proto.Marshal(cmd)
			if err != nil {
				t.Fatal(err)
			}
			m.Apply(data)
		}
		snapshot, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		restored := jobkeeper.New(timer.System())
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		for _, each := range []*jobkeeper.StateMachine{m, restored} {
			each.View(func(s *jobkeeper.State) {
				for _, address := range []string{"x", "y"} {
					found := make(map[string]bool)
					for _, w := range s.WorkersAt(address) {
						found[w.GetId()] = true
					}
					for id, w := range s.Workers {
						if found[id] != (w.GetAddress() == address) {
							t.Fatalf("worker %s has address %s: listed is %v at address %s", id, w.GetAddress(), found[id], address)
						}
					}
				}
			})
		}
	})
}

// A worker command is formed before it is applied. It must not take back that the
// worker drains, nor set a lapsed mark that was cleared meanwhile: a new leader would
// not wait for the worker. A mark must not bring back a worker that has left.
func TestWorkerChangesInAnyOrder(t *testing.T) {
	worker := func(born int64, draining, lapsed bool) *jobwire.Command {
		return &jobwire.Command{
			Change: &jobwire.Command_Worker{
				Worker: &jobwire.Worker{
					Id:       "w",
					Born:     born,
					Draining: draining,
					Lapsed:   lapsed,
				},
			},
		}
	}
	mark := func(born int64, lapsed bool) *jobwire.Command {
		return &jobwire.Command{
			Change: &jobwire.Command_LapsedMarks{
				LapsedMarks: &jobwire.LapsedMarks{
					Marks: []*jobwire.LapsedMark{
						{
							Id:     "w",
							Born:   born,
							Lapsed: lapsed,
						},
					},
				},
			},
		}
	}
	forget := &jobwire.Command{
		Change: &jobwire.Command_ForgetWorker{
			ForgetWorker: &jobwire.ForgetWorker{
				Id:   "w",
				Born: 1,
			},
		},
	}
	cases := map[string]struct {
		commands         []*jobwire.Command
		known            bool
		draining, lapsed bool
	}{
		"stale command after draining": {
			commands: []*jobwire.Command{worker(1, true, false), worker(1, false, false)},
			known:    true,
			draining: true,
		},
		"next incarnation does not drain": {
			commands: []*jobwire.Command{worker(1, true, false), worker(2, false, false)},
			known:    true,
		},
		"marked": {
			commands: []*jobwire.Command{worker(1, true, false), mark(1, true)},
			known:    true,
			draining: true,
			lapsed:   true,
		},
		"stale command after the mark was cleared": {
			commands: []*jobwire.Command{worker(1, false, false), mark(1, true), mark(1, false), worker(1, false, true)},
			known:    true,
		},
		"mark of a former incarnation": {
			commands: []*jobwire.Command{worker(1, false, false), worker(2, false, false), mark(1, true)},
			known:    true,
		},
		"mark of a worker that has left": {
			commands: []*jobwire.Command{worker(1, false, false), forget, mark(1, true), mark(1, false)},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := jobkeeper.New(timer.System())
			for _, cmd := range c.commands {
				apply(t, m, time.Unix(1, 0), cmd)
			}
			m.View(func(s *jobkeeper.State) {
				w, ok := s.Workers["w"]
				is.Equal(ok, c.known)
				is.Equal(w.GetDraining(), c.draining)
				is.Equal(w.GetLapsed(), c.lapsed)
			})
		})
	}
}
