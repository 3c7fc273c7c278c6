package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/heathermux/heathermux/internal/registrar"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	roleDirectory = "directory"

	pullMethod = "Directory.Pull"

	// upstreamChangeRate is the number of upstream changes per second that every
	// entry host receives: each of the 800 failures and restarts a day ends one
	// announcement and begins another.
	upstreamChangeRate = 2 * float64(110+690) / secondsPerDay
)

// pullRate is the number of pulls per second from one origin.
var pullRate = 1 / registrar.PullInterval.Seconds()

func directoryProbes() []probe {
	return []probe{
		{
			role:  roleDirectory,
			name:  "pulls by an entry host from all others, without changes",
			axis:  "other entry hosts",
			sizes: []int{2, 5, 10, 21},
			metrics: []metric{
				{
					name:   "bytes of one round",
					unit:   traffic,
					target: targetEntryHosts - 1,
					rate:   pullRate,
					bound:  maxBytesPerSecond,
				},
				{
					name:   "processor time of one round, both sides, without the connections",
					value:  1,
					unit:   cpuTime,
					target: targetEntryHosts - 1,
					rate:   pullRate,
					bound:  maxCorePercent,
				},
			},
			measure: measurePulls,
		},
		{
			role:  roleDirectory,
			name:  "one pull",
			axis:  "changes",
			sizes: []int{0, 10, 100, 1000},
			metrics: []metric{
				{
					name:   "bytes, for each change of an upstream",
					unit:   traffic,
					target: 1,
					rate:   upstreamChangeRate,
					bound:  maxBytesPerSecond,
				},
			},
			measure: func(_ context.Context, n int) ([]float64, error) {
				request, answer := pullWithChanges(n)
				return []float64{callBytes(pullMethod, request, answer)}, nil
			},
		},
		{
			role:  roleDirectory,
			name:  "records on one entry host",
			axis:  "upstreams",
			sizes: []int{100, 420, 1600},
			metrics: []metric{
				{
					name:   "memory",
					unit:   memory,
					target: targetUpstreams,
					bound:  maxMemoryMB,
				},
			},
			measure: func(_ context.Context, n int) ([]float64, error) {
				return []float64{retainedBytes(func() *registrar.Registrar {
					r := newDirectory(0)
					_, answer := pullWithChanges(n)
					r.ApplyPullResponse(startTime, roundTrip(answer))
					return r
				})}, nil
			},
		},
	}
}

func newDirectory(host int) *registrar.Registrar {
	return registrar.New(registrar.Options{
		Self:  targetFleet().member(host),
		Clock: timer.NewFake(startTime),
	})
}

// announce announces n upstreams to r.
func announce(r *registrar.Registrar, n int) {
	for i := range n {
		// No announcement is refused, because these upstreams never leave.
		_ = r.Announce(&wire.Upstream{
			Id:          fmt.Sprintf("upstream-%04d", i),
			Incarnation: incarnation("upstream"),
			Queue:       queueName(i % targetPools),
			Address:     "10.20.30.40:8000",
			DataCentre:  dataCentreName(0),
			Rack:        "rack-000",
			Slots:       8,
			Connections: 64,
		})
	}
}

// pullWithChanges returns the request and response of a pull that transfers the
// given number of changes.
func pullWithChanges(changes int) (*wire.PullRequest, *wire.PullResponse) {
	origin, reader := newDirectory(1), newDirectory(0)
	name := targetFleet().member(1).GetName()
	announce(origin, 1)
	reader.ApplyPullResponse(startTime, roundTrip(origin.ServePull(reader.PullRequest(name))))
	announce(origin, changes+1)
	request := reader.PullRequest(name)
	return request, origin.ServePull(request)
}

func measurePulls(_ context.Context, n int) ([]float64, error) {
	reader := newDirectory(0)
	origins := make(map[string]*registrar.Registrar)
	for i := 1; i <= n; i++ {
		name := targetFleet().member(i).GetName()
		origins[name] = newDirectory(i)
		announce(origins[name], targetUpstreams/targetEntryHosts)
	}
	now := startTime
	bytes := 0.0
	round := func() {
		now = now.Add(time.Millisecond)
		bytes = 0
		for name, origin := range origins {
			request := reader.PullRequest(name)
			answer := origin.ServePull(roundTrip(request))
			reader.ApplyPullResponse(now, roundTrip(answer))
			bytes += callBytes(pullMethod, request, answer)
		}
	}
	round()
	cost := cpuPerCall(round)
	return []float64{bytes, cost}, nil
}
