package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/heathermux/heathermux/internal/loader"
)

const (
	// jobsPerSecond is the load of jobs.
	jobsPerSecond = 5
	// settleTime bounds the time in which accepted jobs end after the load.
	settleTime = 15 * time.Second
)

// jobBody is a job of two steps, of which the second waits for the first.
const jobBody = `{"queue": %q, "steps": [
	{"tasks": 4, "processors": "2 cores", "memory": "1GiB", "run-time": "150ms"},
	{"tasks": 2, "processors": "2 cores", "memory": "1GiB", "run-time": "150ms", "after": [0]}]}`

// jobCounts is what submitters of jobs saw.
type jobCounts struct {
	mu sync.Mutex
	// accepted maps ids to the keys that their jobs came with.
	accepted map[string]string
	// completed counts the accepted jobs that were told to be completed.
	completed int
	refused   map[string]int
}

func newJobCounts() *jobCounts {
	return &jobCounts{
		accepted: make(map[string]string),
		refused:  make(map[string]int),
	}
}

// jobRuns checks the runs of tasks of jobs.
type jobRuns struct {
	mu   sync.Mutex
	live map[string]int
	done map[string]int
	// twice counts starts beside another run, or after an end.
	twice int
}

// Started implements emulator.JobLedger.
func (r *jobRuns) Started(task string, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.live[task]++; r.live[task] > 1 || r.done[task] > 0 {
		r.twice++
	}
}

// Ended implements emulator.JobLedger.
func (r *jobRuns) Ended(task string, _ uint64, how emulator.JobEnding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live[task]--
	if how == emulator.JobDone {
		r.done[task]++
	}
}

// Noted implements emulator.JobLedger.
func (*jobRuns) Noted(string, uint64, emulator.JobEnding) {}

// jobSubmitters post jobs and follow them to their end.
type jobSubmitters struct {
	client *resty.Client
	fleet  *fleet
	routes []route
	counts *jobCounts
	group  sync.WaitGroup
}

func newJobSubmitters(d loader.Deployment, keys map[string]string, f *fleet, counts *jobCounts) *jobSubmitters {
	return &jobSubmitters{
		client: resty.New().SetTimeout(callerTimeout),
		fleet:  f,
		routes: routesOf(d, keys, "jobs"),
		counts: counts,
	}
}

// run posts jobs at a constant rate until ctx ends, and then waits for the
// accepted ones.
func (s *jobSubmitters) run(ctx context.Context) {
	defer s.client.GetClient().CloseIdleConnections()
	ticker := time.NewTicker(time.Second / jobsPerSecond)
	defer ticker.Stop()
	for n := 0; len(s.routes) > 0; n++ {
		select {
		case <-ctx.Done():
			s.group.Wait()
			s.settle()
			return
		case <-ticker.C:
			r := s.routes[n%len(s.routes)]
			url := s.fleet.hosts[n%len(s.fleet.hosts)].url
			s.group.Go(func() { s.submit(r, url) })
		}
	}
}

func (s *jobSubmitters) submit(r route, url string) {
	var problem refusal
	var status struct {
		ID string `json:"id"`
	}
	response, err := s.client.R().SetAuthToken(r.key).SetError(&problem).SetResult(&status).
		SetHeader("Content-Type", "application/json").SetBody(fmt.Sprintf(jobBody, r.queue)).Post(url + "/v1/jobs")
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	switch {
	case err != nil:
		s.counts.refused["no response"]++
	case response.IsError():
		s.counts.refused[problem.Detail]++
	default:
		s.counts.accepted[status.ID] = r.key
	}
}

// settle asks for the accepted jobs until all are completed.
func (s *jobSubmitters) settle() {
	open := make(map[string]string)
	for id, key := range s.counts.accepted {
		open[id] = key
	}
	for end := time.Now().Add(settleTime); len(open) > 0 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for id, key := range open {
			var status struct {
				State string `json:"state"`
			}
			response, err := s.client.R().SetAuthToken(key).SetResult(&status).Get(s.fleet.hosts[0].url + "/v1/jobs/" + id)
			if err == nil && response.StatusCode() == http.StatusOK && status.State == "completed" {
				delete(open, id)
			}
		}
	}
	s.counts.completed = len(s.counts.accepted) - len(open)
}
