package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// maxRestartTime is how long a long-running task may be away after its last run where there is
// room for it.
const maxRestartTime = 6 * time.Second

func lastingTasks(n int32, milliCores int64) *jobwire.Step {
	step := tasks(n, milliCores)
	step.Lasting = true
	return step
}

// A start that never left the leader's host can't be executed. Its task waited for 16 s, as if
// the silent worker might still begin it.
func TestTaskOfStartThatWasNotSentStartsElsewhereAtOnce(t *testing.T) {
	tests := map[string]struct {
		step   *jobwire.Step
		answer jobscheduler.StartAnswer
		// before are the answers to the earlier copies of the start.
		before []jobscheduler.StartAnswer
		// longest is how long after the first copy the task starts elsewhere at the latest.
		longest time.Duration
		// shortest is how long it must not.
		shortest time.Duration
	}{
		"a batch task": {
			step:    tasks(1, 1000),
			answer:  jobscheduler.StartNotSent,
			longest: 100 * time.Millisecond,
		},
		"a long-running task": {
			step:    lastingTasks(1, 1000),
			answer:  jobscheduler.StartNotSent,
			longest: 100 * time.Millisecond,
		},
		"a long-running task, connection refused": {
			step:    lastingTasks(1, 1000),
			answer:  jobscheduler.StartUndelivered,
			longest: 100 * time.Millisecond,
		},
		"after a copy that may have arrived": {
			step:     tasks(1, 1000),
			answer:   jobscheduler.StartNotSent,
			before:   []jobscheduler.StartAnswer{jobscheduler.StartUnknown},
			longest:  15200 * time.Millisecond,
			shortest: 14900 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("job", test.step)
			h.startTerm()
			h.reconcileWorkers()
			start := takeAll[jobscheduler.Start](h)[0]
			sentAt := h.now
			h.addWorker("b")
			h.advance(50 * time.Millisecond)
			h.failPolls("a")
			for _, answer := range append(test.before, test.answer) {
				h.withScheduler(func() { h.sched.StartAnswered(start, answer, 0) })
			}
			if len(test.before) > 0 {
				h.advance(0)
				takeAll[jobscheduler.Start](h) // the copies
			}
			for h.now.Sub(sentAt) <= test.shortest {
				h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
				h.advance(50 * time.Millisecond)
				h.failPolls("a")
			}
			for h.now.Sub(sentAt) < test.longest {
				h.advance(10 * time.Millisecond)
				h.failPolls("a")
			}
			h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
		})
	}
}

// A worker that was idle when it fell silent was given long-running tasks until it had missed
// two heartbeats, and each of them was away for 16 s.
func TestLongRunningTaskIsNotStartedOnSilentWorker(t *testing.T) {
	tests := map[string]struct {
		lasting bool
		want    string
	}{
		"a long-running task": {lasting: true, want: "job.0.0@b "},
		"a batch task":        {want: "job.0.0@a "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.addWorker("b")
			h.startTerm()
			h.reconcileWorkers()
			h.advance(2 * time.Second)
			step := tasks(1, 1000)
			step.Lasting = test.lasting
			h.submit("job", step)
			away := h.now
			var started string
			for started == "" && h.now.Sub(away) < maxRestartTime {
				h.advance(50 * time.Millisecond)
				h.failPolls("a")
				started = formatStarts(takeAll[jobscheduler.Start](h))
			}
			h.is.Equal(started, test.want)
		})
	}
}

