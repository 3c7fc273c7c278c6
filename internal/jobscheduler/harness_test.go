package jobscheduler_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/localizer"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	lease    = 4 * time.Second
	maxLease = 10 * time.Second
)

// harness drives one scheduler step by step: the test stands in for the log, the
// workers and the clock.
type harness struct {
	t       testing.TB
	is      *is.I
	machine *jobkeeper.StateMachine
	sched   *jobscheduler.Scheduler
	now     time.Time
	// clockAhead is by how much the time of day of the leader is ahead of now.
	clockAhead time.Duration
	term       uint64
	// orderSenders is the number of hosts that send orders to workers; 0 means
	// one.
	orderSenders int
	// heartbeat and providerOrderDelay are those of the scheduler's settings.
	heartbeat          time.Duration
	providerOrderDelay time.Duration
	// skipBatchStarts is the opposite of RecordBatchStarts in the scheduler's settings.
	skipBatchStarts bool
	// locality is that of the scheduler's settings.
	locality localizer.Settings
	// logger is that of the scheduler.
	logger *slog.Logger
	// actions holds the actions of all passes that the test has not taken yet.
	actions []jobscheduler.Action
}

// harnessClock tells the time of a harness.
type harnessClock struct {
	timer.Clock

	harness *harness
}

func (c harnessClock) Now() time.Time { return c.harness.now }

func newHarness(t testing.TB) *harness {
	h := &harness{
		t:      t,
		is:     is.New(t),
		logger: slog.New(slog.DiscardHandler),
		now:    time.Unix(1_000_000, 0),
	}
	h.machine = jobkeeper.New(harnessClock{
		harness: h,
	})
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: 1,
				Queues: []*jobwire.Queue{
					{
						Name:        "q",
						Pool:        "p",
						Attempts:    2,
						Stretch:     1.6,
						TargetNanos: int64(600 * time.Millisecond),
					},
				},
				Pools: []*jobwire.Pool{
					{
						Name: "p",
					},
				},
				Accounts: []*jobwire.Account{
					{
						Name: "small",
						Ceiling: &wire.Resources{
							MilliCores: 3000,
						},
					},
				},
			},
		},
	})
	return h
}

// apply applies a command to the state machine, as a committed log entry would
// be.
func (h *harness) apply(cmd *jobwire.Command) {
	h.t.Helper()
	cmd.ProposedAtUnixNanos = h.wall().UnixNano()
	data, err := proto.Marshal(cmd)
	h.is.NoErr(err)
	if err, failed := h.machine.Apply(data).(error); failed {
		h.t.Fatal(err)
	}
}

// startTerm starts a new leader term with a new scheduler.
func (h *harness) startTerm() {
	h.term++
	h.actions = nil
	h.machine.Observe(nil, func(s *jobkeeper.State) {
		h.sched = jobscheduler.New(h.now, h.wall(), h.term, s, jobscheduler.Settings{
			Lease:    lease,
			MaxLease: maxLease,

			Heartbeat:          h.heartbeat,
			ProviderOrderDelay: h.providerOrderDelay,
			Locality:           h.locality,
			RecordBatchStarts:  !h.skipBatchStarts,
		}, h.logger)
	})
	h.machine.Observe(h.sched, func(*jobkeeper.State) {})
}

func (h *harness) addWorker(id string) { h.addWorkerIn(id, "dc") }

func (h *harness) addWorkerIn(id, dataCentre string) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:         id,
				Born:       1,
				Pool:       "p",
				Address:    id + ":1",
				DataCentre: dataCentre,
				Capacity: &wire.Resources{
					MilliCores:  8000,
					MemoryBytes: 1 << 30,
				},
			},
		},
	})
}

// addSizedWorker adds a worker with a number of processors, in thousandths.
func (h *harness) addSizedWorker(id, dataCentre string, milliCores int64) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:         id,
				Born:       1,
				Pool:       "p",
				Address:    id + ":1",
				DataCentre: dataCentre,
				Capacity: &wire.Resources{
					MilliCores:  milliCores,
					MemoryBytes: 1 << 36,
				},
			},
		},
	})
}

