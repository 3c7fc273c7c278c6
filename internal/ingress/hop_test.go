package ingress_test

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// hopConnections is the number of connections per upstream, as in the deployments
// of the first users.
const hopConnections = 64

// sendLoad sends requests to a URL on hopConnections connections for the duration
// d. Each connection sends one request per interval or, if that is 0, the next one
// right after each response. It returns the requests per second and the sorted
// latencies.
func sendLoad(b *testing.B, url string, d, interval time.Duration) (float64, []time.Duration) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: hopConnections,
			MaxConnsPerHost:     hopConnections,
		},
	}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	begin := time.Now()
	for worker := range hopConnections {
		wg.Go(func() {
			var workerLatencies []time.Duration
			next := begin.Add(interval * time.Duration(worker) / hopConnections)
			for time.Since(begin) < d {
				time.Sleep(time.Until(next))
				next = next.Add(interval)
				start := time.Now()
				resp, err := client.Get(url)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Error("request failed: transport error or status other than 200")
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				workerLatencies = append(workerLatencies, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, workerLatencies...)
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return float64(len(latencies)) / time.Since(begin).Seconds(), latencies
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

func median(values []float64) float64 {
	values = slices.Sorted(slices.Values(values))
	return values[len(values)/2]
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// processorTime returns the CPU time used by the process, which runs the client,
// the ingress and the test upstream.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHop measures the cost of the proxy hop. It calls a test upstream
// alternately directly and through one ingress, with the same client and number of
// connections: first at saturation, then at half of the ingress's saturation rate.
// The metrics are medians of the rounds. Run it with -benchtime 1x.
func BenchmarkHop(b *testing.B) {
	s := newTestHost(b)
	u := s.startUpstream("open", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 64))
	})
	u.Slots, u.Connections = hopConnections, hopConnections
	s.setUpstreams(u)
	directURL, throughURL := "http://"+u.GetAddress()+"/a", s.server.URL+"/q/open/a"
	const roundDuration = time.Second
	metrics := make(map[string][]float64)
	addMetric := func(name string, v float64) { metrics[name] = append(metrics[name], v) }
	// measureRate runs one round at saturation, records the CPU time per request and
	// the rate, and returns the rate.
	measureRate := func(name, url string) float64 {
		used := processorTime()
		rate, latencies := sendLoad(b, url, roundDuration, 0)
		addMetric(name+"-cpu-µs", micros(processorTime()-used)/float64(len(latencies)))
		addMetric(name+"-rps", rate)
		return rate
	}
	for b.Loop() {
		for range 5 {
			directRate := measureRate("direct", directURL)
			addMetric("throughput-ratio", measureRate("through", throughURL)/directRate)
		}
		interval := time.Duration(hopConnections * 2 * float64(time.Second) / median(metrics["through-rps"]))
		for range 5 {
			_, directLatencies := sendLoad(b, directURL, roundDuration, interval)
			_, throughLatencies := sendLoad(b, throughURL, roundDuration, interval)
			addMetric("added-p50-µs", micros(quantile(throughLatencies, 0.5)-quantile(directLatencies, 0.5)))
			addMetric("added-p99-µs", micros(quantile(throughLatencies, 0.99)-quantile(directLatencies, 0.99)))
		}
	}
	for name, values := range metrics {
		b.ReportMetric(median(values), name)
	}
}
