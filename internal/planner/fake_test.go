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
	hostCores  = 64_000
	rebootTime = 60 * time.Second
)

// machine is one host as it really is.
type machine struct {
	incarnation int
	dead        bool
	rebootUntil time.Time
	// load is in hosts, from 0 to 1.
	load float64
}

// fakeFleet applies the planner's commands to the control state and lets hosts
// drain, reboot and fail.
type fakeFleet struct {
	now      time.Time
	state    controller.State
	planner  *planner.Planner
	machines map[string]*machine
	// demand is the load of each pool in hosts.
	demand map[string]float64
	// only limits the hosts under maintenance at once; 0 means no limit.
	only int

	operations int
	moves      int
	// idleSeconds is host seconds in pools, other than the spare one, without load.
	idleSeconds float64
	// waitSeconds is host seconds of load that found no host.
	waitSeconds float64
	rejected    []string
}

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

// layout describes a fleet: pools in turn get hosts of each data centre.
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
				MilliCores:  hostCores,
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

// step advances one second: hosts reboot, load is spread, reports are made and
// the planner's commands are applied.
func (f *fakeFleet) step() {
	f.now = f.now.Add(time.Second)
	f.reboot()
	waiting := f.spread()
	for _, cmd := range f.planner.Plan(f.input(waiting)) {
		f.accept(cmd)
	}
}

func (f *fakeFleet) accept(cmd *wire.Command) {
	if cmd.GetMoveHost() != nil {
		f.moves++
	}
	if grant := cmd.GetGrantMaintenance(); grant != nil && f.only > 0 {
		left := f.only - len(f.state.Grants())
		if left <= 0 {
			return
		}
		grant.Hosts = grant.Hosts[:min(left, len(grant.Hosts))]
	}
	f.apply(cmd)
}

// reboot starts and ends the maintenance of hosts.
func (f *fakeFleet) reboot() {
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

// spread divides each pool's load over its usable hosts and returns what found
// no host. A draining host loses its load within the step.
func (f *fakeFleet) spread() map[string]float64 {
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
		f.waitSeconds += waiting[pool]
		f.idleSeconds += max(0, hosts-load)
	}
	return waiting
}

func (f *fakeFleet) input(waiting map[string]float64) planner.Input {
	reports := make(map[string]planner.Report)
	for _, d := range f.state.DataCentres() {
		reports[d.GetName()] = planner.Report{
			At:        f.now,
			Confirmed: f.state.Revision(),
			Use: &wire.SchedulerReport{
				DataCentre: d.GetName(),
				Epoch:      d.GetSchedulerEpoch(),
				Hosts:      f.uses(d.GetName()),
			},
		}
	}
	first := reports["dc-0"].Use
	for pool, load := range f.demand {
		running := load - waiting[pool]
		first.Pools = append(first.Pools, &wire.PoolUse{
			Pool:    pool,
			Running: amount(running),
			Waiting: amount(waiting[pool]),
		})
	}
	return planner.Input{
		Now:     f.now,
		State:   f.state,
		Reports: reports,
	}
}

func (f *fakeFleet) uses(dataCentre string) []*wire.HostUse {
	var list []*wire.HostUse
	for _, h := range f.state.Hosts() {
		m := f.machines[h.GetName()]
		if h.GetDataCentre() != dataCentre {
			continue
		}
		list = append(list, &wire.HostUse{
			Host:        h.GetName(),
			PoolEpoch:   h.GetPoolEpoch(),
			Running:     amount(m.load),
			Tasks:       int64(math.Ceil(m.load * 10)),
			Alive:       !m.dead && m.rebootUntil.IsZero(),
			Incarnation: fmt.Sprint(m.incarnation),
		})
	}
	return list
}

func amount(hosts float64) *wire.Resources {
	return &wire.Resources{
		MilliCores: int64(hosts * hostCores),
	}
}

// run steps for a time.
func (f *fakeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// unavailable returns how many hosts of a pool are down or drain, for whatever reason.
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

func (f *fakeFleet) maintained() bool {
	list := f.state.Maintenances()
	return len(list) > 0 && list[len(list)-1].GetDone()
}
