// Command group runs three replicas in memory on a simulated clock, commits one
// entry and prints each replica that applies it.
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
	cores := newGroup()
	now := time.Unix(0, 0)
	proposed := false
	for range 30 {
		now = now.Add(replicator.DefaultHeartbeatInterval)
		for _, id := range ids {
			cores[id].Tick(now)
			if cores[id].LeaderReady() && !proposed {
				_, err := cores[id].Propose(now, []byte("hello"))
				proposed = err == nil
			}
			processReady(cores, id, now)
		}
	}
}

// newGroup creates three replicas that start with the same membership.
func newGroup() map[replicator.ID]*replicator.Core {
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

// processReady does the pending work of a replica. A real caller syncs the hard
// state and the entries before it sends the messages.
func processReady(cores map[replicator.ID]*replicator.Core, id replicator.ID, now time.Time) {
	for {
		ready, hasWork := cores[id].Ready(now)
		if !hasWork {
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
