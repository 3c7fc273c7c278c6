package jobscheduler_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// waitLine is a log line about a task that waits.
type waitLine struct {
	Msg        string
	Task       string
	Cause      string
	Worker     string
	Run        uint64
	Waited     time.Duration
	EndsWithin time.Duration `json:"ends-within"`
	LeftOut    int           `json:"left-out"`
}

// captureLog keeps the log lines of the terms that follow.
func (h *harness) captureLog() *bytes.Buffer {
	log := new(bytes.Buffer)
	h.logger = slog.New(slog.NewJSONHandler(log, nil))
	return log
}

// takeWaitLines removes the log lines and returns those about tasks that wait.
func (h *harness) takeWaitLines(log *bytes.Buffer) []waitLine {
	var lines []waitLine
	for text := range strings.Lines(log.String()) {
		var line waitLine
		h.is.NoErr(json.Unmarshal([]byte(text), &line))
		if strings.Contains(line.Msg, "waited longer than 2 s") {
			lines = append(lines, line)
		}
	}
	log.Reset()
	return lines
}

// startFirst starts a term on worker a in which the task of a job has begun.
func startFirst(h *harness, step *jobwire.Step) jobscheduler.Start {
	h.submit("job", step)
	h.startTerm()
	h.reconcileWorkers()
	return h.acceptStarts()[0]
}

// advisedQueue lets the tasks of the queue start only with advice.
func advisedQueue(h *harness) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: 2,
				Queues: []*jobwire.Queue{
					{
						Name:     "q",
						Pool:     "p",
						Attempts: 2,
						Advised:  true,
					},
				},
			},
		},
	})
}

