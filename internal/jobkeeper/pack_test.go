package jobkeeper_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Each change sends the whole configuration to each replica. Uncompressed, one of
// many queues took half a megabyte, and a few of them delayed the heartbeats of
// the leader so much that it lost the leadership.
func TestLargeConfigurationIsSmallInTheLog(t *testing.T) {
	is := is.New(t)
	c := &jobwire.Configuration{
		Version: 3,
	}
	var document bytes.Buffer
	for i := range 1400 {
		q := &jobwire.Queue{
			Name:   fmt.Sprint("r-", i*7919),
			Host:   fmt.Sprintf("host%d.example", i%97),
			Prefix: fmt.Sprintf("/path%d/part%d/", i*31, i),
			Pool:   fmt.Sprint("pool", i%5),
		}
		c.Queues = append(c.Queues, q)
		fmt.Fprintf(&document, `{"name":%q,"host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":3000,`+
			`"target_latency_ms":600,"priority":1,"service":%q,"attempts":2,"stretch":1.6,"public":false},`,
			q.GetName(), q.GetHost(), q.GetPrefix(), q.GetPool())
	}
	c.Document = document.Bytes()
	cmd, err := jobkeeper.ConfigureCommand(c)
	is.NoErr(err)
	is.True(proto.Size(cmd) < 64<<10)

	m := jobkeeper.New(timer.System())
	apply(t, m, time.Unix(1000, 0), cmd)
	m.View(func(s *jobkeeper.State) {
		is.True(proto.Equal(s.Configuration, c))
		is.Equal(s.Queue("r-7919").GetHost(), "host1.example")
	})
}
