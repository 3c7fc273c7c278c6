// Package meter provides the Prometheus metrics of one entry host.
package meter

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/heathermux/heathermux/pkg/timer"
)

// Meter holds the metrics of one entry host. It is safe for concurrent use.
// Create one with New.
type Meter struct {
	clock     timer.Clock
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	durations *prometheus.HistogramVec
}

// New returns a meter with metrics of HTTP requests, the Go runtime and the
// process. The clock is used to measure request durations.
func New(clock timer.Clock) *Meter {
	m := &Meter{
		clock:    clock,
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heathermux_http_requests_total",
			Help: "HTTP requests by interface and status.",
		}, []string{"interface", "status"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "heathermux_http_request_seconds",
			Help:    "Time from the arrival of an HTTP request to the end of its response.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 15),
		}, []string{"interface"}),
	}
	m.registry.MustRegister(
		m.requests,
		m.durations,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Gauge registers a gauge named "heathermux_" and name. The value function is
// called on each scrape, possibly from several goroutines at once. Gauge panics
// if the name is registered already.
func (m *Meter) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "heathermux_" + name,
		Help: help,
	}, value))
}

// Registerer returns the registry, for components that register their own
// metrics.
func (m *Meter) Registerer() prometheus.Registerer { return m.registry }

// Handler returns the HTTP handler for scrapes of the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Wrap returns a handler that calls next and records the count and duration of
// requests.
func (m *Meter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := m.clock.Now()
		recorder := &statusRecorder{
			ResponseWriter: w,
			status:         http.StatusOK,
		}
		next.ServeHTTP(recorder, r)
		name := interfaceOf(r.URL.Path)
		m.requests.WithLabelValues(name, strconv.Itoa(recorder.status)).Inc()
		m.durations.WithLabelValues(name).Observe(m.clock.Now().Sub(start).Seconds())
	})
}

// interfaceOf returns the value of the interface label for a path. There are only
// a few values, because each one creates a time series. The first matching
// prefix decides.
func interfaceOf(path string) string {
	for _, i := range []struct{ prefix, name string }{
		{
			prefix: "/q/",
			name:   "requests",
		},
		{
			prefix: "/v1/tasks",
			name:   "tasks",
		},
		{
			prefix: "/v1/jobs",
			name:   "jobs",
		},
		{
			prefix: "/v1/job-workers",
			name:   "job-workers",
		},
		{
			prefix: "/v1/upstreams",
			name:   "upstreams",
		},
		{
			prefix: "/v1/workers",
			name:   "workers",
		},
		{
			prefix: "/v1/",
			name:   "operators",
		},
	} {
		if strings.HasPrefix(path, i.prefix) {
			return i.name
		}
	}
	return "other"
}

// statusRecorder stores the status code of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader stores the status code, unless it is informational, and forwards
// it.
func (r *statusRecorder) WriteHeader(status int) {
	if status >= http.StatusOK {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
