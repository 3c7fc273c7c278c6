package planner

import (
	"cmp"
	"slices"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// returnCommands returns hosts to service whose maintenance is over, that is,
// whose worker reports another incarnation than the one that was drained.
func returnCommands(f fleet) []*wire.Command {
	var commands []*wire.Command
	for _, h := range f.hosts {
		if h.GetState() != wire.HostState_HOST_STATE_MAINTENANCE || !restarted(f, h) {
			continue
		}
		commands = append(commands, &wire.Command{
			ExpectedRevision: h.GetRevision(),
			Change: &wire.Command_ReturnHost{
				ReturnHost: &wire.ReturnHost{
					Host: h.GetName(),
				},
			},
		})
	}
	return commands
}

// restarted reports whether a host with a maintenance grant is alive under a new
// incarnation. A host that an operator drained without a grant must be returned
// by an operator.
func restarted(f fleet, h host) bool {
	_, granted := f.in.State.Grant(h.GetName())
	return granted && h.use.GetAlive() && h.use.GetIncarnation() != "" &&
		h.use.GetIncarnation() != h.GetDrainedIncarnation()
}

// grantCommands selects the hosts that go into maintenance now. All hosts under
// maintenance at the same time are in one data centre, so that the loss of another
// data centre does not add to them. Idle hosts come first, because they need no
// drain, then hosts of racks that are already under maintenance.
func (p *Planner) grantCommands(f fleet, b budgets) []*wire.Command {
	// A pool whose budget is used up must not delay the other pools.
	candidates := slices.DeleteFunc(pendingHosts(f), func(h host) bool { return !b.allows(f, h) || !p.canDrain(f, h) })
	if len(candidates) == 0 {
		return nil
	}
	dataCentre := maintenanceDataCentre(f, candidates)
	candidates = slices.DeleteFunc(candidates, func(h host) bool { return h.GetDataCentre() != dataCentre })
	racks := maintenanceRacks(f)
	slices.SortFunc(candidates, func(a, b host) int {
		return cmp.Or(
			compareBool(b.idle(), a.idle()),
			compareBool(racks[b.GetRack()], racks[a.GetRack()]),
			cmp.Compare(a.GetRack(), b.GetRack()),
			cmp.Compare(a.GetName(), b.GetName()),
		)
	})
	var names []string
	for _, h := range candidates {
		if b.reserve(f, h) {
			names = append(names, h.GetName())
		}
	}
	if len(names) == 0 {
		return nil
	}
	return []*wire.Command{
		{
			Change: &wire.Command_GrantMaintenance{
				GrantMaintenance: &wire.GrantMaintenance{
					Hosts: names,
				},
			},
		},
	}
}

// canDrain reports whether the pool can do without the host: it has more usable
// hosts than it needs, or the host is idle. This is also meant to keep hosts in
// service while their data centre is returning, because it ramps up then.
func (p *Planner) canDrain(f fleet, h host) bool {
	need := p.demand.need(h.GetPool())
	return need < f.poolCounts[h.GetPool()].usable || h.idle()
}

// pendingHosts returns the active, live hosts that a running roll-out still has
// to maintain.
func pendingHosts(f fleet) []host {
	running := slices.DeleteFunc(f.in.State.Maintenances(), func(m *wire.Maintenance) bool { return m.GetDone() })
	if len(running) == 0 {
		return nil
	}
	var list []host
	for _, h := range f.hosts {
		if h.GetState() != wire.HostState_HOST_STATE_ACTIVE || h.dead() {
			continue
		}
		if slices.ContainsFunc(running, func(m *wire.Maintenance) bool { return controller.NeedsMaintenance(m, h.Host) }) {
			list = append(list, h)
		}
	}
	return list
}

// maintenanceDataCentre returns the data centre to maintain hosts in: the one that
// is already under maintenance, else one that is out of service, whose hosts cost
// nothing to maintain, else the one with the fewest candidates left, so that one
// is finished before the next.
func maintenanceDataCentre(f fleet, candidates []host) string {
	pending := make(map[string]int)
	for _, h := range candidates {
		pending[h.GetDataCentre()]++
	}
	for _, g := range f.in.State.Grants() {
		h, _ := f.in.State.Host(g.GetHost())
		return h.GetDataCentre()
	}
	best := ""
	for _, d := range f.in.State.DataCentres() {
		name := d.GetName()
		if pending[name] > 0 && d.GetState() == wire.ServiceState_SERVICE_STATE_OUT {
			return name
		}
		if pending[name] > 0 && (best == "" || pending[name] < pending[best]) {
			best = name
		}
	}
	return best
}

// maintenanceRacks returns the racks with hosts under maintenance, by rack name
// only, because they are all in one data centre.
func maintenanceRacks(f fleet) map[string]bool {
	racks := make(map[string]bool)
	for _, g := range f.in.State.Grants() {
		if h, ok := f.in.State.Host(g.GetHost()); ok {
			racks[h.GetRack()] = true
		}
	}
	return racks
}

// rackKey returns a key for the host's rack that is unique across data centres.
func rackKey(h host) string { return h.GetDataCentre() + "/" + h.GetRack() }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
