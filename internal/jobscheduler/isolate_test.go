package jobscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/isolator"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// isolatedJob submits a job of one task that has to run alone.
func (h *harness) isolatedJob(id string, estimate time.Duration) {
	step := tasks(1, 1000)
	step.EstimateNanos = int64(estimate)
	h.submit(id, step)
	crashTwice(h, id)
}

// playDone plays with a worker whose runs are done at the given time after their starts,
// and returns the jobs that started, in order.
func (h *harness) playDone(steps int, doneAfter time.Duration) []string {
	var order []string
	started := make(map[string]time.Time)
	var running []jobscheduler.Start
	ended := uint64(0)
	for range steps {
		h.recordPlacements()
		for _, start := range h.acceptStarts() {
			order = append(order, start.Task.GetJob())
			started[start.Task.GetJob()] = h.now
			running = append(running, start)
		}
		var answer jobscheduler.PollAnswer
		var rest []jobscheduler.Start
		for _, start := range running {
			if h.now.Sub(started[start.Task.GetJob()]) >= doneAfter {
				ended++
				answer.Ended = append(answer.Ended, endedTask(ended, start.Task, start.Run, jobwire.Ending_ENDING_DONE))
				continue
			}
			rest = append(rest, start)
			answer.Running = append(answer.Running, runningTask(start.Task, start.Run))
		}
		running = rest
		h.answerPolls(map[string]jobscheduler.PollAnswer{
			"a": answer,
		})
		h.recordEnds()
		h.advance(20 * time.Millisecond)
	}
	return order
}

// Many tasks may have to run alone, and a worker is soon free for one of them again and
// again. In the order of rank the shortest would go first, and a longer one would wait
// until all others have ended.
func TestIsolatedTaskThatWaitedLongestRunsFirst(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.isolatedJob("older", 2*time.Second)
	h.now = h.now.Add(time.Minute)
	h.isolatedJob("newer", 100*time.Millisecond)
	h.now = h.now.Add(time.Minute) // both are too late
	h.startTerm()
	h.reconcileWorkers()
	order := h.playDone(100, 200*time.Millisecond)
	h.is.Equal(order, []string{"older", "newer"})
}

// A worker that was emptied for an isolated task is idle once that has ended. If it took
// tasks that rank before the next isolated one, it would have to become idle each time.
func TestIdleWorkerIsKeptForNextIsolatedTask(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	for n := range 3 {
		h.isolatedJob(fmt.Sprint("suspect", n), 500*time.Millisecond)
	}
	h.now = h.now.Add(time.Minute)
	h.startTerm()
	h.reconcileWorkers()
	h.submit("filler", tasks(8, 1000))
	order := h.playDone(100, 200*time.Millisecond)
	h.is.True(len(order) > 3)
	h.is.Equal(order[:3], []string{"suspect0", "suspect1", "suspect2"})
}

// Where one task of a queue has crashed a worker that it had for itself, others of the
// queue may do so as well. If many started together on a worker, its crash would put all
// of them under suspicion, and take all along.
func TestTasksOfCrashingQueueStartApart(t *testing.T) {
	for name, test := range map[string]struct {
		crashes []*jobwire.TaskCrash
		// atOnce holds how many tasks start together.
		atOnce []int
	}{
		"a task has certainly crashed its worker": {
			crashes: []*jobwire.TaskCrash{crashBeside(1), crashAlone(2)},
			atOnce:  []int{isolator.FewSuspects, 4 - isolator.FewSuspects},
		},
		"a worker may have crashed by itself": {
			crashes: []*jobwire.TaskCrash{crashAlone(1)},
			atOnce:  []int{4},
		},
		"workers may have crashed under other tasks": {
			crashes: []*jobwire.TaskCrash{crashBeside(1), crashBeside(2)},
			atOnce:  []int{4},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.addWorker("b") // one is kept free for the task that has crashed its worker
			h.submit("deadly", tasks(1, 1000))
			h.apply(&jobwire.Command{
				Change: &jobwire.Command_Crashes{
					Crashes: &jobwire.TaskCrashes{
						Crashes: test.crashes,
					},
				},
			})
			h.submit("job", tasks(4, 1000))
			h.startTerm()
			h.reconcileWorkers()
			var startedAt []time.Time
			var started []jobscheduler.Start
			var atOnce []int
			for range 60 {
				before := len(started)
				for _, start := range h.acceptStarts() {
					if start.Task.GetJob() == "job" {
						started = append(started, start)
					}
				}
				if n := len(started) - before; n > 0 {
					startedAt = append(startedAt, h.now)
					atOnce = append(atOnce, n)
				}
				h.answerPolls(runningOf(started))
				h.advance(10 * time.Millisecond)
			}
			h.is.Equal(atOnce, test.atOnce)
			for i := 1; i < len(startedAt); i++ {
				h.is.True(startedAt[i].Sub(startedAt[i-1]) > 50*time.Millisecond)
			}
		})
	}
}

// A job with a task that was given up is over, so that its crashes are gone. If a new leader
// didn't know that its queue crashes workers, it would start many tasks of it together.
func TestNewLeaderKnowsQueueOfTaskGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		since  time.Duration
		atOnce int
	}{
		"given up just now": {
			since:  time.Second,
			atOnce: isolator.FewSuspects,
		},
		"given up long ago": {
			since:  16 * time.Second,
			atOnce: 4,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("deadly", tasks(1, 1000))
			h.apply(&jobwire.Command{
				Change: &jobwire.Command_Crashes{
					Crashes: &jobwire.TaskCrashes{
						Crashes: []*jobwire.TaskCrash{crashAlone(1), crashAlone(2)},
					},
				},
			})
			h.now = h.now.Add(test.since)
			h.submit("job", tasks(4, 1000))
			h.startTerm()
			h.reconcileWorkers()
			h.is.Equal(len(h.acceptStarts()), test.atOnce)
		})
	}
}

// crashBeside returns a crash of a worker under the task of a job, beside others.
func crashBeside(run uint64) *jobwire.TaskCrash {
	return &jobwire.TaskCrash{
		Task:  task("deadly", 0, 0),
		Run:   run,
		Begun: true,
	}
}

// crashAlone returns a crash just after the worker had started the task alone.
func crashAlone(run uint64) *jobwire.TaskCrash {
	return &jobwire.TaskCrash{
		Task:     task("deadly", 0, 0),
		Run:      run,
		Alone:    true,
		Prompt:   true,
		Suspects: 1,
		Begun:    true,
	}
}
