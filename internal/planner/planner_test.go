package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/planner"
	"github.com/heathermux/heathermux/internal/wire"
)

var today = layout{
	dataCentres: 4,
	hosts:       50,
	pools:       []string{"issue", "redeem", "credit", "balance", "audit"},
	spareHosts:  8,
	budget:      2,
	policy:      wire.PlanPolicy_PLAN_POLICY_FAVOUR_SHARES,
	perRack:     4,
}

// availability-budget: a roll-out finishes, and at no moment are more hosts of
// a pool unavailable than its budget allows, whether planned or not.
func TestRollOutKeepsBudgets(t *testing.T) {
	tests := map[string]func(f *fakeFleet, random *rand.Rand){
		"no failures": func(*fakeFleet, *rand.Rand) {},
		"hosts fail and return": func(f *fakeFleet, random *rand.Rand) {
			if random.IntN(200) == 0 {
				m := f.machines[fmt.Sprintf("h-%04d", random.IntN(50))]
				m.dead = !m.dead
			}
		},
		"changes of leader": func(f *fakeFleet, random *rand.Rand) {
			if random.IntN(60) == 0 {
				f.planner.Reset()
			}
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(today)
			random := rand.New(rand.NewPCG(7, 7))
			for _, pool := range today.pools {
				f.demand[pool] = 3
			}
			f.run(10 * time.Second)
			f.startMaintenance()
			for range 3 * 3600 {
				disturb(f, random)
				planned := make(map[string]int64)
				for _, pool := range today.pools {
					planned[pool] = f.state.Unavailable(pool)
				}
				f.step()
				for _, pool := range today.pools {
					// Failures alone may exceed the budget; drains must not add to them.
					added := f.state.Unavailable(pool) > planned[pool]
					if added && f.unavailable(pool) > today.budget {
						t.Fatalf("pool %s: %d hosts unavailable", pool, f.unavailable(pool))
					}
				}
				if f.maintained() {
					break
				}
			}
			for _, m := range f.machines {
				m.dead = false
			}
			f.run(time.Hour)
			is.True(f.maintained())
			is.Equal(len(f.state.Grants()), 0)
		})
	}
}

// one-pool: a drained host may change its pool only when its scheduler has
// known of the drain for a while and reports that nothing runs there.
func TestDrainIsConfirmedOnlyWhenEmpty(t *testing.T) {
	tests := map[string]struct {
		// change alters the report on the host in each second.
		change    func(second int, r *planner.Report, use *wire.HostUse)
		confirmed bool
	}{
		"empty": {
			change:    func(int, *planner.Report, *wire.HostUse) {},
			confirmed: true,
		},
		"work runs": {
			change: func(_ int, _ *planner.Report, use *wire.HostUse) { use.Tasks = 1 },
		},
		"scheduler has not heard of the drain": {
			change: func(_ int, r *planner.Report, _ *wire.HostUse) { r.Confirmed = 1 },
		},
		"scheduler changes": {
			change: func(second int, r *planner.Report, _ *wire.HostUse) { r.Use.Epoch = uint64(second) },
		},
		"no report": {
			change: func(_ int, r *planner.Report, _ *wire.HostUse) { r.Use = nil },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(today)
			f.run(10 * time.Second)
			h, _ := f.state.Host("h-0020")
			f.apply(&wire.Command{
				ExpectedRevision: h.GetRevision(),
				Change: &wire.Command_MoveHost{
					MoveHost: &wire.MoveHost{
						Host: "h-0020",
						Pool: "spare",
					},
				},
			})
			confirmed := false
			for second := range 10 {
				f.now = f.now.Add(time.Second)
				in := f.input(nil)
				r := in.Reports[h.GetDataCentre()]
				for _, use := range r.Use.GetHosts() {
					if use.GetHost() == "h-0020" {
						test.change(second, &r, use)
					}
				}
				in.Reports[h.GetDataCentre()] = r
				for _, cmd := range f.planner.Plan(in) {
					confirmed = confirmed || cmd.GetConfirmEmpty().GetHost() == "h-0020"
				}
			}
			is.Equal(confirmed, test.confirmed)
		})
	}
}

