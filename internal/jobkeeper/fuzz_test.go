package jobkeeper_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// FuzzApply guards against stored entries that end the process that applies them, or that lead
// to a state whose snapshot can't be written and loaded: no replica could join any more.
func FuzzApply(f *testing.F) {
	add := func(cmds ...*jobwire.Command) {
		var entries [2][]byte
		for i, cmd := range cmds {
			data, err := proto.Marshal(cmd)
			if err != nil {
				f.Fatal(err)
			}
			entries[i] = data
		}
		f.Add(entries[0], entries[1])
	}
	add(submitUnder("job", 2), end("job", 0, 0, 0, 1, failed))
	add(submit("job", 2, 2, 3), crash("job", 1))
	add(replaceQueues(3), submitUnder("job", 2))
	add(report(1, 1, 1000), cancel("job"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		m := jobkeeper.New(timer.System())
		apply(t, m, time.Unix(1000, 0), configure(1, 2))
		for _, entry := range [][]byte{first, second} {
			// An error is as good as success; only a panic is a failure.
			_ = m.Apply(entry)
		}
		data, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := jobkeeper.New(timer.System()).Restore(data); err != nil {
			t.Fatal(err)
		}
	})
}
