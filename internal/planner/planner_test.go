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

// currentLayout is a fleet of the current size, 50 hosts.
var currentLayout = layout{
	dataCentres: 4,
	hosts:       50,
	pools:       []string{"issue", "redeem", "credit", "balance", "audit"},
	spareHosts:  8,
	budget:      2,
	policy:      wire.PlanPolicy_PLAN_POLICY_FAVOUR_SHARES,
	perRack:     4,
}

// Invariant availability-budget: a roll-out finishes, and no drain makes more hosts
// of a pool unavailable than its budget allows, counting failed hosts too.
func TestRollOutKeepsBudgets(t *testing.T) {
	tests := map[string]func(f *fakeFleet, random *rand.Rand){
		"no failures": func(*fakeFleet, *rand.Rand) {},
		"hosts fail and return": func(f *fakeFleet, random *rand.Rand) {
			if random.IntN(200) == 0 {
				m := f.machines[fmt.Sprintf("h-%04d", random.IntN(50))]
				m.dead = !m.dead
			}
		},
		"leader changes": func(f *fakeFleet, random *rand.Rand) {
			if random.IntN(60) == 0 {
				f.planner.Reset()
			}
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(currentLayout)
			random := rand.New(rand.NewPCG(7, 7))
			for _, pool := range currentLayout.pools {
				f.demand[pool] = 3
			}
			f.run(10 * time.Second)
			f.startMaintenance()
			for range 3 * 3600 {
				injectFault(f, random)
				planned := make(map[string]int64)
				for _, pool := range currentLayout.pools {
					planned[pool] = f.state.Unavailable(pool)
				}
				f.step()
				for _, pool := range currentLayout.pools {
					// Failures alone may exceed the budget; drains must not add to them.
					added := f.state.Unavailable(pool) > planned[pool]
					if added && f.unavailable(pool) > currentLayout.budget {
						t.Fatalf("pool %s: a drain raised the unavailable hosts above the budget, to %d", pool, f.unavailable(pool))
					}
				}
				if f.rollOutDone() {
					break
				}
			}
			for _, m := range f.machines {
				m.dead = false
			}
			f.run(time.Hour)
			is.True(f.rollOutDone())
			is.Equal(len(f.state.Grants()), 0)
		})
	}
}

