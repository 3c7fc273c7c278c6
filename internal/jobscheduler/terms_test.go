package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
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
