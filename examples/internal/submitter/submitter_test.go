package submitter_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/examples/internal/submitter"
)

// fakeEntryHost refuses the first call with Retry-After and accepts later ones,
// and records all calls. The queue "refused" always answers that the outcome is
// unknown, without Retry-After.
type fakeEntryHost struct {
	mu    sync.Mutex
	calls []string
}

func (e *fakeEntryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, fmt.Sprintf("%s %s %s%s", r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"), body))
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.URL.Path == "/q/refused/x":
		w.WriteHeader(http.StatusBadGateway)
		fmt.Fprint(w, `{"detail": "lost", "run": "unknown", "this-attempt": "unknown"}`)
	case len(e.calls) == 1:
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		fmt.Fprint(w, `{"id": "t-1", "state": "queued"}`)
	}
}

// Guards against a request that is resent although it may have run, and against
// one that isn't resent although the server refused it with Retry-After.
func TestResendsOnlyWithRetryAfter(t *testing.T) {
	is := is.New(t)
	entry := &fakeEntryHost{}
	server := httptest.NewServer(entry)
	defer server.Close()
	s := submitter.New(submitter.Options{
		Server:      server.URL,
		RetryBudget: time.Second,
	})
	_, err := s.Do(t.Context(), submitter.Request{
		Method:         http.MethodPost,
		Queue:          "redeem",
		Path:           "x",
		IdempotencyKey: "k-1",
		Body:           "b",
	})
	is.NoErr(err)
	_, err = s.Do(t.Context(), submitter.Request{
		Method: http.MethodPost,
		Queue:  "refused",
		Path:   "x",
	})
	is.True(err != nil)
	is.Equal(err.Error(), "submitter: request: POST /q/refused/x: 502 Bad Gateway: lost (run: unknown, this attempt: unknown)")
	is.Equal(entry.calls, []string{"POST /q/redeem/x k-1b", "POST /q/redeem/x k-1b", "POST /q/refused/x "})
}

// Guards against an upstream that shuts down before it has left the deployment.
func TestUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	entry := &fakeEntryHost{
		calls: []string{"first"},
	}
	server := httptest.NewServer(entry)
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	wait, err := submitter.ServeUpstream(ctx, server.URL, submitter.Announcement{
		ID: "u-1",
	}, http.NotFoundHandler())
	is.NoErr(err)
	cancel()
	wait()
	is.Equal(entry.calls[len(entry.calls)-1], "POST /v1/upstreams/u-1/leave ")
}
