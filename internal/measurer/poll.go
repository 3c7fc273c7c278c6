package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/announcer"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

const roleWorkers = "worker-facing side of an entry host"

func workerProbes() []probe {
	return []probe{
		{
			role:  roleWorkers,
			name:  "poll of one worker as JSON",
			axis:  "tasks on it",
			sizes: []int{0, 5, 10, 20, 40},
			metrics: []metric{
				{
					name:   "bytes of bodies, for a worker",
					unit:   traffic,
					target: tasksPerWorker,
					rate:   2,
					bound:  maxBytesPerSecond,
				},
				{
					name:   "processor time, for one of two entry hosts of 600 workers",
					value:  1,
					unit:   cpuTime,
					target: tasksPerWorker,
					rate:   hostsPerDataCentre,
					bound:  maxCorePercent,
				},
				{
					name:   "processor time with idle workers, for one of two entry hosts of 600 workers",
					value:  1,
					unit:   cpuTime,
					target: 0,
					rate:   hostsPerDataCentre,
					bound:  maxCorePercent,
				},
			},
			measure: measureJSONPoll,
		},
	}
}

// steadyWorkers answers polls like a scheduler that has no new orders.
type steadyWorkers struct{}

// Poll returns the orders for a worker that is to continue with its tasks.
func (steadyWorkers) Poll(context.Context, *wire.WorkerPoll) *wire.WorkerOrders {
	return &wire.WorkerOrders{
		Epoch:      1,
		LeaseNanos: int64(scheduler.WorkerLease),
		Pool:       poolName(0),
		PoolEpoch:  1,
		Session:    incarnation("scheduler") + "/1",
	}
}

func measureJSONPoll(_ context.Context, n int) ([]float64, error) {
	handler := announcer.NewHandler(nil, steadyWorkers{}, nil)
	poll := newDataCentreScheduler(oneDataCentre(targetPools), n).workerPoll(0)
	path := "/v1/workers/" + poll.GetWorker() + "/poll"
	body, err := json.Marshal(announcer.PollOf(poll))
	if err != nil {
		return nil, errors.Wrap(err, "encode poll as JSON")
	}
	serve := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
		return w
	}
	w := serve()
	if w.Code != http.StatusOK {
		return nil, errors.Errorf("poll answered %d: %s", w.Code, w.Body)
	}
	return []float64{
		float64(len(body) + w.Body.Len()),
		cpuPerCall(func() { serve() }),
	}, nil
}
