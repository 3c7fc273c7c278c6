package messenger_test

import (
	"crypto/tls"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/internal/wire"
)

// While a connection is being made, a call must end with its own context, and its end
// must not end the attempt, which others wait for: the connection used to be made under
// a lock, with the context of the first call.
func TestCallsThatWaitForConnectionEndByThemselves(t *testing.T) {
	is := is.New(t)
	// The listener accepts connections and never answers the TLS handshake.
	silent := listen(t)
	defer silent.Close()
	c := messenger.NewClient(messenger.ClientOptions{
		TLS: func() *tls.Config {
			return &tls.Config{
				MinVersion: tls.VersionTLS13,
				ServerName: "peer",
			}
		},
	})
	defer c.Close()
	call := func(timeout time.Duration) <-chan time.Time {
		ended := make(chan time.Time, 1)
		ctx := withTimeout(t, timeout)
		go func() {
			err := c.Call(ctx, silent.Addr().String(), "Registry.Begin", &wire.BeginRequest{}, &wire.BeginResponse{})
			if !messenger.NotSent(err) {
				t.Errorf("a call without a connection is not reported as not sent: %v", err)
			}
			ended <- time.Now()
		}()
		return ended
	}
	first := call(200 * time.Millisecond)
	conn, err := silent.Accept()
	is.NoErr(err)
	defer conn.Close()
	patient := call(10 * time.Second)
	hasty := call(20 * time.Millisecond)
	hastyEnd, firstEnd, patientEnd := <-hasty, <-first, <-patient
	// The order of the ends depends on the fault only, not on the machine's speed,
	// unless it stalls for longer than the gaps between the timeouts.
	is.True(hastyEnd.Before(firstEnd))
	is.True(patientEnd.Sub(firstEnd) > 50*time.Millisecond)
}
