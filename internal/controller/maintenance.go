package controller

import (
	"slices"

	"github.com/heathermux/heathermux/internal/wire"
)

func (s State) startMaintenance(cmd *wire.Command, pool string) verdict {
	if pool != "" {
		if _, ok := s.pools.Get(pool); !ok {
			return rejected("pool %q is not known", pool)
		}
	}
	var last uint64
	for _, m := range s.maintenances.All() {
		last = max(last, m.GetWave())
		if !m.GetDone() && (m.GetPool() == pool || m.GetPool() == "" || pool == "") {
			return rejected("maintenance: roll-out %d is still running for the same hosts", m.GetWave())
		}
	}
	m := &wire.Maintenance{
		Wave:               last + 1,
		Pool:               pool,
		StartedAtUnixNanos: cmd.GetProposedAtUnixNanos(),
		Revision:           s.revision,
	}
	return accepted(s.WithMaintenance(m).withFinishedMaintenances(), "maintenance/"+numberName(m.GetWave()))
}

// RunningMaintenance returns the roll-out that still has to reach the host.
func (s State) RunningMaintenance(h *wire.Host) (*wire.Maintenance, bool) {
	for _, m := range s.maintenances.All() {
		if !m.GetDone() && Covers(m, h) {
			return m, true
		}
	}
	return nil, false
}

// Covers reports whether a roll-out has still to reach the host.
func Covers(m *wire.Maintenance, h *wire.Host) bool {
	inScope := m.GetPool() == "" || m.GetPool() == h.GetPool()
	return inScope && h.GetMaintainedWave() < m.GetWave()
}

// grantMaintenance gives grants to all named hosts or to none of them.
func (s State) grantMaintenance(cmd *wire.Command, hosts []string) verdict {
	if len(hosts) == 0 {
		return rejected("maintenance: no host is named")
	}
	next := s
	for _, name := range slices.Sorted(slices.Values(hosts)) {
		old, ok := next.hosts.Get(name)
		if !ok {
			return rejected("host %q is not known", name)
		}
		if old.GetState() != wire.HostState_HOST_STATE_ACTIVE {
			return rejected("host %q is not active", name)
		}
		m, ok := next.RunningMaintenance(old)
		if !ok {
			return rejected("host %q: no running maintenance covers it", name)
		}
		if next.budgetLeft(old.GetPool()) < 1 {
			return rejected("host %q: the availability budget of pool %q is used up", name, old.GetPool())
		}
		h := clone(old)
		h.State = wire.HostState_HOST_STATE_DRAINING
		h.Revision = s.revision
		next = next.WithHost(h).WithGrant(&wire.MaintenanceGrant{
			Host:               name,
			Wave:               m.GetWave(),
			GrantedAtUnixNanos: cmd.GetProposedAtUnixNanos(),
		})
	}
	return accepted(next, "maintenance/grants")
}

// withFinishedMaintenances marks roll-outs as done that no host waits for.
func (s State) withFinishedMaintenances() State {
	for _, m := range s.maintenances.Values() {
		if m.GetDone() || s.waitsFor(m) {
			continue
		}
		done := clone(m)
		done.Done = true
		s = s.WithMaintenance(done)
	}
	return s
}

func (s State) waitsFor(m *wire.Maintenance) bool {
	for _, h := range s.hosts.All() {
		if Covers(m, h) {
			return true
		}
	}
	return false
}