// A long-running task goes to a worker that answers although another one would be filled first;
// but not to one on which it has just failed.
func TestLongRunningTaskPrefersWorkerThatAnswers(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	h.startTerm()
	h.reconcileWorkers()
	h.advance(2 * time.Second)
	h.submit("batch", tasks(1, 1000))
	h.advance(time.Millisecond)
	batch := h.acceptStarts()[0]
	h.is.Equal(batch.Target.ID, "a")
	h.advance(100 * time.Millisecond)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(batch.Task, batch.Run)},
		},
	})
	h.submit("job", lastingTasks(1, 1000))
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(h.acceptStarts()), "job.0.0@a ")

	// The task fails there, so that the other worker is the better one: it is polled first.
	h.advance(100 * time.Millisecond)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(batch.Task, batch.Run)},
			Ended:   []jobscheduler.EndedTask{endedTask(1, task("job", 0, 0), 1, jobwire.Ending_ENDING_FAILED)},
		},
	})
	h.advance(time.Millisecond)
	h.recordEnds()
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	h.advance(time.Millisecond)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(batch.Task, batch.Run)},
		},
	})
	h.advance(time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
}

// An order on a connection that carried its last answer long ago may be lost unnoticed, and its
// task waits as long as if it might still be executed.
func TestStartAsksForNewConnection(t *testing.T) {
	tests := map[string]struct {
		lasting bool
		// silent is how long ago the worker has answered.
		silent time.Duration
		want   bool
	}{
		"batch task, worker has just answered":        {},
		"batch task, worker has not answered for 2 s": {silent: 2 * time.Second, want: true},
		"long-running task":                           {lasting: true, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.startTerm()
			h.reconcileWorkers()
			h.advance(test.silent)
			step := tasks(1, 1000)
			step.Lasting = test.lasting
			h.submit("job", step)
			h.advance(time.Millisecond)
			starts := takeAll[jobscheduler.Start](h)
			h.is.Equal(len(starts), 1)
			h.is.Equal(starts[0].NewConnection, test.want)
			h.withScheduler(func() { h.sched.StartAnswered(starts[0], jobscheduler.StartUnknown, 0) })
			h.advance(time.Millisecond)
			copies := takeAll[jobscheduler.Start](h)
			h.is.Equal(len(copies), 1)
			h.is.True(copies[0].NewConnection) // the first copy got no answer on its connection
		})
	}
}

// A worker that has restarted is not polled before its heartbeat, but for probes, which
// acknowledge nothing: a poll of the former incarnation that acknowledges ends makes the later one
// forget ends that nobody has read, and done tasks run again. The outcome of a start that was in flight brought such a poll forward.
func TestRestartedWorkerIsNotPolledBeforeItsHeartbeat(t *testing.T) {
	tests := map[string]jobscheduler.StartAnswer{
		"no connection":      jobscheduler.StartNotSent,
		"connection refused": jobscheduler.StartUndelivered,
		"no answer":          jobscheduler.StartUnknown,
		"accepted":           jobscheduler.StartAccepted,
		"too late":           jobscheduler.StartLeaseExpired,
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.startTerm()
			h.reconcileWorkers()
			h.submit("job", tasks(1, 1000))
			h.advance(time.Millisecond)
			h.acceptStarts()
			h.advance(100 * time.Millisecond)
			h.answerPolls(map[string]jobscheduler.PollAnswer{
				"a": {
					Ended: []jobscheduler.EndedTask{endedTask(1, task("job", 0, 0), 1, jobwire.Ending_ENDING_DONE)},
				},
			})
			h.advance(time.Millisecond)
			h.recordEnds()
			h.submit("next", tasks(1, 1000))
			h.advance(time.Millisecond)
			start := takeAll[jobscheduler.Start](h)[0]
			poll := takeAll[jobscheduler.Poll](h)[0]
			h.withScheduler(func() {
				h.sched.PollAnswered(poll, jobscheduler.PollAnswer{
					Restarted: true,
				})
				h.sched.StartAnswered(start, answer, 0)
			})
			h.advance(300 * time.Millisecond)
			for _, poll := range takeAll[jobscheduler.Poll](h) {
				h.is.Equal(poll, jobscheduler.Poll{
					Target: poll.Target,
					Probe:  true,
				})
			}
		})
	}
}

