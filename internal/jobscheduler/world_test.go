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
	"github.com/heathermux/heathermux/internal/wire"
)

const lease = 4 * time.Second

// world drives one scheduler by hand: the test plays the log, the workers and
// the clock.
type world struct {
	t      *testing.T
	is     *is.I
	keeper *jobkeeper.Keeper
	sched  *jobscheduler.Scheduler
	now    time.Time
	term   uint64
	// carriers is the number of hosts that carry orders; 0 means one.
	carriers int
	// actions holds what the passes have asked for and the test has not taken.
	actions []jobscheduler.Action
}

func newWorld(t *testing.T) *world {
	w := &world{
		t:      t,
		is:     is.New(t),
		keeper: jobkeeper.New(),
		now:    time.Unix(1_000_000, 0),
	}
	w.apply(&jobwire.Command{
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
	return w
}

// apply runs a command through the keeper as the log does.
func (w *world) apply(cmd *jobwire.Command) {
	w.t.Helper()
	cmd.ProposedAtUnixNanos = w.now.UnixNano()
	data, err := proto.Marshal(cmd)
	w.is.NoErr(err)
	if err, failed := w.keeper.Apply(data).(error); failed {
		w.t.Fatal(err)
	}
}

// lead begins a new term.
func (w *world) lead() {
	w.term++
	w.actions = nil
	w.keeper.Observe(nil, func(s *jobkeeper.State) {
		w.sched = jobscheduler.New(w.now, w.now, w.term, s, jobscheduler.Settings{
			Lease: lease,
		}, slog.New(slog.DiscardHandler))
	})
	w.keeper.Observe(w.sched, func(*jobkeeper.State) {})
}

func (w *world) addWorker(id string) {
	w.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:         id,
				Born:       1,
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

func (w *world) submit(id string, steps ...*jobwire.Step) {
	w.apply(&jobwire.Command{
		Change: &jobwire.Command_Submit{
			Submit: &jobwire.Job{
				Id:                  id,
				Queue:               "q",
				Account:             "big",
				Steps:               steps,
				AcceptedAtUnixNanos: w.now.UnixNano(),
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

// pass lets time go by and runs the scheduler.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.keeper.View(func(*jobkeeper.State) {
		w.sched.SetTime(w.now, w.now)
		w.actions = append(w.actions, w.sched.Pass(w.now, max(w.carriers, 1))...)
	})
}

// takeAll returns the actions of one type that wait, and forgets them.
func takeAll[A any](w *world) []A {
	var taken []A
	var rest []jobscheduler.Action
	for _, a := range w.actions {
		if v, ok := a.(A); ok {
			taken = append(taken, v)
			continue
		}
		rest = append(rest, a)
	}
	w.actions = rest
	return taken
}

// clock is the clock of all workers in milliseconds.
func (w *world) clock() int64 { return w.now.UnixMilli() }

// answerLooks answers all looks that wait alike, by worker.
func (w *world) answerLooks(answers map[string]jobscheduler.LookAnswer) {
	for _, look := range takeAll[jobscheduler.Look](w) {
		answer := answers[look.Target.ID]
		answer.SentAt = w.now
		answer.Clock = w.clock()
		w.report(func() { w.sched.LookAnswered(look, answer) })
	}
}

// report runs f with the scheduler as the conductor does.
func (w *world) report(f func()) {
	w.keeper.View(func(*jobkeeper.State) {
		w.sched.SetTime(w.now, w.now)
		f()
	})
}

// accept answers all starts that wait and returns them.
func (w *world) accept() []jobscheduler.Start {
	starts := takeAll[jobscheduler.Start](w)
	for _, start := range starts {
		w.report(func() { w.sched.StartAnswered(start, jobscheduler.StartAccepted, w.clock()) })
	}
	return starts
}

// record writes the ends that wait to the log.
func (w *world) record() {
	for _, r := range takeAll[jobscheduler.Record](w) {
		w.apply(&jobwire.Command{
			Change: &jobwire.Command_Ends{
				Ends: &jobwire.Ends{
					Ends: r.Ends,
				},
			},
		})
		w.report(func() { w.sched.Recorded(r) })
	}
}

// open makes all workers known, so that tasks may start.
func (w *world) open() {
	w.pass(0)
	w.answerLooks(nil)
	w.pass(time.Millisecond)
}

func task(job string, step, index int32) *jobwire.Task {
	return &jobwire.Task{
		Job:   job,
		Step:  step,
		Index: index,
	}
}

func ended(n uint64, t *jobwire.Task, run uint64, how jobwire.Ending) jobscheduler.EndedTask {
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

func describe(starts []jobscheduler.Start) string {
	text := ""
	for _, s := range starts {
		text += fmt.Sprintf("%s.%d.%d@%s ", s.Task.GetJob(), s.Task.GetStep(), s.Task.GetIndex(), s.Target.ID)
	}
	return text
}
