package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// resize lets a worker report another capacity.
func (h *harness) resize(id string, milliCores int64) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:         id,
				Born:       1,
				Pool:       "p",
				Address:    id + ":1",
				DataCentre: "dc",
				Capacity: &wire.Resources{
					MilliCores:  milliCores,
					MemoryBytes: 1 << 30,
				},
			},
		},
	})
}

// runningOf returns the poll answers of workers that run what was started there.
func runningOf(starts []jobscheduler.Start) map[string]jobscheduler.PollAnswer {
	answers := make(map[string]jobscheduler.PollAnswer)
	for _, start := range starts {
		answer := answers[start.Target.ID]
		answer.Running = append(answer.Running, runningTask(start.Task, start.Run))
		answers[start.Target.ID] = answer
	}
	return answers
}

// A worker that became smaller keeps what fits. The newest batch tasks are stopped, a
// stop on its way counts until the run is gone, and once the worker has grown again tasks
// start there.
func TestShrunkWorkerStopsWhatNoLongerFits(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	lasting := tasks(1, 2000)
	lasting.Lasting = true
	h.submit("lasting", lasting)
	h.submit("old", tasks(1, 2000))
	h.startTerm()
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.submit("new", tasks(2, 2000))
	h.advance(200 * time.Millisecond)
	starts = append(starts, h.acceptStarts()...)
	h.is.Equal(len(starts), 4)

	h.resize("a", 5000)
	h.advance(100 * time.Millisecond)
	stops := takeAll[jobscheduler.Stop](h)
	h.is.Equal(len(stops), 2)
	for _, stop := range stops {
		h.is.Equal(stop.Task.GetJob(), "new")
	}
	h.submit("more", tasks(4, 1000))
	h.advance(100 * time.Millisecond)
	h.answerPolls(runningOf(starts))
	h.advance(100 * time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "") // the stopped runs are not gone

	for _, stop := range stops {
		h.withScheduler(func() { h.sched.StopAnswered(stop, true, h.clock()) })
	}
	h.advance(100 * time.Millisecond)
	h.answerPolls(runningOf(starts[:2]))
	h.advance(100 * time.Millisecond)
	h.is.Equal(len(h.acceptStarts()), 1) // 1,000 of 5,000 are free

	h.resize("a", 8000)
	h.advance(100 * time.Millisecond)
	h.is.Equal(len(takeAll[jobscheduler.Stop](h)), 0)
	h.is.True(len(takeAll[jobscheduler.Start](h)) >= 2)
}

// Long-running tasks of one step may not all be stopped because their workers shrink
// together: only as many as the step may miss.
func TestShrunkWorkersKeepWhatStepMayNotMiss(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	step := tasks(2, 2000)
	step.Lasting, step.MostPerWorker, step.MayMiss = true, 1, 1
	h.submit("lasting", step)
	h.startTerm()
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 2)
	for range 30 {
		h.advance(100 * time.Millisecond)
		h.answerPolls(runningOf(starts))
	}
	h.resize("a", 1000)
	h.resize("b", 1000)
	h.advance(100 * time.Millisecond)
	h.is.Equal(len(takeAll[jobscheduler.Stop](h)), 1)
}

// A new leader doesn't know what the runs of an ended job reserve. Where workers don't
// guard their capacity, it starts nothing there before these runs are gone.
func TestUnknownRunBlocksUnguardedWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.startTerm()
	h.advance(0)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(task("ended", 0, 0), 1)},
		},
	})
	h.submit("job", tasks(1, 4000))
	h.advance(100 * time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	stops := takeAll[jobscheduler.Stop](h)
	h.is.True(len(stops) > 0)
	h.withScheduler(func() { h.sched.StopAnswered(stops[0], true, h.clock()) })
	h.advance(100 * time.Millisecond)
	h.answerPolls(nil)
	h.advance(100 * time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@a ")
}

// A long-running task that has just started serves as well. It was stopped on a worker
// that became smaller, as if it were away anyway, while another one of its step was down.
func TestShrunkWorkerKeepsTaskThatHasJustStarted(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	step := tasks(2, 2000)
	step.Lasting, step.MostPerWorker, step.MayMiss = true, 1, 1
	h.submit("lasting", step)
	h.startTerm()
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 1) // the other one finds no worker
	h.play(time.Second, starts)
	h.resize("a", 1000)
	_, stopped := h.play(time.Second, starts)
	h.is.Equal(len(stopped), 0)
}
