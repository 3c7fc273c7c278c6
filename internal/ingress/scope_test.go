package ingress_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Invariant key-scope: work that a key does not allow must not reach an
// upstream, and a key must not reach an upstream, a log or an answer. Tests are
// keyed by path, Authorization and Idempotency-Key; the result is status, name
// of the problem and what is said of the operation.
func TestKeyScope(t *testing.T) {
<<<<<<< HEAD
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
=======
	const ok = "200  "
	withLease := map[[3]string]string{
		{"/q/switch/a", bearer("feeds"), ""}:         ok,
		{"/q/notice/a", bearer("feeds"), ""}:         "403 queue-not-in-scope not-run",
		{"/q/switch/a", "", ""}:                      "401 key-missing not-run",
		{"/q/switch/a", bearer("none"), ""}:          "401 key-unknown not-run",
		{"/q/switch/a", bearer("operator"), ""}:      "401 key-unknown not-run",
		{"/q/switch/a", bearer("withdrawn"), ""}:     "401 key-unknown not-run",
		{"/q/switch/a", "Basic secret-feeds", ""}:    "401 bad-authorization not-run",
		{"/q/none/a", bearer("feeds"), ""}:           "404 unknown-queue not-run",
		{"/q/tasks/a", bearer("feeds"), ""}:          "404 unknown-queue not-run",
		{"/q/open/a", "", ""}:                        ok,
		{"/q/open/a", bearer("none"), ""}:            ok,
		{"/q/open/a", "", "two words"}:               "400 bad-idempotency-key not-run",
		{"/q/open/../switch/a", "", ""}:              ok,
		{"/q/open%2F..%2Fswitch/a", "", ""}:          "404 unknown-queue not-run",
		{"/q/switch/a", bearer("none"), "k"}:         "401 key-unknown unknown",
		{"/q/notice/../switch", bearer("feeds"), ""}: "403 queue-not-in-scope not-run",
>>>>>>> requests
	}
	withoutLease := map[[3]string]string{
		{"/q/switch/a", bearer("feeds"), ""}:  "503 no-lease not-run",
		{"/q/switch/a", bearer("feeds"), "k"}: "503 no-lease unknown",
		{"/q/open/a", "", ""}:                 ok,
		{"/q/open/a", "", "k"}:                "503 no-lease unknown",
	}
	for lease, tests := range map[time.Duration]map[[3]string]string{
		time.Hour:    withLease,
		-time.Second: withoutLease,
	} {
		for request, want := range tests {
			t.Run(fmt.Sprint(lease, request), func(t *testing.T) {
				is := is.New(t)
				s := newSite(t)
				var runs atomic.Int64
				count := func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					is.Equal(r.Header.Get("Authorization"), "")
					echo(w, r)
				}
				s.setUpstreams(s.upstream("switch", count), s.upstream("notice", count), s.upstream("open", count))
				s.setView(controlState().WithoutKey("withdrawn"), lease)
				var header []string
				for i, name := range []string{"Authorization", "Idempotency-Key"} {
					if request[i+1] != "" {
						header = append(header, name, request[i+1])
					}
				}
				got := s.send(http.MethodPost, request[0], nil, header...)
				is.Equal(fmt.Sprintf("%d %s %s", got.status, got.name(), got.problem.Run), want)
				is.Equal(runs.Load() > 0, want == ok)
				is.True(!strings.Contains(string(got.body)+s.log.String(), "secret"))
			})
		}
	}
}
