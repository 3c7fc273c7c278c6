package announcer_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/announcer"
)

// An announcement that is wrong in itself must not be tried at every entry host, each
// time that it is due; one that an entry host can't serve must be.
func TestRejectionIsFinal(t *testing.T) {
	cases := map[string]struct {
		status int
		calls  int64
	}{
		"invalid": {
			status: http.StatusUnprocessableEntity,
			calls:  1,
		},
		"has left": {
			status: http.StatusConflict,
			calls:  1,
		},
		"unavailable": {
			status: http.StatusServiceUnavailable,
			calls:  3,
		},
		"another program at the address": {
			status: http.StatusNotFound,
			calls:  3,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			client := announcer.NewClient(server.URL, server.URL, server.URL)
			defer client.Close()
			is.True(client.Announce(t.Context(), announcer.Upstream{}) != nil)
			is.Equal(calls.Load(), c.calls)
		})
	}
}
