package planner_test

import (
	"fmt"
	"math"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/planner"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	hostMilliCores = 64_000
	rebootTime     = 60 * time.Second
)

// machine is the actual condition of one simulated host.
type machine struct {
	incarnation int
	dead        bool
	rebootUntil time.Time
	// load is the used fraction of the host, from 0 to 1.
	load float64
}

// fakeFleet simulates a fleet: it applies the planner's commands to the control
// state, and its hosts drain, reboot and fail.
type fakeFleet struct {
	now      time.Time
	state    controller.State
	planner  *planner.Planner
	machines map[string]*machine
	// demand is the load of each pool, in hosts.
	demand map[string]float64
	// maxInMaintenance limits the hosts with a maintenance grant at the same time;
	// 0 means no limit.
	maxInMaintenance int

	operations int
	moves      int
	// idleHostSeconds sums the unused hosts of all pools that have a demand, per second.
	idleHostSeconds float64
	// waitingHostSeconds sums the load, in hosts, that exceeded the usable hosts
	// of its pool, per second.
	waitingHostSeconds float64
	rejected           []string
}

// apply applies a command to the control state and collects the reason if it is
// not accepted.
func (f *fakeFleet) apply(cmd *wire.Command) *wire.Result {
	f.operations++
	cmd.OperationId = fmt.Sprintf("op-%d", f.operations)
	cmd.ProposedAtUnixNanos = f.now.UnixNano()
	var result *wire.Result
	f.state, result = controller.Apply(f.state, cmd)
	if result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
		f.rejected = append(f.rejected, result.GetReason())
	}
	return result
}

// layout describes a fleet. Hosts are distributed round-robin over data centres
// and pools, after the hosts of the spare pool.
type layout struct {
	dataCentres  int
	hosts        int
	pools        []string
	spareHosts   int
	budget       int64
	policy       wire.PlanPolicy
	perRack      int
	allInService bool
}

func newFleet(l layout) *fakeFleet {
	f := &fakeFleet{
		now:      time.Unix(10_000, 0),
		planner:  planner.New(planner.Options{}),
		machines: make(map[string]*machine),
		demand:   make(map[string]float64),
	}
	snap := &wire.Snapshot{}
	for i := range l.dataCentres {
		snap.DataCentres = append(snap.DataCentres, &wire.DataCentre{
			Name: fmt.Sprintf("dc-%d", i),
		})
	}
	for _, name := range append([]string{"spare"}, l.pools...) {
		snap.Pools = append(snap.Pools, &wire.Pool{
			Name:               name,
			AvailabilityBudget: l.budget,
			MinHosts:           2,
			MaxHosts:           int64(l.hosts),
			Spare:              name == "spare",
			Policy:             l.policy,
		})
	}
	for i := range l.hosts {
		pool := "spare"
		if i >= l.spareHosts {
			pool = l.pools[i%len(l.pools)]
		}
		name := fmt.Sprintf("h-%04d", i)
		dataCentre := i % l.dataCentres
		f.machines[name] = &machine{}
		snap.Hosts = append(snap.Hosts, &wire.Host{
			Name:       name,
			DataCentre: fmt.Sprintf("dc-%d", dataCentre),
			Rack:       fmt.Sprintf("r-%d", i/l.dataCentres/max(l.perRack, 1)),
			Pool:       pool,
			Capacity: &wire.Resources{
				MilliCores:  hostMilliCores,
				MemoryBytes: 128 << 30,
			},
		})
	}
	f.apply(&wire.Command{
		Change: &wire.Command_Bootstrap{
			Bootstrap: &wire.Bootstrap{
				Snapshot: snap,
			},
		},
	})
	for i := range l.dataCentres {
		f.apply(&wire.Command{
			Change: &wire.Command_SetView{
				SetView: &wire.SetView{
					View: &wire.View{
						Epoch:   f.state.View().GetEpoch() + 1,
						Members: members(l.dataCentres),
					},
				},
			},
		})
		f.apply(&wire.Command{
			Change: &wire.Command_AssignScheduler{
				AssignScheduler: &wire.AssignScheduler{
					DataCentre: fmt.Sprintf("dc-%d", i),
					EntryHost:  fmt.Sprintf("e-%d", i),
				},
			},
		})
	}
	return f
}

func members(n int) []*wire.Member {
	var list []*wire.Member
	for i := range n {
		list = append(list, &wire.Member{
			Name:        fmt.Sprintf("e-%d", i),
			Incarnation: "1",
		})
	}
	return list
}

// step advances the simulation by one second: hosts reboot, load is distributed,
// and the planner's commands for the resulting reports are applied.
func (f *fakeFleet) step() {
	f.now = f.now.Add(time.Second)
	f.updateReboots()
	waiting := f.distributeLoad()
	for _, cmd := range f.planner.Plan(f.input(waiting)) {
		f.applyPlanned(cmd)
	}
}

