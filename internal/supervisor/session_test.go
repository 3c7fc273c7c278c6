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

// rebootTime is how long a host is away for maintenance.
const rebootTime = 30 * time.Second

// day is a deployment whose hosts work, drain, reboot and fail as told, under
// the real supervisor, planner, allotments and control state machine.
type day struct {
	*control
	supervisor *supervisor.Supervisor
	begin      time.Time
	out        bytes.Buffer
	// load is the load of each pool in hosts.
	load map[string]float64
	dead map[string]bool
	// rebootAt is when each host under maintenance went away.
	rebootAt map[string]time.Time
	restarts map[string]int
	hosts    map[string]string
}

// Propose applies a command and writes it to the session.
func (d *day) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	d.proposed++
	cmd.OperationId = fmt.Sprintf("op-%d", d.proposed)
	result, err := d.control.Propose(ctx, cmd)
	fmt.Fprintf(&d.out, "%6.1fs revision %d %s%s %s\n", d.clock.Now().Sub(d.begin).Seconds(),
		result.GetRevision(), result.GetOutcome(), reason(result), describe(cmd))
	return result, err
}

func reason(r *wire.Result) string {
	if r.GetReason() == "" {
		return ""
	}
	return " (" + r.GetReason() + ")"
}

// describe names what a command changes, without encodings that vary.
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

func newDay(t *testing.T, name string) *day {
	t.Helper()
	path, data, ok := examples.Deployment(name)
	if !ok {
		t.Fatalf("deployment %q is not known", name)
	}
	deployment, problems := loader.ParseDeployment(path, data)
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	begin := time.Unix(1000, 0)
	d := &day{
		control: &control{
			clock:     timer.NewFake(begin),
			leads:     true,
			followers: make(map[string]voter.FollowerStatus),
		},
		begin:    begin,
		load:     make(map[string]float64),
		dead:     make(map[string]bool),
		rebootAt: make(map[string]time.Time),
		restarts: make(map[string]int),
		hosts:    make(map[string]string),
	}
	for i := range 6 {
		d.hosts[fmt.Sprintf("e-%d", i+1)] = deployment.DataCentres[i%len(deployment.DataCentres)].Name
	}
	d.supervisor = supervisor.New(supervisor.Options{
		Control:   d,
		Clock:     d.clock,
		Logger:    slog.New(slog.NewTextHandler(io.Discard, nil)),
		Bootstrap: deployment.Snapshot(),
		Deciders: []supervisor.Decider{
			supervisor.NewAllotments(),
			supervisor.NewCapacity(),
		},
	})
	return d
}

// run lets time pass; entry hosts of the data centre named silent are not heard.
func (d *day) run(length time.Duration, silent string) {
	for end := d.clock.Now().Add(length); d.clock.Now().Before(end); {
		d.clock.Advance(supervisor.Interval)
		d.reboot()
		for name, dataCentre := range d.hosts {
			if dataCentre != silent {
				d.hear(name, dataCentre, name+"-1", d.report(name, dataCentre))
			}
		}
		d.supervisor.Round(context.Background())
	}
}

// reboot takes hosts under maintenance away and brings them back once.
func (d *day) reboot() {
	for _, h := range d.state.Hosts() {
		name := h.GetName()
		if h.GetState() != wire.HostState_HOST_STATE_MAINTENANCE {
			delete(d.rebootAt, name)
			continue
		}
		if _, ok := d.rebootAt[name]; !ok {
			d.rebootAt[name] = d.clock.Now()
			d.restarts[name]++
		}
	}
}

// away reports whether a host reboots.
func (d *day) away(name string) bool {
	at, ok := d.rebootAt[name]
	return ok && d.clock.Now().Sub(at) < rebootTime
}

