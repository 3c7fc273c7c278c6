package controller

import (
	"slices"

	"github.com/heathermux/heathermux/internal/wire"
)

func (s State) startMaintenance(cmd *wire.Command, pool string) transition {
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
	return accepted(s.WithMaintenance(m).withFinishedMaintenances(), "maintenance/"+paddedDecimal(m.GetWave()))
}

// RunningMaintenance returns an unfinished roll-out that still has to maintain the host.
func (s State) RunningMaintenance(h *wire.Host) (*wire.Maintenance, bool) {
	for _, m := range s.maintenances.All() {
		if !m.GetDone() && NeedsMaintenance(m, h) {
			return m, true
		}
	}
	return nil, false
}

// NeedsMaintenance reports whether the host is in the scope of the roll-out and
// has not been maintained by it yet.
func NeedsMaintenance(m *wire.Maintenance, h *wire.Host) bool {
	inScope := m.GetPool() == "" || m.GetPool() == h.GetPool()
	return inScope && h.GetMaintainedWave() < m.GetWave()
}

// grantMaintenance issues maintenance grants to all named hosts or to none.
func (s State) grantMaintenance(cmd *wire.Command, hosts []string) transition {
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

// withFinishedMaintenances returns a state in which every roll-out without
// pending hosts is marked as done.
func (s State) withFinishedMaintenances() State {
	for _, m := range s.maintenances.Values() {
		if m.GetDone() || s.hasPendingHosts(m) {
			continue
		}
		done := clone(m)
		done.Done = true
		s = s.WithMaintenance(done)
	}
	return s
}

// hasPendingHosts reports whether the roll-out still has to maintain any host.
func (s State) hasPendingHosts(m *wire.Maintenance) bool {
	for _, h := range s.hosts.All() {
		if NeedsMaintenance(m, h) {
			return true
		}
	}
	return false
}