// Invariant one-pool: a drained host may change its pool only after its scheduler
// has known of the drain for drainConfirmDelay and reports that nothing runs there.
func TestDrainIsConfirmedOnlyWhenEmpty(t *testing.T) {
	tests := map[string]struct {
		// change modifies the report on the host in each second.
		change    func(second int, r *planner.Report, use *wire.HostUse)
		confirmed bool
	}{
		"empty": {
			change:    func(int, *planner.Report, *wire.HostUse) {},
			confirmed: true,
		},
		"tasks still run": {
			change: func(_ int, _ *planner.Report, use *wire.HostUse) { use.Tasks = 1 },
		},
		"scheduler does not know of the drain": {
			change: func(_ int, r *planner.Report, _ *wire.HostUse) { r.AppliedRevision = 1 },
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
			f := newFleet(currentLayout)
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

// Invariant availability-budget: failed hosts use up the budget, so that no drain
// is added to them.
func TestFailedHostsUseUpTheBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(currentLayout)
	f.run(10 * time.Second)
	// Two hosts of the pool fail two minutes apart, so the failures are not correlated.
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
	// The roll-out finishes in the other pools.
	for _, h := range f.state.Hosts() {
		is.True(h.GetPool() == "issue" || h.GetMaintainedWave() == 1)
	}
}

// Pools that lack hosts at the same time must not get the same spare host.
func TestPoolsGetDifferentHosts(t *testing.T) {
	is := is.New(t)
	// With a single data centre and rack, all pools prefer the same host.
	l := currentLayout
	l.dataCentres = 1
	l.perRack = l.hosts
	f := newFleet(l)
	f.run(10 * time.Second)
	for _, pool := range currentLayout.pools {
		f.demand[pool] = 9
	}
	f.run(3 * time.Minute)
	is.True(f.moves > 1)
	is.Equal(len(f.rejected), 0)
}

// Invariant availability-budget: hosts of a data centre that is out of service
// count as unavailable too, so only they and spare hosts are maintained meanwhile.
func TestDataCentreOutUsesUpTheBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(currentLayout)
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
	is.True(!f.rollOutDone())
	setDataCentre(f, wire.ServiceState_SERVICE_STATE_IN)
	f.run(time.Hour)
	is.True(f.rollOutDone())
}

// The failure of a rack must prevent new drains until the failures are a minute old.
func TestCorrelatedFailuresWithholdGrants(t *testing.T) {
	is := is.New(t)
	f := newFleet(currentLayout)
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

// A peak of a few seconds must not cause a move, in whichever pool it occurs, also
// after surplus hosts were returned to the spare pool.
func TestShortPeaksCauseNoMoves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(currentLayout)
	runAlternatingPeaks(f, time.Hour, 2)
	settled := f.moves
	runAlternatingPeaks(f, time.Hour, 2)
	is.Equal(f.moves, settled)
	is.True(settled > 0)
}

// A sustained load must be served with hosts from the spare pool, which must
// return there after the load has fallen.
func TestSustainedLoadMovesHostsAndReturnsThem(t *testing.T) {
	is := is.New(t)
	f := newFleet(currentLayout)
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

// A data centre that goes out of service and returns must not cause a burst of moves.
func TestDataCentreChangeCausesFewMoves(t *testing.T) {
	is := is.New(t)
	f := newFleet(currentLayout)
	for _, pool := range currentLayout.pools {
		f.demand[pool] = 5
	}
	f.run(time.Minute)
	before := f.moves
	setDataCentre(f, wire.ServiceState_SERVICE_STATE_OUT)
	f.run(2 * time.Minute)
	setDataCentre(f, wire.ServiceState_SERVICE_STATE_IN)
	f.run(10 * time.Minute)
	is.True(f.moves-before <= currentLayout.spareHosts)
}

// setDataCentre sets the service state of the data centre dc-1.
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

// runAlternatingPeaks runs the fleet for d. Each pool in turn has a load peak of
// five times the mean for 8 s, and a twentieth of the mean otherwise.
func runAlternatingPeaks(f *fakeFleet, d time.Duration, mean float64) {
	const (
		peakSeconds = 8
		turnSeconds = 20
	)
	pools := currentLayout.pools
	for s := range int(d.Seconds()) {
		for i, pool := range pools {
			f.demand[pool] = mean / 20
			if s/turnSeconds%len(pools) == i && s%turnSeconds < peakSeconds {
				f.demand[pool] = mean * 5
			}
		}
		f.step()
	}
}

// BenchmarkRollOut compares the planner's two policies with two baselines: a fixed
// buffer for each pool, and maintenance of one host at a time. Each result is one
// roll-out of a fleet of the current size under load peaks that alternate between
// pools and one sustained load.
func BenchmarkRollOut(b *testing.B) {
	policies := map[string]func(f *fakeFleet){
		"favour-shares": func(*fakeFleet) {},
		"favour-cost": func(f *fakeFleet) {
			*f = *newFleet(withPolicy(wire.PlanPolicy_PLAN_POLICY_FAVOUR_COST))
		},
		"fixed-buffer": func(f *fakeFleet) {
			l := currentLayout
			l.spareHosts = 0
			*f = *newFleet(l)
			f.planner = planner.New(planner.Options{
				Policies: fixedBuffer,
			})
		},
		"one-at-a-time": func(f *fakeFleet) { f.maxInMaintenance = 1 },
	}
	for name, prepare := range policies {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				f := newFleet(currentLayout)
				prepare(f)
				seconds := rollOut(f)
				b.ReportMetric(seconds, "rollout-s")
				b.ReportMetric(float64(f.moves), "moves")
				b.ReportMetric(f.idleHostSeconds/3600, "idle-host-h")
				b.ReportMetric(f.waitingHostSeconds/3600, "wait-host-h")
			}
		})
	}
}

// fixedBuffer returns a policy that never returns a host to the spare pool.
func fixedBuffer(*wire.Pool) planner.Policy {
	p := planner.FavourShares()
	p.SurplusWindow = 1000 * time.Hour
	return p
}

func withPolicy(p wire.PlanPolicy) layout {
	l := currentLayout
	l.policy = p
	return l
}

// rollOut runs two hours of load with one roll-out and returns the roll-out's
// duration in seconds, or two hours if it does not finish.
func rollOut(f *fakeFleet) float64 {
	runAlternatingPeaks(f, 10*time.Minute, 2)
	f.startMaintenance()
	start := f.now
	length := 2 * time.Hour.Seconds()
	for s := range 36 {
		runAlternatingPeaks(f, 190*time.Second, 2)
		if s == 6 || s == 7 {
			// A sustained load of twice five minutes.
			f.demand["audit"] = 12
			f.run(5 * time.Minute)
		}
		if f.rollOutDone() && f.now.Sub(start).Seconds() < length {
			length = f.now.Sub(start).Seconds()
		}
	}
	return length
}

// BenchmarkPlan measures one call of Plan during a roll-out, by fleet size.
func BenchmarkPlan(b *testing.B) {
	for _, hosts := range []int{50, 700, 6600} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			l := currentLayout
			l.hosts = hosts
			l.spareHosts = hosts / 10
			l.pools = nil
			for i := range max(hosts/200, 5) {
				l.pools = append(l.pools, fmt.Sprintf("p-%d", i))
			}
			f := newFleet(l)
			f.run(10 * time.Second)
			f.startMaintenance()
			in := f.input(f.distributeLoad())
			for b.Loop() {
				in.Now = in.Now.Add(time.Second)
				f.planner.Plan(in)
			}
		})
	}
}
