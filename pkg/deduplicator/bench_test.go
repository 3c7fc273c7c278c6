package deduplicator_test

import (
	"fmt"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/heathermux/heathermux/pkg/deduplicator"
)

// newSingleHostTable returns a table that is the only holder of every slot.
func newSingleHostTable(self deduplicator.Host) *deduplicator.Table {
	t := deduplicator.New(deduplicator.Options{
		Self:      self,
		MemoryCap: 1 << 40,
	})
	t.SetView(deduplicator.NewSlotMap(1, []deduplicator.Host{self}), nil)
	for slot := range deduplicator.SlotCount {
		t.Install(time.Unix(1000, 0), 1, slot, deduplicator.Content{}, false)
		t.OpenSlot(1, slot)
	}
	return t
}

const fingerprint = "0123456789abcdef0123456789abcdef"

func beginAndFinish(t *deduplicator.Table, now time.Time, key string, answer []byte) {
	t.Begin(now, 1, deduplicator.Request{
		Key:         key,
		Fingerprint: fingerprint,
		Attempt:     key,
	})
	t.Finish(now, deduplicator.Entry{
		Key:         key,
		State:       deduplicator.Finished,
		Fingerprint: fingerprint,
		Attempt:     key,
		Answer:      answer,
	})
}

// BenchmarkBeginFinish measures the decisions alone: no messages are sent. The clock
// advances as if 5,000 keys arrived per second, so that old ones are removed.
func BenchmarkBeginFinish(b *testing.B) {
	table := newSingleHostTable(hostA)
	start := time.Unix(1000, 0)
	var n atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i := n.Add(1)
			now := start.Add(time.Duration(i) * time.Second / 5000)
			beginAndFinish(table, now, "team/"+strconv.FormatInt(i, 10), make([]byte, 256))
		}
	})
}

// BenchmarkEntryMemory reports the heap bytes of one entry without its answer.
func BenchmarkEntryMemory(b *testing.B) {
	const entries = 100_000
	for range b.N {
		var before, after runtime.MemStats
		table := newSingleHostTable(hostA)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range entries {
			key := fmt.Sprintf("team/00000000-0000-4000-8000-%012d", i)
			beginAndFinish(table, time.Unix(1000, 0), key, make([]byte, 1))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/entry")
		b.ReportMetric(float64(table.Stats().Bytes)/entries, "counted-B/entry")
	}
}
