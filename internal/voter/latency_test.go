package voter_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
)

// latencyRecorder measures the latencies of concurrent calls.
type latencyRecorder struct {
	b         *testing.B
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyRecorder(b *testing.B) *latencyRecorder {
	return &latencyRecorder{
		b:         b,
		histogram: hdrhistogram.New(1, int64(time.Minute), 3),
	}
}

// run makes b.N calls from the given number of goroutines.
func (t *latencyRecorder) run(callers int, call func(i int) error) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(t.b.N); i = next.Add(1) {
				start := time.Now()
				is.New(t.b).NoErr(call(int(i)))
				t.mu.Lock()
				_ = t.histogram.RecordValue(int64(time.Since(start)))
				t.mu.Unlock()
			}
		})
	}
	wg.Wait()
}

func (t *latencyRecorder) report() {
	t.b.ReportMetric(float64(t.b.N)/t.b.Elapsed().Seconds(), "changes/s")
	t.b.ReportMetric(float64(t.histogram.ValueAtQuantile(50))/1e6, "p50-ms")
	t.b.ReportMetric(float64(t.histogram.ValueAtQuantile(99))/1e6, "p99-ms")
}
