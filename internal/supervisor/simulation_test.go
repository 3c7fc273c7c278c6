package supervisor_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/heathermux/heathermux/examples"
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/supervisor"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// rebootDuration is how long a host is down for maintenance.
const rebootDuration = 30 * time.Second

// simulation runs the real supervisor, planner, allotments and control state
// machine on a simulated deployment, whose hosts work, drain, reboot and fail as
// the test says.
type simulation struct {
	*fakeControl
	t          *testing.T
	supervisor *supervisor.Supervisor
	start      time.Time
	transcript bytes.Buffer
	// poolLoad is the load of each pool, in hosts.
	poolLoad map[string]float64
	failed   map[string]bool
	// rebootStart is when each host under maintenance went down.
	rebootStart map[string]time.Time
	restarts    map[string]int
	entryHosts  map[string]string
}

// Propose applies a command and writes it to the transcript.
func (d *simulation) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	d.proposals++
	cmd.OperationId = fmt.Sprintf("op-%d", d.proposals)
	result, err := d.fakeControl.Propose(ctx, cmd)
	fmt.Fprintf(&d.transcript, "%6.1fs revision %d %s%s %s\n", d.clock.Now().Sub(d.start).Seconds(),
		result.GetRevision(), result.GetOutcome(), reason(result), describe(cmd))
	return result, err
}

func reason(r *wire.Result) string {
	if r.GetReason() == "" {
		return ""
	}
	return " (" + r.GetReason() + ")"
}

// describe returns what a command changes. It avoids the text encoding of
// protobuf messages, which is not stable.
func describe(cmd *wire.Command) string {
	switch c := cmd.GetChange().(type) {
	case *wire.Command_Bootstrap:
		return "bootstrap"
	case *wire.Command_SetView:
		return fmt.Sprintf("view of %d entry hosts", len(c.SetView.GetView().GetMembers()))
	case *wire.Command_AssignScheduler:
		return "scheduler of " + c.AssignScheduler.GetDataCentre() + " is " + c.AssignScheduler.GetEntryHost()
	case *wire.Command_SetAllotments:
		return fmt.Sprintf("%d allotments", len(c.SetAllotments.GetAllotments()))
	case *wire.Command_MoveHost:
		return "move " + c.MoveHost.GetHost() + " to " + c.MoveHost.GetPool()
	case *wire.Command_ConfirmEmpty:
		return "empty " + c.ConfirmEmpty.GetHost()
	case *wire.Command_ReturnHost:
		return "return " + c.ReturnHost.GetHost()
	case *wire.Command_StartMaintenance:
		return "start maintenance"
	case *wire.Command_GrantMaintenance:
		return fmt.Sprint("maintenance of ", c.GrantMaintenance.GetHosts())
	case *wire.Command_SetDataCentreState:
		return c.SetDataCentreState.GetName() + " " + c.SetDataCentreState.GetState().String()
	default:
		return fmt.Sprintf("%T", c)
	}
}

func newSimulation(t *testing.T, name string) *simulation {
	t.Helper()
	path, data, ok := examples.Deployment(name)
	if !ok {
		t.Fatalf("deployment %q is not known", name)
	}
	deployment, problems := loader.ParseDeployment(path, data)
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1000, 0)
	d := &simulation{
		t: t,
		fakeControl: &fakeControl{
			clock:     timer.NewFake(start),
			leading:   true,
			followers: make(map[string]voter.FollowerStatus),
		},
		start:       start,
		poolLoad:    make(map[string]float64),
		failed:      make(map[string]bool),
		rebootStart: make(map[string]time.Time),
		restarts:    make(map[string]int),
		entryHosts:  make(map[string]string),
	}
	for i := range 6 {
		d.entryHosts[fmt.Sprintf("e-%d", i+1)] = deployment.DataCentres[i%len(deployment.DataCentres)].Name
	}
	d.supervisor = supervisor.New(supervisor.Options{
		Control:   d,
		Clock:     d.clock,
		Logger:    slog.New(slog.NewTextHandler(io.Discard, nil)),
		Bootstrap: deployment.Snapshot(),
		Deciders: []supervisor.Decider{
			supervisor.NewAllotmentDecider(),
			supervisor.NewCapacityDecider(),
		},
	})
	return d
}

// run runs rounds for the given duration of the fake clock. The entry hosts of the
// unreachable data centre, if any, send no follow calls.
func (d *simulation) run(duration time.Duration, unreachable string) {
	for end := d.clock.Now().Add(duration); d.clock.Now().Before(end); {
		d.clock.Advance(supervisor.RoundInterval)
		d.updateReboots()
		for name, dataCentre := range d.entryHosts {
			if dataCentre != unreachable {
				d.recordFollow(name, dataCentre, name+"-1", d.report(name, dataCentre))
			}
		}
		d.supervisor.Round(context.Background())
		checkBudgets(d.t, d.state)
	}
}

// updateReboots starts one reboot of each host that has entered maintenance.
func (d *simulation) updateReboots() {
	for _, h := range d.state.Hosts() {
		name := h.GetName()
		if h.GetState() != wire.HostState_HOST_STATE_MAINTENANCE {
			delete(d.rebootStart, name)
			continue
		}
		if _, ok := d.rebootStart[name]; !ok {
			d.rebootStart[name] = d.clock.Now()
			d.restarts[name]++
		}
	}
}

