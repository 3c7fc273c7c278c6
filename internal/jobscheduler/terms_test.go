package jobscheduler_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// queueIn returns a queue whose jobs run in a pool.
func queueIn(name, pool string) *jobwire.Queue {
	return &jobwire.Queue{
		Name:        name,
		Pool:        pool,
		Attempts:    3,
		Stretch:     2,
		TargetNanos: int64(time.Second),
	}
}

// queueWithTarget returns a queue with a target, whose jobs run in the pool "p".
func queueWithTarget(name string, stretch float64, target time.Duration) *jobwire.Queue {
	q := queueIn(name, "p")
	q.Stretch, q.TargetNanos = stretch, int64(target)
	return q
}

// replaceQueues puts a configuration with the pools "p" and "p2" and the given queues in force.
func (h *harness) replaceQueues(version uint64, queues ...*jobwire.Queue) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: version,
				Queues:  queues,
				Pools: []*jobwire.Pool{
					{
						Name: "p",
					},
					{
						Name: "p2",
					},
				},
			},
		},
	})
}

// submitTo submits a job of one task with the given estimated run time, which takes a whole
// worker, under the terms of its queue.
func (h *harness) submitTo(q *jobwire.Queue, id string, estimate time.Duration) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Submit{
			Submit: &jobwire.Job{
				Id:                  id,
				Queue:               q.GetName(),
				Account:             "big",
				AcceptedAtUnixNanos: h.wall().UnixNano(),
				Terms:               jobkeeper.QueueTerms(q),
				Steps: []*jobwire.Step{
					{
						Tasks: 1,
						Each: &wire.Resources{
							MilliCores: 8000,
						},
						EstimateNanos: int64(estimate),
					},
				},
			},
		},
	})
}

// A change of leader must not change until when an accepted job is in time. Jobs whose queue
// was away counted as too late, and others were held against targets under which they were
// not accepted, so that the wrong ones started first.
func TestJobKeepsItsTarget(t *testing.T) {
	urgent, leisurely := queueWithTarget("urgent", 1, 300*time.Millisecond), queueWithTarget("leisurely", 6, time.Second)
	accepting := []*jobwire.Queue{urgent, leisurely}
	cases := map[string]struct {
		// before and after are the queues before and after the change of leader.
		before, after []*jobwire.Queue
	}{
		"queues unchanged": {
			before: accepting,
			after:  accepting,
		},
		"queues removed and added": {
			after: accepting,
		},
		"targets changed": {
			before: []*jobwire.Queue{queueWithTarget("urgent", 10, 0), queueWithTarget("leisurely", 1, 300*time.Millisecond)},
			after:  accepting,
		},
		"targets changed later": {
			before: accepting,
			after:  []*jobwire.Queue{queueWithTarget("urgent", 10, 0), queueWithTarget("leisurely", 1, 300*time.Millisecond)},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("a")
			h.replaceQueues(2, accepting...)
			h.submitTo(urgent, "urgent", 200*time.Millisecond)
			h.submitTo(leisurely, "leisurely", 100*time.Millisecond)
			h.replaceQueues(3, c.before...)
			h.startTerm()
			h.replaceQueues(4, c.after...)
			h.reconcileWorkers()
			h.is.Equal(formatStarts(h.acceptStarts()), "urgent.0.0@a ")
		})
	}
}

// awayCase tells what becomes of a queue before its jobs start.
type awayCase struct {
	queues []*jobwire.Queue
	// newLeader has the leader change after the queues.
	newLeader bool
}

// awayCases returns cases with the given queues under the same leader and under a new one.
func awayCases(queues ...*jobwire.Queue) map[string]awayCase {
	return map[string]awayCase{
		"same leader": {
			queues: queues,
		},
		"new leader": {
			queues:    queues,
			newLeader: true,
		},
	}
}

// play has the queues of a case replace those of the harness, without a free worker before.
func (c awayCase) play(h *harness) {
	h.replaceQueues(100, c.queues...)
	if c.newLeader {
		h.startTerm()
	}
}

// addWorkerOf adds a worker of a pool.
func (h *harness) addWorkerOf(pool, id string) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:         id,
				Born:       1,
				Pool:       pool,
				Address:    id + ":1",
				DataCentre: "dc",
				Capacity: &wire.Resources{
					MilliCores:  8000,
					MemoryBytes: 1 << 30,
				},
			},
		},
	})
}

