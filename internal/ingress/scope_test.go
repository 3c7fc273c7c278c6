package ingress_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/ingress"
)

// Invariant key-scope: work that a key does not allow must not reach an
// upstream, and a key must not reach an upstream, a log or an answer.
func TestKeyScope(t *testing.T) {
	tests := map[string]struct {
		path          string
		authorization string
		key           string
		lease         time.Duration
		change        func(controller.State) controller.State
		status        int
		name          string
		run           ingress.Ran
	}{
		"own queue":                  {path: "/q/switch/a", authorization: bearer("feeds"), status: 200},
		"queue of another team":      {path: "/q/notice/a", authorization: bearer("feeds"), status: 403, name: "queue-not-in-scope"},
		"no key":                     {path: "/q/switch/a", status: 401, name: "key-missing"},
		"unknown key":                {path: "/q/switch/a", authorization: "Bearer secret-none", status: 401, name: "key-unknown"},
		"operator's key":             {path: "/q/switch/a", authorization: bearer("operator"), status: 401, name: "key-unknown"},
		"other scheme":               {path: "/q/switch/a", authorization: "Basic secret-feeds", status: 401, name: "bad-authorization"},
		"unknown queue":              {path: "/q/none/a", authorization: bearer("feeds"), status: 404, name: "unknown-queue"},
		"queue of tasks":             {path: "/q/tasks/a", authorization: bearer("feeds"), status: 404, name: "unknown-queue"},
		"unknown queue, no lease":    {path: "/q/none/a", authorization: bearer("feeds"), lease: -2 * time.Hour, status: 503, name: "no-lease"},
		"open queue":                 {path: "/q/open/a", status: 200},
		"open queue, unknown key":    {path: "/q/open/a", authorization: "Bearer secret-none", status: 200},
		"lease ended":                {path: "/q/switch/a", authorization: bearer("feeds"), lease: -2 * time.Hour, status: 503, name: "no-lease"},
		"lease ended, open":          {path: "/q/open/a", lease: -2 * time.Hour, status: 200},
		"lease ended, open, keyed":   {path: "/q/open/a", key: "k", lease: -2 * time.Hour, status: 503, name: "no-lease", run: ingress.Unknown},
		"lease ended, keyed":         {path: "/q/switch/a", authorization: bearer("feeds"), key: "k", lease: -2 * time.Hour, status: 503, name: "no-lease", run: ingress.Unknown},
		"unusable idempotency key":   {path: "/q/open/a", key: "two words", status: 400, name: "bad-idempotency-key"},
		"path that leaves the queue": {path: "/q/open/../switch/a", status: 200},
		"withdrawn key": {
			path:          "/q/switch/a",
			authorization: bearer("feeds"),
			change:        func(s controller.State) controller.State { return s.WithoutKey("feeds") },
			status:        401,
			name:          "key-unknown",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			var runs atomic.Int64
			count := func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				is.Equal(r.Header.Get("Authorization"), "")
				echo(w, r)
			}
			s.setUpstreams(s.upstream("switch", count), s.upstream("notice", count), s.upstream("open", count))
			state := controlState()
			if test.change != nil {
				state = test.change(state)
			}
			s.setView(state, time.Hour+test.lease)
			got := s.send(http.MethodPost, test.path, nil, present("Authorization", test.authorization, "Idempotency-Key", test.key)...)
			is.Equal(got.status, test.status)
			is.True(!strings.Contains(string(got.body)+s.log.String(), "secret"))
			if test.name == "" {
				return
			}
			is.Equal(got.name(), test.name)
			is.Equal(got.problem.ThisAttempt, ingress.NotRun)
			if test.run != "" {
				is.Equal(got.problem.Run, test.run)
			}
			is.Equal(runs.Load(), int64(0))
		})
	}
}

// present leaves out headers without a value.
func present(header ...string) []string {
	var kept []string
	for i := 0; i < len(header); i += 2 {
		if header[i+1] != "" {
			kept = append(kept, header[i:i+2]...)
		}
	}
	return kept
}
