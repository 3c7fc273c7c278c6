package measurer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/scheduler"
)

const (
	roleScheduler = "scheduler of a data centre"

	// passRate is the number of passes per second: one every 100 ms, the tick of
	// the daemon.
	passRate = 10

	// maxPassMillis is the design's goal for the length of one pass.
	maxPassMillis = 100

	// queuedTasks is the number of tasks in the queues during each measured pass.
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
					target: hostsPerDataCentre,
					bound:  maxPassMillis,
				},
				{
					name:   "processor time at the whole fleet",
					unit:   duration,
					target: targetHosts,
					bound:  maxPassMillis,
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
					target: hostsPerDataCentre,
					bound:  maxMemoryMB,
				},
			},
			measure: func(_ context.Context, n int) ([]float64, error) {
				s := oneDataCentre(n)
				return []float64{retainedBytes(func() *dataCentreScheduler { return newDataCentreScheduler(s, tasksPerWorker) })}, nil
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
					target: tasksPerWorker,
					rate:   2 * hostsPerDataCentre,
					bound:  maxCorePercent,
				},
			},
			measure: measurePoll,
		},
	}
}

// passMetrics returns the load of regular passes in one data centre, and the time
// of one pass if a single scheduler served the whole fleet.
func passMetrics() []metric {
	return []metric{
		{
			name:   "processor time at one data centre",
			unit:   cpuTime,
			target: hostsPerDataCentre,
			rate:   passRate,
			bound:  maxCorePercent,
		},
		{
			name:   "one pass at the whole fleet",
			unit:   duration,
			target: targetHosts,
			bound:  maxPassMillis,
		},
	}
}

func measureIdlePass(_ context.Context, n int) ([]float64, error) {
	t := newDataCentreScheduler(oneDataCentre(n), tasksPerWorker)
	return []float64{cpuPerCall(func() { t.pass() })}, nil
}

func measureFullPass(_ context.Context, n int) ([]float64, error) {
	t := newDataCentreScheduler(oneDataCentre(n), tasksPerWorker)
	t.submit(queuedTasks, 2)
	if countAssigned(t.pass()) > 0 {
		return nil, errors.New("a full data centre took another task")
	}
	return []float64{cpuPerCall(func() { t.pass() })}, nil
}

func measurePlacingPass(_ context.Context, n int) ([]float64, error) {
	count := 0
	each := cpuPerPreparedCall(func() *dataCentreScheduler {
		t := newDataCentreScheduler(oneDataCentre(n), 0)
		t.submit(queuedTasks, tasksPerWorker)
		return t
	}, func(t *dataCentreScheduler) { count = countAssigned(t.pass()) })
	if count < min(n, queuedTasks)/2 {
		return nil, errors.Errorf("only %d tasks were placed", count)
	}
	return []float64{each}, nil
}

// countAssigned returns the number of tasks that the actions assign to workers.
func countAssigned(actions []scheduler.Action) int {
	count := 0
	for _, a := range actions {
		if _, ok := a.(scheduler.Assigned); ok {
			count++
		}
	}
	return count
}

func measurePoll(_ context.Context, n int) ([]float64, error) {
	t := newDataCentreScheduler(oneDataCentre(targetPools), n)
	host := 0
	return []float64{cpuPerCall(func() {
		host = (host + 1) % t.size.hosts
		t.now = t.now.Add(time.Millisecond)
		t.poll(host)
	})}, nil
}