// availability-budget: hosts that failed use up the budget, so that no drain is
// added to them.
func TestFailedHostsUseUpTheBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(today)
	f.run(10 * time.Second)
	// Two hosts of the pool fail far apart, which is no correlated failure.
	for _, name := range []string{"h-0010", "h-0035"} {
		f.machines[name].dead = true
		f.run(2 * time.Minute)
	}
	h, _ := f.state.Host("h-0010")
	is.Equal(h.GetPool(), "issue")
	f.startMaintenance()
	for range 1200 {
		f.step()
		is.Equal(f.state.Unavailable("issue"), int64(0))
	}
	// The other pools are not held up.
	for _, h := range f.state.Hosts() {
		is.True(h.GetPool() == "issue" || h.GetMaintainedWave() == 1)
	}
}

// Pools that lack hosts at the same time must not be given the same spare host.
func TestPoolsGetDifferentHosts(t *testing.T) {
	is := is.New(t)
	// In one data centre and rack all pools prefer the same host.
	l := today
	l.dataCentres = 1
	l.perRack = l.hosts
	f := newFleet(l)
	f.run(10 * time.Second)
	for _, pool := range today.pools {
		f.demand[pool] = 9
	}
	f.run(3 * time.Minute)
	is.True(f.moves > 1)
	is.Equal(len(f.rejected), 0)
}

// availability-budget: hosts of a data centre that is out of service are
// unavailable too, so maintenance goes on only among them.
func TestDataCentreOutUsesUpTheBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(today)
	f.run(10 * time.Second)
	setDataCentre(f, wire.ServiceState_SERVICE_STATE_OUT)
	f.startMaintenance()
	for range 20 * 60 {
		f.step()
		for _, g := range f.state.Grants() {
			h, _ := f.state.Host(g.GetHost())
			is.True(h.GetDataCentre() == "dc-1" || h.GetPool() == "spare")
		}
	}
	for _, h := range f.state.Hosts() {
		is.True(h.GetDataCentre() != "dc-1" || h.GetMaintainedWave() == 1)
	}
	is.True(!f.maintained())
	setDataCentre(f, wire.ServiceState_SERVICE_STATE_IN)
	f.run(time.Hour)
	is.True(f.maintained())
}

// A rack that dies must stop new drains until its failures are a minute old.
func TestCorrelatedFailuresWithholdGrants(t *testing.T) {
	is := is.New(t)
	f := newFleet(today)
	f.run(10 * time.Second)
	for i := range 4 {
		f.machines[fmt.Sprintf("h-%04d", 20+4*i)].dead = true
	}
	f.step()
	f.startMaintenance()
	f.run(30 * time.Second)
	is.Equal(len(f.state.Grants()), 0)
	f.run(time.Minute)
	is.True(len(f.state.Grants()) > 0)
}

// A peak of some seconds must cause no move, whichever queue it meets, also
// after the hosts that no peak needs were returned.
func TestShortPeaksCauseNoMoves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(today)
	turns(f, time.Hour, 2)
	settled := f.moves
	turns(f, time.Hour, 2)
	is.Equal(f.moves, settled)
	is.True(settled > 0)
}

// A load that stays must be met from the spare pool, and a quiet time must
// return the hosts.
func TestLastingLoadMovesHostsAndReturnsThem(t *testing.T) {
	is := is.New(t)
	f := newFleet(today)
	f.run(10 * time.Second)
	f.demand["redeem"] = 12
	f.run(5 * time.Minute)
	is.True(poolSize(f, "redeem") >= 12)
	moved := f.moves
	f.demand["redeem"] = 2
	f.run(25 * time.Minute)
	is.True(poolSize(f, "redeem") < 12)
	is.True(f.moves > moved)
	is.Equal(len(f.rejected), 0)
}

// A data centre that leaves and returns must not cause a rush of moves.
func TestDataCentreChangeCausesFewMoves(t *testing.T) {
	is := is.New(t)
	f := newFleet(today)
	for _, pool := range today.pools {
		f.demand[pool] = 5
	}
	f.run(time.Minute)
	before := f.moves
	setDataCentre(f, wire.ServiceState_SERVICE_STATE_OUT)
	f.run(2 * time.Minute)
	setDataCentre(f, wire.ServiceState_SERVICE_STATE_IN)
	f.run(10 * time.Minute)
	is.True(f.moves-before <= today.spareHosts)
}

