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
	routeHost   = "jobs.example"
	routePrefix = "/q/"
	apiKey      = "soak-key"
	// submitInterval is the time between the submissions of two jobs.
	submitInterval = 60 * time.Millisecond
	// submitAttempts bounds how often a job is submitted until it is accepted.
	submitAttempts = 3
	// tasksPerStep is the number of tasks of each of the two steps of a job.
	tasksPerStep = 2
	// minLostRuns is with how many crashed workers a harmless task must have been lost
	// before its job may fail: the system can't tell it from a deadly one then.
	minLostRuns = 4
	// milliCoresPerTask is what each task reserves.
	milliCoresPerTask = 500
)

// submissions records the answers that submitters got. mu guards outcomes while
// jobs are being submitted; finalStates is written only afterwards.
type submissions struct {
	mu sync.Mutex
	// outcomes maps the id of a job to the outcome of its submission.
	outcomes map[string]int
	// finalStates maps the id of a job to "completed" or "failed", or to "gone" when its
	// status request was answered with 410.
	finalStates map[string]string
}

// The outcomes of a submission over all its attempts. A higher one overrides a
// lower one; outcomeUnknown means that an attempt may have been accepted.
const (
	outcomeRefused = iota
	outcomeUnknown
	outcomeAccepted
)

// configure sends the configuration until it is acknowledged. The acknowledgement
// is expected to mean that the fronts serve it.
func (s *soak) configure() error {
	s.submissions.outcomes, s.submissions.finalStates = make(map[string]int), make(map[string]string)
	body := fmt.Sprintf(`{"version":1,"routes":[{"name":"q","host":%q,"path_prefix":%q,"service":"pool","timeout_ms":3000,`+
		`"target_latency_ms":600,"attempts":3,"stretch":2}],"services":[{"name":"pool","enforces_capacity":false}],`+
		`"limits":{"max_body_bytes":100000},"tenants":[{"name":"t","api_keys":[%q],"weight":1}]}`, routeHost, routePrefix, apiKey)
	for end := time.Now().Add(startupTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := s.client.Post("http://"+s.machines[0].control()+"/-/Config.Replace", "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("soaker: the configuration was not acknowledged within the startup timeout")
}

// callFront sends a request to a front and returns the status and body of the
// response. The status is 0 if there is no complete response.
func (s *soak) callFront(front int, method, id, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+s.machines[cores+front%fronts].front()+routePrefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	req.Host = routeHost
	req.Header.Set("Authorization", "Token "+apiKey)
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

// submitJobs submits jobs at a fixed interval until stop is closed, then waits for
// the submissions in progress.
func (s *soak) submitJobs(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(submitInterval):
		}
		id := fmt.Sprintf("%016x", n+1)
		group.Go(func() { s.submitJob(n, id) })
	}
}

// submitJob submits a job of two steps, the second depending on the first, and
// records the outcome. Each attempt goes to the next front.
func (s *soak) submitJob(n int, id string) {
	const step = `{"count":%d,"cpu":%d,"mem_mb":10,"est_duration_ms":%d%s}`
	body := fmt.Sprintf(`{"spec":"","steps":[`+step+`,`+step+`]}`,
		tasksPerStep, milliCoresPerTask, timeOf(id+".0.0.0").Milliseconds(), "",
		tasksPerStep, milliCoresPerTask, timeOf(id+".0.1.0").Milliseconds(), `,"depends_on":[0]`)
	outcome := outcomeRefused
	for attempt := range submitAttempts {
		status, _ := s.callFront(n+attempt, http.MethodPost, id, body)
		switch status {
		case http.StatusOK:
			outcome = outcomeAccepted
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			outcome = max(outcome, outcomeUnknown)
		}
		if outcome == outcomeAccepted {
			break
		}
		time.Sleep(time.Second)
	}
	s.submissions.mu.Lock()
	defer s.submissions.mu.Unlock()
	s.submissions.outcomes[id] = outcome
}

// awaitCompletion polls the accepted jobs until all are completed or the timeout
// is over.
func (s *soak) awaitCompletion() {
	pending := make(map[string]bool)
	for id, outcome := range s.submissions.outcomes {
		pending[id] = outcome == outcomeAccepted
	}
	for end := time.Now().Add(completionTimeout); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		remaining := 0
		for id, isPending := range pending {
			if !isPending {
				continue
			}
			status, text := s.callFront(0, http.MethodGet, id, "")
			var body struct {
				State string `json:"state"`
			}
			if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil && (body.State == "completed" || body.State == "failed") {
				s.submissions.finalStates[id] = body.State
				pending[id] = false
				continue
			}
			if status == http.StatusGone {
				s.submissions.finalStates[id] = "gone"
			}
			remaining++
		}
		if remaining == 0 {
			return
		}
	}
}

// report compares the answers that submitters got with what has run: an accepted
// job must be completed, or have failed if it is deadly or was lost with many workers, and
// one that was refused in all attempts must not run.
func (s *submissions) report(checker *runChecker) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{}
	for id, outcome := range s.outcomes {
		switch outcome {
		case outcomeAccepted:
			r.Accepted++
			switch state := s.finalStates[id]; {
			case state == "completed" && !isDeadly(id+".0.0.0"):
				r.Completed++
			case state == "failed" && isDeadly(id+".0.0.0"):
				r.GivenUp++
			case state == "failed" && checker.lostRuns[id] >= minLostRuns:
				r.Suspected++
			default:
				r.Violations = append(r.Violations, fmt.Sprintf("job %s was accepted but is not completed; last state seen: %q", id, s.finalStates[id]))
			}
		case outcomeRefused:
			r.Refused++
			if checker.startedJobs[id] {
				r.Violations = append(r.Violations, fmt.Sprintf("job %s was refused in all attempts but has run", id))
			}
		case outcomeUnknown:
			r.Unknown++
		}
	}
	return r
}
