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
	// allotInterval is the least time between two changes of allotments. Each
	// change is a log entry, and demand changes all the time.
	allotInterval = time.Second

	// confirmDelay is how long a scheduler must have known a target before its
	// report counts. It exceeds a scheduling pass that began before.
	confirmDelay = time.Second

	// isolationLimit is how long a scheduler renews worker leases without an
	// authority lease; regions lose each other for minutes.
	isolationLimit = 10 * time.Minute
)

// reclaimAfter is the silence after which nothing of a data centre's
// allotments can be running any more.
const reclaimAfter = isolationLimit + follower.ForceBound +
	scheduler.WorkerLease + (isolationLimit+scheduler.WorkerLease)/follower.ClockDrift

// Allotments divides the limits of the teams among the data centres. It keeps
// what it learned in its term; make one with NewAllotments.
type Allotments struct {
	policy allotter.Policy
	last   time.Time
	// heard is when each data centre's scheduler last reported; data centres
	// that were never heard have the start of the term.
	heard map[string]time.Time
	// known is the target that each scheduler knows, and since when.
	known map[allotmentName]knownTarget
}

type allotmentName struct {
	team, dataCentre string
}

type knownTarget struct {
	target allotter.Vector
	since  time.Time
}

// NewAllotments returns a decider that divides by demand.
func NewAllotments() *Allotments {
	a := &Allotments{
		policy: allotter.ByDemand{
			EqualPart: 4,
			Slack:     16,
		},
	}
	a.Reset()
	return a
}

// Reset forgets what was learned; it is called at the start of a term.
func (a *Allotments) Reset() {
	a.heard = make(map[string]time.Time)
	a.known = make(map[allotmentName]knownTarget)
}

// Decide returns at most one command with all allotments that have to change.
func (a *Allotments) Decide(now time.Time, s controller.State, followers []voter.FollowerStatus) []*wire.Command {
	if now.Sub(a.last) < allotInterval {
		return nil
	}
	a.last = now
	reports := PresentReports(s, followers)
	for _, d := range s.DataCentres() {
		name := d.GetName()
		if r, ok := reports[name]; ok {
			a.heard[name] = r.At
		} else if _, ok := a.heard[name]; !ok {
			a.heard[name] = now
		}
	}
	var changes []*wire.Allotment
	for _, ref := range s.Teams() {
		changes = append(changes, a.decideTeam(now, s, ref.Team, reports)...)
	}
	for _, name := range droppedTeams(s) {
		// A team without a contract has a limit of nothing.
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

func (a *Allotments) decideTeam(now time.Time, s controller.State, team *wire.Team, reports map[string]planner.Report) []*wire.Allotment {
	var holders []allotter.Holder
	for _, d := range s.DataCentres() {
		holders = append(holders, a.holder(now, s, team, d, reports))
	}
	var changes []*wire.Allotment
	for _, m := range allotter.Allot(vectorOf(team.GetLimit()), holders, a.policy) {
		changes = append(changes, &wire.Allotment{
			Team:       team.GetName(),
			DataCentre: m.Name,
			Amount:     wireOf(m.Amount),
			Target:     wireOf(m.Target),
		})
	}
	return changes
}

func (a *Allotments) holder(now time.Time, s controller.State, team *wire.Team, d *wire.DataCentre, reports map[string]planner.Report) allotter.Holder {
	present, _ := s.Allotment(team.GetName(), d.GetName())
	r, heard := reports[d.GetName()]
	use := teamUse(r, team.GetName())
	running := vectorOf(use.GetRunning())
	h := allotter.Holder{
		Name:   d.GetName(),
		Amount: vectorOf(present.GetAmount()),
		Target: vectorOf(present.GetTarget()),
		Use:    running,
		Demand: running.Plus(vectorOf(use.GetWaiting())),
		Open:   heard && d.GetState() == wire.ServiceState_SERVICE_STATE_IN,
		Lost:   now.Sub(a.heard[d.GetName()]) > reclaimAfter,
	}
	h.Confirmed = heard && a.isConfirmed(now, s, team.GetName(), h, r)
	return h
}

// isConfirmed reports whether the report was made when the scheduler had known
// the present target for confirmDelay.
func (a *Allotments) isConfirmed(now time.Time, s controller.State, team string, h allotter.Holder, r planner.Report) bool {
	if h.Target == h.Amount {
		return false
	}
	name := allotmentName{
		team:       team,
		dataCentre: h.Name,
	}
	known, ok := a.known[name]
	if !ok || known.target != h.Target {
		change, _ := s.LastChange("allotments")
		if r.Confirmed >= change.GetRevision() {
			a.known[name] = knownTarget{
				target: h.Target,
				since:  now,
			}
		}
		return false
	}
	return r.At.Sub(known.since) >= confirmDelay
}

// droppedTeams returns the teams that have allotments and no contract.
func droppedTeams(s controller.State) []string {
	var names []string
	for _, present := range s.Allotments() {
		name := present.GetTeam()
		_, ok := s.Team(name)
		if !ok && vectorOf(present.GetAmount()) != (allotter.Vector{}) && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// teamUse returns what a report says of a team, or nil.
func teamUse(r planner.Report, team string) *wire.TeamUse {
	for _, use := range r.Use.GetTeams() {
		if use.GetTeam() == team {
			return use
		}
	}
	return nil
}

func vectorOf(r *wire.Resources) allotter.Vector {
	return allotter.Vector{
		MilliCores:   r.GetMilliCores(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
	}
}

func wireOf(v allotter.Vector) *wire.Resources {
	return &wire.Resources{
		MilliCores:   v.MilliCores,
		MemoryBytes:  v.MemoryBytes,
		Accelerators: v.Accelerators,
	}
}
