package soaker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	host   = "jobs.example"
	prefix = "/q/"
	key    = "soak-key"
	// submitGap is the time between two submissions.
	submitGap = 60 * time.Millisecond
	// submitTries is how often a submission is sent.
	submitTries = 3
	// jobTasks is the number of tasks of each of the two steps of a job.
	jobTasks = 2
)

// jobs is what submitters were told. It is safe for concurrent use.
type jobs struct {
	mu sync.Mutex
	// outcomes maps ids to accepted, refused or unknown.
	outcomes map[string]int
	ended    map[string]string
}

const (
	refused = iota
	unknown
	accepted
)

// configure sends the configuration until it is acknowledged and the fronts
// serve it.
func (s *soak) configure() error {
	s.jobs.outcomes, s.jobs.ended = make(map[string]int), make(map[string]string)
	body := fmt.Sprintf(`{"version":1,"routes":[{"name":"q","host":%q,"path_prefix":%q,"service":"pool","timeout_ms":3000,`+
		`"target_latency_ms":600,"attempts":3,"stretch":2}],"services":[{"name":"pool","enforces_capacity":true}],`+
		`"limits":{"max_body_bytes":100000},"tenants":[{"name":"t","api_keys":[%q],"weight":1}]}`, host, prefix, key)
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := s.client.Post("http://"+s.machines[0].control()+"/-/Config.Replace", "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("soaker: the configuration was not acknowledged in time")
}

// call sends one call to a front and returns its status, 0 without an answer.
func (s *soak) call(front int, method, id, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+s.machines[cores+front%fronts].front()+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// submitAll hands jobs in until stop is closed, and waits for the answers.
func (s *soak) submitAll(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(submitGap):
		}
		id := fmt.Sprintf("%016x", n+1)
		group.Go(func() { s.submit(n, id) })
	}
}

func (s *soak) submit(n int, id string) {
	const step = `{"count":%d,"cpu":500,"mem_mb":10,"est_duration_ms":300%s}`
	body := fmt.Sprintf(`{"spec":"","steps":[`+step+`,`+step+`]}`, jobTasks, "", jobTasks, `,"depends_on":[0]`)
	outcome := refused
	for try := range submitTries {
		status, _ := s.call(n+try, http.MethodPost, id, body)
		switch status {
		case http.StatusOK:
			outcome = accepted
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			outcome = max(outcome, unknown)
		}
		if outcome == accepted {
			break
		}
		time.Sleep(time.Second)
	}
	s.jobs.mu.Lock()
	defer s.jobs.mu.Unlock()
	s.jobs.outcomes[id] = outcome
}

// settle asks for all accepted jobs until they have ended.
func (s *soak) settle() {
	open := make(map[string]bool)
	for id, outcome := range s.jobs.outcomes {
		open[id] = outcome == accepted
	}
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		left := 0
		for id, wanted := range open {
			if !wanted {
				continue
			}
			status, text := s.call(0, http.MethodGet, id, "")
			var body struct {
				State string `json:"state"`
			}
			if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil && body.State == "completed" {
				s.jobs.ended[id] = body.State
				open[id] = false
				continue
			}
			if status == http.StatusGone {
				s.jobs.ended[id] = "gone"
			}
			left++
		}
		if left == 0 {
			return
		}
	}
}

// report compares what submitters were told with what has run.
func (j *jobs) report(l *ledger) Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := Report{}
	for id, outcome := range j.outcomes {
		switch outcome {
		case accepted:
			r.Accepted++
			if j.ended[id] == "completed" {
				r.Completed++
			} else {
				r.Broken = append(r.Broken, fmt.Sprintf("job %s was accepted and is not completed: %q", id, j.ended[id]))
			}
		case refused:
			r.Refused++
			if l.started[id] {
				r.Broken = append(r.Broken, fmt.Sprintf("job %s was refused each time and has run", id))
			}
		case unknown:
			r.Unknown++
		}
	}
	return r
}
