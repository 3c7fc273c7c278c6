// Command group runs three replicas in memory on a clock of its own, commits
// one change and prints who has applied it.
package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

var ids = []replicator.ID{"a", "b", "c"}

func main() {
	cores := group()
	now := time.Unix(0, 0)
	proposed := false
	for range 30 {
		now = now.Add(replicator.DefaultHeartbeatInterval)
		for _, id := range ids {
			cores[id].Tick(now)
			if cores[id].Leading() && !proposed {
				_, err := cores[id].Propose(now, []byte("hello"))
				proposed = err == nil
			}
			work(cores, id, now)
		}
	}
}

// group makes three replicas that begin with the same membership.
func group() map[replicator.ID]*replicator.Core {
	membership := &replication.Membership{}
	for _, id := range ids {
		membership.Members = append(membership.Members, &replication.Member{
			Id: string(id),
		})
	}
	cores := make(map[replicator.ID]*replicator.Core)
	for i, id := range ids {
		cores[id] = replicator.New(replicator.Config{
			ID:   id,
			Rand: rand.New(rand.NewPCG(1, uint64(i))),
		}, replicator.Recovered{
			BaseIndex: 1,
			BaseTerm:  1,
			Snapshot: &replication.Snapshot{
				Index:      1,
				Term:       1,
				Membership: membership,
			},
		})
	}
	return cores
}

// work does what a replica has ready. A real caller syncs hard state and
// entries before it sends the messages.
func work(cores map[replicator.ID]*replicator.Core, id replicator.ID, now time.Time) {
	for {
		ready, some := cores[id].Ready(now)
		if !some {
			return
		}
		for _, e := range ready.Committed {
			if e.GetKind() == replication.EntryKind_ENTRY_KIND_DATA {
				fmt.Printf("%s applies %q at index %d\n", id, e.GetData(), e.GetIndex())
			}
		}
		cores[id].Advance(now, ready)
		for _, m := range ready.Messages {
			cores[replicator.ID(m.GetTo())].Step(now, m)
		}
	}
}
