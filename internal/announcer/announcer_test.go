package announcer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/heathermux/heathermux/internal/announcer"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// recorder implements the interfaces behind the handler and records the calls.
type recorder struct {
	announcements int
	leaves        int
	poll          *wire.WorkerPoll
	orders        *wire.WorkerOrders
	control       *jobwire.ControlRequest
	outcome       jobwire.Outcome
}

func (r *recorder) Control(_ context.Context, req *jobwire.ControlRequest) *jobwire.ControlResponse {
	r.control = req
	return &jobwire.ControlResponse{
		Outcome: r.outcome,
		Reason:  "no host leads at the moment",
	}
}

func (r *recorder) Announce(*wire.Upstream) error {
	r.announcements++
	return nil
}

func (r *recorder) Leave(*wire.Upstream) { r.leaves++ }

func (r *recorder) Poll(_ context.Context, poll *wire.WorkerPoll) *wire.WorkerOrders {
	r.poll = poll
	return r.orders
}

const validJobWorker = `{"id": "j-1", "born": 5, "pool": "redeem", "address": "127.0.0.1:9", "data-centre": "lima-1", "rack": "r1", "labels": ["ssd"], "capacity": {"milli-cores": 4000, "memory-bytes": 1024}, "sequence": 3, "clock-millis": 7}`

const validUpstream = `{"id": "u-1", "incarnation": "1", "queue": "redeem", "address": "127.0.0.1:9", "data-centre": "lima-1", "slots": 8, "connections": 64}`

// Invalid input must be answered with one clear error and must change nothing.
func TestBadInput(t *testing.T) {
	tests := map[string]struct {
		path   string
		body   string
		status int
		detail string
	}{
		"valid": {
			path:   "/v1/upstreams",
			body:   validUpstream,
			status: http.StatusNoContent,
		},
		"unknown field": {
			path:   "/v1/upstreams",
			body:   strings.Replace(validUpstream, `"slots"`, `"slot"`, 1),
			status: http.StatusBadRequest,
			detail: `unknown field \"slot\"`,
		},
		"job worker without a pool": {
			path:   "/v1/job-workers",
			body:   strings.Replace(validJobWorker, `"redeem"`, `""`, 1),
			status: http.StatusUnprocessableEntity,
			detail: "pool or data-centre is empty",
		},
		"job worker at a host name": {
			path:   "/v1/job-workers",
			body:   strings.Replace(validJobWorker, `127.0.0.1:9`, `worker.example:9`, 1),
			status: http.StatusUnprocessableEntity,
			detail: "must be an IP address with a port",
		},
		"job worker without cores": {
			path:   "/v1/job-workers",
			body:   strings.Replace(validJobWorker, `4000`, `0`, 1),
			status: http.StatusUnprocessableEntity,
			detail: "milli-cores above 0",
		},
		"job worker while there is no leader": {
			path:   "/v1/job-workers",
			body:   validJobWorker,
			status: http.StatusServiceUnavailable,
			detail: "no host leads at the moment",
		},
		"host name in place of an IP address": {
			path:   "/v1/upstreams",
			body:   strings.Replace(validUpstream, "127.0.0.1:9", "localhost:9", 1),
			status: http.StatusUnprocessableEntity,
			detail: "is not an IP address with a port",
		},
		"no slots": {
			path:   "/v1/upstreams",
			body:   strings.Replace(validUpstream, `"slots": 8`, `"slots": 0`, 1),
			status: http.StatusUnprocessableEntity,
			detail: "slots is below 1",
		},
		"worker name differs from the path": {
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
			announcer.NewHandler(r, r, r).ServeHTTP(w, httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body)))
			is.Equal(w.Code, test.status)
			is.True(strings.Contains(w.Body.String(), test.detail))
			if test.detail != "" {
				is.Equal(r.announcements, 0)
				is.True(r.poll == nil)
			}
		})
	}
}

