package permitter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/permitter"
)

var errEnded = errors.New("permission has ended")

// A process may be suspended while a request waits for its connection. The request
// must not be sent when the process resumes after its permission has ended: another
// process may hold the permission by then.
func TestPermissionEndsWhileConnecting(t *testing.T) {
	cases := map[string]struct {
		endsBefore, endsWhileConnecting bool
		method                          string
		received                        int32
	}{
		"holds": {
			method:   http.MethodPost,
			received: 1,
		},
		"ended before": {
			endsBefore: true,
			method:     http.MethodPost,
		},
		"ended before, no body": {
			endsBefore: true,
			method:     http.MethodGet,
		},
		"ends while connecting": {
			endsWhileConnecting: true,
			method:              http.MethodPost,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var received atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err == nil {
					received.Add(1)
				}
			}))
			defer server.Close()
			var ended atomic.Bool
			ended.Store(c.endsBefore)
			client := &http.Client{
				Transport: &permitter.Transport{
					Base: &http.Transport{
						DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
							if c.endsWhileConnecting {
								ended.Store(true)
							}
							return (&net.Dialer{}).DialContext(ctx, network, address)
						},
					},
				},
			}
			ctx := permitter.With(t.Context(), func() error {
				if ended.Load() {
					return errEnded
				}
				return nil
			})
			var body io.Reader
			if c.method == http.MethodPost {
				body = strings.NewReader(`{"host": "h"}`)
			}
			req, err := http.NewRequestWithContext(ctx, c.method, server.URL, body)
			is.NoErr(err)
			resp, err := client.Do(req)
			if err == nil {
				is.NoErr(resp.Body.Close())
			}
			is.Equal(err == nil, c.received == 1)
			if err != nil {
				is.True(errors.Is(err, errEnded))
			}
			server.Close() // waits for the handlers
			is.Equal(received.Load(), c.received)
		})
	}
}
