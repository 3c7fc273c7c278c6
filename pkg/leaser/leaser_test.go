package leaser_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/pkg/leaser"
)

// Guards against two holders with a live lease on one key, and against the reuse
// of an epoch after a release, an expiry or a repeated grant.
func TestOneHolderAndRisingEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var table leaser.Table[int]
		now := time.Unix(0, 0)
		leases := make(map[int]leaser.Lease)
		var lastEpoch uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			key := rapid.IntRange(0, 1).Draw(t, "key")
			holder := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder")
			held, live := leases[key], leases[key].Live(now)
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				lease, err := table.Grant(now, key, holder, 2*time.Second)
				is.Equal(err != nil, live && held.Holder != holder) // refused only while another holder has a live lease
				if err == nil {
					is.True(lease.Epoch > lastEpoch) // epochs only increase
					lastEpoch, leases[key] = lease.Epoch, lease
				}
			case 1:
				lease, err := table.Renew(now, key, held.Epoch, 2*time.Second)
				is.Equal(err == nil, live)
				if err == nil {
					leases[key] = lease
				}
			case 2:
				table.Release(key, held.Epoch)
				delete(leases, key)
			default:
				for expired := range table.Expire(now) {
					is.True(!leases[expired].Live(now))
				}
			}
			is.Equal(table.IsLive(now, key, leases[key].Epoch), leases[key].Live(now))
		}
	})
}