func (h *harness) submit(id string, steps ...*jobwire.Step) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Submit{
			Submit: &jobwire.Job{
				Id:                  id,
				Queue:               "q",
				Account:             "big",
				Steps:               steps,
				AcceptedAtUnixNanos: h.wall().UnixNano(),
			},
		},
	})
}

// confine sets the data centres in which the tasks of a job may run.
func (h *harness) confine(id string, dataCentres ...string) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Confinements{
			Confinements: &jobwire.JobConfinements{
				Jobs: []*jobwire.JobConfinement{
					{
						Id:          id,
						DataCentres: dataCentres,
					},
				},
			},
		},
	})
}

func tasks(n int32, milliCores int64) *jobwire.Step {
	return &jobwire.Step{
		Tasks: n,
		Each: &wire.Resources{
			MilliCores: milliCores,
		},
		EstimateNanos: int64(500 * time.Millisecond),
	}
}

// advance advances the clock and runs one scheduling pass.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.machine.View(func(*jobkeeper.State) {
		h.sched.SetTime(h.now, h.wall())
		h.actions = append(h.actions, h.sched.Pass(h.now, max(h.orderSenders, 1))...)
	})
}

// takeAll removes the pending actions of one type and returns them.
func takeAll[A any](h *harness) []A {
	var taken []A
	var rest []jobscheduler.Action
	for _, a := range h.actions {
		if v, ok := a.(A); ok {
			taken = append(taken, v)
			continue
		}
		rest = append(rest, a)
	}
	h.actions = rest
	return taken
}

// wall returns the time of day of the leader.
func (h *harness) wall() time.Time { return h.now.Add(h.clockAhead) }

// clock returns the clock of all workers in milliseconds.
func (h *harness) clock() int64 { return h.now.UnixMilli() }

// answerPolls answers all pending polls with the answers given by worker id;
// other workers report no runs.
func (h *harness) answerPolls(answers map[string]jobscheduler.PollAnswer) {
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		answer := answers[poll.Target.ID]
		answer.SentAt = h.now
		answer.Clock = h.clock()
		h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
	}
}

// withScheduler calls f with the lock of the state machine held and the current
// time set, as jobcontroller does.
func (h *harness) withScheduler(f func()) {
	h.machine.View(func(*jobkeeper.State) {
		h.sched.SetTime(h.now, h.wall())
		f()
	})
}

// acceptStarts accepts all pending starts and returns them.
func (h *harness) acceptStarts() []jobscheduler.Start {
	starts := takeAll[jobscheduler.Start](h)
	for _, start := range starts {
		h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartAccepted, h.clock()) })
	}
	return starts
}

// ageWorkers lets the workers be known for long enough that the clocks in their answers
// tell their incarnations apart.
func (h *harness) ageWorkers() {
	h.advance(time.Second)
	h.answerPolls(nil)
}

// recordEnds applies the pending log writes of ends.
func (h *harness) recordEnds() {
	for _, r := range takeAll[jobscheduler.RecordEnds](h) {
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_Ends{
				Ends: &jobwire.Ends{
					Ends: r.Ends,
				},
			},
		})
		h.withScheduler(func() { h.sched.EndsRecorded(r) })
	}
}

// recordCrashes applies the pending log writes of crashes.
func (h *harness) recordCrashes() {
	for _, r := range takeAll[jobscheduler.RecordCrashes](h) {
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_Crashes{
				Crashes: &jobwire.TaskCrashes{
					Crashes: r.Crashes,
				},
			},
		})
		h.withScheduler(func() { h.sched.CrashesRecorded(r) })
	}
}

// recordPlacements applies the pending placements of starts and returns them.
func (h *harness) recordPlacements() []jobscheduler.RecordPlacement {
	placements := takeAll[jobscheduler.RecordPlacement](h)
	for _, a := range placements {
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_Placements{
				Placements: &jobwire.Placements{
					Placements: []*jobwire.Placement{
						{
							Task:      a.Task,
							Run:       a.Run,
							Worker:    a.Target.ID,
							Born:      a.Target.Born,
							Alone:     a.Alone,
							Prompt:    a.Prompt,
							Bystander: a.Bystander,
							Suspects:  a.Suspects,
							Begun:     a.Begun,
							Others:    a.Others,
							LivedMs:   a.Lived.Milliseconds(),
						},
					},
				},
			},
		})
		h.withScheduler(func() { h.sched.PlacementRecorded(a) })
	}
	return placements
}

