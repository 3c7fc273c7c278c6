package invoker_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/invoker"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

var task = &jobwire.Task{
	Job:        "job",
	Occurrence: 1,
	Step:       2,
	Index:      3,
}

// fakeWorker gives each order the same answer and keeps the last request.
type fakeWorker struct {
	status int
	body   string

	path, id string
	order    invoker.Order
}

func (w *fakeWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.path, w.id = r.URL.Path, r.Header.Get(invoker.WorkerHeader)
	if err := json.NewDecoder(r.Body).Decode(&w.order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rw.WriteHeader(w.status)
	_, _ = rw.Write([]byte(w.body))
}

func (w *fakeWorker) start(t *testing.T) jobscheduler.Target {
	t.Helper()
	server := httptest.NewServer(w)
	t.Cleanup(server.Close)
	return jobscheduler.Target{
		ID:      "j-1",
		Born:    5,
		Address: server.Listener.Addr().String(),
	}
}

func contextWithTimeout(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against tasks that start twice or never because an answer was taken for
// a different one. Only an answer that proves that the run was not started may
// count as a refusal.
func TestStartOutcomes(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   jobscheduler.StartAnswer
		clock  int64
	}{
		"accepted": {
			status: http.StatusOK,
			body:   `{"clock-millis": 9, "born": 5}`,
			want:   jobscheduler.StartAccepted,
			clock:  9,
		},
		"fenced": {
			status: http.StatusConflict,
			body:   `{"clock-millis": 9, "born": 5, "reason": "fenced"}`,
			want:   jobscheduler.StartFenced,
			clock:  9,
		},
		"outdated": {
			status: http.StatusConflict,
			body:   `{"born": 5, "reason": "outdated"}`,
			want:   jobscheduler.StartOutdated,
		},
		"late": {
			status: http.StatusConflict,
			body:   `{"born": 5, "reason": "late"}`,
			want:   jobscheduler.StartLeaseExpired,
		},
		"no room": {
			status: http.StatusConflict,
			body:   `{"born": 5, "reason": "no-room"}`,
			want:   jobscheduler.StartNoRoom,
		},
		"unknown reason": {
			status: http.StatusConflict,
			body:   `{"born": 5, "reason": "busy"}`,
			want:   jobscheduler.StartUnknown,
		},
		"order that the worker can not decode": {
			status: http.StatusBadRequest,
			want:   jobscheduler.StartInvalid,
		},
		"worker unavailable": {
			status: http.StatusServiceUnavailable,
			want:   jobscheduler.StartRefused,
		},
		"bad gateway": {
			status: http.StatusBadGateway,
			want:   jobscheduler.StartUnknown,
		},
		"truncated answer": {
			status: http.StatusOK,
			body:   `{"clock-mil`,
			want:   jobscheduler.StartUnknown,
		},
		"another worker": {
			status: http.StatusMisdirectedRequest,
			want:   jobscheduler.StartGone,
		},
		"later incarnation, which may have executed the order": {
			status: http.StatusOK,
			body:   `{"clock-millis": 9, "born": 6}`,
			want:   jobscheduler.StartUnknown,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &fakeWorker{
				status: c.status,
				body:   c.body,
			}
			got, clock := invoker.New().Start(contextWithTimeout(t), 7, jobscheduler.Start{
				Target:     w.start(t),
				Task:       task,
				Run:        4,
				Payload:    "p",
				Checkpoint: "c",
				Deadline:   11,
			})
			is.Equal(got, c.want)
			is.Equal(clock, c.clock)
			is.Equal(w.path, invoker.StartPath)
			is.Equal(w.id, "j-1")
			is.Equal(w.order, invoker.Order{
				Fence:          7,
				DeadlineMillis: 11,
				Task: &invoker.Task{
					Job:        "job",
					Occurrence: 1,
					Step:       2,
					Index:      3,
				},
				Run:        4,
				Payload:    "p",
				Checkpoint: "c",
			})
		})
	}
}

