package recorder_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/heathermux/heathermux/internal/wire"
)

// BenchmarkViewChange measures how long it takes to transfer the slots of one
// lost owner, in a cluster of six hosts with 100,000 entries whose answers have
// 256 bytes. Messages are function calls, so network time is not included.
func BenchmarkViewChange(b *testing.B) {
	for range b.N {
		b.StopTimer()
		c := newCluster(b, 1, 6)
		c.deterministic = true
		for i := range 100_000 {
			c.addFinishedEntry(fmt.Sprint("team/", i))
		}
		c.trace = nil
		c.procs["h-1"].dead = true
		b.StartTimer()
		c.changeView("")
		b.StopTimer()
		if c.transfer() > 0 {
			b.Fatal("some slots are not transferred after four passes")
		}
	}
}

// addFinishedEntry begins and finishes one request with a 256-byte answer.
func (c *cluster) addFinishedEntry(key string) {
	r := c.procs["h-2"].rec
	r.Begin(context.Background(), key, nil, key)
	r.Finish(context.Background(), &wire.RegistryEntry{
		Key:     key,
		Attempt: key,
		State:   wire.EntryState_ENTRY_STATE_FINISHED,
		Answer: &wire.StoredAnswer{
			Status: 200,
			Body:   make([]byte, 256),
		},
	})
}
