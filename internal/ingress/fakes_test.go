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

// registry is an at-most-once registry on one host. A set reply is given in
// place of its own; hook runs in each granted Begin.
type registry struct {
	mu      sync.Mutex
	entries map[string]*wire.RegistryEntry
	reply   *wire.BeginResponse
	hook    func()
}

func (r *registry) Begin(_ context.Context, key string, fingerprint []byte, attempt string) *wire.BeginResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reply != nil {
		return r.reply
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
		if r.hook != nil {
			r.hook()
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

func (r *registry) Finish(_ context.Context, e *wire.RegistryEntry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[e.GetKey()] = e
	return true
}

func (r *registry) state() wire.EntryState {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		return e.GetState()
	}
	return wire.EntryState_ENTRY_STATE_UNSPECIFIED
}

// tasks is a scheduler that holds what it is given.
type tasks struct {
	submitted []*wire.Task
	answer    *wire.SubmitResponse
}

func (s *tasks) Submit(_ context.Context, r *wire.SubmitRequest) *wire.SubmitResponse {
	s.submitted = append(s.submitted, r.GetTask())
	if s.answer != nil {
		return s.answer
	}
	return &wire.SubmitResponse{
		Copies: 2,
		Status: &wire.TaskStatus{
			Task:  r.GetTask(),
			State: wire.TaskState_TASK_STATE_QUEUED,
		},
	}
}

func (s *tasks) Get(_ context.Context, r *wire.TaskRequest) *wire.TaskResponse {
	t := s.submitted[0]
	return &wire.TaskResponse{
		Found: t.GetId() == r.GetId() && t.GetTeam() == r.GetTeam(),
		Status: &wire.TaskStatus{
			Task: t,
		},
	}
}

func (s *tasks) Cancel(ctx context.Context, r *wire.TaskRequest) *wire.TaskResponse {
	return s.Get(ctx, r)
}

// site is one entry host with its fakes, served on loopback.
// jobs is a leader that answers each call alike and keeps the calls.
type jobs struct {
	calls  []*jobwire.JobRequest
	answer jobwire.JobResponse
}

func (j *jobs) Job(_ context.Context, req *jobwire.JobRequest) *jobwire.JobResponse {
	j.calls = append(j.calls, req)
	return &j.answer
}

type site struct {
	t testing.TB
	*ingress.Ingress
	server   *httptest.Server
	registry *registry
	tasks    *tasks
	jobs     *jobs
	view     atomic.Pointer[follower.View]
	// The text handler locks each write; it is read when no request is under way.
	log bytes.Buffer

	mu         sync.Mutex
	generation uint64
	upstreams  []*wire.Upstream
}

func (s *site) Upstreams(queue string) []*wire.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var of []*wire.Upstream
	for _, u := range s.upstreams {
		if u.GetQueue() == queue {
			of = append(of, u)
		}
	}
	return of
}

func (s *site) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

func (s *site) Allotment(string) (rate, concurrency int64) { return 1 << 30, 1 << 20 }

func (s *site) setUpstreams(upstreams ...*wire.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.upstreams = upstreams
}

func controlState() controller.State {
	state := controller.State{}
	for team, queues := range map[string][]string{
		"feeds": {"switch", "tasks", "jobs"},
		"signs": {"notice"},
		// The key of this team is withdrawn in tests.
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

func (s *site) setView(state controller.State, lease time.Duration) {
	s.view.Store(&follower.View{
		State:      state,
		LeaseUntil: time.Now().Add(lease),
	})
}

func newSite(t testing.TB) *site {
	t.Helper()
	return newLimitedSite(t, ingress.Limits{})
}

func newLimitedSite(t testing.TB, limits ingress.Limits) *site {
	t.Helper()
	s := &site{
		t: t,
		registry: &registry{
			entries: make(map[string]*wire.RegistryEntry),
		},
		tasks: &tasks{},
		jobs:  &jobs{},
	}
	s.setView(controlState(), time.Hour)
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

// upstream starts a stand-in for a queue. It is not listed until setUpstreams.
func (s *site) upstream(queue string, h http.HandlerFunc) *wire.Upstream {
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

// reply is what a caller received.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	problem ingress.Problem
}

// send sends a request; header holds name and value in turn.
func (s *site) send(method, path string, body []byte, header ...string) reply {
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
		return reply{}
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		s.t.Errorf("%s %s: %v", method, path, err)
	}
	got := reply{
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

// name is the last part of the problem's type.
func (r reply) name() string {
	return r.problem.Type[strings.LastIndexByte(r.problem.Type, ':')+1:]
}

func bearer(team string) string { return "Bearer secret-" + team }

// echo answers with what it was asked.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Upstream-Path", r.URL.RequestURI())
	if len(body) == 0 {
		fmt.Fprint(w, r.URL.RequestURI())
		return
	}
	_, _ = w.Write(body)
}
