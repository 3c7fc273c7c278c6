package announcer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/announcer"
	"github.com/heathermux/heathermux/internal/wire"
)

// recorder keeps what reached it.
type recorder struct {
	announced int
	left      int
	poll      *wire.WorkerPoll
	orders    *wire.WorkerOrders
}

func (r *recorder) Announce(*wire.Upstream) error {
	r.announced++
	return nil
}

func (r *recorder) Leave(*wire.Upstream) { r.left++ }

func (r *recorder) Poll(_ context.Context, poll *wire.WorkerPoll) *wire.WorkerOrders {
	r.poll = poll
	return r.orders
}

const goodUpstream = `{"id": "u-1", "incarnation": "1", "queue": "redeem", "address": "127.0.0.1:9", "data-centre": "lima-1", "slots": 8, "connections": 64}`

// Bad input must get one clear error and must change nothing.
func TestBadInput(t *testing.T) {
	tests := map[string]struct {
		path   string
		body   string
		status int
		detail string
	}{
		"good": {
			path:   "/v1/upstreams",
			body:   goodUpstream,
			status: http.StatusNoContent,
		},
		"unknown field": {
			path:   "/v1/upstreams",
			body:   strings.Replace(goodUpstream, `"slots"`, `"slot"`, 1),
			status: http.StatusBadRequest,
			detail: `unknown field \"slot\"`,
		},
		"host name in place of an IP address": {
			path:   "/v1/upstreams",
			body:   strings.Replace(goodUpstream, "127.0.0.1:9", "localhost:9", 1),
			status: http.StatusUnprocessableEntity,
			detail: "is not an IP address with a port",
		},
		"no slots": {
			path:   "/v1/upstreams",
			body:   strings.Replace(goodUpstream, `"slots": 8`, `"slots": 0`, 1),
			status: http.StatusUnprocessableEntity,
			detail: "slots is below 1",
		},
		"worker of another path": {
			path:   "/v1/workers/w-2/poll",
			body:   `{"worker": "w-1"}`,
			status: http.StatusUnprocessableEntity,
			detail: "does not match the path",
		},
		"unknown end state": {
			path:   "/v1/workers/w-1/poll",
			body:   `{"worker": "w-1", "incarnation": "1", "data-centre": "a", "capacity": {"milli-cores": 1, "memory-bytes": 1}, "ended": [{"task": "t", "state": "done"}]}`,
			status: http.StatusUnprocessableEntity,
			detail: `state \"done\"`,
		},
		"not JSON": {
			path:   "/v1/workers/w-1/poll",
			body:   `worker`,
			status: http.StatusBadRequest,
			detail: "announcer: body",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &recorder{}
			w := httptest.NewRecorder()
			announcer.NewHandler(r, r).ServeHTTP(w, httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body)))
			is.Equal(w.Code, test.status)
			is.True(strings.Contains(w.Body.String(), test.detail))
			if test.detail != "" {
				is.Equal(r.announced, 0)
				is.True(r.poll == nil)
			}
		})
	}
}

// Every field of a poll and of its orders must survive the JSON form.
func TestPollRoundTrip(t *testing.T) {
	is := is.New(t)
	size := &wire.Resources{
		MilliCores:   1500,
		MemoryBytes:  1 << 30,
		Accelerators: 2,
	}
	task := &wire.Task{
		Id:             "t-1",
		Team:           "markets",
		Queue:          "reconcile",
		Size:           size,
		DeadlineNanos:  int64(time.Minute),
		RunTimeNanos:   int64(time.Second),
		Idempotent:     true,
		Urgent:         true,
		Payload:        []byte{0, 255},
		IdempotencyKey: "k",
	}
	r := &recorder{
		orders: &wire.WorkerOrders{
			Epoch:        7,
			LeaseNanos:   int64(15 * time.Second),
			Start:        []*wire.Task{task},
			Stop:         []string{"a"},
			Checkpoint:   []string{"b"},
			Throttle:     []string{"c"},
			Acknowledged: []string{"d"},
		},
	}
	poll := &wire.WorkerPoll{
		Worker:      "w-1",
		Incarnation: "1",
		DataCentre:  "lima-1",
		Rack:        "r-1",
		Capacity:    size,
		PoolEpoch:   3,
		Epoch:       7,
		Leaving:     true,
		Running: []*wire.RunningTask{
			{
				Task:     "t-1",
				Used:     size,
				RunNanos: 5,
				Epoch:    6,
				Detail:   task,
			},
		},
		Ended: []*wire.EndedTask{
			{
				Task:         "t-0",
				State:        wire.TaskState_TASK_STATE_SUCCEEDED,
				Reason:       "done",
				Peak:         size,
				RunNanos:     9,
				Checkpointed: true,
			},
		},
	}
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	up := httptest.NewServer(announcer.NewHandler(r, r))
	defer up.Close()
	// The first entry host is down, so the client has to use the second one.
	c := announcer.NewClient(down.URL, up.URL)
	defer c.Close()
	orders, err := c.Poll(context.Background(), poll)
	is.NoErr(err)
	is.True(proto.Equal(orders, r.orders))
	is.True(proto.Equal(r.poll, poll))
}
