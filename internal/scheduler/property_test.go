package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/internal/wire"
)

// Guards against a team over its upper limit and a worker over its capacity, under
// any mix of submissions and ends of tasks.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		teams := []team{
			{
				name:  "a",
				share: 1,
				limit: rapid.Int64Range(0, 200).Draw(t, "limit a") * 1000,
			},
			{
				name:  "b",
				share: 3,
				limit: rapid.Int64Range(0, 200).Draw(t, "limit b") * 1000,
			},
		}
		f := newFleet(rapid.IntRange(1, 4).Draw(t, "workers"), teams)
		endIn := rapid.IntRange(2, 6).Draw(t, "ends")
		n := 0
		f.outcome = func(string, string) wire.TaskState {
			if n++; n%endIn == 0 {
				return rapid.SampledFrom([]wire.TaskState{
					wire.TaskState_TASK_STATE_SUCCEEDED,
					wire.TaskState_TASK_STATE_QUEUED,
				}).Draw(t, "end")
			}
			return wire.TaskState_TASK_STATE_UNSPECIFIED
		}
		for i := range rapid.IntRange(1, 20).Draw(t, "rounds") {
			for k := range rapid.IntRange(0, 6).Draw(t, "tasks") {
				f.submit(&wire.Task{
					Id:         fmt.Sprint(i, "-", k),
					Team:       rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
					Size:       size(rapid.Int64Range(1, 64).Draw(t, "cores")*1000, rapid.Int64Range(1, 192).Draw(t, "memory")),
					Idempotent: rapid.Bool().Draw(t, "idempotent"),
				})
			}
			f.round()
			use := f.use()
			is.True(use["a"] <= teams[0].limit) // within the team's upper limit
			is.True(use["b"] <= teams[1].limit) // within the team's upper limit
			for _, worker := range f.workers {
				var cores, memory int64
				for _, r := range f.running[worker] {
					cores += r.GetDetail().GetSize().GetMilliCores()
					memory += r.GetDetail().GetSize().GetMemoryBytes()
				}
				is.True(cores <= f.capacity.GetMilliCores())   // within the worker's cores
				is.True(memory <= f.capacity.GetMemoryBytes()) // within the worker's memory
			}
		}
	})
}

// Guards against shares that are not kept on a saturated fleet: no team may be
// further below its weighted part of the cores than three of the largest tasks.
func TestSharesAtSaturation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const workers = 4
		teams := []team{
			{
				name:  "a",
				share: rapid.Int64Range(1, 5).Draw(t, "share a"),
				limit: 1 << 40,
			},
			{
				name:  "b",
				share: rapid.Int64Range(1, 5).Draw(t, "share b"),
				limit: 1 << 40,
			},
			{
				name:  "c",
				share: rapid.Int64Range(1, 5).Draw(t, "share c"),
				limit: 1 << 40,
			},
		}
		f := newFleet(workers, teams)
		var weights int64
		largest := int64(0)
		for _, team := range teams {
			weights += team.share
			cores := rapid.SampledFrom([]int64{1, 2, 4}).Draw(t, "cores")
			largest = max(largest, cores)
			f.submitMany(workers*64, team.name, size(cores*1000, 1))
		}
		f.round()
		use := f.use()
		for _, team := range teams {
			entitlement := float64(workers*64*team.share) / float64(weights)
			// A team gets tasks until the first one beyond its entitlement, so
			// each team can exceed its own by at most one task.
			is.True(float64(use[team.name])/1000 >= entitlement-float64(3*largest))
		}
	})
}