// A task must not get a second run because its queue has moved to another pool, at once or by
// being removed and added: the leader is lost, and its successor has to hear from the workers
// of the former pool before it starts tasks of the queue in the new one, however long ago the
// queue has moved, since tasks that run stay where they are.
func TestNewLeaderWaitsForFormerPoolOfMovedQueue(t *testing.T) {
	accepting, moved := queueIn("moving", "p"), queueIn("moving", "p2")
	cases := map[string]struct {
		// before and after are the queues before and after the change of leader.
		before, after [][]*jobwire.Queue
		// settled is how long the last of them before it has been in force.
		settled time.Duration
	}{
		"moved": {
			before: [][]*jobwire.Queue{{moved}},
		},
		"removed and added": {
			before: [][]*jobwire.Queue{{}, {moved}},
		},
		"removed for two versions": {
			before: [][]*jobwire.Queue{{}, {}, {moved}},
		},
		"moved long ago": {
			before:  [][]*jobwire.Queue{{moved}},
			settled: time.Minute,
		},
		"moved after the change of leader": {
			after: [][]*jobwire.Queue{{moved}},
		},
		"added after the change of leader": {
			before: [][]*jobwire.Queue{{}},
			after:  [][]*jobwire.Queue{{moved}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.replaceQueues(2, accepting)
			h.addWorkerOf("p", "a")
			h.addWorkerOf("p2", "b")
			h.startTerm()
			h.reconcileWorkers()
			h.submitTo(accepting, "job", 10*time.Minute)
			h.advance(time.Millisecond)
			h.is.Equal(formatStarts(h.acceptStarts()), "job.0.0@a ")
			version := uint64(2)
			replaceAll := func(changes [][]*jobwire.Queue) {
				for _, queues := range changes {
					version++
					h.now = h.now.Add(time.Second)
					h.replaceQueues(version, queues...)
				}
			}
			replaceAll(c.before)
			h.now = h.now.Add(c.settled)
			h.startTerm()
			h.advance(0)
			replaceAll(c.after)
			// Worker b reports that it runs nothing; worker a does not answer yet.
			for _, poll := range takeAll[jobscheduler.Poll](h) {
				if poll.Target.ID == "b" {
					h.withScheduler(func() {
						h.sched.PollAnswered(poll, jobscheduler.PollAnswer{
							SentAt: h.now,
							Clock:  h.clock(),
						})
					})
				}
			}
			h.advance(time.Millisecond)
			h.is.Equal(formatStarts(h.acceptStarts()), "")
		})
	}
}

// The jobs of a removed queue go on in the pool of the last configuration that had it, and
// follow the queue when it comes back with another pool. After a change of leader they waited
// without any pool until the queue came back.
func TestJobsOfRemovedQueueRunInItsLastPool(t *testing.T) {
	accepting := queueIn("away", "p")
	cases := map[string]struct {
		changes [][]*jobwire.Queue
		starts  string
	}{
		"removed": {
			changes: [][]*jobwire.Queue{{}},
			starts:  "job.0.0@a ",
		},
		"moved and removed": {
			changes: [][]*jobwire.Queue{{queueIn("away", "p2")}, {}},
			starts:  "job.0.0@b ",
		},
		"removed and added with another pool": {
			changes: [][]*jobwire.Queue{{}, {queueIn("away", "p2")}},
			starts:  "job.0.0@b ",
		},
	}
	for name, c := range cases {
		for leader, newLeader := range map[string]bool{"same leader": false, "new leader": true} {
			t.Run(name+", "+leader, func(t *testing.T) {
				h := newHarness(t)
				h.replaceQueues(2, accepting)
				h.submitTo(accepting, "job", time.Second)
				h.startTerm()
				for i, queues := range c.changes {
					h.replaceQueues(uint64(3+i), queues...)
					if newLeader {
						h.startTerm()
					}
				}
				h.addWorkerOf("p", "a")
				h.addWorkerOf("p2", "b")
				h.reconcileWorkers()
				h.is.Equal(formatStarts(h.acceptStarts()), c.starts)
			})
		}
	}
}

// A job of a removed queue must keep its place among the others of its pool: without the
// priority of its queue it went first.
func TestJobsOfRemovedQueueKeepItsPriority(t *testing.T) {
	first, last := queueIn("first", "p"), queueIn("last", "p")
	last.Priority = 5
	first.Priority = 1
	changed := proto.CloneOf(last)
	changed.Priority = 0
	cases := map[string]struct {
		away   map[string]awayCase
		starts string
	}{
		"unchanged": {
			away:   awayCases(first, last),
			starts: "of-first.0.0@a ",
		},
		"removed": {
			away:   awayCases(first),
			starts: "of-first.0.0@a ",
		},
		"changed": {
			away:   awayCases(first, changed),
			starts: "of-last.0.0@a ",
		},
	}
	for name, c := range cases {
		for leader, away := range c.away {
			t.Run(name+", "+leader, func(t *testing.T) {
				h := newHarness(t)
				h.replaceQueues(2, first, last)
				h.submitTo(last, "of-last", 100*time.Millisecond)
				h.submitTo(first, "of-first", 100*time.Millisecond)
				h.startTerm()
				away.play(h)
				h.addWorker("a")
				h.reconcileWorkers()
				h.is.Equal(formatStarts(h.acceptStarts()), c.starts)
			})
		}
	}
}

// No task of an advised queue may start without a ticket, also while the queue is removed.
func TestJobsOfRemovedQueueNeedTickets(t *testing.T) {
	advised, free := queueIn("q", "p"), queueIn("q", "p")
	advised.Advised, advised.AdviceNanos = true, int64(70*time.Millisecond)
	cases := map[string]struct {
		away map[string]awayCase
		// timeout is that of the call of the adviser; 0 if it is not called.
		timeout time.Duration
		starts  string
	}{
		"unchanged": {
			away:    awayCases(advised),
			timeout: 70 * time.Millisecond,
		},
		"removed": {
			away:    awayCases(),
			timeout: 70 * time.Millisecond,
		},
		"no longer advised": {
			away:   awayCases(free),
			starts: "job.0.0@a ",
		},
	}
	for name, c := range cases {
		for leader, away := range c.away {
			t.Run(name+", "+leader, func(t *testing.T) {
				h := newHarness(t)
				h.replaceQueues(2, advised)
				h.submitTo(advised, "job", 100*time.Millisecond)
				h.startTerm()
				away.play(h)
				h.addWorker("a")
				h.reconcileWorkers()
				h.is.Equal(formatStarts(h.acceptStarts()), c.starts)
				calls := takeAll[jobscheduler.Advise](h)
				if c.timeout == 0 {
					h.is.Equal(len(calls), 0)
					return
				}
				h.is.Equal(len(calls), 1)
				h.is.True(calls[0].Timeout >= c.timeout)
			})
		}
	}
}
