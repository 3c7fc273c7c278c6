package supervisor

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/planner"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/allotter"
)

const (
	// allotInterval is the minimum time between two changes of allotments. Each
	// change is a log entry, and demand changes all the time.
	allotInterval = time.Second

	// confirmDelay is how long a scheduler must have known a target before its
	// report confirms that it complies. It is longer than a scheduling pass, so
	// that a pass that began with the old target has ended.
	confirmDelay = time.Second

	// isolationTimeout is how long a scheduler renews worker leases without an
	// authority lease. Partitions between regions last for minutes.
	isolationTimeout = 10 * time.Minute
)

// reclaimDelay is the time without a report after which no task can be running
// under a data centre's allotments any more. It allows for clock drift.
const reclaimDelay = isolationTimeout + follower.InForceBound +
	scheduler.WorkerLease + (isolationTimeout+scheduler.WorkerLease)/follower.ClockDriftDivisor

// AllotmentDecider is a Decider that divides the limits of the teams among the data
// centres. It keeps what it learned from reports until Reset. It is created by
// NewAllotments.
type AllotmentDecider struct {
	policy       allotter.Policy
	lastDecision time.Time
	// lastReport is the time of the last report from each data centre's
	// scheduler; for a data centre without reports it is the first decision
	// of the term that included it.
	lastReport map[string]time.Time
	// knownTargets holds the target that each scheduler is known to have
	// applied, and since when.
	knownTargets map[allotmentKey]knownTarget
}

type allotmentKey struct {
	team, dataCentre string
}

type knownTarget struct {
	target allotter.Vector
	since  time.Time
}

// NewAllotmentDecider returns a decider that divides the limits by demand.
func NewAllotmentDecider() *AllotmentDecider {
	a := &AllotmentDecider{
		policy: allotter.ByDemand{
			EqualPartDivisor: 4,
			SlackDivisor:     16,
		},
	}
	a.Reset()
	return a
}

// Reset discards what was learned from reports. It is called at the start of a
// term.
func (a *AllotmentDecider) Reset() {
	a.lastReport = make(map[string]time.Time)
	a.knownTargets = make(map[allotmentKey]knownTarget)
}

// Decide returns at most one command, with all allotments that must change, at
// most once every allotInterval.
func (a *AllotmentDecider) Decide(now time.Time, s controller.State, followers []voter.FollowerStatus) []*wire.Command {
	if now.Sub(a.lastDecision) < allotInterval {
		return nil
	}
	a.lastDecision = now
	reports := CurrentReports(s, followers)
	for _, d := range s.DataCentres() {
		name := d.GetName()
		if r, ok := reports[name]; ok {
			a.lastReport[name] = r.At
		} else if _, ok := a.lastReport[name]; !ok {
			a.lastReport[name] = now
		}
	}
	var changes []*wire.Allotment
	for _, ref := range s.Teams() {
		changes = append(changes, a.decideTeam(now, s, ref.Team, reports)...)
	}
	for _, name := range teamsWithoutContract(s) {
		// A team without a contract has a limit of zero.
		changes = append(changes, a.decideTeam(now, s, &wire.Team{
			Name: name,
		}, reports)...)
	}
	if len(changes) == 0 {
		return nil
	}
	return []*wire.Command{
		{
			Change: &wire.Command_SetAllotments{
				SetAllotments: &wire.SetAllotments{
					Allotments: changes,
				},
			},
		},
	}
}

func (a *AllotmentDecider) decideTeam(now time.Time, s controller.State, team *wire.Team, reports map[string]planner.Report) []*wire.Allotment {
	var holders []allotter.Holder
	for _, d := range s.DataCentres() {
		holders = append(holders, a.holder(now, s, team, d, reports))
	}
	var changes []*wire.Allotment
	for _, h := range allotter.Allot(toVector(team.GetLimit()), holders, a.policy) {
		changes = append(changes, &wire.Allotment{
			Team:       team.GetName(),
			DataCentre: h.Name,
			Amount:     toResources(h.Amount),
			Target:     toResources(h.Target),
		})
	}
	return changes
}

func (a *AllotmentDecider) holder(now time.Time, s controller.State, team *wire.Team, d *wire.DataCentre, reports map[string]planner.Report) allotter.Holder {
	current, _ := s.Allotment(team.GetName(), d.GetName())
	r, reported := reports[d.GetName()]
	use := teamUse(r, team.GetName())
	running := toVector(use.GetRunning())
	h := allotter.Holder{
		Name:        d.GetName(),
		Amount:      toVector(current.GetAmount()),
		Target:      toVector(current.GetTarget()),
		Use:         running,
		Demand:      running.Plus(toVector(use.GetWaiting())),
		MayGrow:     reported && d.GetState() == wire.ServiceState_SERVICE_STATE_IN,
		Reclaimable: now.Sub(a.lastReport[d.GetName()]) > reclaimDelay,
	}
	h.Confirmed = reported && a.isConfirmed(now, s, team.GetName(), h, r)
	return h
}

// isConfirmed reports whether the scheduler had known its current target for
// confirmDelay when it made the report. It also records since when the scheduler
// knows the target.
func (a *AllotmentDecider) isConfirmed(now time.Time, s controller.State, team string, h allotter.Holder, r planner.Report) bool {
	if h.Target == h.Amount {
		return false
	}
	key := allotmentKey{
		team:       team,
		dataCentre: h.Name,
	}
	known, ok := a.knownTargets[key]
	if !ok || known.target != h.Target {
		change, _ := s.LastChange("allotments")
		if r.AppliedRevision >= change.GetRevision() {
			a.knownTargets[key] = knownTarget{
				target: h.Target,
				since:  now,
			}
		}
		return false
	}
	return r.At.Sub(known.since) >= confirmDelay
}

// teamsWithoutContract returns the teams that have allotments and no contract.
func teamsWithoutContract(s controller.State) []string {
	var names []string
	for _, allotment := range s.Allotments() {
		name := allotment.GetTeam()
		_, ok := s.Team(name)
		if !ok && toVector(allotment.GetAmount()) != (allotter.Vector{}) && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// teamUse returns the use of a team in a report, or nil.
func teamUse(r planner.Report, team string) *wire.TeamUse {
	for _, use := range r.Use.GetTeams() {
		if use.GetTeam() == team {
			return use
		}
	}
	return nil
}

func toVector(r *wire.Resources) allotter.Vector {
	return allotter.Vector{
		MilliCores:   r.GetMilliCores(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
	}
}

func toResources(v allotter.Vector) *wire.Resources {
	return &wire.Resources{
		MilliCores:   v.MilliCores,
		MemoryBytes:  v.MemoryBytes,
		Accelerators: v.Accelerators,
	}
}
