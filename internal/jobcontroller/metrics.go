package jobcontroller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// metrics are the counters and histograms of a Controller.
type metrics struct {
	calls          *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	firstStartWait prometheus.Histogram
}

func newMetrics() *metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 15)
	return &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heathermux_job_calls_total",
			Help: "Calls of submitters that the leader answered.",
		}, []string{"call", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "heathermux_job_call_seconds",
			Help:    "Time that the leader took for a call, with the writing of the log.",
			Buckets: buckets,
		}, []string{"call"}),
		firstStartWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "heathermux_first_start_seconds",
			Help:    "Time from the acceptance of a job, or its due time, to its first start.",
			Buckets: buckets,
		}),
	}
}

func (m *metrics) observe(call string, outcome jobwire.Outcome, duration time.Duration) {
	m.calls.WithLabelValues(call, outcome.String()).Inc()
	m.duration.WithLabelValues(call).Observe(duration.Seconds())
}

// gauge is a metric read from the scheduler of the current term.
type gauge struct {
	name string
	help string
	read func(m jobscheduler.Metrics) int64
}

// register registers the metrics, including the counters of the current term.
func (c *Controller) register() {
	r := c.opts.Registerer
	if r == nil {
		return
	}
	r.MustRegister(c.metrics.calls, c.metrics.duration, c.metrics.firstStartWait)
	gauges := []gauge{
		{
			name: "heathermux_task_starts",
			help: "Starts that this term has ordered.",
			read: func(m jobscheduler.Metrics) int64 { return m.Starts },
		},
		{
			name: "heathermux_task_done",
			help: "Runs that ended done in this term.",
			read: func(m jobscheduler.Metrics) int64 { return m.Done },
		},
		{
			name: "heathermux_task_failed",
			help: "Runs that failed in this term.",
			read: func(m jobscheduler.Metrics) int64 { return m.Failed },
		},
		{
			name: "heathermux_task_lost",
			help: "Runs that were lost in this term.",
			read: func(m jobscheduler.Metrics) int64 { return m.Lost },
		},
		{
			name: "heathermux_task_stops",
			help: "Stops that this term has ordered.",
			read: func(m jobscheduler.Metrics) int64 { return m.Stops },
		},
		{
			name: "heathermux_task_no_room",
			help: "Starts that a worker had no room for.",
			read: func(m jobscheduler.Metrics) int64 { return m.NoRoom },
		},
		{
			name: "heathermux_task_lapses",
			help: "Runs that ended with their lease.",
			read: func(m jobscheduler.Metrics) int64 { return m.Lapses },
		},
		{
			name: "heathermux_worker_crashes",
			help: "Workers that ended without notice in this term.",
			read: func(m jobscheduler.Metrics) int64 { return m.WorkerCrashes },
		},
		{
			name: "heathermux_tasks_given_up",
			help: "Tasks that were given up in this term because workers crash under them.",
			read: func(m jobscheduler.Metrics) int64 { return m.GivenUp },
		},
		{
			name: "heathermux_task_long_waits",
			help: "Waits of tasks with a place that were logged as long in this term.",
			read: func(m jobscheduler.Metrics) int64 { return m.LongWaits },
		},
		{
			name: "heathermux_near_starts",
			help: "Starts in this term of tasks on the rack of their data.",
			read: func(m jobscheduler.Metrics) int64 { return m.NearStarts },
		},
		{
			name: "heathermux_far_starts",
			help: "Starts in this term of tasks away from the rack of their data.",
			read: func(m jobscheduler.Metrics) int64 { return m.FarStarts },
		},
		{
			name: "heathermux_near_wait_milliseconds",
			help: "How long the tasks that started on the rack of their data have waited for a place there, in this term and all together.",
			read: func(m jobscheduler.Metrics) int64 { return m.NearWaitMillis },
		},
		{
			name: "heathermux_late_order_probes",
			help: "Polls in this term that only carry a fencing token to workers that may execute a start late.",
			read: func(m jobscheduler.Metrics) int64 { return m.Probes },
		},
		{
			name: "heathermux_task_copies",
			help: "Copies of slow tasks that were started in this term.",
			read: func(m jobscheduler.Metrics) int64 { return m.Copies },
		},
		{
			name: "heathermux_jobs_refused",
			help: "Jobs that were refused in this term because their pool could not do them in time.",
			read: func(m jobscheduler.Metrics) int64 { return m.Refused },
		},
		{
			name: "heathermux_jobs_waiting",
			help: "Open jobs of which no task has started.",
			read: func(m jobscheduler.Metrics) int64 { return m.Waiting },
		},
		{
			name: "heathermux_workers_known",
			help: "Workers that the leader knows.",
			read: func(m jobscheduler.Metrics) int64 { return m.Workers },
		},
	}
	for _, g := range gauges {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: g.name,
			Help: g.help + " It is 0 on hosts that do not lead.",
		}, func() float64 { return float64(g.read(c.counters())) }))
	}
}

// counters returns the counters of the current term, all 0 while this host does
// not lead.
func (c *Controller) counters() jobscheduler.Metrics {
	var m jobscheduler.Metrics
	c.opts.StateMachine.View(func(*jobkeeper.State) {
		if c.sched != nil {
			m = c.sched.Counters()
		}
	})
	return m
}
