package ingress_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/ingress"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// fakeRegistry is an in-memory registry of idempotency keys. If forcedResponse is
// set, each Begin returns it. onGranted, if set, is called in each granted Begin.
type fakeRegistry struct {
	mu             sync.Mutex
	entries        map[string]*wire.RegistryEntry
	forcedResponse *wire.BeginResponse
	onGranted      func()
}

func (r *fakeRegistry) Begin(_ context.Context, key string, fingerprint []byte, attempt string) *wire.BeginResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forcedResponse != nil {
		return r.forcedResponse
	}
	outcome := wire.BeginOutcome_BEGIN_OUTCOME_GRANTED
	e := r.entries[key]
	switch {
	case e == nil || e.GetState() == wire.EntryState_ENTRY_STATE_ABANDONED:
		r.entries[key] = &wire.RegistryEntry{
			State:       wire.EntryState_ENTRY_STATE_BEGUN,
			Fingerprint: fingerprint,
			Attempt:     attempt,
		}
		if r.onGranted != nil {
			r.onGranted()
		}
	case !bytes.Equal(e.GetFingerprint(), fingerprint):
		outcome = wire.BeginOutcome_BEGIN_OUTCOME_MISMATCH
	case e.GetState() == wire.EntryState_ENTRY_STATE_BEGUN:
		outcome = wire.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS
	case e.GetState() == wire.EntryState_ENTRY_STATE_FINISHED:
		outcome = wire.BeginOutcome_BEGIN_OUTCOME_FINISHED
	default:
		outcome = wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN
	}
	return &wire.BeginResponse{
		Outcome: outcome,
		Answer:  e.GetAnswer(),
	}
}

func (r *fakeRegistry) Finish(_ context.Context, e *wire.RegistryEntry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[e.GetKey()] = e
	return true
}

// state returns the state of the only entry.
func (r *fakeRegistry) state() wire.EntryState {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		return e.GetState()
	}
	return wire.EntryState_ENTRY_STATE_UNSPECIFIED
}

// fakeTaskScheduler records submitted tasks. If response is set, each Submit
// returns it.
type fakeTaskScheduler struct {
	submitted []*wire.Task
	response  *wire.SubmitResponse
}

func (s *fakeTaskScheduler) Submit(_ context.Context, r *wire.SubmitRequest) *wire.SubmitResponse {
	s.submitted = append(s.submitted, r.GetTask())
	if s.response != nil {
		return s.response
	}
	return &wire.SubmitResponse{
		Copies: 2,
		Status: &wire.TaskStatus{
			Task:  r.GetTask(),
			State: wire.TaskState_TASK_STATE_QUEUED,
		},
	}
}

func (s *fakeTaskScheduler) Get(_ context.Context, r *wire.TaskRequest) *wire.TaskResponse {
	t := s.submitted[0]
	return &wire.TaskResponse{
		Found: t.GetId() == r.GetId() && t.GetTeam() == r.GetTeam(),
		Status: &wire.TaskStatus{
			Task: t,
		},
	}
}

func (s *fakeTaskScheduler) Cancel(ctx context.Context, r *wire.TaskRequest) *wire.TaskResponse {
	return s.Get(ctx, r)
}

// fakeJobScheduler records the calls to the leader and gives each the same
// response.
type fakeJobScheduler struct {
	calls    []*jobwire.JobRequest
	response jobwire.JobResponse
}

func (j *fakeJobScheduler) Job(_ context.Context, req *jobwire.JobRequest) *jobwire.JobResponse {
	j.calls = append(j.calls, req)
	return &j.response
}

// testHost is an Ingress with fake dependencies, served on a loopback address.
type testHost struct {
	t testing.TB
	*ingress.Ingress
	server   *httptest.Server
	registry *fakeRegistry
	tasks    *fakeTaskScheduler
	jobs     *fakeJobScheduler
	view     atomic.Pointer[follower.View]
	// log is written under the lock of the slog handler. Read it only when no
	// request is in flight.
	log bytes.Buffer

	mu         sync.Mutex
	generation uint64
	upstreams  []*wire.Upstream
}

func (s *testHost) Upstreams(queue string) []*wire.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var matching []*wire.Upstream
	for _, u := range s.upstreams {
		if u.GetQueue() == queue {
			matching = append(matching, u)
		}
	}
	return matching
}

func (s *testHost) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

func (s *testHost) Allotment(string) (rate, concurrency int64) { return 1 << 30, 1 << 20 }

func (s *testHost) setUpstreams(upstreams ...*wire.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.upstreams = upstreams
}

