package commander_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// One entry host that is frozen must not cost more than a moment while others are up,
// neither for a read nor for a change, which is made once.
func TestFrozenServerIsLeftSoon(t *testing.T) {
	const limit = 4 * time.Second
	commands := map[string]string{
		"read":   "zone list",
		"change": "zone out callao",
	}
	for name, command := range commands {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			released := make(chan struct{})
			frozen := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-released:
				case <-r.Context().Done():
				}
			}))
			defer frozen.Close()
			defer close(released)
			host, server := newHost(t)
			s := &terminal{
				host:   host,
				server: server.URL,
			}
			t.Setenv("HEATHERMUX_KEY", "example-qhapaq-operator")
			start := time.Now()
			s.run(t.Context(), append(strings.Fields(command), "--server", frozen.URL, "--server", server.URL))
			is.True(time.Since(start) < limit)
			is.True(!strings.Contains(s.out.String(), "[exit"))
		})
	}
}
