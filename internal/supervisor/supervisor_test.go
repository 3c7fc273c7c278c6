package supervisor_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/supervisor"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// control applies proposals at once, like a log without failures.
type control struct {
	clock     *timer.Fake
	state     controller.State
	leads     bool
	followers map[string]voter.FollowerStatus
	// former are older incarnations that are still remembered.
	former   []voter.FollowerStatus
	proposed int
}

func (c *control) State() controller.State { return c.state }

func (c *control) Leader() (string, bool) { return "a", c.leads }

func (c *control) Followers() []voter.FollowerStatus {
	list := append([]voter.FollowerStatus(nil), c.former...)
	for _, f := range c.followers {
		list = append(list, f)
	}
	return list
}

func (c *control) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	c.proposed++
	var result *wire.Result
	c.state, result = controller.Apply(c.state, cmd)
	return result, nil
}

// hear records a follow call of an entry host that has applied everything.
func (c *control) hear(name, dataCentre, incarnation string, report *wire.SchedulerReport) {
	c.followers[name] = voter.FollowerStatus{
		Member: &wire.Member{
			Name:        name,
			DataCentre:  dataCentre,
			Incarnation: incarnation,
		},
		LastContact: c.clock.Now(),
		Confirmed:   c.state.Revision(),
		LeaseEnd:    c.clock.Now().Add(follower.ForceBound),
		Report:      report,
	}
}

// scene is a leader with three entry hosts in two data centres.
type scene struct {
	*control
	supervisor *supervisor.Supervisor
}

// newScene returns a fleet whose hosts have all been heard.
func newScene() *scene {
	s := newEmptyScene()
	s.hearAll("")
	s.supervisor.Round(context.Background())
	return s
}

func newEmptyScene() *scene {
	clock := timer.NewFake(time.Unix(1000, 0))
	c := &control{
		clock:     clock,
		leads:     true,
		followers: make(map[string]voter.FollowerStatus),
	}
	s := &scene{
		control: c,
		supervisor: supervisor.New(supervisor.Options{
			Control: c,
			Clock:   clock,
			Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
			Bootstrap: &wire.Snapshot{
				DataCentres: []*wire.DataCentre{
					{
						Name: "lima",
					},
					{
						Name: "callao",
					},
				},
				Contracts: []*wire.Contract{
					{
						Customer: "qhapaq",
						Teams: []*wire.Team{
							{
								Name:  "markets",
								Share: 1,
								Limit: &wire.Resources{
									MilliCores: 1000,
								},
							},
						},
					},
				},
			},
			Deciders: []supervisor.Decider{
				supervisor.NewAllotments(),
			},
		}),
	}
	s.supervisor.Round(context.Background())
	return s
}

// hearAll lets all hosts call except the one named.
func (s *scene) hearAll(except string) {
	for name, dataCentre := range map[string]string{
		"a": "lima",
		"b": "lima",
		"c": "callao",
	} {
		if name != except {
			s.hear(name, dataCentre, name+"-1", s.report(name, dataCentre, 0))
		}
	}
}

func (s *scene) report(name, dataCentre string, milliCores int64) *wire.SchedulerReport {
	d, _ := s.state.DataCentre(dataCentre)
	if d.GetScheduler() != name {
		return nil
	}
	return &wire.SchedulerReport{
		DataCentre: dataCentre,
		Epoch:      d.GetSchedulerEpoch(),
		Teams: []*wire.TeamUse{
			{
				Team: "markets",
				Running: &wire.Resources{
					MilliCores: milliCores,
				},
			},
		},
	}
}

// pass advances the clock in steps of one round; all hosts but one are heard.
func (s *scene) pass(d time.Duration, except string) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		s.clock.Advance(supervisor.Interval)
		s.hearAll(except)
		s.supervisor.Round(context.Background())
	}
}

func (s *scene) members() []string {
	var names []string
	for _, m := range s.state.View().GetMembers() {
		names = append(names, m.GetName())
	}
	return names
}

func (s *scene) scheduler(dataCentre string) (string, uint64) {
	d, _ := s.state.DataCentre(dataCentre)
	return d.GetScheduler(), d.GetSchedulerEpoch()
}

