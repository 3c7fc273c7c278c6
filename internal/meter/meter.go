// Package meter counts what one entry host does, for /metrics.
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

// Meter holds the metrics of one entry host. It may be used from any number of
// goroutines; make one with New.
type Meter struct {
	clock    timer.Clock
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// New returns a meter with the metrics of the process.
func New(clock timer.Clock) *Meter {
	m := &Meter{
		clock:    clock,
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heathermux_http_requests_total",
			Help: "HTTP requests by interface and status.",
		}, []string{"interface", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "heathermux_http_request_seconds",
			Help:    "Time from the arrival of an HTTP request to the end of its response.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 15),
		}, []string{"interface"}),
	}
	m.registry.MustRegister(
		m.requests,
		m.seconds,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Gauge adds a metric whose value is read when the metrics are fetched.
func (m *Meter) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "heathermux_" + name,
		Help: help,
	}, value))
}

// Registerer takes the metrics of parts that make their own.
func (m *Meter) Registerer() prometheus.Registerer { return m.registry }

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Wrap counts the requests that next serves.
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
		m.seconds.WithLabelValues(name).Observe(m.clock.Now().Sub(start).Seconds())
	})
}

// interfaceOf names the interface that a path belongs to. It has few values,
// because each one is a series of its own.
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

// statusRecorder remembers the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and passes it on.
func (r *statusRecorder) WriteHeader(status int) {
	if status >= http.StatusOK {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the real writer.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