// fillFields sets every field of a message to a different value, except for
// booleans, bytes and enums.
func fillFields(m protoreflect.Message, next *uint64) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		*next++
		if f.IsList() {
			list := m.Mutable(f).List()
			if f.Message() != nil {
				fillFields(list.AppendMutable().Message(), next)
				continue
			}
			list.Append(protoreflect.ValueOfString(fmt.Sprint(*next)))
			continue
		}
		switch f.Kind() {
		case protoreflect.MessageKind:
			fillFields(m.Mutable(f).Message(), next)
		case protoreflect.BoolKind:
			m.Set(f, protoreflect.ValueOfBool(true))
		case protoreflect.BytesKind:
			m.Set(f, protoreflect.ValueOfBytes([]byte{0, 255}))
		case protoreflect.EnumKind:
			m.Set(f, protoreflect.ValueOfEnum(protoreflect.EnumNumber(wire.TaskState_TASK_STATE_SUCCEEDED)))
		case protoreflect.Int64Kind:
			m.Set(f, protoreflect.ValueOfInt64(int64(*next)))
		case protoreflect.Uint64Kind:
			m.Set(f, protoreflect.ValueOfUint64(*next))
		default:
			m.Set(f, protoreflect.ValueOfString(fmt.Sprint(*next)))
		}
	}
}

// Every field of a poll and of its orders must survive the conversion to JSON and
// back, including fields that are added to the schema later.
func TestPollRoundTrip(t *testing.T) {
	is := is.New(t)
	r := &recorder{
		orders: &wire.WorkerOrders{},
	}
	poll := &wire.WorkerPoll{}
	number := uint64(0)
	fillFields(r.orders.ProtoReflect(), &number)
	fillFields(poll.ProtoReflect(), &number)
	// An error is sent as problem details instead of the orders.
	r.orders.Error = ""
	up := httptest.NewServer(announcer.NewHandler(r, r, r))
	defer up.Close()
	// Nothing listens at the first address, so the client has to use the second one.
	c := announcer.NewClient("http://127.254.254.254:1", up.URL)
	defer c.Close()
	orders, err := c.Poll(context.Background(), poll)
	is.NoErr(err)
	is.Equal(protojson.Format(orders), protojson.Format(r.orders))
	is.Equal(protojson.Format(r.poll), protojson.Format(poll))
}

// Every field of a job worker's announcement must reach the leader.
func TestJobWorkerRoundTrip(t *testing.T) {
	is := is.New(t)
	r := &recorder{
		outcome: jobwire.Outcome_OUTCOME_OK,
	}
	up := httptest.NewServer(announcer.NewHandler(r, r, r))
	defer up.Close()
	client := announcer.NewClient(up.URL)
	defer client.Close()
	w := announcer.JobWorker{
		ID:         "j-1",
		Born:       5,
		Pool:       "redeem",
		Address:    "127.0.0.1:9",
		DataCentre: "lima-1",
		Rack:       "r1",
		Labels:     []string{"ssd"},
		Capacity: announcer.Resources{
			MilliCores:   4000,
			MemoryBytes:  1024,
			Accelerators: 1,
		},
		Draining:    true,
		Sequence:    3,
		ClockMillis: 7,
	}
	is.NoErr(client.AnnounceJobWorker(t.Context(), w))
	report := r.control.GetReport()
	is.Equal(report.GetSequence(), uint64(3))
	is.Equal(report.GetClockMillis(), int64(7))
	got := report.GetWorker()
	is.Equal(got.GetId(), "j-1")
	is.Equal(got.GetBorn(), int64(5))
	is.Equal(got.GetPool(), "redeem")
	is.Equal(got.GetAddress(), "127.0.0.1:9")
	is.Equal(got.GetDataCentre(), "lima-1")
	is.Equal(got.GetRack(), "r1")
	is.Equal(got.GetLabels(), []string{"ssd"})
	is.Equal(got.GetCapacity().GetMilliCores(), int64(4000))
	is.Equal(got.GetCapacity().GetMemoryBytes(), int64(1024))
	is.Equal(got.GetCapacity().GetAccelerators(), int64(1))
	is.True(got.GetDraining())
	is.NoErr(client.LeaveJobWorker(t.Context(), w))
	is.Equal(r.control.GetLeave().GetId(), "j-1")
	is.Equal(r.control.GetLeave().GetBorn(), int64(5))
}
