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

// singleVoter is a group of one voter with real files and a clock of its own.
type singleVoter struct {
	tb  testing.TB
	now time.Time
	*replica.Replica
}

func openSingleVoter(tb testing.TB, dir string, snapshotEvery uint64) *singleVoter {
	v := &singleVoter{
		tb:  tb,
		now: time.Unix(1000, 0),
	}
	c := &cluster{
		rng:   rand.New(rand.NewPCG(1, 1)),
		names: []string{"h-0"},
	}
	opts := c.options(&host{
		name: "h-0",
	})
	opts.Dir, opts.FS, opts.SnapshotEvery = dir, persister.OSFS(), snapshotEvery
	r, err := replica.Open(v.now, opts)
	is.New(tb).NoErr(err)
	v.Replica = r
	for self := false; !self; _, self = v.Leader() {
		v.now = v.now.Add(200 * time.Millisecond)
		v.Tick(v.now)
		v.Flush(v.now)
	}
	return v
}

func (v *singleVoter) proposeChanges(from, to int) {
	for i := from; i < to; i++ {
		v.Propose(v.now, change(fmt.Sprintf("op-%08d", i)), false, func(_ *wire.Result, err error) { is.New(v.tb).NoErr(err) })
		if i%200 == 199 || i == to-1 {
			v.Flush(v.now)
		}
	}
}

// BenchmarkRecovery measures the time from opening the files until all changes are
// applied again. The clock is fake, so it includes no wait for an election.
func BenchmarkRecovery(b *testing.B) {
	for name, every := range map[string]uint64{"snapshots": 1000, "no snapshots": 1 << 60} {
		for _, n := range []int{1000, 7500, 20000} {
			b.Run(fmt.Sprint(name, "/changes ", n), func(b *testing.B) {
				dir := b.TempDir()
				v := openSingleVoter(b, dir, every)
				v.proposeChanges(0, n)
				is.New(b).NoErr(v.Close())
				for b.Loop() {
					v = openSingleVoter(b, dir, every)
					is.New(b).Equal(v.State().Revision(), uint64(n))
					is.New(b).NoErr(v.Close())
				}
			})
		}
	}
}

// BenchmarkFollow measures one follow request, with encoding and decoding on both
// sides: without changes, with one change, and the first one with the whole state.
func BenchmarkFollow(b *testing.B) {
	v := openSingleVoter(b, b.TempDir(), 1000)
	v.proposeChanges(0, 7500)
	revisions := map[string]uint64{"no change": 7500, "one change": 7499, "whole state": 0}
	for name, revision := range revisions {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = v.poll(revision)
			}
			b.ReportMetric(float64(size), "bytes/poll")
		})
	}
}

// poll makes one follow request and returns the encoded size of the request plus
// the response.
func (v *singleVoter) poll(revision uint64) int {
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
	is.New(v.tb).NoErr(err)
	is.New(v.tb).NoErr(proto.Unmarshal(sent, req))
	received, err := proto.Marshal(v.Follow(v.now, req))
	is.New(v.tb).NoErr(err)
	is.New(v.tb).NoErr(proto.Unmarshal(received, &wire.FollowResponse{}))
	return len(sent) + len(received)
}
