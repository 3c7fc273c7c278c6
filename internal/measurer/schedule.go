package measurer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/scheduler"
)

const (
	roleScheduler = "scheduler of a data centre"

	// passRate is one pass every 100 ms, the tick of the daemon.
	passRate = 10

	// passGoal is the goal of the design for one pass, in milliseconds.
	passGoal = 100

	// queuedTasks wait in each measured pass.
	queuedTasks = 5000
)

func schedulerProbes() []probe {
	sizes := []int{50, 700, 2200, 6600}
	return []probe{
		{
			role:    roleScheduler,
			name:    "pass with nothing queued, 20 tasks on each worker",
			axis:    "workers",
			sizes:   sizes,
			metrics: passMetrics(),
			measure: measureIdlePass,
		},
		{
			role:    roleScheduler,
			name:    "pass over a full data centre with 5,000 tasks queued",
			axis:    "workers",
			sizes:   sizes,
			metrics: passMetrics(),
			measure: measureFullPass,
		},
		{
			role:  roleScheduler,
			name:  "pass that places up to 5,000 tasks on idle workers",
			axis:  "workers",
			sizes: sizes,
			metrics: []metric{
				{
					name:   "processor time at one data centre",
					unit:   duration,
					target: hostsHere,
					bound:  passGoal,
				},
				{
					name:   "processor time at the whole fleet",
					unit:   duration,
					target: targetHosts,
					bound:  passGoal,
				},
			},
			measure: measurePlacingPass,
		},
		{
			role:  roleScheduler,
			name:  "memory with 20 tasks on each worker",
			axis:  "workers",
			sizes: []int{50, 200, 600},
			metrics: []metric{
				{
					name:   "memory",
					unit:   memory,
					target: hostsHere,
					bound:  boundMemory,
				},
			},
			measure: func(_ context.Context, n int) ([]float64, error) {
				s := here(n)
				return []float64{held(func() *site { return newSite(s, tasksOfWorker) })}, nil
			},
		},
		{
			role:  roleScheduler,
			name:  "poll of one worker, 2 a second from 600 workers",
			axis:  "tasks on it",
			sizes: []int{0, 5, 10, 20, 40},
			metrics: []metric{
				{
					name:   "processor time",
					unit:   cpuTime,
					target: tasksOfWorker,
					rate:   2 * hostsHere,
					bound:  boundCore,
				},
			},
			measure: measurePoll,
		},
	}
}

// passMetrics are the load of the regular pass in one data centre, and the
// time of one pass if one scheduler had the whole fleet.
func passMetrics() []metric {
	return []metric{
		{
			name:   "processor time at one data centre",
			unit:   cpuTime,
			target: hostsHere,
			rate:   passRate,
			bound:  boundCore,
		},
		{
			name:   "one pass at the whole fleet",
			unit:   duration,
			target: targetHosts,
			bound:  passGoal,
		},
	}
}

func measureIdlePass(_ context.Context, n int) ([]float64, error) {
	t := newSite(here(n), tasksOfWorker)
	return []float64{perCall(func() { t.pass() })}, nil
}

func measureFullPass(_ context.Context, n int) ([]float64, error) {
	t := newSite(here(n), tasksOfWorker)
	t.submit(queuedTasks, 2)
	if placed(t.pass()) > 0 {
		return nil, errors.New("a full data centre took another task")
	}
	return []float64{perCall(func() { t.pass() })}, nil
}

func measurePlacingPass(_ context.Context, n int) ([]float64, error) {
	count := 0
	each := perFreshCall(func() *site {
		t := newSite(here(n), 0)
		t.submit(queuedTasks, tasksOfWorker)
		return t
	}, func(t *site) { count = placed(t.pass()) })
	if count < min(n, queuedTasks)/2 {
		return nil, errors.Errorf("only %d tasks were placed", count)
	}
	return []float64{each}, nil
}

func placed(actions []scheduler.Action) int {
	count := 0
	for _, a := range actions {
		if _, ok := a.(scheduler.Assigned); ok {
			count++
		}
	}
	return count
}

func measurePoll(_ context.Context, n int) ([]float64, error) {
	t := newSite(here(targetPools), n)
	host := 0
	return []float64{perCall(func() {
		host = (host + 1) % t.shape.hosts
		t.now = t.now.Add(time.Millisecond)
		t.poll(host)
	})}, nil
}
