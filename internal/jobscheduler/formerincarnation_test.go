package jobscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/ordersender"
)

// restartTogether ends the processes of several workers at random times. They are silent for
// some seconds and start again under their ids.
func (m *model) restartTogether() {
	down := m.between(minModelDownTime, 6*time.Second)
	for range 2 + m.rng.IntN(2) {
		w := m.workers[m.rng.IntN(len(m.workers))]
		if !m.down(w) {
			m.note("%s is silent for %v and restarts (the leader goes on)", w.id, down)
			m.restart(w, down+m.between(0, 500*time.Millisecond), false)
		}
	}
	m.after(m.between(10*time.Second, 20*time.Second), m.restartTogether)
}

// A worker that restarts under its id executes orders that were sent to its former
// incarnation, up to 12 s after they were sent: starts, which then run beside the next run of
// the task, and polls, which give it a lease that the leader does not know of. It must refuse
// them once an order to itself has reached it. What it begins before that stays possible, see
// docs/design/late-orders.md; such double runs are logged.
func TestLateOrdersToFormerIncarnationAreRefused(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := newModel(t, seed)
			m.reachLater, m.silentWhileDown, m.oneLeader = true, true, true
			m.after(m.between(2*time.Second, 10*time.Second), m.restartTogether)
			if twice := m.play(60 * time.Second); twice != "" {
				t.Error(twice)
			}
			if m.obeyedFormer != "" {
				t.Error(m.obeyedFormer)
			}
			if m.earlyTwice > 0 {
				t.Logf("%d double runs that began before an order to the later incarnation had reached it", m.earlyTwice)
			}
			if done := m.completed(); done < m.jobs/4 {
				t.Errorf("only %d of %d jobs completed: the model hardly starts tasks", done, m.jobs)
			}
		})
	}
}

// playUntil plays the model until a condition holds.
func (m *model) playUntil(what string, condition func() bool) {
	m.t.Helper()
	for n := range int(time.Minute / modelTick) {
		if condition() {
			return
		}
		m.step(n)
	}
	m.t.Fatalf("not within a minute: %s", what)
}

// A worker that has restarted executes a poll to its former incarnation seconds later, and
// held the longest lease from then on, of which the leader didn't know. It must refuse that
// poll, so that what it runs ends before the next run of the task begins.
func TestLatePollToFormerIncarnationProlongsLease(t *testing.T) {
	m := newModelWith(t, 0, 1)
	m.faults, m.failures = 0, 0
	a := m.workers[0]
	m.start = m.now
	m.startTerm()
	m.submit("first", tasks(1, 1000))
	// The deadline in the poll is a time on the clock of the former incarnation.
	m.playUntil("the former incarnation is 20 s old", func() bool { return m.now.Sub(m.start) > 20*time.Second })
	m.submit("second", tasks(1, 1000))
	var held jobscheduler.Poll
	m.playUntil("a poll extends the lease", func() bool {
		m.advance(0)
		for i, action := range m.actions {
			if poll, ok := action.(jobscheduler.Poll); ok && poll.Deadline > 0 {
				held = poll
				m.actions = append(m.actions[:i:i], m.actions[i+1:]...)
				return true
			}
		}
		m.carryOut()
		return false
	})
	m.startWorker(a)
	restartedAt := m.now
	m.register(a)
	m.playUntil("the job is done", func() bool { return m.completed() == 2 })
	m.lasting = true
	m.submit("long", tasks(1, 1000))
	m.playUntil("the task runs on the later incarnation", func() bool { return len(a.runs) == 1 })
	b := &modelWorker{
		id: "w1",
	}
	m.startWorker(b)
	m.register(b)
	m.workers = append(m.workers, b)
	m.playUntil("the poll is executed late", func() bool { return m.now.Sub(restartedAt) > 9*time.Second })
	deadline := a.deadline
	answer := m.poll(a, ordersender.FencingToken(m.term, held.Target), held)
	prolonged := a.deadline > deadline
	a.mode, a.modeEndsAt = neverExecuted, m.now.Add(time.Hour)
	m.playUntil("the task runs on the other worker", func() bool { return len(b.runs) == 1 })
	m.is.Equal(m.twice, "")
	m.is.Equal(len(a.runs), 0)
	m.is.True(answer.Failed)
	m.is.True(!prolonged)
}