// A worker to which there was no connection, of whose silence no poll has told yet, was the best one
// for the task again. It would be given it for each connection that fails.
func TestTaskIsNotGivenAgainToWorkerWithoutConnection(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", lastingTasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := takeAll[jobscheduler.Start](h)[0]
	h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartNotSent, 0) })
	for range 10 {
		h.advance(10 * time.Millisecond)
		h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
	}
	h.answerPolls(nil)
	h.advance(100 * time.Millisecond)
	h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@a ")
}

// A task waits from the last copy of its start that may have arrived. It waited from a later copy
// that was not sent.
func TestCopyThatWasNotSentDoesNotProlongWait(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := takeAll[jobscheduler.Start](h)[0]
	sentAt := h.now
	h.addWorker("b")
	for _, answer := range []jobscheduler.StartAnswer{jobscheduler.StartUnknown, jobscheduler.StartNotSent} {
		h.advance(500 * time.Millisecond)
		h.failPolls("a")
		h.withScheduler(func() { h.sched.StartAnswered(start, answer, 0) })
	}
	h.advance(time.Millisecond)
	takeAll[jobscheduler.Start](h) // the copy
	for len(takeAll[jobscheduler.Start](h)) == 0 {
		h.advance(10 * time.Millisecond)
		h.failPolls("a")
		h.is.True(h.now.Sub(sentAt) < 15200*time.Millisecond)
	}
	h.is.True(h.now.Sub(sentAt) > 14900*time.Millisecond)
}

// A task under which a worker has crashed was placed on one that is silent, and waited there for 2 s
// although a poll had shown the silence long before. Three such workers kept a long-running task away
// for 6 s.
func TestPlacementOnSilentWorkerIsDecidedAnewOnceItsPollFails(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	h.startTerm()
	h.reconcileWorkers()
	h.advance(2 * time.Second)
	h.submit("job", lastingTasks(1, 1000))
	h.crashed("job", 1)
	h.advance(time.Millisecond)
	h.is.Equal(h.recordPlacements()[0].Target.ID, "a")
	h.advance(600 * time.Millisecond)
	h.failPolls("a")
	began := h.now
	for len(takeAll[jobscheduler.Start](h)) == 0 {
		h.advance(10 * time.Millisecond)
		h.recordPlacements()
		h.failPolls("a")
		h.is.True(h.now.Sub(began) < 300*time.Millisecond)
	}
}

// A start of which a copy was not sent is given up, so that a worker that answers again is told to
// reject the earlier copy. Its task would wait for ever.
func TestEarlierCopyIsStoppedWhenWorkerAnswersAgain(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := takeAll[jobscheduler.Start](h)[0]
	for _, answer := range []jobscheduler.StartAnswer{jobscheduler.StartUnknown, jobscheduler.StartNotSent} {
		h.withScheduler(func() { h.sched.StartAnswered(start, answer, 0) })
	}
	for range 10 {
		h.advance(20 * time.Millisecond)
		h.answerPolls(nil)
	}
	stops := takeAll[jobscheduler.Stop](h)
	h.is.Equal(len(stops), 1)
	h.is.Equal(stops[0].Run, start.Run)
}

// A wave of maintenance was late because each long-running task that left a host waited for an
// answer of an idle worker. One whose next heartbeat is not overdue is not asked.
func TestLongRunningTaskAsksOnlyWorkerWhoseHeartbeatIsOverdue(t *testing.T) {
	tests := map[string]struct {
		silent time.Duration
		want   string
	}{
		"heartbeat in time": {silent: 1500 * time.Millisecond, want: "job.0.0@a "},
		"heartbeat overdue": {silent: 1800 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.heartbeat = 1500 * time.Millisecond
			h.addWorker("a")
			h.startTerm()
			h.reconcileWorkers()
			h.advance(5 * time.Second)
			h.answerPolls(nil)
			h.withScheduler(func() { h.sched.HeartbeatReceived("a", 1, h.clock()) })
			h.advance(test.silent)
			h.submit("job", lastingTasks(1, 1000))
			h.advance(time.Millisecond)
			h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), test.want)
		})
	}
}
