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

// hurriedClock lets every wait end at once, and shows the time as if it had
// been waited for.
type hurriedClock struct {
	*timer.Fake
}

func (c hurriedClock) NewTimer(d time.Duration) timer.Timer {
	t := c.Fake.NewTimer(d)
	c.Advance(d)
	return t
}

// fakeHost is an entry host whose control state applies commands at once.
type fakeHost struct {
	mu    sync.Mutex
	state controller.State
	// lose and gateway are the numbers of changes whose answers are still to be
	// lost or replaced by that of a gateway.
	lose, gateway int
	// leaderless is the number of changes that still find no leader.
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
	if h.take(&h.leaderless) {
		return nil, operator.ErrNoLeader
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd.ProposedAtUnixNanos = epoch.UnixNano()
	var result *wire.Result
	h.state, result = controller.Apply(h.state, cmd)
	// The state keeps the result for resends, so it must not be changed.
	result = proto.CloneOf(result)
	result.InForceAtUnixNanos = epoch.Add(follower.ForceBound).UnixNano()
	return result, nil
}

func (h *fakeHost) Status(context.Context) operator.Local {
	return operator.Local{
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

// losing breaks the connection after a change was carried out.
func (h *fakeHost) losing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost && h.take(&h.lose):
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case r.Method == http.MethodPost && h.take(&h.gateway):
			next.ServeHTTP(httptest.NewRecorder(), r)
			http.Error(w, "no answer", http.StatusBadGateway)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// take counts down and reports false at 0.
func (h *fakeHost) take(left *int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// set sets the number of faults that are still to come.
func (h *fakeHost) set(fault string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	faults := map[string]*int{
		"lose":       &h.lose,
		"gateway":    &h.gateway,
		"leaderless": &h.leaderless,
	}
	*faults[fault] = n
}

// newHost serves the operators' API over the example Qhapaq.
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
	server := httptest.NewServer(host.losing(operator.New(operator.Config{
		Control: host,
		Status:  host,
		Clock:   timer.NewFake(epoch),
	})))
	t.Cleanup(server.Close)
	return host, server
}
