package messenger_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/internal/wire"
)

// A peer that reads slowly, and reads all the while, must get all that is queued for
// it: with one deadline for the whole batch its connection was closed, which failed all
// calls to it.
func TestSlowReaderGetsWholeBatch(t *testing.T) {
	const (
		calls        = 40
		bytesPerCall = 1 << 20
		// With a pause after each read, reading all takes longer than a second, the
		// time that a peer may stop reading.
		bytesPerRead = 256 << 10
		pause        = 15 * time.Millisecond
	)
	is := is.New(t)
	l := listen(t)
	defer l.Close()
	client := messenger.NewClient(messenger.ClientOptions{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var group sync.WaitGroup
	key := strings.Repeat("k", bytesPerCall)
	for range calls {
		group.Go(func() {
			_ = client.Call(ctx, l.Addr().String(), "Registry.Begin", &wire.BeginRequest{
				Key: key,
			}, &wire.BeginResponse{})
		})
	}
	conn, err := l.Accept()
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(bytesPerRead))
	read := 0
	for buf := make([]byte, bytesPerRead); read < calls*bytesPerCall; time.Sleep(pause) {
		n, err := io.ReadAtLeast(conn, buf, 1)
		read += n
		if err != nil {
			t.Errorf("the connection was closed after %d bytes: %v", read, err)
			break
		}
	}
	cancel()
	client.Close()
	group.Wait()
}