// An operator could not tell from the log why a task didn't run that had a place: causes
// that look alike from outside, as a silent worker, a late start and a log write, left no line
// with the task.
func TestLongWaitNamesItsCause(t *testing.T) {
	answerAll := func(h *harness) { h.answerPolls(nil) }
	failAll := func(h *harness) { h.failPolls("a") }
	for name, test := range map[string]struct {
		// arrange begins the wait and returns what happens after each pass.
		arrange func(h *harness) func(h *harness)
		// lasts is how long it is played; 0 means 3.5 s.
		lasts time.Duration
		// want has no task if nothing is logged.
		want waitLine
		// knownEnd is true when the latest end is known.
		knownEnd bool
	}{
		"start without an answer": {
			arrange: func(h *harness) func(h *harness) {
				h.submit("job", lastingTasks(1, 1000))
				h.startTerm()
				h.reconcileWorkers()
				return func(h *harness) {
					for _, start := range takeAll[jobscheduler.Start](h) {
						h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartUnknown, 0) })
					}
					h.failPolls("a")
				}
			},
			want: waitLine{
				Task:   "job.0.0.0",
				Cause:  "start is not answered",
				Worker: "a",
				Run:    1,
			},
			knownEnd: true,
		},
		"stop without an answer": {
			arrange: func(h *harness) func(h *harness) {
				start := startFirst(h, lastingTasks(1, 1000))
				h.drain("a")
				return func(h *harness) { h.answerPolls(runningOf([]jobscheduler.Start{start})) }
			},
			want: waitLine{
				Task:   "job.0.0.0",
				Cause:  "stop is not confirmed",
				Worker: "a",
				Run:    1,
			},
		},
		"silent worker with a lease": {
			arrange: func(h *harness) func(h *harness) {
				startFirst(h, lastingTasks(1, 1000))
				return failAll
			},
			want: waitLine{
				Task:   "job.0.0.0",
				Cause:  "worker does not answer",
				Worker: "a",
				Run:    1,
			},
			knownEnd: true,
		},
		"end that is not in the log": {
			arrange: func(h *harness) func(h *harness) {
				start := startFirst(h, tasks(1, 1000))
				return func(h *harness) {
					h.answerPolls(map[string]jobscheduler.PollAnswer{
						"a": {
							Ended: []jobscheduler.EndedTask{endedTask(1, start.Task, start.Run, jobwire.Ending_ENDING_FAILED)},
						},
					})
				}
			},
			want: waitLine{
				Task:  "job.0.0.0",
				Cause: "end of a run is being written to the log",
			},
		},
		"no news of a worker that may have crashed": {
			arrange: func(h *harness) func(h *harness) {
				h.submit("job", tasks(1, 1000))
				h.crashed("job", 1)
				h.startTerm()
				h.reconcileWorkers()
				h.startAfterCrash()
				h.is.Equal(len(h.acceptStarts()), 1)
				return failAll
			},
			lasts: maxLease + 4*time.Second,
			want: waitLine{
				Task:  "job.0.0.0",
				Cause: "no news of a worker that may have crashed",
			},
			knownEnd: true,
		},
		"placement that is not in the log": {
			arrange: func(h *harness) func(h *harness) {
				h.submit("job", tasks(1, 1000))
				h.crashed("job", 1)
				h.startTerm()
				h.reconcileWorkers()
				return answerAll
			},
			want: waitLine{
				Task:   "job.0.0.0",
				Cause:  "placement is not confirmed by log and worker",
				Worker: "a",
			},
			knownEnd: true,
		},
		"worker that is not idle yet": {
			arrange: func(h *harness) func(h *harness) {
				start := startFirst(h, tasks(1, 1000))
				h.submit("suspect", tasks(1, 1000))
				crashTwice(h, "suspect")
				return func(h *harness) { h.answerPolls(runningOf([]jobscheduler.Start{start})) }
			},
			want: waitLine{
				Task:   "suspect.0.0.0",
				Cause:  "no worker without other tasks",
				Worker: "a",
			},
			knownEnd: true,
		},
		"worker that has not reported to a new leader": {
			arrange: func(h *harness) func(h *harness) {
				h.submit("job", lastingTasks(1, 1000))
				h.startTerm()
				return failAll
			},
			want: waitLine{
				Task:   "job.0.0.0",
				Cause:  "worker has not reported to the new leader",
				Worker: "a",
			},
			knownEnd: true,
		},
		"job on its way to another data centre": {
			arrange: func(h *harness) func(h *harness) {
				h.addWorkerIn("b", "dc-b")
				h.startTerm()
				h.reconcileWorkers()
				h.submit("job", tasks(1, 1000))
				h.confine("job", "dc-c")
				return answerAll
			},
			want: waitLine{
				Task:  "job.0.0.0",
				Cause: "job is being confined to another data centre",
			},
		},
		"gang of which a task has no end in the log": {
			arrange: func(h *harness) func(h *harness) {
				step := lastingTasks(2, 1000)
				step.Gang = true
				start := startFirst(h, step)
				ended := endedTask(1, start.Task, start.Run, jobwire.Ending_ENDING_FAILED)
				other := task("job", 0, 1-start.Task.GetIndex())
				return func(h *harness) {
					h.answerPolls(map[string]jobscheduler.PollAnswer{
						"a": {
							Ended:   []jobscheduler.EndedTask{ended},
							Running: []jobscheduler.RunningTask{runningTask(other, start.Run)},
						},
					})
					h.recordEnds()
				}
			},
			want: waitLine{
				Task:  "job.0.0.0",
				Cause: "not all tasks of its gang can start",
			},
		},
		"ceiling of the account": {
			arrange: func(h *harness) func(h *harness) {
				h.apply(&jobwire.Command{
					Change: &jobwire.Command_Submit{
						Submit: &jobwire.Job{
							Id:                  "job",
							Queue:               "q",
							Account:             "small",
							Steps:               []*jobwire.Step{lastingTasks(2, 2000)},
							AcceptedAtUnixNanos: h.now.UnixNano(),
						},
					},
				})
				h.startTerm()
				h.reconcileWorkers()
				starts := h.acceptStarts()
				return func(h *harness) { h.answerPolls(runningOf(starts)) }
			},
			want: waitLine{
				Task:  "job.0.0.1",
				Cause: "ceiling of its account",
			},
		},
		"advice without an answer": {
			arrange: func(h *harness) func(h *harness) {
				advisedQueue(h)
				h.submit("job", lastingTasks(1, 1000))
				h.startTerm()
				h.reconcileWorkers()
				return answerAll
			},
			want: waitLine{
				Task:  "job.0.0.0",
				Cause: "placement adviser",
			},
		},
		"stop of a run while another one is at work": {
			arrange: func(h *harness) func(h *harness) {
				h.addWorker("b")
				h.submit("job", lastingTasks(1, 1000))
				h.startTerm()
				h.advance(0)
				return func(h *harness) {
					h.answerPolls(map[string]jobscheduler.PollAnswer{
						"a": {
							Running: []jobscheduler.RunningTask{runningTask(task("job", 0, 0), 1)},
						},
						"b": {
							Running: []jobscheduler.RunningTask{runningTask(task("job", 0, 0), 2)},
						},
					})
				}
			},
		},
		"no room": {
			arrange: func(h *harness) func(h *harness) {
				h.submit("job", lastingTasks(1, 9000), tasks(1, 9000))
				h.startTerm()
				h.reconcileWorkers()
				return answerAll
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			log := h.captureLog()
			h.addWorker("a")
			play := test.arrange(h)
			if test.lasts == 0 {
				test.lasts = 3500 * time.Millisecond
			}
			for range int(test.lasts / (100 * time.Millisecond)) {
				play(h)
				h.advance(100 * time.Millisecond)
			}
			lines := h.takeWaitLines(log)
			if test.want.Task == "" {
				h.is.Equal(len(lines), 0)
				return
			}
			h.is.Equal(len(lines), 1) // one line for a task and a cause
			h.is.Equal(lines[0].Task, test.want.Task)
			h.is.Equal(lines[0].Cause, test.want.Cause)
			h.is.Equal(lines[0].Worker, test.want.Worker)
			h.is.True(test.want.Run == 0 || lines[0].Run == test.want.Run)
			h.is.True(lines[0].Waited >= 2*time.Second)
			h.is.Equal(lines[0].EndsWithin > 0, test.knownEnd)
			h.is.Equal(h.sched.Counters().LongWaits, int64(1))
		})
	}
}

