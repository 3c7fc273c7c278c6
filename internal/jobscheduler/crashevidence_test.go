package jobscheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
)

// A worker crashes just after it has started the task that makes it crash. A task that it
// had started somewhat before is hardly the cause; if it counted as a suspect like the
// last one, many harmless tasks would wait for a worker of their own.
func TestLastStartsBeforeCrashAreSuspects(t *testing.T) {
	for name, test := range map[string]struct {
		apart     time.Duration
		bystander bool
	}{
		"started long before": {
			apart:     200 * time.Millisecond,
			bystander: true,
		},
		"started with the last one": {
			apart: 20 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("first", tasks(1, 1000))
			h.startTerm()
			h.reconcileWorkers()
			h.is.Equal(len(h.acceptStarts()), 1)
			h.now = h.now.Add(test.apart)
			h.submit("last", tasks(1, 1000))
			h.advance(time.Millisecond)
			h.is.Equal(len(h.acceptStarts()), 1)
			h.advance(20 * time.Millisecond)
			h.disconnectPolls("a")
			h.replaceWorker("a", "b")
			h.advance(time.Millisecond)
			records := takeAll[jobscheduler.RecordCrashes](h)
			h.is.Equal(len(records), 1)
			h.is.Equal(len(records[0].Crashes), 2)
			for _, c := range records[0].Crashes {
				h.is.Equal(c.GetBystander(), test.bystander && c.GetTask().GetJob() == "first")
			}
		})
	}
}

// A leader that is lost after a crash has recorded which runs were bystanders. If its
// successor took them for suspects, harmless tasks would wait for workers of their own.
func TestNewLeaderKeepsBystanders(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("first", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	h.is.Equal(len(h.acceptStarts()), 1)
	h.now = h.now.Add(200 * time.Millisecond)
	h.submit("last", tasks(1, 1000))
	h.advance(time.Millisecond)
	h.is.Equal(len(h.acceptStarts()), 1)
	h.advance(20 * time.Millisecond)
	h.disconnectPolls("a")
	h.advance(time.Millisecond)
	h.is.Equal(len(h.recordPlacements()), 2)
	h.startTerm()
	h.advance(time.Millisecond)
	h.disconnectPolls("a")
	h.replaceWorker("a", "b")
	h.advance(time.Millisecond)
	records := takeAll[jobscheduler.RecordCrashes](h)
	h.is.Equal(len(records), 1)
	h.is.Equal(len(records[0].Crashes), 2)
	for _, c := range records[0].Crashes {
		h.is.Equal(c.GetBystander(), c.GetTask().GetJob() == "first")
		h.is.Equal(c.GetSuspects(), int32(1))
	}
}

// An order that a worker holds up for long may be executed later or never, and the crash
// of that worker then has another cause. If it counted like one just after a start, a
// harmless task would be given up.
func TestCrashBeforeHeldUpStart(t *testing.T) {
	for name, test := range map[string]struct {
		heldUp time.Duration
		// endsAtOnce is true when another order to the worker breaks off at once.
		endsAtOnce bool
		answer     jobscheduler.StartAnswer
		crashes    int
		begun      bool
	}{
		"connection broken at once": {
			heldUp:  20 * time.Millisecond,
			answer:  jobscheduler.StartDisconnected,
			crashes: 1,
			begun:   true,
		},
		"held up before": {
			heldUp:  175 * time.Millisecond,
			answer:  jobscheduler.StartDisconnected,
			crashes: 1,
		},
		"held up while the worker has ended": {
			heldUp:     600 * time.Millisecond,
			endsAtOnce: true,
			answer:     jobscheduler.StartDisconnected,
			crashes:    1,
		},
		"connection refused": {
			heldUp:     5 * time.Millisecond,
			endsAtOnce: true,
			answer:     jobscheduler.StartUndelivered,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.submit("job", tasks(1, 1000))
			if test.endsAtOnce {
				h.submit("other", tasks(1, 1000))
			}
			h.startTerm()
			h.reconcileWorkers()
			starts := make(map[string]jobscheduler.Start)
			for _, start := range takeAll[jobscheduler.Start](h) {
				starts[start.Task.GetJob()] = start
			}
			if test.endsAtOnce {
				h.withScheduler(func() { h.sched.StartAnswered(starts["other"], jobscheduler.StartDisconnected, 0) })
			}
			h.now = h.now.Add(test.heldUp)
			h.withScheduler(func() { h.sched.StartAnswered(starts["job"], test.answer, 0) })
			h.disconnectPolls("a")
			h.replaceWorker("a", "b")
			h.advance(time.Millisecond)
			crashes := 0
			for _, r := range takeAll[jobscheduler.RecordCrashes](h) {
				for _, c := range r.Crashes {
					if c.GetTask().GetJob() == "job" {
						crashes++
						h.is.Equal(c.GetBegun(), test.begun)
					}
				}
			}
			h.is.Equal(crashes, test.crashes)
		})
	}
}

// A new leader learns of runs from the first polls. They may have gone on for long, so a
// crash soon after tells nothing of them.
func TestRunOfFormerLeaderHasNotJustStarted(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	starts := h.acceptStarts()
	h.is.Equal(len(starts), 1)
	h.now = h.now.Add(2 * time.Second)
	h.startTerm()
	h.advance(0)
	h.answerPolls(runningOf(starts))
	h.advance(20 * time.Millisecond)
	h.disconnectPolls("a")
	h.replaceWorker("a", "b")
	h.advance(time.Millisecond)
	records := takeAll[jobscheduler.RecordCrashes](h)
	h.is.Equal(len(records), 1)
	h.is.Equal(records[0].Crashes[0].GetPrompt(), false)
}