func setDataCentre(f *fakeFleet, state wire.ServiceState) {
	d, _ := f.state.DataCentre("dc-1")
	f.apply(&wire.Command{
		ExpectedRevision: d.GetRevision(),
		Change: &wire.Command_SetDataCentreState{
			SetDataCentreState: &wire.SetDataCentreState{
				Name:  "dc-1",
				State: state,
			},
		},
	})
}

func poolSize(f *fakeFleet, pool string) int {
	n := 0
	for _, h := range f.state.Hosts() {
		if h.GetPool() == pool {
			n++
		}
	}
	return n
}

// turns lets each queue in turn peak at five times its mean for eight seconds
// and fall to a twentieth of its mean in between.
func turns(f *fakeFleet, d time.Duration, mean float64) {
	const (
		peak = 8
		turn = 20
	)
	pools := today.pools
	for s := range int(d.Seconds()) {
		for i, pool := range pools {
			f.demand[pool] = mean / 20
			if s/turn%len(pools) == i && s%turn < peak {
				f.demand[pool] = mean * 5
			}
		}
		f.step()
	}
}

// BenchmarkRollOut compares the planner with two baselines: a fixed buffer for
// each pool, and one host at a time. Each result is one roll-out of the fleet
// of today under queues that peak in turn and one load that lasts.
func BenchmarkRollOut(b *testing.B) {
	policies := map[string]func(f *fakeFleet){
		"favour-shares": func(*fakeFleet) {},
		"favour-cost": func(f *fakeFleet) {
			*f = *newFleet(withPolicy(wire.PlanPolicy_PLAN_POLICY_FAVOUR_COST))
		},
		"fixed-buffer": func(f *fakeFleet) {
			l := today
			l.spareHosts = 0
			*f = *newFleet(l)
			f.planner = planner.New(planner.Options{
				Policies: fixedBuffer,
			})
		},
		"one-at-a-time": func(f *fakeFleet) { f.only = 1 },
	}
	for name, prepare := range policies {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				f := newFleet(today)
				prepare(f)
				seconds := rollOut(f)
				b.ReportMetric(seconds, "rollout-s")
				b.ReportMetric(float64(f.moves), "moves")
				b.ReportMetric(f.idleSeconds/3600, "idle-host-h")
				b.ReportMetric(f.waitSeconds/3600, "wait-host-h")
			}
		})
	}
}

// fixedBuffer never returns a host.
func fixedBuffer(*wire.Pool) planner.Policy {
	p := planner.FavourShares()
	p.Quiet = 1000 * time.Hour
	return p
}

func withPolicy(p wire.PlanPolicy) layout {
	l := today
	l.policy = p
	return l
}

// rollOut runs two hours of load with one roll-out and returns its length in seconds.
func rollOut(f *fakeFleet) float64 {
	turns(f, 10*time.Minute, 2)
	f.startMaintenance()
	begin := f.now
	length := 2 * time.Hour.Seconds()
	for s := range 36 {
		turns(f, 190*time.Second, 2)
		if s == 6 || s == 7 {
			// One load that lasts for ten minutes.
			f.demand["audit"] = 12
			f.run(5 * time.Minute)
		}
		if f.maintained() && f.now.Sub(begin).Seconds() < length {
			length = f.now.Sub(begin).Seconds()
		}
	}
	return length
}

// BenchmarkPlan is one plan of a fleet of the given size with a roll-out.
func BenchmarkPlan(b *testing.B) {
	for _, hosts := range []int{50, 700, 6600} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			l := today
			l.hosts = hosts
			l.spareHosts = hosts / 10
			l.pools = nil
			for i := range max(hosts/200, 5) {
				l.pools = append(l.pools, fmt.Sprintf("p-%d", i))
			}
			f := newFleet(l)
			f.run(10 * time.Second)
			f.startMaintenance()
			in := f.input(f.spread())
			for b.Loop() {
				in.Now = in.Now.Add(time.Second)
				f.planner.Plan(in)
			}
		})
	}
}
