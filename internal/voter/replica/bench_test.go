package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/voter/replica"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/persister"
)

// alone is a group of one voter with real files, on a clock of its own.
type alone struct {
	b   testing.TB
	now time.Time
	*replica.Replica
}

func openAlone(b testing.TB, dir string, snapshotEvery uint64) *alone {
	a := &alone{
		b:   b,
		now: time.Unix(1000, 0),
	}
	c := &cluster{
		r:     rand.New(rand.NewPCG(1, 1)),
		names: []string{"h-0"},
	}
	opts := c.options(&host{
		name: "h-0",
	})
	opts.Dir, opts.FS, opts.SnapshotEvery = dir, persister.Machine(), snapshotEvery
	r, err := replica.Open(a.now, opts)
	is.New(b).NoErr(err)
	a.Replica = r
	for self := false; !self; _, self = a.Leader() {
		a.now = a.now.Add(200 * time.Millisecond)
		a.Tick(a.now)
		a.Flush(a.now)
	}
	return a
}

func (a *alone) fill(from, to int) {
	for i := from; i < to; i++ {
		a.Propose(a.now, change(fmt.Sprintf("op-%08d", i)), false, func(_ *wire.Result, err error) { is.New(a.b).NoErr(err) })
		if i%200 == 199 || i == to-1 {
			a.Flush(a.now)
		}
	}
}

// BenchmarkRecovery measures from the opening of the files until all changes
// are applied again, without the wait for an election.
func BenchmarkRecovery(b *testing.B) {
	for name, every := range map[string]uint64{"snapshots": 1000, "no snapshots": 1 << 60} {
		for _, n := range []int{1000, 7500, 20000} {
			b.Run(fmt.Sprint(name, "/changes ", n), func(b *testing.B) {
				dir := b.TempDir()
				a := openAlone(b, dir, every)
				a.fill(0, n)
				is.New(b).NoErr(a.Close())
				for b.Loop() {
					a = openAlone(b, dir, every)
					is.New(b).Equal(a.State().Revision(), uint64(n))
					is.New(b).NoErr(a.Close())
				}
			})
		}
	}
}

// BenchmarkFollow measures one poll of a follower with the encoding on both
// sides: without changes, with one change, and the first one with all state.
func BenchmarkFollow(b *testing.B) {
	a := openAlone(b, b.TempDir(), 1000)
	a.fill(0, 7500)
	revisions := map[string]uint64{"no change": 7500, "one change": 7499, "whole state": 0}
	for name, revision := range revisions {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = a.poll(revision)
			}
			b.ReportMetric(float64(size), "bytes/poll")
		})
	}
}

// poll returns the encoded size of the request and the response.
func (a *alone) poll(revision uint64) int {
	req := &wire.FollowRequest{
		Revision: revision,
		Member: &wire.Member{
			Name:        "entry-1",
			Incarnation: "0123456789abcdef",
			DataCentre:  "dc-a",
			PeerAddress: "127.0.0.1:7000",
		},
	}
	sent, err := proto.Marshal(req)
	is.New(a.b).NoErr(err)
	is.New(a.b).NoErr(proto.Unmarshal(sent, req))
	received, err := proto.Marshal(a.Follow(a.now, req))
	is.New(a.b).NoErr(err)
	is.New(a.b).NoErr(proto.Unmarshal(received, &wire.FollowResponse{}))
	return len(sent) + len(received)
}
