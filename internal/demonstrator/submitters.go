package demonstrator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/heathermux/heathermux/internal/loader"
)

const (
	// tasksPerSecond is the total submission rate of tasks.
	tasksPerSecond = 40

	// urgentFraction is the fraction of tasks that are urgent.
	urgentFraction = 0.1
)

// submissionCounts has the results of task submissions as the submitters saw them.
type submissionCounts struct {
	mu sync.Mutex
	// accepted lists the IDs of accepted tasks.
	accepted []string
	// urgent maps the IDs of accepted urgent tasks to the times they were sent.
	urgent map[string]time.Time
	// refused counts refusals by detail.
	refused map[string]int
}

func newSubmissionCounts() *submissionCounts {
	return &submissionCounts{
		urgent:  make(map[string]time.Time),
		refused: make(map[string]int),
	}
}

// submitters generates task load with the teams' keys.
type submitters struct {
	client *resty.Client
	fleet  *fleet
	routes []route
	counts *submissionCounts
	group  sync.WaitGroup
}

// taskRequest is the body of POST /v1/tasks.
type taskRequest struct {
	Queue        string `json:"queue"`
	Processors   string `json:"processors"`
	Memory       string `json:"memory"`
	Accelerators int    `json:"accelerators"`
	Deadline     string `json:"deadline"`
	Idempotent   bool   `json:"idempotent"`
	Urgent       bool   `json:"urgent"`
}

func newSubmitters(d loader.Deployment, keys map[string]string, f *fleet, counts *submissionCounts) *submitters {
	return &submitters{
		client: resty.New().SetTimeout(callerTimeout),
		fleet:  f,
		routes: routesForKind(d, keys, "tasks"),
		counts: counts,
	}
}

// routesForKind lists the team key and queue pairs of all queues of one kind.
func routesForKind(d loader.Deployment, keys map[string]string, kind string) []route {
	kinds := make(map[string]string)
	for _, q := range d.Queues {
		kinds[q.Name] = q.Kind
	}
	var routes []route
	for _, contract := range d.Contracts {
		for _, team := range contract.Teams {
			for _, q := range team.Queues {
				if kinds[q] == kind {
					routes = append(routes, route{
						key:   keys[team.Name],
						queue: q,
					})
				}
			}
		}
	}
	return routes
}

// run submits tasks at a constant rate until ctx ends, and then waits for the
// submissions in flight.
func (s *submitters) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(3, 4))
	ticker := time.NewTicker(time.Second / tasksPerSecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.group.Wait()
			s.client.GetClient().CloseIdleConnections()
			return
		case <-ticker.C:
			r := s.routes[random.IntN(len(s.routes))]
			host := random.IntN(len(s.fleet.hosts))
			urgent := random.Float64() < urgentFraction
			s.group.Go(func() { s.submit(r, s.fleet.hosts[host].url, urgent) })
		}
	}
}

func (s *submitters) submit(r route, url string, urgent bool) {
	sent := time.Now()
	var problem problemDetails
	var status struct {
		ID string `json:"id"`
	}
	response, err := s.client.R().SetAuthToken(r.key).SetError(&problem).SetResult(&status).SetBody(taskRequest{
		Queue:      r.queue,
		Processors: "4 cores",
		Memory:     "8GiB",
		Deadline:   "1m",
		Idempotent: true,
		Urgent:     urgent,
	}).Post(url + "/v1/tasks")
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	switch {
	case err != nil:
		s.counts.refused["no response"]++
	case response.IsError():
		s.counts.refused[problem.Detail]++
	default:
		s.counts.accepted = append(s.counts.accepted, status.ID)
		if urgent {
			s.counts.urgent[status.ID] = sent
		}
	}
}