// rebooting reports whether a host is down for a reboot.
func (d *simulation) rebooting(name string) bool {
	at, ok := d.rebootStart[name]
	return ok && d.clock.Now().Sub(at) < rebootDuration
}

// report returns the report of the scheduler on the entry host, or nil if the
// entry host does not schedule the data centre.
func (d *simulation) report(name, dataCentre string) *wire.SchedulerReport {
	c, _ := d.state.DataCentre(dataCentre)
	if c.GetScheduler() != name {
		return nil
	}
	r := &wire.SchedulerReport{
		DataCentre: dataCentre,
		Epoch:      c.GetSchedulerEpoch(),
	}
	usableHosts := d.usableHosts()
	for _, h := range d.state.Hosts() {
		if h.GetDataCentre() != dataCentre {
			continue
		}
		rebooting := d.rebooting(h.GetName())
		load := 0.0
		if h.GetState() == wire.HostState_HOST_STATE_ACTIVE && !rebooting && !d.failed[h.GetName()] {
			load = min(1, d.poolLoad[h.GetPool()]/float64(usableHosts[h.GetPool()]))
		}
		r.Hosts = append(r.Hosts, &wire.HostUse{
			Host:        h.GetName(),
			PoolEpoch:   h.GetPoolEpoch(),
			Tasks:       int64(math.Ceil(load * 10)),
			Alive:       !rebooting && !d.failed[h.GetName()],
			Incarnation: fmt.Sprint(d.restarts[h.GetName()]),
		})
	}
	for _, p := range d.state.Pools() {
		r.Pools = append(r.Pools, &wire.PoolUse{
			Pool: p.GetName(),
			Running: &wire.Resources{
				MilliCores: int64(d.poolLoad[p.GetName()] * 64_000 / float64(len(d.state.DataCentres()))),
			},
		})
	}
	return r
}

// usableHosts counts, by pool, the active hosts that have not failed.
func (d *simulation) usableHosts() map[string]int {
	n := make(map[string]int)
	for _, h := range d.state.Hosts() {
		if h.GetState() == wire.HostState_HOST_STATE_ACTIVE && !d.failed[h.GetName()] {
			n[h.GetPool()]++
		}
	}
	return n
}

// applyOperatorChange applies a command as an operator would send it.
func (d *simulation) applyOperatorChange(cmd *wire.Command) {
	_, _ = d.Propose(context.Background(), cmd)
}

func (d *simulation) setDataCentreState(name string, state wire.ServiceState) {
	c, _ := d.state.DataCentre(name)
	d.applyOperatorChange(&wire.Command{
		ExpectedRevision: c.GetRevision(),
		Change: &wire.Command_SetDataCentreState{
			SetDataCentreState: &wire.SetDataCentreState{
				Name:  name,
				State: state,
			},
		},
	})
}

// Simulates load, maintenance, an outage and failures for each example
// deployment. The golden files guard against unintended changes of decisions
// about views, schedulers, allotments, moves or maintenance.
func TestDeploymentDecisions(t *testing.T) {
	for _, name := range []string{"qhapaq", "khomas"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newSimulation(t, name)
			dataCentre := d.firstDataCentre()
			d.run(20*time.Second, "")
			pools := d.state.Pools()
			fmt.Fprintln(&d.transcript, "# one pool has a load that lasts")
			d.poolLoad[pools[0].GetName()] = 12
			d.run(3*time.Minute, "")
			d.poolLoad[pools[0].GetName()] = 2
			fmt.Fprintln(&d.transcript, "# maintenance of all pools")
			d.applyOperatorChange(&wire.Command{
				Change: &wire.Command_StartMaintenance{
					StartMaintenance: &wire.StartMaintenance{},
				},
			})
			d.run(2*time.Minute, "")
			fmt.Fprintln(&d.transcript, "# data centre "+dataCentre+" is taken out of service")
			d.setDataCentreState(dataCentre, wire.ServiceState_SERVICE_STATE_OUT)
			d.run(time.Minute, "")
			fmt.Fprintln(&d.transcript, "# data centre "+dataCentre+" can't be reached")
			d.run(time.Minute, dataCentre)
			fmt.Fprintln(&d.transcript, "# it is reached again and taken back")
			d.run(5*time.Second, "")
			d.setDataCentreState(dataCentre, wire.ServiceState_SERVICE_STATE_IN)
			d.run(2*time.Minute, "")
			fmt.Fprintln(&d.transcript, "# a rack fails")
			d.failRack()
			d.run(2*time.Minute, "")
			goldie.New(t).Assert(t, "day-"+name, d.transcript.Bytes())
		})
	}
}

func (d *simulation) firstDataCentre() string {
	d.run(supervisor.RoundInterval, "")
	return d.state.DataCentres()[0].GetName()
}

// failRack makes all hosts in the rack of the last host fail.
func (d *simulation) failRack() {
	hosts := d.state.Hosts()
	last := hosts[len(hosts)-1]
	for _, h := range hosts {
		if h.GetRack() == last.GetRack() && h.GetDataCentre() == last.GetDataCentre() {
			d.failed[h.GetName()] = true
		}
	}
}

// checkBudgets checks that the unavailable hosts of each pool in the state are
// within its availability budget.
func checkBudgets(t *testing.T, s controller.State) {
	t.Helper()
	for _, p := range s.Pools() {
		if s.Unavailable(p.GetName()) > p.GetAvailabilityBudget() {
			t.Fatalf("pool %s: %d hosts unavailable", p.GetName(), s.Unavailable(p.GetName()))
		}
	}
}