// applyPlanned applies a command of the planner. It cuts maintenance grants to
// maxInMaintenance.
func (f *fakeFleet) applyPlanned(cmd *wire.Command) {
	if cmd.GetMoveHost() != nil {
		f.moves++
	}
	if grant := cmd.GetGrantMaintenance(); grant != nil && f.maxInMaintenance > 0 {
		left := f.maxInMaintenance - len(f.state.Grants())
		if left <= 0 {
			return
		}
		grant.Hosts = grant.Hosts[:min(left, len(grant.Hosts))]
	}
	f.apply(cmd)
}

// updateReboots starts the reboot of hosts that entered maintenance and ends
// reboots after rebootTime.
func (f *fakeFleet) updateReboots() {
	for _, h := range f.state.Hosts() {
		m := f.machines[h.GetName()]
		if h.GetState() == wire.HostState_HOST_STATE_MAINTENANCE && m.rebootUntil.IsZero() {
			m.rebootUntil = f.now.Add(rebootTime)
		}
		if !m.rebootUntil.IsZero() && !f.now.Before(m.rebootUntil) {
			m.rebootUntil = time.Time{}
			m.incarnation++
		}
	}
}

// distributeLoad distributes each pool's load evenly over its usable hosts and
// returns the load that exceeds their capacity. A draining host has no load from
// its first step on.
func (f *fakeFleet) distributeLoad() map[string]float64 {
	usable := make(map[string][]*machine)
	for _, h := range f.state.Hosts() {
		m := f.machines[h.GetName()]
		m.load = 0
		d, _ := f.state.DataCentre(h.GetDataCentre())
		up := !m.dead && m.rebootUntil.IsZero() && d.GetState() == wire.ServiceState_SERVICE_STATE_IN
		if up && h.GetState() == wire.HostState_HOST_STATE_ACTIVE {
			usable[h.GetPool()] = append(usable[h.GetPool()], m)
		}
	}
	waiting := make(map[string]float64)
	for pool, load := range f.demand {
		hosts := float64(len(usable[pool]))
		for _, m := range usable[pool] {
			m.load = min(1, load/hosts)
		}
		waiting[pool] = max(0, load-hosts)
		f.waitingHostSeconds += waiting[pool]
		f.idleHostSeconds += max(0, hosts-load)
	}
	return waiting
}

// input returns the planner's input for the current state of the fleet.
func (f *fakeFleet) input(waiting map[string]float64) planner.Input {
	reports := make(map[string]planner.Report)
	for _, d := range f.state.DataCentres() {
		reports[d.GetName()] = planner.Report{
			At:              f.now,
			AppliedRevision: f.state.Revision(),
			Use: &wire.SchedulerReport{
				DataCentre: d.GetName(),
				Epoch:      d.GetSchedulerEpoch(),
				Hosts:      f.hostUses(d.GetName()),
			},
		}
	}
	first := reports["dc-0"].Use
	for pool, load := range f.demand {
		running := load - waiting[pool]
		first.Pools = append(first.Pools, &wire.PoolUse{
			Pool:    pool,
			Running: resourcesOf(running),
			Waiting: resourcesOf(waiting[pool]),
		})
	}
	return planner.Input{
		Now:     f.now,
		State:   f.state,
		Reports: reports,
	}
}

func (f *fakeFleet) hostUses(dataCentre string) []*wire.HostUse {
	var list []*wire.HostUse
	for _, h := range f.state.Hosts() {
		m := f.machines[h.GetName()]
		if h.GetDataCentre() != dataCentre {
			continue
		}
		list = append(list, &wire.HostUse{
			Host:        h.GetName(),
			PoolEpoch:   h.GetPoolEpoch(),
			Running:     resourcesOf(m.load),
			Tasks:       int64(math.Ceil(m.load * 10)),
			Alive:       !m.dead && m.rebootUntil.IsZero(),
			Incarnation: fmt.Sprint(m.incarnation),
		})
	}
	return list
}

func resourcesOf(hosts float64) *wire.Resources {
	return &wire.Resources{
		MilliCores: int64(hosts * hostMilliCores),
	}
}

// run advances the simulation by d.
func (f *fakeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// unavailable returns how many hosts of a pool are dead, rebooting or not active.
func (f *fakeFleet) unavailable(pool string) int64 {
	n := int64(0)
	for _, h := range f.state.Hosts() {
		m := f.machines[h.GetName()]
		down := m.dead || !m.rebootUntil.IsZero() || h.GetState() != wire.HostState_HOST_STATE_ACTIVE
		if h.GetPool() == pool && down {
			n++
		}
	}
	return n
}

func (f *fakeFleet) startMaintenance() {
	f.apply(&wire.Command{
		Change: &wire.Command_StartMaintenance{
			StartMaintenance: &wire.StartMaintenance{},
		},
	})
}

// rollOutDone reports whether the latest roll-out is done.
func (f *fakeFleet) rollOutDone() bool {
	list := f.state.Maintenances()
	return len(list) > 0 && list[len(list)-1].GetDone()
}
