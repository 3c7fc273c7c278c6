package measurer

import (
	"context"
	"fmt"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

const roleVoter = "voter"

func controlProbes() []probe {
	return []probe{
		{
			role:  roleVoter,
			name:  "state with hosts, 71 teams and 35 pools",
			axis:  "hosts",
			sizes: []int{600, 2200, 4400, 6600},
			metrics: []metric{
				{
					name:   "memory",
					unit:   memory,
					target: targetHosts,
					bound:  maxMemoryMB,
				},
				{
					name:   "snapshot bytes",
					value:  1,
					unit:   memory,
					target: targetHosts,
				},
				{
					name:   "snapshot processor time, every 1,000 entries",
					value:  2,
					unit:   cpuTime,
					target: targetHosts,
					rate:   changesPerSecond / 1000,
					bound:  maxCorePercent,
				},
				{
					name:   "processor time of one change",
					value:  3,
					unit:   cpuTime,
					target: targetHosts,
					rate:   changesPerSecond,
					bound:  maxCorePercent,
				},
			},
			measure: measureState,
		},
		{
			role:  roleVoter,
			name:  "results of operations, at most 20,000",
			axis:  "changes",
			sizes: []int{2000, 7500, 20_000},
			metrics: []metric{
				{
					name:   "memory",
					unit:   memory,
					target: controller.OperationsKept,
					bound:  maxMemoryMB,
				},
				{
					name:   "snapshot bytes",
					value:  1,
					unit:   memory,
					target: controller.OperationsKept,
				},
			},
			measure: measureOperations,
		},
		{
			role:  roleVoter,
			name:  "state with teams in 11 data centres",
			axis:  "teams",
			sizes: []int{10, 35, 71, 142},
			metrics: []metric{
				{
					name:   "memory",
					unit:   memory,
					target: targetTeams,
					bound:  maxMemoryMB,
				},
			},
			measure: func(_ context.Context, n int) ([]float64, error) {
				s := targetFleet()
				s.hosts = 100
				s.teams = n
				return []float64{retainedBytes(func() controller.State { return roundTripState(s.state()) })}, nil
			},
		},
	}
}

// roundTripState encodes and decodes the state, which gives it the memory layout
// that it has in a process after reading a snapshot.
func roundTripState(s controller.State) controller.State {
	data, err := s.Encode()
	if err != nil {
		panic(err)
	}
	d, err := controller.Decode(data)
	if err != nil {
		panic(err)
	}
	return d
}

func measureState(_ context.Context, n int) ([]float64, error) {
	s := targetFleet()
	s.hosts = n
	state := s.state()
	data, err := state.Encode()
	if err != nil {
		return nil, err
	}
	number := 0
	return []float64{
		retainedBytes(func() controller.State { return roundTripState(state) }),
		float64(len(data)),
		cpuPerCall(func() { _, _ = state.Encode() }),
		cpuPerCall(func() {
			number++
			controller.Apply(state, definePool(number))
		}),
	}, nil
}

func definePool(number int) *wire.Command {
	pool := targetFleet().pool(number % targetPools)
	return &wire.Command{
		OperationId:         fmt.Sprintf("%036d", number),
		Actor:               "operator",
		ProposedAtUnixNanos: 1,
		ExpectedRevision:    pool.GetRevision(),
		Change: &wire.Command_DefinePool{
			DefinePool: &wire.DefinePool{
				Pool: pool,
			},
		},
	}
}

func measureOperations(_ context.Context, n int) ([]float64, error) {
	s := targetFleet()
	s.hosts = 100
	build := func(changes int) controller.State {
		state := s.state()
		for i := range changes {
			state, _ = controller.Apply(state, definePool(i))
		}
		return state
	}
	base, err := build(1).Encode()
	if err != nil {
		return nil, err
	}
	data, err := build(n).Encode()
	if err != nil {
		return nil, err
	}
	return []float64{
		retainedBytes(func() controller.State { return build(n) }),
		float64(len(data) - len(base)),
	}, nil
}
