package jobscheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// playUntilStarted plays until a number of tasks have started, at most for the given time, and
// returns how many have, and after how long. Polls of silent workers fail after 600 ms; others
// are answered after the given delay.
func (h *harness) playUntilStarted(want int, longest, delay time.Duration, silent map[string]bool) (int, time.Duration) {
	type sentPoll struct {
		jobscheduler.Poll
		at time.Time
	}
	began, started := h.now, 0
	var inFlight []sentPoll
	for h.now.Sub(began) < longest {
		h.advance(4 * time.Millisecond)
		if started += len(takeAll[jobscheduler.Start](h)); started >= want {
			break
		}
		for _, p := range takeAll[jobscheduler.Poll](h) {
			inFlight = append(inFlight, sentPoll{
				Poll: p,
				at:   h.now,
			})
		}
		var rest []sentPoll
		for _, p := range inFlight {
			after := delay
			if silent[p.Target.ID] {
				after = 600 * time.Millisecond
			}
			if h.now.Sub(p.at) < after {
				rest = append(rest, p)
				continue
			}
			answer := jobscheduler.PollAnswer{
				Failed: silent[p.Target.ID],
				Clock:  h.clock(),
				SentAt: p.at,
			}
			h.withScheduler(func() { h.sched.PollAnswered(p.Poll, answer) })
		}
		inFlight = rest
	}
	return started, h.now.Sub(began)
}

// Workers of which none has answered lately were polled one after another. Several silent ones
// held a long-running task up for 0.6 s each, and a gang never started where the first answer was
// older than a second when the last arrived.
func TestLongRunningTasksAskWorkersTogether(t *testing.T) {
	tests := map[string]struct {
		silent, answering int
		tasks             int32
		gang              bool
	}{
		"silent workers come first": {silent: 12, answering: 1, tasks: 1},
		"a gang on idle workers":    {answering: 24, tasks: 24, gang: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.heartbeat = 1500 * time.Millisecond
			silent := make(map[string]bool)
			for n := range test.silent {
				silent[fmt.Sprintf("a%02d", n)] = true
				h.addWorker(fmt.Sprintf("a%02d", n))
			}
			for n := range test.answering {
				h.addWorker(fmt.Sprintf("b%02d", n))
			}
			h.startTerm()
			h.reconcileWorkers()
			h.advance(2 * time.Second)
			step := lastingTasks(test.tasks, 1000)
			step.Gang, step.MostPerWorker = test.gang, 1
			h.submit("job", step)
			started, took := h.playUntilStarted(int(test.tasks), 20*time.Second, 50*time.Millisecond, silent)
			h.is.Equal(started, int(test.tasks))
			h.is.True(took < 200*time.Millisecond) // one poll of each, and a pass
		})
	}
}

// A poll that a long-running task waits for was a long poll where the worker is busy: the worker
// holds it until a run ends, for up to 0.7 s.
func TestBusyWorkerAnswersAtOnceWhenAskedForStart(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("batch", tasks(2, 1000))
	h.startTerm()
	h.reconcileWorkers()
	other := h.acceptStarts()[1]
	h.advance(100 * time.Millisecond)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(other.Task, other.Run)},
			Ended:   []jobscheduler.EndedTask{endedTask(1, task("batch", 0, 0), 1, jobwire.Ending_ENDING_DONE)},
		},
	})
	h.advance(1100 * time.Millisecond) // the write of the end to the log takes long
	h.submit("job", lastingTasks(1, 1000))
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	h.recordEnds()
	h.advance(time.Millisecond)
	polls := takeAll[jobscheduler.Poll](h)
	h.is.Equal(len(polls), 1)
	h.is.Equal(polls[0].Wait, time.Duration(0))
	h.is.True(polls[0].Deadline > 0)
}

// Batch tasks waited while a worker was polled for a long-running task, as if the pool were full,
// although there was room for both.
func TestBatchTasksStartWhileWorkerIsAskedForLongRunningTask(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.startTerm()
	h.reconcileWorkers()
	h.advance(2 * time.Second)
	h.submit("job", lastingTasks(1, 1000))
	h.submit("other", tasks(1, 1000))
	h.advance(time.Millisecond)
	h.is.True(strings.Contains(formatStarts(takeAll[jobscheduler.Start](h)), "other.0.0@a "))
}

// A gang for which there was room lost it, while its workers were polled, to batch tasks that rank
// after it.
func TestGangKeepsItsPlacesWhileWorkersAreAsked(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	h.startTerm()
	h.reconcileWorkers()
	h.advance(2 * time.Second)
	gang := lastingTasks(2, 8000)
	gang.Gang = true
	h.submit("job", gang)
	h.submit("other", tasks(2, 8000))
	h.advance(time.Millisecond)
	started := formatStarts(h.acceptStarts())
	h.advance(time.Millisecond)
	h.answerPolls(nil)
	h.advance(time.Millisecond)
	started += formatStarts(h.acceptStarts())
	h.is.Equal(started, "job.0.0@a job.0.1@b ")
}
