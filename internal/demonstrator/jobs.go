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
	// jobsPerSecond is the total submission rate of jobs.
	jobsPerSecond = 5
	// jobCompletionTimeout is how long accepted jobs may take to complete after
	// the load has ended.
	jobCompletionTimeout = 15 * time.Second
)

// jobBody is the format of a job with two steps, the second of which depends on
// the first.
const jobBody = `{"queue": %q, "steps": [
	{"tasks": 4, "processors": "2 cores", "memory": "1GiB", "run-time": "150ms"},
	{"tasks": 2, "processors": "2 cores", "memory": "1GiB", "run-time": "150ms", "after": [0]}]}`

// jobCounts has the results of job submissions as the submitters saw them.
type jobCounts struct {
	mu sync.Mutex
	// accepted maps the IDs of accepted jobs to the keys they were submitted with.
	accepted map[string]string
	// completed counts the accepted jobs that reached the state "completed".
	completed int
	// refused counts refusals by detail.
	refused map[string]int
}

func newJobCounts() *jobCounts {
	return &jobCounts{
		accepted: make(map[string]string),
		refused:  make(map[string]int),
	}
}

// jobRuns counts the executions of jobs' tasks on the emulated workers and
// detects tasks that run twice. Its maps are keyed by task.
type jobRuns struct {
	mu        sync.Mutex
	running   map[string]int
	completed map[string]int
	// duplicateStarts counts starts of a task that was already running or done.
	duplicateStarts int
}

// Started implements emulator.JobLedger.
func (r *jobRuns) Started(task string, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[task]++; r.running[task] > 1 || r.completed[task] > 0 {
		r.duplicateStarts++
	}
}

// Ended implements emulator.JobLedger.
func (r *jobRuns) Ended(task string, _ uint64, ending emulator.JobEnding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]--
	if ending == emulator.JobDone {
		r.completed[task]++
	}
}

// Noted implements emulator.JobLedger.
func (*jobRuns) Noted(string, uint64, emulator.JobEnding) {}

// jobSubmitters generates job load and waits for the accepted jobs to complete.
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
		routes: routesForKind(d, keys, "jobs"),
		counts: counts,
	}
}

// run submits jobs at a constant rate until ctx ends, and then waits for the
// accepted ones. It returns at once if no team has a queue of jobs.
func (s *jobSubmitters) run(ctx context.Context) {
	defer s.client.GetClient().CloseIdleConnections()
	ticker := time.NewTicker(time.Second / jobsPerSecond)
	defer ticker.Stop()
	for n := 0; len(s.routes) > 0; n++ {
		select {
		case <-ctx.Done():
			s.group.Wait()
			s.awaitCompletion()
			return
		case <-ticker.C:
			r := s.routes[n%len(s.routes)]
			url := s.fleet.hosts[n%len(s.fleet.hosts)].url
			s.group.Go(func() { s.submit(r, url) })
		}
	}
}

func (s *jobSubmitters) submit(r route, url string) {
	var problem problemDetails
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

// awaitCompletion polls the accepted jobs until all are completed or
// jobCompletionTimeout has passed.
func (s *jobSubmitters) awaitCompletion() {
	pending := make(map[string]string)
	for id, key := range s.counts.accepted {
		pending[id] = key
	}
	for deadline := time.Now().Add(jobCompletionTimeout); len(pending) > 0 && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for id, key := range pending {
			var status struct {
				State string `json:"state"`
			}
			response, err := s.client.R().SetAuthToken(key).SetResult(&status).Get(s.fleet.hosts[0].url + "/v1/jobs/" + id)
			if err == nil && response.StatusCode() == http.StatusOK && status.State == "completed" {
				delete(pending, id)
			}
		}
	}
	s.counts.completed = len(s.counts.accepted) - len(pending)
}