func testControlState() controller.State {
	state := controller.State{}
	for team, queues := range map[string][]string{
		"feeds": {"switch", "tasks", "jobs"},
		"signs": {"notice"},
		// Tests withdraw the key of this team.
		"withdrawn": {"switch"},
	} {
		state = state.WithContract(&wire.Contract{
			Customer: team,
			Teams: []*wire.Team{
				{
					Name:   team,
					Share:  2,
					Queues: queues,
				},
			},
		})
	}
	for name, kind := range map[string]wire.QueueKind{
		"switch": wire.QueueKind_QUEUE_KIND_REQUESTS,
		"notice": wire.QueueKind_QUEUE_KIND_REQUESTS,
		"open":   wire.QueueKind_QUEUE_KIND_REQUESTS,
		"tasks":  wire.QueueKind_QUEUE_KIND_TASKS,
		"jobs":   wire.QueueKind_QUEUE_KIND_JOBS,
	} {
		state = state.WithQueue(&wire.Queue{
			Name: name,
			Kind: kind,
			Open: name == "open",
		})
	}
	for _, owner := range []string{"feeds", "signs", "withdrawn", "operator"} {
		role := wire.Role_ROLE_SUBMITTER
		if owner == "operator" {
			role = wire.Role_ROLE_OPERATOR
		}
		hash := sha256.Sum256([]byte("secret-" + owner))
		state = state.WithKey(&wire.KeyRecord{
			Id:   owner,
			Team: owner,
			Hash: hash[:],
			Role: role,
		})
	}
	return state
}

func (s *testHost) setView(state controller.State, lease time.Duration) {
	s.view.Store(&follower.View{
		State:      state,
		LeaseUntil: time.Now().Add(lease),
	})
}

func newTestHost(t testing.TB) *testHost {
	t.Helper()
	return newTestHostWithLimits(t, ingress.Limits{})
}

func newTestHostWithLimits(t testing.TB, limits ingress.Limits) *testHost {
	t.Helper()
	s := &testHost{
		t: t,
		registry: &fakeRegistry{
			entries: make(map[string]*wire.RegistryEntry),
		},
		tasks: &fakeTaskScheduler{},
		jobs:  &fakeJobScheduler{},
	}
	s.setView(testControlState(), time.Hour)
	var err error
	s.Ingress, err = ingress.New(ingress.Config{
		Self: &wire.Member{
			Name:       "e-1",
			DataCentre: "dc-1",
		},
		View:       func() follower.View { return *s.view.Load() },
		Clock:      timer.System(),
		Logger:     slog.New(slog.NewTextHandler(&s.log, nil)),
		Registry:   s.registry,
		Directory:  s,
		Tasks:      s.tasks,
		Jobs:       s.jobs,
		Allotments: s,
		Limits:     limits,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.server = httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		s.server.Close()
		s.Close()
	})
	return s
}

// startUpstream starts a test server as an upstream of a queue. The upstream gets
// no requests until it is passed to setUpstreams.
func (s *testHost) startUpstream(queue string, h http.HandlerFunc) *wire.Upstream {
	s.t.Helper()
	server := httptest.NewServer(h)
	s.t.Cleanup(server.Close)
	return &wire.Upstream{
		Id:          server.URL,
		Queue:       queue,
		Address:     server.Listener.Addr().String(),
		DataCentre:  "dc-1",
		Rack:        server.URL,
		Slots:       8,
		Connections: 16,
	}
}

// response is a response as the caller received it.
type response struct {
	status  int
	header  http.Header
	body    []byte
	problem ingress.Problem
}

// send sends a request; header alternates names and values.
func (s *testHost) send(method, path string, body []byte, header ...string) response {
	s.t.Helper()
	r, err := http.NewRequest(method, s.server.URL+path, bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := s.server.Client().Do(r)
	if err != nil {
		s.t.Errorf("%s %s: %v", method, path, err)
		return response{}
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		s.t.Errorf("%s %s: %v", method, path, err)
	}
	got := response{
		status: resp.StatusCode,
		header: resp.Header,
		body:   body,
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		if err := json.Unmarshal(got.body, &got.problem); err != nil {
			s.t.Error(err)
		}
	}
	return got
}

// problemName returns the last part of the problem's type.
func (r response) problemName() string {
	return r.problem.Type[strings.LastIndexByte(r.problem.Type, ':')+1:]
}

// bearer returns the Authorization header with the key of a team.
func bearer(team string) string { return "Bearer secret-" + team }

// echo answers with the body of the request, or with its URI if the body is empty.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Upstream-Path", r.URL.RequestURI())
	if len(body) == 0 {
		fmt.Fprint(w, r.URL.RequestURI())
		return
	}
	_, _ = w.Write(body)
}
