package voter_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
)

// times measures calls that run at once.
type times struct {
	b         *testing.B
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newTimes(b *testing.B) *times {
	return &times{
		b:         b,
		histogram: hdrhistogram.New(1, int64(time.Minute), 3),
	}
}

// run makes b.N calls from a number of goroutines.
func (t *times) run(callers int, call func(i int) error) {
	var next atomic.Int64
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for i := next.Add(1); i <= int64(t.b.N); i = next.Add(1) {
				start := time.Now()
				is.New(t.b).NoErr(call(int(i)))
				t.mu.Lock()
				_ = t.histogram.RecordValue(int64(time.Since(start)))
				t.mu.Unlock()
			}
		})
	}
	wait.Wait()
}

func (t *times) report() {
	t.b.ReportMetric(float64(t.b.N)/t.b.Elapsed().Seconds(), "changes/s")
	t.b.ReportMetric(float64(t.histogram.ValueAtQuantile(50))/1e6, "p50-ms")
	t.b.ReportMetric(float64(t.histogram.ValueAtQuantile(99))/1e6, "p99-ms")
}
