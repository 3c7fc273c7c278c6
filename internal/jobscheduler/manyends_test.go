package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// listEnds answers polls of worker "a" with the ends that it has not been told to forget, as
// many as one list holds.
func (h *harness) listEnds(ended []jobscheduler.EndedTask, listSize int) {
	for _, poll := range takeAll[jobscheduler.Poll](h) {
		answer := jobscheduler.PollAnswer{
			Clock:  h.clock(),
			SentAt: h.now,
		}
		if poll.Target.ID == "a" {
			left := ended[min(int(poll.LastRecordedEnd), len(ended)):]
			answer.Ended = left[:min(len(left), listSize)]
			answer.MoreEnds = len(answer.Ended) == listSize
		}
		h.withScheduler(func() { h.sched.PollAnswered(poll, answer) })
	}
}

// endAll returns the ends of the given starts.
func endAll(starts []jobscheduler.Start) []jobscheduler.EndedTask {
	var ended []jobscheduler.EndedTask
	for i, start := range starts {
		ended = append(ended, endedTask(uint64(i+1), start.Task, start.Run, jobwire.Ending_ENDING_DONE))
	}
	return ended
}

// completeByParts lets worker "a" list the ends in parts of three, and fails if a task of "job"
// starts meanwhile or the job is not completed by them.
func (h *harness) completeByParts(ended []jobscheduler.EndedTask) {
	h.t.Helper()
	for end := h.now.Add(2 * lease); h.now.Before(end); {
		h.advance(20 * time.Millisecond)
		h.listEnds(ended, 3)
		h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
		h.recordEnds()
	}
	h.machine.View(func(s *jobkeeper.State) { h.is.Equal(s.Jobs["job"].EndState, jobwire.JobState_JOB_STATE_COMPLETED) })
}

// More tasks end while nobody leads than a worker lists at once. To the next leader those that
// are not in the first list look like tasks that have never run; they must not start again.
func TestUnlistedEndsAreNotRunAgainByNewLeader(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(7, 1000))
	h.startTerm()
	h.reconcileWorkers()
	ended := endAll(h.acceptStarts())
	h.is.Equal(len(ended), 7)

	h.addWorker("b")
	h.startTerm()
	h.completeByParts(ended)
}

// The same without a change of leader: a worker answers no poll while more of its tasks end
// than it lists at once. A run in neither list of its next answer is not lost.
func TestUnlistedEndsAreNotRunAgainAfterSilence(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(7, 1000))
	h.startTerm()
	h.reconcileWorkers()
	ended := endAll(h.acceptStarts())
	h.is.Equal(len(ended), 7)
	h.addWorker("b")
	for end := h.now.Add(time.Second); h.now.Before(end); {
		h.advance(100 * time.Millisecond)
		h.failPolls("a")
	}
	h.completeByParts(ended)
}

// A worker lists a part of its ends to a new leader and then goes silent for good. The tasks
// that it may still run wait until its lease has ended, and no longer.
func TestWorkerThatGoesSilentAmongItsEndsIsGivenUp(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a")
	h.submit("job", tasks(2, 1000))
	h.startTerm()
	h.reconcileWorkers()
	ended := endAll(h.acceptStarts())

	h.addWorker("b")
	h.startTerm()
	h.advance(0)
	h.listEnds(ended, 1)
	begun := h.now
	started := ""
	for started == "" && h.now.Sub(begun) < 2*lease {
		h.advance(50 * time.Millisecond)
		h.failPolls("a")
		h.recordEnds()
		started = formatStarts(takeAll[jobscheduler.Start](h))
	}
	h.is.Equal(started, "job.0.1@b ")
	h.is.True(h.now.Sub(begun) >= lease)
}
