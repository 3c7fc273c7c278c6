package commander_test

import (
	"context"
	"net/http"
	"net/http/httptest"
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

var epoch = time.Unix(1_800_000_000, 0)

// instantClock is a fake clock whose timers expire at once and advance its time by
// their duration.
type instantClock struct {
	*timer.Fake
}

func (c instantClock) NewTimer(d time.Duration) timer.Timer {
	t := c.Fake.NewTimer(d)
	c.Advance(d)
	return t
}

// fakeHost is an entry host that applies commands to its control state immediately
// and can inject faults.
type fakeHost struct {
	mu    sync.Mutex
	state controller.State
	// lose and gateway are the numbers of further changes whose answers are lost
	// or replaced by an error of a gateway.
	lose, gateway int
	// leaderless is the number of further changes that find no leader.
	leaderless int
}

func (h *fakeHost) View() follower.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return follower.View{
		State:      h.state,
		LeaseUntil: epoch.Add(time.Second),
	}
}

func (h *fakeHost) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	if h.consumeFault(&h.leaderless) {
		return nil, operator.ErrNoLeader
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd.ProposedAtUnixNanos = epoch.UnixNano()
	var result *wire.Result
	h.state, result = controller.Apply(h.state, cmd)
	// The state keeps the result for resends, so it must not be modified.
	result = proto.CloneOf(result)
	result.InForceAtUnixNanos = epoch.Add(follower.InForceBound).UnixNano()
	return result, nil
}

func (h *fakeHost) Status(context.Context) operator.LocalStatus {
	return operator.LocalStatus{
		EntryHost:  "q-1",
		DataCentre: "lima-norte",
		Leader:     "q-2",
		Voters:     []string{"q-1", "q-2", "q-3"},
		Queues: []operator.QueueStatus{
			{
				Queue:     "redeem",
				Upstreams: 10,
				InFlight:  3,
			},
		},
		Teams: []operator.TeamStatus{
			{
				Team: "markets",
				Running: loader.Capacity{
					Processors: 2500,
					Memory:     loader.GiB,
				},
			},
		},
	}
}

// loseAnswers executes a change and then closes the connection without an answer,
// or answers like a gateway, as long as such faults are set.
func (h *fakeHost) loseAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost && h.consumeFault(&h.lose):
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case r.Method == http.MethodPost && h.consumeFault(&h.gateway):
			next.ServeHTTP(httptest.NewRecorder(), r)
			http.Error(w, "no answer", http.StatusBadGateway)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// consumeFault decrements the counter of a fault and reports whether it was above 0.
func (h *fakeHost) consumeFault(remaining *int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

// setFaults sets how many of the next changes have the given fault.
func (h *fakeHost) setFaults(fault string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	faults := map[string]*int{
		"lose":       &h.lose,
		"gateway":    &h.gateway,
		"leaderless": &h.leaderless,
	}
	*faults[fault] = n
}

// newHost starts a server of the operators' API with the example deployment Qhapaq.
func newHost(t *testing.T) (*fakeHost, *httptest.Server) {
	t.Helper()
	path, data, _ := examples.Deployment("qhapaq")
	dep, problems := loader.ParseDeployment(path, data)
	if problems != nil {
		t.Fatal(problems)
	}
	host := &fakeHost{}
	_, _ = host.Propose(t.Context(), &wire.Command{
		OperationId: "bootstrap",
		Change: &wire.Command_Bootstrap{
			Bootstrap: &wire.Bootstrap{
				Snapshot: dep.Snapshot(),
			},
		},
	})
	server := httptest.NewServer(host.loseAnswers(operator.New(operator.Config{
		Control: host,
		Status:  host,
		Clock:   timer.NewFake(epoch),
	})))
	t.Cleanup(server.Close)
	return host, server
}