// A worker that has restarted gets orders with a higher fencing token than its former
// incarnation, also when the leader had removed that one. An incarnation that comes back, for
// example after it was cut off for minutes, must not get a lower one than before: it would
// refuse all orders for the rest of the term.
func TestEpochRisesWithIncarnation(t *testing.T) {
	tests := map[string]struct {
		play func(h *harness)
		want uint64
	}{
		"first incarnation": {
			play: func(*harness) {},
		},
		"second incarnation": {
			play: func(h *harness) { h.restartWorker("a") },
			want: 1,
		},
		"third incarnation": {
			play: func(h *harness) {
				h.restartWorker("a")
				h.advance(time.Second)
				h.answerPolls(nil)
				h.restartWorker("a")
			},
			want: 2,
		},
		"another heartbeat of the second incarnation": {
			play: func(h *harness) {
				h.restartWorker("a")
				born := h.bornOf("a")
				h.advance(time.Second)
				h.answerPolls(nil)
				h.addIncarnation("a", born)
			},
			want: 1,
		},
		"second incarnation after the first was removed": {
			play: func(h *harness) {
				h.forget("a")
				h.advance(time.Second)
				h.restartWorker("a")
			},
			want: 1,
		},
		"removed incarnation that comes back": {
			play: func(h *harness) {
				h.restartWorker("a")
				born := h.bornOf("a")
				h.forget("a")
				h.advance(time.Second)
				h.addIncarnation("a", born)
			},
			want: 1,
		},
		"incarnation that comes back long after it was removed": {
			play: func(h *harness) {
				h.restartWorker("a")
				born := h.bornOf("a")
				h.forget("a")
				h.advance(2 * time.Minute)
				h.addIncarnation("a", born)
			},
			want: 1,
		},
		"third incarnation long after the second was removed": {
			// No order to the second can still be executed.
			play: func(h *harness) {
				h.restartWorker("a")
				h.forget("a")
				h.advance(2 * time.Minute)
				h.restartWorker("a")
			},
			want: 1,
		},
		"second incarnation in the next term": {
			play: func(h *harness) {
				h.restartWorker("a")
				h.startTerm()
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.startTerm()
			h.reconcileWorkers()
			h.advance(time.Second)
			test.play(h)
			poll := h.pollOf("a")
			h.is.Equal(poll.Target.Epoch, test.want)
			h.is.Equal(poll.Target.Born, h.bornOf("a"))
		})
	}
}

// pollOf returns the next poll of a worker. It has runs, so that it is polled.
func (h *harness) pollOf(id string) jobscheduler.Poll {
	h.t.Helper()
	h.submit("job", tasks(16, 1000))
	for range 100 {
		h.advance(100 * time.Millisecond)
		for _, poll := range takeAll[jobscheduler.Poll](h) {
			if poll.Target.ID == id {
				return poll
			}
		}
		h.acceptStarts()
	}
	h.t.Fatalf("%s was not polled within 10 s", id)
	return jobscheduler.Poll{}
}

// A worker that has restarted obeys orders to its former incarnation until the first order to
// itself reaches it. A poll that it executes at that moment gives it the longest lease from then on,
// and what it runs must not start elsewhere meanwhile.
func TestLeaseOfLatePollBeforeFirstOrderIsWaitedFor(t *testing.T) {
	tests := map[string]func(h *harness){
		"restarted": func(h *harness) { h.restartWorker("a") },
		"removed and back": func(h *harness) {
			h.forget("a")
			h.advance(time.Second)
			h.restartWorker("a")
		},
		"restarted before the change of leader": func(h *harness) {
			h.restartWorker("a")
			h.startTerm()
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.startTerm()
			h.reconcileWorkers()
			restart(h)
			for range 30 {
				h.advance(100 * time.Millisecond)
				h.failPolls("a")
			}
			h.advance(300 * time.Millisecond)
			h.answerPolls(nil)
			reachedAt := h.now
			h.submit("job", tasks(1, 1000))
			h.advance(time.Millisecond)
			start := h.acceptStarts()[0]
			h.advance(100 * time.Millisecond)
			h.answerPolls(map[string]jobscheduler.PollAnswer{
				"a": {
					Running: []jobscheduler.RunningTask{runningTask(start.Task, start.Run)},
				},
			})
			h.addWorker("b")
			silent := func() {
				h.advance(100 * time.Millisecond)
				h.failPolls("a")
				h.recordCrashes()
				h.recordPlacements()
			}
			for h.now.Sub(reachedAt) < maxLease {
				silent()
				h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "")
			}
			for range 20 {
				silent()
			}
			h.is.Equal(formatStarts(takeAll[jobscheduler.Start](h)), "job.0.0@b ")
		})
	}
}
