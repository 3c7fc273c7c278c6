package planner

import (
	"cmp"
	"slices"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// returns gives back hosts whose maintenance is over: the worker reports under
// another incarnation than the one that was empty.
func returns(f fleet) []*wire.Command {
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

// restarted reports whether a granted host is alive under a new incarnation.
// A host that an operator drained without a grant is returned by an operator.
func restarted(f fleet, h host) bool {
	_, granted := f.in.State.Grant(h.GetName())
	return granted && h.use.GetAlive() && h.use.GetIncarnation() != "" &&
		h.use.GetIncarnation() != h.GetDrainedIncarnation()
}

// grants chooses the hosts that go into maintenance now. All hosts that are
// under maintenance at one time are in one data centre, so that the loss of
// another one does not meet them. Idle hosts come first, which saves drains,
// then hosts of racks that are under maintenance already.
func (p *Planner) grants(f fleet, b budgets) []*wire.Command {
	// A pool whose budget is used up must not hold up the other pools.
	candidates := slices.DeleteFunc(waiting(f), func(h host) bool { return !b.allows(f, h) || !p.mayDrain(f, h) })
	if len(candidates) == 0 {
		return nil
	}
	dataCentre := openDataCentre(f, candidates)
	candidates = slices.DeleteFunc(candidates, func(h host) bool { return h.GetDataCentre() != dataCentre })
	racks := openRacks(f)
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
		if b.take(f, h) {
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

// mayDrain keeps a host in service while its pool needs it and while its data
// centre is coming back, because a returning data centre ramps up.
func (p *Planner) mayDrain(f fleet, h host) bool {
	need := p.demand.need(h.GetPool())
	return need < f.counts[h.GetPool()].usable || h.idle()
}

// waiting returns the hosts that a running roll-out still has to reach.
func waiting(f fleet) []host {
	running := slices.DeleteFunc(f.in.State.Maintenances(), func(m *wire.Maintenance) bool { return m.GetDone() })
	if len(running) == 0 {
		return nil
	}
	var list []host
	for _, h := range f.hosts {
		if h.GetState() != wire.HostState_HOST_STATE_ACTIVE || h.dead() {
			continue
		}
		if slices.ContainsFunc(running, func(m *wire.Maintenance) bool { return controller.Covers(m, h.Host) }) {
			list = append(list, h)
		}
	}
	return list
}

// openDataCentre returns the data centre that is under maintenance already,
// else one that is out of service, whose hosts cost nothing to maintain, else
// the one with the fewest hosts left, so that one is finished before the next.
func openDataCentre(f fleet, candidates []host) string {
	left := make(map[string]int)
	for _, h := range candidates {
		left[h.GetDataCentre()]++
	}
	for _, g := range f.in.State.Grants() {
		h, _ := f.in.State.Host(g.GetHost())
		return h.GetDataCentre()
	}
	best := ""
	for _, d := range f.in.State.DataCentres() {
		name := d.GetName()
		if left[name] > 0 && d.GetState() == wire.ServiceState_SERVICE_STATE_OUT {
			return name
		}
		if left[name] > 0 && (best == "" || left[name] < left[best]) {
			best = name
		}
	}
	return best
}

// openRacks returns the racks with hosts under maintenance; they are all in one
// data centre.
func openRacks(f fleet) map[string]bool {
	racks := make(map[string]bool)
	for _, g := range f.in.State.Grants() {
		if h, ok := f.in.State.Host(g.GetHost()); ok {
			racks[h.GetRack()] = true
		}
	}
	return racks
}

func rackOf(h host) string { return h.GetDataCentre() + "/" + h.GetRack() }

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