// The latest end in the line is worked out apart from the decision to give up the run. If
// they differed, an operator would wait for a time at which nothing happens.
func TestLongWaitTellsWhenRunIsGivenUp(t *testing.T) {
	for name, answer := range map[string]jobscheduler.StartAnswer{
		"start without an answer": jobscheduler.StartUnknown,
		"silent worker":           jobscheduler.StartAccepted,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			log := h.captureLog()
			h.addWorker("a")
			h.submit("job", lastingTasks(1, 1000))
			h.startTerm()
			h.reconcileWorkers()
			var end time.Time
			for begin := h.now; h.sched.Counters().Lost == 0; {
				h.is.True(h.now.Sub(begin) < 30*time.Second)
				h.is.True(h.sched.Counters().LongWaits <= 1)
				for _, start := range takeAll[jobscheduler.Start](h) {
					h.withScheduler(func() { h.sched.StartAnswered(start, answer, 0) })
				}
				h.failPolls("a")
				h.advance(100 * time.Millisecond)
				for _, line := range h.takeWaitLines(log) {
					end = h.now.Add(line.EndsWithin)
				}
			}
			h.is.True(h.now.Sub(end).Abs() <= 100*time.Millisecond)
		})
	}
}

// A task that was at work in between waits anew. If what was logged of its first wait were
// kept, the second one would leave no line.
func TestSecondLongWaitIsLogged(t *testing.T) {
	h := newHarness(t)
	log := h.captureLog()
	h.addWorker("a")
	start := startFirst(h, lastingTasks(1, 1000))
	for range 2 {
		for range 30 {
			h.failPolls("a")
			h.advance(100 * time.Millisecond)
		}
		h.is.Equal(len(h.takeWaitLines(log)), 1)
		for range 20 {
			h.answerPolls(runningOf([]jobscheduler.Start{start}))
			h.advance(100 * time.Millisecond)
		}
	}
	h.is.Equal(h.sched.Counters().LongWaits, int64(2))
}

// Many tasks wait at once when a data centre is lost. A line for each at one moment would
// delay the leader's log.
func TestLinesAboutLongWaitsAreBounded(t *testing.T) {
	h := newHarness(t)
	h.orderSenders = 3
	log := h.captureLog()
	h.addWorker("a")
	h.submit("job", tasks(100, 10))
	h.startTerm()
	h.reconcileWorkers()
	named := make(map[string]bool)
	perSecond := make(map[int]int)
	for n := range 80 {
		h.advance(100 * time.Millisecond)
		for _, line := range h.takeWaitLines(log) {
			if line.LeftOut > 0 {
				h.is.Equal(line.LeftOut, 100-len(named))
				continue
			}
			h.is.True(!named[line.Task]) // logged twice
			named[line.Task] = true
			perSecond[n/10]++
		}
	}
	for _, lines := range perSecond {
		h.is.True(lines <= 32)
	}
	h.is.Equal(len(named), 100)
	h.is.Equal(h.sched.Counters().LongWaits, int64(100))
}