// A poll whose answer can't be decoded must fail as a whole: a misread end would
// lose a task or run it again.
func TestLookAnswers(t *testing.T) {
	const complete = `{"clock-millis": 9, "born": 5, "running": [{"task": {"job": "a", "index": 2}, "run": 3, "checkpoint": "c", "percent": 40}],
		"ended": [{"number": 8, "task": {"job": "b", "step": 1}, "run": 2, "ending": "failed"}]}`
	cases := map[string]struct {
		status                int
		body                  string
		failed, gone          bool
		restarted             bool
		running, ended, clock int
	}{
		"complete": {
			status:  http.StatusOK,
			body:    complete,
			running: 1,
			ended:   1,
			clock:   9,
		},
		"truncated": {
			status: http.StatusOK,
			body:   complete[:40],
			failed: true,
		},
		"unknown ending": {
			status: http.StatusOK,
			body:   `{"born": 5, "ended": [{"number": 1, "task": {"job": "b"}, "run": 1, "ending": "exploded"}]}`,
			failed: true,
		},
		"fenced": {
			status: http.StatusConflict,
			body:   `{"clock-millis": 9, "born": 5, "reason": "fenced"}`,
			failed: true,
			clock:  9,
		},
		"another worker": {
			status: http.StatusMisdirectedRequest,
			gone:   true,
		},
		"later incarnation": {
			status:    http.StatusOK,
			body:      `{"clock-millis": 9, "born": 6}`,
			restarted: true,
			clock:     9,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &fakeWorker{
				status: c.status,
				body:   c.body,
			}
			got := invoker.New().Poll(contextWithTimeout(t), 7, jobscheduler.Poll{
				Target:          w.start(t),
				LastRecordedEnd: 6,
				Wait:            20 * time.Millisecond,
			})
			is.Equal(got.Failed, c.failed)
			is.Equal(got.Gone, c.gone)
			is.Equal(got.Restarted, c.restarted)
			is.Equal(int(got.Clock), c.clock)
			is.Equal(len(got.Running), c.running)
			is.Equal(len(got.Ended), c.ended)
			is.Equal(w.order.Seen, uint64(6))
			is.Equal(w.order.WaitMillis, int64(20))
			if c.ended > 0 {
				is.Equal(got.Running[0].Task.GetIndex(), int32(2))
				is.Equal(got.Running[0].Run, uint64(3))
				is.Equal(got.Ended[0].Number, uint64(8))
				is.Equal(got.Ended[0].End.GetEnding(), jobwire.Ending_ENDING_FAILED)
			}
		})
	}
}

// A refused connection must be distinguished from a timeout: it proves that a
// departing worker has ended, while one that does not answer may still run tasks.
func TestRefusedConnectionIsReported(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	target := jobscheduler.Target{
		ID:      "j-1",
		Address: listener.Addr().String(),
	}
	is.NoErr(listener.Close())
	got := invoker.New().Poll(contextWithTimeout(t), 7, jobscheduler.Poll{
		Target: target,
	})
	is.True(got.Failed && got.Refused)
}

// A start that waits for a connection until its time is over has not left this host. Taken for
// one that may be executed later, it kept its task from running for 16 s.
func TestStartWithoutConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-hang
	}))
	defer server.Close()
	defer close(hang)
	client := invoker.New()
	start := jobscheduler.Start{
		Target: jobscheduler.Target{
			ID:      "j-1",
			Address: server.Listener.Addr().String(),
		},
		Task: task,
	}
	// The number of connections to one worker.
	const connections = 4
	answers := make(chan jobscheduler.StartAnswer, connections)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range connections {
		go func() {
			answer, _ := client.Start(ctx, 7, start)
			answers <- answer
		}()
		<-arrived
	}
	short, cancelShort := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancelShort()
	answer, _ := client.Start(short, 7, start)
	is.Equal(answer, jobscheduler.StartNotSent)
	cancel()
	for range connections {
		is.Equal(<-answers, jobscheduler.StartUnknown) // these were sent
	}
}

// A connection that fell silent without a sign swallows an order. A start that asks for it goes
// on a new one.
func TestStartGoesOnNewConnection(t *testing.T) {
	tests := map[string]struct {
		newConnection bool
		want          int64
	}{
		"as usual":         {want: 1},
		"a new connection": {newConnection: true, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var connections atomic.Int64
			server := httptest.NewUnstartedServer(&fakeWorker{
				status: http.StatusOK,
				body:   `{"clock-millis": 9}`,
			})
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			client := invoker.New()
			start := jobscheduler.Start{
				Target: jobscheduler.Target{
					ID:      "j-1",
					Address: server.Listener.Addr().String(),
				},
				Task: task,
			}
			for _, start.NewConnection = range []bool{false, test.newConnection} {
				answer, _ := client.Start(contextWithTimeout(t), 7, start)
				is.Equal(answer, jobscheduler.StartAccepted)
			}
			is.Equal(connections.Load(), test.want)
		})
	}
}

// An order that has arrived was taken for one that was not delivered, because what answered it led
// to an address at which nothing listens.
func TestStartIsNotRedirected(t *testing.T) {
	is := is.New(t)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	server := httptest.NewServer(http.RedirectHandler(closed.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	answer, _ := invoker.New().Start(contextWithTimeout(t), 7, jobscheduler.Start{
		Target: jobscheduler.Target{
			ID:      "j-1",
			Address: server.Listener.Addr().String(),
		},
		Task: task,
	})
	is.Equal(answer, jobscheduler.StartUnknown)
}
