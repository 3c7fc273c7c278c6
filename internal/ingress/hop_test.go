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

// hopConnections is the connections of one upstream of the first users.
const hopConnections = 64

// load sends requests to a URL on hopConnections connections for a time, each
// with an interval between its requests or, if that is 0, at once again. It
// returns the requests a second and the sorted latencies.
func load(b *testing.B, url string, d, interval time.Duration) (float64, []time.Duration) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: hopConnections,
			MaxConnsPerHost:     hopConnections,
		},
	}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	begin := time.Now()
	for worker := range hopConnections {
		wg.Go(func() {
			var own []time.Duration
			next := begin.Add(interval * time.Duration(worker) / hopConnections)
			for time.Since(begin) < d {
				time.Sleep(time.Until(next))
				next = next.Add(interval)
				start := time.Now()
				resp, err := client.Get(url)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Error("a request failed")
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				own = append(own, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
		})
	}
	wg.Wait()
	slices.Sort(all)
	return float64(len(all)) / time.Since(begin).Seconds(), all
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

func median(values []float64) float64 {
	values = slices.Sorted(slices.Values(values))
	return values[len(values)/2]
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// processorTime is what the whole process has used: client, ingress and stand-in.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHop compares a stand-in upstream called directly and through one
// ingress, in turns, with the same client and number of connections: first at
// saturation, then at half of the ingress's saturation. Metrics are medians of
// the turns. Run it with -benchtime 1x.
func BenchmarkHop(b *testing.B) {
	s := newSite(b)
	u := s.upstream("open", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 64))
	})
	u.Slots, u.Connections = hopConnections, hopConnections
	s.setUpstreams(u)
	direct, through := "http://"+u.GetAddress()+"/a", s.server.URL+"/q/open/a"
	const turn = time.Second
	metrics := make(map[string][]float64)
	note := func(name string, v float64) { metrics[name] = append(metrics[name], v) }
	// use returns the rate of a turn and notes the processor time of a request.
	use := func(name, url string) float64 {
		used := processorTime()
		rate, all := load(b, url, turn, 0)
		note(name+"-cpu-µs", micros(processorTime()-used)/float64(len(all)))
		note(name+"-rps", rate)
		return rate
	}
	for b.Loop() {
		for range 5 {
			direct := use("direct", direct)
			note("throughput-ratio", use("through", through)/direct)
		}
		interval := time.Duration(hopConnections * 2 * float64(time.Second) / median(metrics["through-rps"]))
		for range 5 {
			_, d := load(b, direct, turn, interval)
			_, t := load(b, through, turn, interval)
			note("added-p50-µs", micros(quantile(t, 0.5)-quantile(d, 0.5)))
			note("added-p99-µs", micros(quantile(t, 0.99)-quantile(d, 0.99)))
		}
	}
	for name, values := range metrics {
		b.ReportMetric(median(values), name)
	}
}