// A worker that crashes under one task breaks off the order to start another one, which it
// has not executed. If that counted as begun, a harmless task would be given up after a
// crash less.
func TestOrderThatAnotherCrashBreaksOff(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("deadly", tasks(1, 1000))
	h.submit("other", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	h.now = h.now.Add(10 * time.Millisecond)
	for _, start := range takeAll[jobscheduler.Start](h) {
		answer := jobscheduler.StartDisconnected
		if start.Task.GetJob() == "deadly" {
			answer = jobscheduler.StartAccepted
		}
		h.withScheduler(func() { h.sched.StartAnswered(start, answer, 0) })
	}
	h.disconnectPolls("a")
	h.replaceWorker("a", "b")
	h.advance(time.Millisecond)
	records := takeAll[jobscheduler.RecordCrashes](h)
	h.is.Equal(len(records), 1)
	h.is.Equal(len(records[0].Crashes), 2)
	for _, c := range records[0].Crashes {
		h.is.Equal(c.GetSuspects(), int32(2))
		h.is.Equal(c.GetBegun(), c.GetTask().GetJob() == "deadly")
	}
}

// Many workers may end at once for a reason outside, just after one of them has started a
// task alone. That crash tells less than one by itself, and the task must not be given up
// for it as early.
func TestCrashTogetherWithOthersIsNotCertain(t *testing.T) {
	for name, test := range map[string]struct {
		other    time.Duration
		suspects int32
	}{
		"another worker at the same time": {
			other: 5 * time.Millisecond,
		},
		"another worker later": {
			other:    500 * time.Millisecond,
			suspects: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.addWorker("b")
			step := tasks(2, 1000)
			step.MostPerWorker = 1
			h.submit("job", step)
			h.startTerm()
			h.reconcileWorkers()
			starts := h.acceptStarts()
			h.is.Equal(len(starts), 2)
			h.now = h.now.Add(10 * time.Millisecond)
			h.withScheduler(func() { h.sched.StartAnswered(starts[0], jobscheduler.StartDisconnected, 0) })
			h.now = h.now.Add(test.other)
			h.withScheduler(func() { h.sched.StartAnswered(starts[1], jobscheduler.StartDisconnected, 0) })
			h.replaceWorker(starts[0].Target.ID, "c")
			h.advance(time.Millisecond)
			records := takeAll[jobscheduler.RecordCrashes](h)
			h.is.Equal(len(records), 1)
			h.is.True(records[0].Crashes[0].GetAlone())
			h.is.Equal(records[0].Crashes[0].GetSuspects(), test.suspects)
		})
	}
}

// breakPoll fails the pending polls of a worker as a crash does.
func (h *harness) breakPoll(id string) {
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		if poll.Target.ID != id {
			h.actions = append(h.actions, poll)
			continue
		}
		h.withScheduler(func() {
			h.sched.PollAnswered(poll, jobscheduler.PollAnswer{
				Failed:       true,
				Disconnected: true,
			})
		})
	}
}

// Where one event ends several workers, their tasks have nothing to do with it. The first
// one is noticed before the others, and a leader may be lost before the crashes are counted;
// if its successor didn't know that they came together, harmless tasks would be given up.
func TestCrashTogetherWithOtherJobs(t *testing.T) {
	for name, test := range map[string]struct {
		sameJob   bool
		apart     time.Duration
		newLeader bool
		others    int32
	}{
		"at the same time": {
			apart:  60 * time.Millisecond,
			others: 1,
		},
		"at the same time, with a task of the same job": {
			sameJob: true,
			apart:   60 * time.Millisecond,
		},
		"later": {
			apart: 300 * time.Millisecond,
		},
		"at the same time, before a change of leader": {
			apart:     60 * time.Millisecond,
			newLeader: true,
			others:    1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.addWorker("b")
			if test.sameJob {
				h.submit("job", tasks(2, 8000))
			} else {
				h.submit("job", tasks(1, 8000))
				h.submit("other", tasks(1, 8000))
			}
			h.startTerm()
			h.reconcileWorkers()
			starts := h.acceptStarts()
			h.is.Equal(len(starts), 2)
			if starts[0].Task.GetJob() == "other" {
				slices.Reverse(starts)
			}
			h.advance(time.Second)
			h.breakPoll(starts[0].Target.ID)
			h.advance(test.apart)
			h.recordPlacements()
			h.breakPoll(starts[1].Target.ID)
			h.advance(time.Millisecond)
			h.recordPlacements()
			if test.newLeader {
				h.startTerm()
				h.advance(time.Millisecond)
			}
			h.replaceWorker(starts[0].Target.ID, "c")
			h.breakPoll(starts[0].Target.ID)
			h.advance(time.Millisecond)
			records := takeAll[jobscheduler.RecordCrashes](h)
			h.is.Equal(len(records), 1)
			h.is.Equal(records[0].Crashes[0].GetOthers(), test.others)
		})
	}
}

// A long-running task that has worked for some time when its worker ends is hardly the
// cause. How long it has is known from polls that the worker has answered since its start.
func TestCrashTellsHowLongRunHasLasted(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(1, 1000))
	h.startTerm()
	h.reconcileWorkers()
	start := h.acceptStarts()[0]
	h.advance(time.Second)
	h.answerPolls(map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
		},
	})
	h.advance(500 * time.Millisecond)
	h.breakPoll("a")
	h.replaceWorker("a", "b")
	h.advance(time.Millisecond)
	records := takeAll[jobscheduler.RecordCrashes](h)
	h.is.Equal(len(records), 1)
	h.is.Equal(records[0].Crashes[0].GetLivedMs(), int64(1000))
}
