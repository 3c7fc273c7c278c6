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

// A request that its key does not allow must not reach an upstream, and a key must
// not reach an upstream, a log or an answer. (Invariant key-scope.) Tests are keyed
// by path, Authorization and Idempotency-Key; the expected result is the status,
// the name of the problem and its member run.
func TestKeyScope(t *testing.T) {
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
		{"/q/open/a", "", "two words"}:               "400 bad-idempotency-key unknown",
		{"/q/open/../switch/a", "", ""}:              ok,
		{"/q/open%2F..%2Fswitch/a", "", ""}:          "404 unknown-queue not-run",
		{"/q/switch/a", bearer("none"), "k"}:         "401 key-unknown unknown",
		{"/q/none/a", bearer("feeds"), "k"}:          "404 unknown-queue unknown",
		{"/q/switch/a", "Basic secret-feeds", "k"}:   "401 bad-authorization unknown",
		{"/q/notice/../switch", bearer("feeds"), ""}: "403 queue-not-in-scope not-run",
	}
	withoutLease := map[[3]string]string{
		{"/q/switch/a", bearer("feeds"), ""}:  "503 no-lease not-run",
		{"/q/switch/a", bearer("feeds"), "k"}: "503 no-lease unknown",
		{"/q/open/a", "", ""}:                 ok,
		{"/q/open/a", "", "k"}:                "503 no-lease unknown",
		{"/q/none/a", bearer("feeds"), ""}:    "503 no-lease not-run",
	}
	for lease, tests := range map[time.Duration]map[[3]string]string{
		time.Hour:    withLease,
		-time.Second: withoutLease,
	} {
		for request, want := range tests {
			t.Run(fmt.Sprint(lease, request), func(t *testing.T) {
				is := is.New(t)
				s := newTestHost(t)
				var runs atomic.Int64
				count := func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					is.Equal(r.Header.Get("Authorization"), "")
					echo(w, r)
				}
				s.setUpstreams(s.startUpstream("switch", count), s.startUpstream("notice", count), s.startUpstream("open", count))
				s.setView(testControlState().WithoutKey("withdrawn"), lease)
				var header []string
				for i, name := range []string{"Authorization", "Idempotency-Key"} {
					if request[i+1] != "" {
						header = append(header, name, request[i+1])
					}
				}
				got := s.send(http.MethodPost, request[0], nil, header...)
				is.Equal(fmt.Sprintf("%d %s %s", got.status, got.problemName(), got.problem.Run), want)
				is.Equal(runs.Load() > 0, want == ok)
				is.True(!strings.Contains(string(got.body)+s.log.String(), "secret"))
			})
		}
	}
}
