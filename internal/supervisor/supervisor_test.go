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

// fakeControl is a Control that applies proposals at once and never fails.
type fakeControl struct {
	clock     *timer.Fake
	state     controller.State
	leading   bool
	followers map[string]voter.FollowerStatus
	// formerIncarnations is the status of older incarnations that the leader
	// still knows.
	formerIncarnations []voter.FollowerStatus
	// proposals counts the calls of Propose.
	proposals int
}

func (c *fakeControl) State() controller.State { return c.state }

func (c *fakeControl) Leader() (string, bool) { return "a", c.leading }

func (c *fakeControl) Followers() []voter.FollowerStatus {
	list := append([]voter.FollowerStatus(nil), c.formerIncarnations...)
	for _, f := range c.followers {
		list = append(list, f)
	}
	return list
}

func (c *fakeControl) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	c.proposals++
	var result *wire.Result
	c.state, result = controller.Apply(c.state, cmd)
	return result, nil
}

// recordFollow records a follow call of an entry host that has applied the
// latest revision.
func (c *fakeControl) recordFollow(name, dataCentre, incarnation string, report *wire.SchedulerReport) {
	c.followers[name] = voter.FollowerStatus{
		Member: &wire.Member{
			Name:        name,
			DataCentre:  dataCentre,
			Incarnation: incarnation,
		},
		LastContact: c.clock.Now(),
		Confirmed:   c.state.Revision(),
		LeaseEnd:    c.clock.Now().Add(follower.InForceBound),
		Report:      report,
	}
}

// fixture is a supervisor on the leader of three entry hosts in two data centres.
type fixture struct {
	*fakeControl
	supervisor *supervisor.Supervisor
}

// newFixture returns a fixture in which all entry hosts have sent a follow call.
func newFixture() *fixture {
	s := newEmptyFixture()
	s.recordFollows("")
	s.supervisor.Round(context.Background())
	return s
}

// newEmptyFixture returns a fixture in which no entry host has sent a follow
// call.
func newEmptyFixture() *fixture {
	clock := timer.NewFake(time.Unix(1000, 0))
	c := &fakeControl{
		clock:     clock,
		leading:   true,
		followers: make(map[string]voter.FollowerStatus),
	}
	s := &fixture{
		fakeControl: c,
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
				supervisor.NewAllotmentDecider(),
			},
		}),
	}
	s.supervisor.Round(context.Background())
	return s
}

// recordFollows records a follow call of all entry hosts except the one named.
func (s *fixture) recordFollows(except string) {
	for name, dataCentre := range map[string]string{
		"a": "lima",
		"b": "lima",
		"c": "callao",
	} {
		if name != except {
			s.recordFollow(name, dataCentre, name+"-1", s.report(name, dataCentre, 0))
		}
	}
}

func (s *fixture) report(name, dataCentre string, milliCores int64) *wire.SchedulerReport {
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

// advance runs rounds for the duration d of the fake clock. In each round all
// entry hosts except the one named send a follow call.
func (s *fixture) advance(d time.Duration, except string) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		s.clock.Advance(supervisor.RoundInterval)
		s.recordFollows(except)
		s.supervisor.Round(context.Background())
	}
}

func (s *fixture) members() []string {
	var names []string
	for _, m := range s.state.View().GetMembers() {
		names = append(names, m.GetName())
	}
	return names
}

func (s *fixture) scheduler(dataCentre string) (string, uint64) {
	d, _ := s.state.DataCentre(dataCentre)
	return d.GetScheduler(), d.GetSchedulerEpoch()
}

// An entry host that is lost must be removed from the view, and its scheduler
// must be replaced under a higher epoch, but not before its authority lease has
// ended.
func TestLostEntryHost(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	is.Equal(s.members(), []string{"a", "b", "c"})
	name, epoch := s.scheduler("lima")
	is.Equal(name, "a")
	s.advance(supervisor.EntryHostTimeout-supervisor.RoundInterval, "a")
	is.Equal(s.members(), []string{"a", "b", "c"})
	s.advance(time.Second, "a")
	is.Equal(s.members(), []string{"b", "c"})
	name, next := s.scheduler("lima")
	is.Equal(name, "b")
	is.True(next > epoch)
}

