package jobscheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// doneAfterCopy plays a start whose first copy gets no answer. The second one is executed, and the task is
// done.
func (h *harness) doneAfterCopy() {
	h.submit("job", tasks(1, 1000))
	h.advance(time.Millisecond)
	first := takeAll[jobscheduler.Start](h)[0]
	h.advance(500 * time.Millisecond)
	h.withScheduler(func() { h.sched.StartAnswered(first, jobscheduler.StartUnknown, 0) })
	h.advance(time.Millisecond)
	second := h.acceptStarts()[0]
	h.is.True(second.Target.Epoch > first.Target.Epoch) // so that the worker refuses the first copy
	h.advance(100 * time.Millisecond)
	for range 2 {
		h.answerPolls(map[string]jobscheduler.PollAnswer{
			"a": {
				Ended: []jobscheduler.EndedTask{endedTask(1, task("job", 0, 0), 1, jobwire.Ending_ENDING_DONE)},
			},
		})
		h.recordEnds()
		h.advance(time.Millisecond)
	}
}

// A copy of a start that got no answer was executed by the next incarnation of the worker after
// the task was done: nothing had told that one of a fencing token before its first heartbeat.
// It has to be probed from its birth on, as long as the copy may be executed.
func TestNextIncarnationLearnsFenceBeforeItsHeartbeat(t *testing.T) {
	tests := map[string]struct {
		// end is what tells that the worker has ended.
		end func(h *harness)
	}{
		"ends in silence": {
			end: func(*harness) {},
		},
		"is removed": {
			end: func(h *harness) { h.forget("a") },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.startTerm()
			h.reconcileWorkers()
			h.doneAfterCopy()
			test.end(h)
			longest, last := time.Duration(0), h.now
			for range 2600 {
				h.advance(5 * time.Millisecond)
				for _, poll := range takeAll[jobscheduler.Poll](h) {
					h.is.True(poll.Target.Epoch >= 1)
					h.is.Equal(poll.Target.ID, "a")
					longest = max(longest, h.now.Sub(last))
					last = h.now
					h.withScheduler(func() {
						h.sched.PollAnswered(poll, jobscheduler.PollAnswer{
							Failed:       true,
							Refused:      true,
							Disconnected: true,
						})
					})
				}
			}
			longest = max(longest, h.now.Sub(last))
			h.is.True(longest <= 150*time.Millisecond)
			h.advance(4 * time.Second)
			takeAll[jobscheduler.Poll](h)
			h.is.Equal(len(h.sched.Pass(h.now, 1)), 0) // the copy can't be executed any more
		})
	}
}

// The order is answered while the worker is not known, as after a deregistration that overtakes
// it. It may be executed late all the same.
func TestUnansweredStartOfRemovedWorkerIsProbed(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.startTerm()
	h.reconcileWorkers()
	h.submit("job", tasks(1, 1000))
	h.advance(time.Millisecond)
	start := takeAll[jobscheduler.Start](h)[0]
	takeAll[jobscheduler.Poll](h)
	h.forget("a")
	h.withScheduler(func() { h.sched.StartAnswered(start, jobscheduler.StartDisconnected, 0) })
	h.advance(time.Millisecond)
	probes := takeAll[jobscheduler.Poll](h)
	h.is.Equal(len(probes), 1)
	h.is.True(probes[0].Probe)
	h.is.Equal(probes[0].Target.Epoch, start.Target.Epoch+1)
	h.restartWorker("a")
	h.advance(time.Millisecond)
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		h.is.True(poll.Target.Epoch > start.Target.Epoch+1) // above what the probes have told
	}
}

// A former leader may have sent starts that got no answer, which its successor doesn't know. The
// next incarnation of a worker that is silent at the change executed one before its first
// heartbeat. Such workers are probed as long as that is possible, and others are not.
func TestSilentWorkerIsProbedByNewLeader(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.addWorker("b")
	h.startTerm()
	probes, lastAt := 0, h.now
	for h.now.Sub(lastAt) < 2*time.Second {
		h.advance(5 * time.Millisecond)
		for _, poll := range takeAll[jobscheduler.Poll](h) {
			if poll.Probe {
				h.is.Equal(poll.Target.ID, "a")
				h.is.True(h.now.Sub(lastAt) <= 300*time.Millisecond)
				probes++
				lastAt = h.now
			}
			silent := poll.Target.ID == "a"
			h.withScheduler(func() {
				h.sched.PollAnswered(poll, jobscheduler.PollAnswer{
					Failed:       silent,
					Refused:      silent,
					Disconnected: silent,
					Clock:        h.clock(),
					SentAt:       h.now,
				})
			})
		}
	}
	h.is.True(probes > 400) // for 15 s, one each 25 ms and a little more
	h.is.True(probes < 700)
}

// A poll that acknowledged ends reached a later incarnation, which numbers its ends anew: it
// forgot an end that nobody had read, and the done task ran again. Ends are acknowledged only to a
// worker that has just answered.
func TestEndsAreNotAcknowledgedAfterFailedPoll(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.startTerm()
	h.reconcileWorkers()
	h.submit("job", tasks(2, 1000))
	h.advance(time.Millisecond)
	h.acceptStarts()
	h.advance(100 * time.Millisecond)
	answer := map[string]jobscheduler.PollAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{runningTask(task("job", 0, 1), 1)},
			Ended:   []jobscheduler.EndedTask{endedTask(1, task("job", 0, 0), 1, jobwire.Ending_ENDING_DONE)},
		},
	}
	h.answerPolls(answer)
	h.advance(time.Millisecond)
	h.recordEnds()
	h.advance(time.Millisecond)
	first := takeAll[jobscheduler.Poll](h)[0]
	h.is.Equal(first.LastRecordedEnd, uint64(1))
	h.withScheduler(func() {
		h.sched.PollAnswered(first, jobscheduler.PollAnswer{
			Failed: true,
		})
	})
	h.advance(300 * time.Millisecond)
	second := h.takeOrdinaryPolls()[0]
	h.is.Equal(second.LastRecordedEnd, uint64(0))
	h.is.True(second.Target.Epoch > first.Target.Epoch) // so that the first one is refused
	h.actions = append(h.actions, second)
	h.answerPolls(answer)
	h.advance(20 * time.Millisecond)
	h.is.Equal(h.takeOrdinaryPolls()[0].LastRecordedEnd, uint64(1))
}

// takeOrdinaryPolls returns the pending polls but for probes.
func (h *harness) takeOrdinaryPolls() []jobscheduler.Poll {
	polls := takeAll[jobscheduler.Poll](h)
	return slices.DeleteFunc(polls, func(p jobscheduler.Poll) bool { return p.Probe })
}
