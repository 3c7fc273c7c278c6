package deltaencoder

import (
	"math/bits"

	"github.com/heathermux/heathermux/internal/wire"
)

// Summary returns a scheduler's report reduced to what the leader's decisions
// need: for each host whether anything runs there and about how many tasks, but
// not their resources. With 20 one-minute tasks on each host, a quarter of the
// hosts would otherwise change between two reports. Teams and pools keep their
// exact sums, which decide on limits and demand. The report itself is not
// modified.
func Summary(r *wire.SchedulerReport) *wire.SchedulerReport {
	if r == nil {
		return nil
	}
	s := &wire.SchedulerReport{
		DataCentre: r.GetDataCentre(),
		Epoch:      r.GetEpoch(),
		Teams:      r.GetTeams(),
		Pools:      r.GetPools(),
		Hosts:      make([]*wire.HostUse, 0, len(r.GetHosts())),
	}
	for _, h := range r.GetHosts() {
		s.Hosts = append(s.Hosts, &wire.HostUse{
			Host:        h.GetHost(),
			PoolEpoch:   h.GetPoolEpoch(),
			Tasks:       powerOfTwoFloor(h.GetTasks()),
			Alive:       h.GetAlive(),
			Quarantined: h.GetQuarantined(),
			Incarnation: h.GetIncarnation(),
		})
	}
	return s
}

// powerOfTwoFloor rounds down to a power of two. The planner only needs to know
// whether a host is idle and which of two hosts has fewer tasks.
func powerOfTwoFloor(tasks int64) int64 {
	if tasks < 1 {
		return 0
	}
	return 1 << (bits.Len64(uint64(tasks)) - 1)
}
