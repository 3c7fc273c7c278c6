package operator_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/examples"
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/operator"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// startTime is the time of the fake clock.
var startTime = time.Unix(1_800_000_000, 0)

// fakeControl is a Control that applies commands immediately, without
// replication.
type fakeControl struct {
	mu    sync.Mutex
	state controller.State
	// lease is the remaining time of the authority lease.
	lease time.Duration
	// errNotApplied is returned by Propose without applying the command,
	// errApplied after applying it.
	errNotApplied, errApplied error
}

func (c *fakeControl) View() follower.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return follower.View{
		State:      c.state,
		LeaseUntil: startTime.Add(c.lease),
	}
}

func (c *fakeControl) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.errNotApplied != nil {
		return nil, c.errNotApplied
	}
	cmd.ProposedAtUnixNanos = startTime.UnixNano()
	var result *wire.Result
	c.state, result = controller.Apply(c.state, cmd)
	// The state keeps the result for resent commands, so it must not be modified.
	result = proto.CloneOf(result)
	result.InForceAtUnixNanos = startTime.Add(follower.InForceBound).UnixNano()
	return result, c.errApplied
}

func (c *fakeControl) Status(context.Context) operator.LocalStatus {
	return operator.LocalStatus{
		EntryHost: "q-1",
		Leader:    "q-2",
	}
}

// server serves the API with the example deployment qhapaq.
type server struct {
	control *fakeControl
	handler http.Handler
}

func newServer(t *testing.T) *server {
	t.Helper()
	return newServerWith(t, nil)
}

// newServerWith returns a server with the given StatusProvider; nil means the fake
// control.
func newServerWith(t *testing.T, provider operator.StatusProvider) *server {
	t.Helper()
	path, data, _ := examples.Deployment("qhapaq")
	dep, problems := loader.ParseDeployment(path, data)
	if problems != nil {
		t.Fatal(problems)
	}
	control := &fakeControl{
		lease: time.Second,
	}
	if _, err := control.Propose(t.Context(), &wire.Command{
		OperationId: "bootstrap",
		Change: &wire.Command_Bootstrap{
			Bootstrap: &wire.Bootstrap{
				Snapshot: dep.Snapshot(),
			},
		},
	}); err != nil {
		t.Fatal(err)
	}
	if provider == nil {
		provider = control
	}
	return &server{
		control: control,
		handler: operator.New(operator.Config{
			Control: control,
			Status:  provider,
			Clock:   timer.NewFake(startTime),
		}),
	}
}

const operatorKey = "example-qhapaq-operator"

// call sends a request with the key and decodes the response into result.
func (s *server) call(t *testing.T, key, method, path, body string, result any) *http.Response {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	s.handler.ServeHTTP(recorder, r)
	response := recorder.Result()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		t.Fatalf("%s %s: %v in %s", method, path, err, data)
	}
	return response
}

// refusal sends a request that must fail and returns the problem in the response.
func (s *server) refusal(t *testing.T, key, method, path, body string) operator.Problem {
	t.Helper()
	var p operator.Problem
	response := s.call(t, key, method, path, body, &p)
	if response.StatusCode != p.Status || response.Header.Get("Content-Type") != "application/problem+json" {
		t.Errorf("%s %s: status %d with %+v", method, path, response.StatusCode, p)
	}
	if (response.Header.Get("Retry-After") != "") != (p.Status == http.StatusServiceUnavailable) {
		t.Errorf("%s %s: Retry-After is %q with %+v", method, path, response.Header.Get("Retry-After"), p)
	}
	return p
}
