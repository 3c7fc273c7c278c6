package deltaencoder_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/deltaencoder"
	"github.com/heathermux/heathermux/internal/wire"
)

// availability-budget: the planner takes a host down once nothing runs there,
// counts it by whether it is alive or quarantined, and returns it by its
// incarnation. A summary that lost one of these would drain busy hosts or keep
// hosts in maintenance; one that kept exact task counts would change with every
// call.
func TestSummaryKeepsWhatPlannerNeeds(t *testing.T) {
	busy := &wire.HostUse{
		Host:        "n-1",
		PoolEpoch:   3,
		Tasks:       16,
		Alive:       true,
		Quarantined: true,
		Incarnation: "i-1",
	}
	with := func(change func(*wire.HostUse)) *wire.HostUse {
		h := proto.CloneOf(busy)
		change(h)
		return h
	}
	tests := map[string]struct {
		host *wire.HostUse
		same bool
	}{
		"some more tasks": {
			host: with(func(h *wire.HostUse) {
				h.Tasks = 20
				h.Running = &wire.Resources{
					MilliCores: 5,
				}
			}),
			same: true,
		},
		"far fewer tasks": {
			host: with(func(h *wire.HostUse) { h.Tasks = 15 }),
		},
		"idle": {
			host: with(func(h *wire.HostUse) { h.Tasks = 0 }),
		},
		"dead": {
			host: with(func(h *wire.HostUse) { h.Alive = false }),
		},
		"out of quarantine": {
			host: with(func(h *wire.HostUse) { h.Quarantined = false }),
		},
		"restarted": {
			host: with(func(h *wire.HostUse) { h.Incarnation = "i-2" }),
		},
		"moved": {
			host: with(func(h *wire.HostUse) { h.PoolEpoch = 4 }),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := deltaencoder.Summary(&wire.SchedulerReport{
				Hosts: []*wire.HostUse{
					test.host,
				},
			})
			is.Equal(proto.Equal(s.GetHosts()[0], busy), test.same)
			is.Equal(s.GetHosts()[0].GetTasks() == 0, test.host.GetTasks() == 0)
		})
	}
}
