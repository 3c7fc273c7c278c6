package recorder_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/heathermux/heathermux/internal/wire"
)

// BenchmarkViewChange measures how long the hosts of a view take to move the
// slots of one lost owner, out of six hosts with 100,000 entries of 256-byte
// answers. Messages are function calls, so that network time is not included.
func BenchmarkViewChange(b *testing.B) {
	for range b.N {
		b.StopTimer()
		w := newWorld(b, 1, 6)
		w.sure = true
		for i := range 100_000 {
			w.report(fmt.Sprint("team/", i))
		}
		w.trace = nil
		w.procs["h-1"].dead = true
		b.StartTimer()
		w.change("")
		b.StopTimer()
		if w.transfer() > 0 {
			b.Fatal("slots are not transferred")
		}
	}
}

// report begins and finishes one request with an answer of 256 bytes.
func (w *world) report(key string) {
	r := w.procs["h-2"].rec
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