// report is what the scheduler on the entry host says about its data centre.
func (d *day) report(name, dataCentre string) *wire.SchedulerReport {
	c, _ := d.state.DataCentre(dataCentre)
	if c.GetScheduler() != name {
		return nil
	}
	r := &wire.SchedulerReport{
		DataCentre: dataCentre,
		Epoch:      c.GetSchedulerEpoch(),
	}
	usable := d.usable()
	for _, h := range d.state.Hosts() {
		if h.GetDataCentre() != dataCentre {
			continue
		}
		away := d.away(h.GetName())
		load := 0.0
		if h.GetState() == wire.HostState_HOST_STATE_ACTIVE && !away && !d.dead[h.GetName()] {
			load = min(1, d.load[h.GetPool()]/float64(usable[h.GetPool()]))
		}
		r.Hosts = append(r.Hosts, &wire.HostUse{
			Host:        h.GetName(),
			PoolEpoch:   h.GetPoolEpoch(),
			Tasks:       int64(math.Ceil(load * 10)),
			Alive:       !away && !d.dead[h.GetName()],
			Incarnation: fmt.Sprint(d.restarts[h.GetName()]),
		})
	}
	for _, p := range d.state.Pools() {
		r.Pools = append(r.Pools, &wire.PoolUse{
			Pool: p.GetName(),
			Running: &wire.Resources{
				MilliCores: int64(d.load[p.GetName()] * 64_000 / float64(len(d.state.DataCentres()))),
			},
		})
	}
	return r
}

func (d *day) usable() map[string]int {
	n := make(map[string]int)
	for _, h := range d.state.Hosts() {
		if h.GetState() == wire.HostState_HOST_STATE_ACTIVE && !d.dead[h.GetName()] {
			n[h.GetPool()]++
		}
	}
	return n
}

// operate makes an operator's change from the present revision.
func (d *day) operate(cmd *wire.Command) {
	_, _ = d.Propose(context.Background(), cmd)
}

func (d *day) setZone(name string, state wire.ServiceState) {
	c, _ := d.state.DataCentre(name)
	d.operate(&wire.Command{
		ExpectedRevision: c.GetRevision(),
		Change: &wire.Command_SetDataCentreState{
			SetDataCentreState: &wire.SetDataCentreState{
				Name:  name,
				State: state,
			},
		},
	})
}

// A day in short of each deployment: any change of a decision about views,
// schedulers, allotments, moves or maintenance shows in these files.
func TestDay(t *testing.T) {
	for _, name := range []string{"qhapaq", "khomas"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDay(t, name)
			zone := d.firstZone()
			d.run(20*time.Second, "")
			pools := d.state.Pools()
			fmt.Fprintln(&d.out, "# one pool has a load that lasts")
			d.load[pools[0].GetName()] = 12
			d.run(3*time.Minute, "")
			d.load[pools[0].GetName()] = 2
			fmt.Fprintln(&d.out, "# maintenance of all pools")
			d.operate(&wire.Command{
				Change: &wire.Command_StartMaintenance{
					StartMaintenance: &wire.StartMaintenance{},
				},
			})
			d.run(2*time.Minute, "")
			fmt.Fprintln(&d.out, "# data centre "+zone+" is taken out of service")
			d.setZone(zone, wire.ServiceState_SERVICE_STATE_OUT)
			d.run(time.Minute, "")
			fmt.Fprintln(&d.out, "# data centre "+zone+" can't be reached")
			d.run(time.Minute, zone)
			fmt.Fprintln(&d.out, "# it is reached again and taken back")
			d.run(5*time.Second, "")
			d.setZone(zone, wire.ServiceState_SERVICE_STATE_IN)
			d.run(2*time.Minute, "")
			fmt.Fprintln(&d.out, "# a rack fails")
			d.failRack()
			d.run(2*time.Minute, "")
			checkBudgets(t, d.state)
			goldie.New(t).Assert(t, "day-"+name, d.out.Bytes())
		})
	}
}

func (d *day) firstZone() string {
	d.run(supervisor.Interval, "")
	return d.state.DataCentres()[0].GetName()
}

// failRack lets all hosts die that share the rack of the last host.
func (d *day) failRack() {
	hosts := d.state.Hosts()
	last := hosts[len(hosts)-1]
	for _, h := range hosts {
		if h.GetRack() == last.GetRack() && h.GetDataCentre() == last.GetDataCentre() {
			d.dead[h.GetName()] = true
		}
	}
}

// checkBudgets checks that the budgets held to the end.
func checkBudgets(t *testing.T, s controller.State) {
	t.Helper()
	for _, p := range s.Pools() {
		if s.Unavailable(p.GetName()) > p.GetAvailabilityBudget() {
			t.Fatalf("pool %s: %d hosts unavailable", p.GetName(), s.Unavailable(p.GetName()))
		}
	}
}
