package jobscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
)

// burstLimit is the maximum number of orders of one kind in one pass of the
// leader: each takes about 0.2 ms of its processor, and half of a processor has
// to remain for its heartbeats, 100 ms apart, to be in time.
const burstLimit = 50

// A new leader of a large fleet must not poll all workers at once: handling the
// answers would cost it the leadership. Dead workers must not delay the others.
func TestNewLeaderAsksFewAtOnce(t *testing.T) {
	const fleet, dead = 350, 100
	h := newHarness(t)
	for i := range fleet {
		h.addWorker(fmt.Sprint("w", i))
	}
	h.startTerm()
	asked := make(map[string]bool)
	begun := h.now
	for len(asked) < fleet && h.now.Sub(begun) < 2*time.Second {
		h.advance(14 * time.Millisecond)
		polls := takeAll[jobscheduler.Poll](h)
		h.is.True(len(polls) <= burstLimit)
		for _, poll := range polls {
			asked[poll.Target.ID] = true
			var n int
			_, err := fmt.Sscanf(poll.Target.ID, "w%d", &n)
			h.is.NoErr(err)
			if n < dead {
				continue
			}
			h.withScheduler(func() {
				h.sched.PollAnswered(poll, jobscheduler.PollAnswer{
					SentAt: h.now,
					Clock:  h.clock(),
				})
			})
		}
	}
	h.is.Equal(len(asked), fleet)
	// Callers are told to wait one second for a new leader.
	h.is.True(h.now.Sub(begun) < time.Second)
}

// The starts of a peak must be spread over several passes, with the next pass due
// at once while some are left, and none may be forgotten. More hosts that send
// orders allow larger parts.
func TestPeakStartsInParts(t *testing.T) {
	const jobs, each = 30, 8
	for name, senders := range map[string]int{
		"one order sender":    1,
		"three order senders": 3,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.orderSenders = senders
			for i := range jobs {
				h.addWorker(fmt.Sprint("w", i))
			}
			h.startTerm()
			h.reconcileWorkers()
			for i := range jobs {
				h.submit(fmt.Sprint("job", i), tasks(each, 1000))
			}
			started, passes := 0, 0
			for started < jobs*each && passes < jobs*each {
				h.advance(0)
				passes++
				n := len(h.acceptStarts())
				h.is.True(n <= burstLimit*senders)
				started += n
				if started < jobs*each {
					h.machine.View(func(*jobkeeper.State) { h.is.True(!h.sched.Next().After(h.now)) })
				}
			}
			h.is.Equal(started, jobs*each)
			h.is.True(passes <= jobs*each/burstLimit/senders+2)
		})
	}
}