// recordStarts applies the log writes of the pending starts and returns those that are to be
// sent.
func (h *harness) recordStarts() []jobscheduler.Start {
	var wanted []jobscheduler.Start
	for _, start := range takeAll[jobscheduler.Start](h) {
		h.withScheduler(func() { h.sched.HoldStarts([]jobscheduler.Action{start}) })
		h.apply(recordedStart(start))
		h.withScheduler(func() {
			if h.sched.StartRecorded(start) {
				start.ToRecord = false
				wanted = append(wanted, start)
				return
			}
			h.sched.StartAnswered(start, jobscheduler.StartNotSent, 0)
		})
	}
	return wanted
}

// recordedStart returns the log entry of a start.
func recordedStart(start jobscheduler.Start) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_RecordedStarts{
			RecordedStarts: &jobwire.RecordedStarts{
				Starts: []*jobwire.RecordedStart{
					{
						Task:   start.Task,
						Run:    start.Run,
						Worker: start.Target.ID,
						Born:   start.Target.Born,
					},
				},
			},
		},
	}
}

// recordBegun applies the pending log writes of begun runs and returns how many there were.
func (h *harness) recordBegun() int {
	n := 0
	for _, a := range takeAll[jobscheduler.RecordBegun](h) {
		n += len(a.Runs)
		h.apply(&jobwire.Command{
			Change: &jobwire.Command_RecordedStarts{
				RecordedStarts: &jobwire.RecordedStarts{
					Begun: a.Runs,
				},
			},
		})
	}
	return n
}

// restartWorker starts a later incarnation of a worker under its id.
func (h *harness) restartWorker(id string) { h.addIncarnation(id, h.now.UnixMilli()) }

// addIncarnation passes the heartbeat of an incarnation of a worker to the leader.
func (h *harness) addIncarnation(id string, born int64) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:         id,
				Born:       born,
				Pool:       "p",
				Address:    id + ":1",
				DataCentre: "dc",
				Capacity: &wire.Resources{
					MilliCores:  8000,
					MemoryBytes: 1 << 30,
				},
			},
		},
	})
}

// bornOf returns the start time of the current incarnation of a worker, by the state.
func (h *harness) bornOf(id string) int64 {
	var born int64
	h.machine.View(func(s *jobkeeper.State) { born = s.Workers[id].GetBorn() })
	return born
}

// startAfterCrash lets tasks start under which a worker has crashed: the crash and then
// the start are written to the log.
func (h *harness) startAfterCrash() {
	h.recordCrashes()
	h.advance(time.Millisecond)
	h.recordPlacements()
	for range 3 {
		h.advance(time.Millisecond)
		h.answerPolls(nil)
	}
}

// reconcileWorkers lets all workers report that they run nothing, so that tasks
// may start.
func (h *harness) reconcileWorkers() {
	h.advance(0)
	h.answerPolls(nil)
	h.advance(time.Millisecond)
}

func task(job string, step, index int32) *jobwire.Task {
	return &jobwire.Task{
		Job:   job,
		Step:  step,
		Index: index,
	}
}

func endedTask(n uint64, t *jobwire.Task, run uint64, how jobwire.Ending) jobscheduler.EndedTask {
	return jobscheduler.EndedTask{
		Number: n,
		End: &jobwire.End{
			Task:   t,
			Run:    run,
			Ending: how,
		},
	}
}

func runningTask(t *jobwire.Task, run uint64) jobscheduler.RunningTask {
	return jobscheduler.RunningTask{
		Task:    t,
		Run:     run,
		Percent: 100,
	}
}

func formatStarts(starts []jobscheduler.Start) string {
	text := ""
	for _, s := range starts {
		text += fmt.Sprintf("%s.%d.%d@%s ", s.Task.GetJob(), s.Task.GetStep(), s.Task.GetIndex(), s.Target.ID)
	}
	return text
}
