package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/ingress"
	"github.com/heathermux/heathermux/internal/wire"
)

// An invalid task must be refused with an error that names the invalid field, not
// accepted with a wrong size or deadline. Tests are keyed by body.
func TestTaskErrors(t *testing.T) {
	tests := map[string]string{
		`{"queue":"tasks"}`:                                          `"deadline" is missing`,
		`{"deadline":"1s"}`:                                          `"queue" is missing`,
		`{"queue":"none","deadline":"1s"}`:                           `no queue of tasks named "none"`,
		`{"queue":"switch","deadline":"1s"}`:                         `no queue of tasks named "switch"`,
		`{"queue":"tasks","deadline":"1s","memry":"1GiB"}`:           `"memry" is not known; allowed are accelerators,`,
		`{"queue":"tasks","deadline":"1s","memory":"64"}`:            `"memory": must be a whole number with the unit`,
		`{"queue":"tasks","deadline":"1s","memory":64}`:              `"memory"`,
		`{"queue":"tasks","deadline":"1s","memory":"9000000000TiB"}`: `"memory"`,
		`{"queue":"tasks","deadline":90}`:                            `"deadline": must be a positive duration with a unit`,
		`{"queue":"tasks","deadline":"-1s"}`:                         `"deadline"`,
		`{"queue":"tasks","deadline":"1s","processors":-1}`:          `"processors"`,
		`{"queue":"tasks","deadline":"1s","accelerators":0.5}`:       `"accelerators"`,
		`{"queue":"tasks","deadline":null}`:                          `"deadline"`,
		`{"queue":"tasks","deadline":"1s"}{}`:                        `nothing after`,
		`queue=tasks`:                                                `one JSON object`,
	}
	for body, detail := range tests {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			s := newTestHost(t)
			got := s.send(http.MethodPost, "/v1/tasks", []byte(body), "Authorization", bearer("feeds"))
			is.True(got.status == http.StatusBadRequest || got.problemName() == "unknown-queue")
			is.True(strings.Contains(got.problem.Detail, detail))
			is.Equal(len(s.tasks.submitted), 0)
		})
	}
}

// The size, deadline and payload of a task must reach the scheduler as they were
// sent.
func TestTaskFields(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t)
	body := `{"queue":"tasks","processors":0.5,"memory":"64GiB","accelerators":1,"deadline":"90s","payload":{"a":1}}`
	is.Equal(s.send(http.MethodPost, "/v1/tasks", []byte(body), "Authorization", bearer("feeds")).status, http.StatusAccepted)
	task := s.tasks.submitted[0]
	is.Equal(task.GetTeam(), "feeds")
	is.Equal(task.GetSize().GetMilliCores(), int64(500))
	is.Equal(task.GetSize().GetMemoryBytes(), int64(64<<30))
	is.Equal(time.Duration(task.GetDeadlineNanos()), 90*time.Second)
	is.Equal(string(task.GetPayload()), `{"a":1}`)
}

// A task must be visible to its own team only and cancelled by it only, and a
// refused submission must say whether the task may have been accepted.
func TestTaskAccessAndRefusals(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t)
	submit := func(header ...string) response {
		return s.send(http.MethodPost, "/v1/tasks", []byte(`{"queue":"tasks","deadline":"1s"}`), append(header, "Authorization", bearer("feeds"))...)
	}
	path := submit().header.Get("Location")
	is.Equal(s.send(http.MethodGet, path, nil, "Authorization", bearer("feeds")).status, http.StatusOK)
	is.Equal(s.send(http.MethodGet, path, nil, "Authorization", bearer("signs")).problemName(), "unknown-task")
	is.Equal(s.send(http.MethodDelete, path, nil).problemName(), "unknown-task")
	is.Equal(s.send(http.MethodDelete, path, nil, "Authorization", bearer("feeds")).status, http.StatusOK)
	is.Equal(s.send(http.MethodPatch, path, nil).status, http.StatusMethodNotAllowed)
	is.Equal(s.send(http.MethodPost, "/v1/tasks", []byte(`{"queue":"tasks","deadline":"1s"}`), "Authorization", bearer("signs")).problemName(), "queue-not-in-scope")

	s.tasks.response = &wire.SubmitResponse{
		Refusal: "no worker is that large",
	}
	is.Equal(submit().problemName(), "task-impossible")
	s.tasks.response.RetryAfterNanos = int64(1500 * time.Millisecond)
	got := submit()
	is.Equal(got.header.Get("Retry-After"), "2")
	is.Equal(got.problem.Run, ingress.NotRun)
	is.Equal(submit("Idempotency-Key", "k").problem.Run, ingress.RunUnknown)
	s.tasks.response = &wire.SubmitResponse{}
	is.Equal(submit().problem.ThisAttempt, ingress.RunUnknown)
	s.setView(testControlState(), -time.Second)
	is.Equal(submit().problemName(), "no-lease")
	is.Equal(s.send(http.MethodGet, path, nil, "Authorization", bearer("feeds")).problemName(), "no-lease")
}