// A restarted entry host has lost its state in memory, so its new incarnation
// must replace the old one although the name is the same.
func TestRestartedEntryHost(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	epoch := s.state.View().GetEpoch()
	s.formerIncarnations = append(s.formerIncarnations, s.followers["b"])
	s.recordFollow("b", "lima", "b-2", nil)
	s.supervisor.Round(context.Background())
	is.Equal(s.state.View().GetEpoch(), epoch+1)
	is.Equal(s.state.View().GetMembers()[1].GetIncarnation(), "b-2")
}

// An entry host that announces its shutdown must be removed from the view at
// once, so that its keys and tasks are handed over while it still responds.
func TestLeavingEntryHost(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.recordFollow("a", "lima", "a-1", nil)
	s.followers["a"].Member.Leaving = true
	s.supervisor.Round(context.Background())
	is.Equal(s.members(), []string{"b", "c"})
	name, _ := s.scheduler("lima")
	is.Equal(name, "b")
}

// A new leader, which no entry host has contacted yet, must not empty the view.
func TestNewLeaderKeepsView(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.leading = false
	s.supervisor.Round(context.Background())
	s.followers = make(map[string]voter.FollowerStatus)
	s.leading = true
	s.clock.Advance(supervisor.RoundInterval)
	s.supervisor.Round(context.Background())
	is.Equal(len(s.members()), 3)
	s.advance(supervisor.EntryHostTimeout+supervisor.RoundInterval, "c")
	is.Equal(s.members(), []string{"a", "b"})
}

// A data centre whose only entry host is lost must be assigned an idle entry host
// of another data centre, not the one that schedules that data centre.
func TestDataCentreWithoutEntryHost(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.advance(supervisor.EntryHostTimeout+time.Second, "c")
	lima, _ := s.scheduler("lima")
	callao, _ := s.scheduler("callao")
	is.Equal(lima, "a")
	is.Equal(callao, "b")
	// When its own entry host is back, it must be the scheduler again, because a
	// partition can't cut it off from its data centre.
	s.advance(time.Second, "")
	callao, _ = s.scheduler("callao")
	is.Equal(callao, "c")
}

// The only entry host of a data centre must not be assigned to another data
// centre that comes first in the list.
func TestOnlyEntryHostIsNotReassigned(t *testing.T) {
	is := is.New(t)
	s := newEmptyFixture()
	s.recordFollow("a", "lima", "a-1", nil)
	s.supervisor.Round(context.Background())
	lima, _ := s.scheduler("lima")
	callao, _ := s.scheduler("callao")
	is.Equal(lima, "a")
	is.Equal(callao, "")
}

func (s *fixture) allotment(dataCentre string) int64 {
	a, _ := s.state.Allotment("markets", dataCentre)
	return a.GetAmount().GetMilliCores()
}

// upper-limit: the allotment of a data centre without reports must stay until no
// task can be running there, and must then be given to the others.
func TestAllotmentOfSilentDataCentre(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.advance(3*time.Second, "")
	is.Equal(s.allotment("lima"), int64(500))
	is.Equal(s.allotment("callao"), int64(500))
	s.advance(10*time.Minute, "c")
	is.Equal(s.allotment("callao"), int64(500))
	s.advance(time.Minute, "c")
	is.Equal(s.allotment("callao"), int64(0))
	is.Equal(s.allotment("lima"), int64(1000))
}

// If demand does not change, proposals must cease, because each is a log entry.
func TestSteadyFleetProposesNothing(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.advance(10*time.Second, "")
	before := s.proposals
	s.advance(time.Minute, "")
	is.Equal(s.proposals, before)
}