// A lost entry host must leave the view and its scheduler must be replaced
// under a higher epoch, but not before its authority lease has ended.
func TestLostEntryHost(t *testing.T) {
	is := is.New(t)
	s := newScene()
	is.Equal(s.members(), []string{"a", "b", "c"})
	name, epoch := s.scheduler("lima")
	is.Equal(name, "a")
	s.pass(supervisor.LossLimit-supervisor.Interval, "a")
	is.Equal(s.members(), []string{"a", "b", "c"})
	s.pass(time.Second, "a")
	is.Equal(s.members(), []string{"b", "c"})
	name, next := s.scheduler("lima")
	is.Equal(name, "b")
	is.True(next > epoch)
}

// A restarted entry host has lost its memory, so its new incarnation must
// replace the old one even though the name stays.
func TestRestartedEntryHost(t *testing.T) {
	is := is.New(t)
	s := newScene()
	epoch := s.state.View().GetEpoch()
	s.former = append(s.former, s.followers["b"])
	s.hear("b", "lima", "b-2", nil)
	s.supervisor.Round(context.Background())
	is.Equal(s.state.View().GetEpoch(), epoch+1)
	is.Equal(s.state.View().GetMembers()[1].GetIncarnation(), "b-2")
}

// A host that stops as planned must leave the view at once, so that its keys
// and tasks are handed over while it still answers.
func TestLeavingEntryHost(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.hear("a", "lima", "a-1", nil)
	s.followers["a"].Member.Leaving = true
	s.supervisor.Round(context.Background())
	is.Equal(s.members(), []string{"b", "c"})
	name, _ := s.scheduler("lima")
	is.Equal(name, "b")
}

// A new leader has heard nobody yet and must not empty the view.
func TestNewLeaderKeepsView(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.leads = false
	s.supervisor.Round(context.Background())
	s.followers = make(map[string]voter.FollowerStatus)
	s.leads = true
	s.clock.Advance(supervisor.Interval)
	s.supervisor.Round(context.Background())
	is.Equal(len(s.members()), 3)
	s.pass(supervisor.LossLimit+supervisor.Interval, "c")
	is.Equal(s.members(), []string{"a", "b"})
}

// A data centre whose only entry host is lost must not take the scheduler of
// another data centre away.
func TestDataCentreWithoutEntryHost(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.pass(supervisor.LossLimit+time.Second, "c")
	lima, _ := s.scheduler("lima")
	callao, _ := s.scheduler("callao")
	is.Equal(lima, "a")
	is.Equal(callao, "b")
	// It gets its own scheduler back, which a partition can't take from it.
	s.pass(time.Second, "")
	callao, _ = s.scheduler("callao")
	is.Equal(callao, "c")
}

// The only entry host of a data centre must not be lent to another one that
// is looked at first.
func TestOnlyEntryHostStaysAtHome(t *testing.T) {
	is := is.New(t)
	s := newEmptyScene()
	s.hear("a", "lima", "a-1", nil)
	s.supervisor.Round(context.Background())
	lima, _ := s.scheduler("lima")
	callao, _ := s.scheduler("callao")
	is.Equal(lima, "a")
	is.Equal(callao, "")
}

func (s *scene) allotment(dataCentre string) int64 {
	a, _ := s.state.Allotment("markets", dataCentre)
	return a.GetAmount().GetMilliCores()
}

// upper-limit: the allotment of a data centre that is not heard from must stay
// until nothing can be running there, and must then be given to the others.
func TestAllotmentOfSilentDataCentre(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.pass(3*time.Second, "")
	is.Equal(s.allotment("lima"), int64(500))
	is.Equal(s.allotment("callao"), int64(500))
	s.pass(10*time.Minute, "c")
	is.Equal(s.allotment("callao"), int64(500))
	s.pass(time.Minute, "c")
	is.Equal(s.allotment("callao"), int64(0))
	is.Equal(s.allotment("lima"), int64(1000))
}

// Demand that does not change must not write to the log for ever.
func TestSteadyFleetProposesNothing(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.pass(10*time.Second, "")
	before := s.proposed
	s.pass(time.Minute, "")
	is.Equal(s.proposed, before)
}