// A resend of a submission with an idempotency key must return the first task, also
// when the first response was lost, and must never create a second task.
func TestKeyedTasks(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t)
	submit := func(body string) response {
		return s.send(http.MethodPost, "/v1/tasks", []byte(body), "Authorization", bearer("feeds"), "Idempotency-Key", "k")
	}
	const task = `{"queue":"tasks","deadline":"1s"}`
	s.tasks.response = &wire.SubmitResponse{
		Refusal:         "no scheduler",
		RetryAfterNanos: 1,
	}
	is.Equal(submit(task).problemName(), "task-refused")
	s.tasks.response = nil
	first := submit(task)
	is.Equal(first.status, http.StatusAccepted)
	again := submit(task)
	is.Equal(again.status, http.StatusAccepted)
	is.Equal(again.header.Get("Idempotent-Replayed"), "true")
	is.Equal(string(again.body), string(first.body))
	is.Equal(len(s.tasks.submitted), 2) // the refused and the accepted submission
	is.Equal(submit(`{"queue":"tasks","deadline":"2s"}`).problemName(), "key-reused")
	s.registry.forcedResponse = &wire.BeginResponse{
		Outcome: wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN,
	}
	is.Equal(submit(task).problem.Run, ingress.RunUnknown)
	is.Equal(len(s.tasks.submitted), 2)
}

// A header or body above its limit must be refused with problem details, and a
// path must reach the upstream as it was sent.
func TestSizeLimitsAndPaths(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t)
	s.setUpstreams(s.startUpstream("open", echo))
	for _, path := range []string{"/a//b/../c%2Fd?x=%20y", "/", "/%41"} {
		is.Equal(s.send(http.MethodPost, "/q/open"+path, []byte("b")).header.Get("Upstream-Path"), path)
	}
	is.Equal(s.send(http.MethodPost, "/q/open", []byte("b")).header.Get("Upstream-Path"), "/")
	for _, size := range []int{0, 1, 64 << 10, 8 << 20} {
		got := s.send(http.MethodPost, "/q/open/", make([]byte, size))
		is.True(len(got.body) == max(size, 1))
	}
	is.Equal(s.send(http.MethodPost, "/q/open/", make([]byte, 8<<20+1)).status, http.StatusRequestEntityTooLarge)
	got := s.send(http.MethodPost, "/q/open/", nil, "Padding", strings.Repeat("x", 33<<10))
	is.Equal(got.status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(got.problem.Run, ingress.NotRun)
}

// The configured limits must be applied instead of the defaults.
func TestConfiguredLimits(t *testing.T) {
	is := is.New(t)
	s := newTestHostWithLimits(t, ingress.Limits{
		Header:          1 << 10,
		Body:            2 << 10,
		TaskPayload:     16,
		DefaultDeadline: 50 * time.Millisecond,
	})
	s.setUpstreams(s.startUpstream("open", echo))
	is.Equal(s.send(http.MethodPost, "/q/open/", make([]byte, 2<<10)).status, http.StatusOK)
	is.Equal(s.send(http.MethodPost, "/q/open/", make([]byte, 2<<10+1)).status, http.StatusRequestEntityTooLarge)
	is.Equal(s.send(http.MethodPost, "/q/open/", nil, "Padding", strings.Repeat("x", 1<<10)).status, http.StatusRequestHeaderFieldsTooLarge)
	task := `{"queue":"tasks","deadline":"1s","payload":"0123456789abcdef"}`
	is.Equal(s.send(http.MethodPost, "/v1/tasks", []byte(task), "Authorization", bearer("feeds")).problemName(), "payload-too-large")
	s.setUpstreams(s.startUpstream("open", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(500 * time.Millisecond)
		echo(w, r)
	}))
	is.Equal(s.send(http.MethodPost, "/q/open/", nil).status, http.StatusGatewayTimeout)
}

// Callers that share upstream connections must never get each other's answers, also
// when some requests time out. (Invariant own-answer.)
func TestCrossedAnswers(t *testing.T) {
	s := newTestHost(t)
	slow := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "3") {
			time.Sleep(4 * time.Millisecond)
		}
		echo(w, r)
	}
	s.setUpstreams(s.startUpstream("open", slow), s.startUpstream("open", slow))
	var wg sync.WaitGroup
	for caller := range 24 {
		wg.Go(func() {
			for i := range 40 {
				path := "/" + strings.Repeat("x", caller) + "/" + strings.Repeat("y", i) + "/3"[:1+i%2]
				got := s.send(http.MethodPost, "/q/open"+path, nil, "Heathermux-Deadline", "3ms")
				if got.status == http.StatusOK && string(got.body) != path {
					t.Errorf("%s got the answer of %s", path, got.body)
				}
			}
		})
	}
	wg.Wait()
}

// Any value of the deadline and idempotency key headers must lead to an answer or a
// problem, never to a panic or to a deadline that the caller did not ask for.
func FuzzHeaders(f *testing.F) {
	for _, seed := range []string{"800ms", "5m", "-1s", "1e9h", "+5s", "9999999999999h", "0", "", "1.5s", "\x00", "5m1ns"} {
		f.Add(seed, seed)
	}
	s := newTestHost(f)
	handler := s.Handler()
	f.Fuzz(func(t *testing.T, deadline, key string) {
		r := httptest.NewRequest(http.MethodPost, "/q/open/a", nil)
		r.Header["Heathermux-Deadline"] = []string{deadline}
		r.Header["Idempotency-Key"] = []string{key}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		d, err := time.ParseDuration(deadline)
		goodDeadline := err == nil && d > 0 && d <= 5*time.Minute && !strings.HasPrefix(deadline, "+") && len(deadline) < 256
		goodKey := key != "" && len(key) < 256 && strings.IndexFunc(key, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
		want := http.StatusServiceUnavailable
		if !goodDeadline || !goodKey {
			want = http.StatusBadRequest
		}
		if w.Code != want {
			t.Errorf("deadline %q, key %q: status %d, want %d", deadline, key, w.Code, want)
		}
	})
}
