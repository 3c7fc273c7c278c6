package measurer

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/operator"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	roleOperators = "operators' side"

	operatorKey = "operator"
)

func operatorProbes() []probe {
	return []probe{
		{
			role:  roleOperators,
			name:  "GET /v1/status, twice a second",
			axis:  "hosts",
			sizes: []int{700, 2200, 6600},
			metrics: []metric{
				{
					name:   "processor time",
					unit:   cpuTime,
					target: targetHosts,
					rate:   statusCallRate,
					bound:  maxCorePercent,
				},
				{
					name:   "bytes of bodies",
					value:  1,
					unit:   traffic,
					target: targetHosts,
					rate:   statusCallRate,
				},
			},
			measure: func(_ context.Context, n int) ([]float64, error) { return measureGet("/v1/status", n) },
		},
		{
			role:  roleOperators,
			name:  "GET /v1/hosts, one call",
			axis:  "hosts",
			sizes: []int{700, 2200, 6600},
			metrics: []metric{
				{
					name:   "processor time",
					unit:   duration,
					target: targetHosts,
				},
				{
					name:   "bytes of bodies",
					value:  1,
					unit:   memory,
					target: targetHosts,
				},
			},
			measure: func(_ context.Context, n int) ([]float64, error) { return measureGet("/v1/hosts", n) },
		},
	}
}

// fakeControl is the control state of an entry host that has a valid lease and
// refuses changes.
type fakeControl struct {
	state controller.State
}

// View returns the state with a lease that doesn't expire during the measurement,
// because the clock stands still.
func (d fakeControl) View() follower.View {
	return follower.View{
		State:      d.state,
		LeaseUntil: startTime.Add(time.Second),
	}
}

// Propose refuses every change.
func (fakeControl) Propose(context.Context, *wire.Command) (*wire.Result, error) {
	return nil, operator.ErrNoLeader
}

// Status returns the status of the entry host itself.
func (fakeControl) Status(context.Context) operator.LocalStatus {
	return operator.LocalStatus{
		EntryHost: "entry-00",
		Leader:    "entry-01",
	}
}

// measureGet returns the processor time of a GET request for path in a fleet of n
// hosts, and the size of the response body.
func measureGet(path string, n int) ([]float64, error) {
	s := targetFleet()
	s.hosts = n
	hash := sha256.Sum256([]byte(operatorKey))
	d := fakeControl{
		state: s.state().WithKey(&wire.KeyRecord{
			Id:   operatorKey,
			Hash: hash[:],
			Role: wire.Role_ROLE_OPERATOR,
		}),
	}
	handler := operator.New(operator.Config{
		Control: d,
		Status:  d,
		Clock:   timer.NewFake(startTime),
	})
	serve := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Header.Set("Authorization", "Bearer "+operatorKey)
		handler.ServeHTTP(w, r)
		return w
	}
	w := serve()
	if w.Code != http.StatusOK {
		return nil, errors.Errorf("%s answered %d: %s", path, w.Code, w.Body)
	}
	return []float64{
		cpuPerCall(func() { serve() }),
		float64(w.Body.Len()),
	}, nil
}
