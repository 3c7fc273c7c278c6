package condenser

import (
	"math/bits"

	"github.com/heathermux/heathermux/internal/wire"
)

// Summary returns a scheduler's report with what the leader decides on: of
// each host whether anything runs there and about how many tasks, but not of
// which size. With 20 tasks of a minute on each host a quarter of the hosts
// would otherwise change between two reports. Teams and pools keep their exact sums, which
// limits and demand are decided by. The report itself is not changed.
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
			Tasks:       level(h.GetTasks()),
			Alive:       h.GetAlive(),
			Quarantined: h.GetQuarantined(),
			Incarnation: h.GetIncarnation(),
		})
	}
	return s
}

// level rounds down to a power of two. The planner asks only whether a host is
// idle and which of two hosts has fewer tasks.
func level(tasks int64) int64 {
	if tasks < 1 {
		return 0
	}
	return 1 << (bits.Len64(uint64(tasks)) - 1)
}
