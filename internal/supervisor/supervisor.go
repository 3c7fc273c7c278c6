// Package supervisor implements the control loop of the leader. In each round it
// compares the control state with what is known of the fleet and proposes
// changes: it maintains the view of entry hosts, assigns schedulers, and
// proposes the commands of its deciders.
package supervisor

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// RoundInterval is the time between two rounds.
	RoundInterval = 200 * time.Millisecond

	// proposeTimeout bounds one proposal. A change whose outcome is unknown and
	// that was committed shows in the state of the next round.
	proposeTimeout = 2 * time.Second
)

// Control is the replicated control state on this host.
type Control interface {
	// State returns the latest applied state.
	State() controller.State
	// Leader returns the leader's name and whether this host is the leader.
	Leader() (name string, self bool)
	// Followers returns the status of the entry hosts that the leader knows.
	Followers() []voter.FollowerStatus
	// Propose commits a command to the replicated log and returns its result.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// Decider decides on changes of the control state. Its methods are called on the
// leader, never concurrently, and must not retain their arguments.
type Decider interface {
	// Reset is called at the start of each term of this host as the leader.
	Reset()
	// Decide is called once in each round. It returns the commands to propose,
	// without operation IDs.
	Decide(now time.Time, s controller.State, followers []voter.FollowerStatus) []*wire.Command
}

// Options configures a Supervisor.
type Options struct {
	// Control gives access to the control state.
	Control Control
	// Clock provides the time for rounds and timeouts.
	Clock timer.Clock
	// Logger receives a warning for each proposal that failed or was not
	// accepted.
	Logger *slog.Logger
	// Bootstrap is the initial content of an empty control state; nil leaves it
	// empty.
	Bootstrap *wire.Snapshot
	// Deciders are called in order, after the view and the schedulers were
	// updated.
	Deciders []Decider
}

// Supervisor runs the control loop of the leader. It is created by New.
type Supervisor struct {
	opts Options
	// termStart is when this host became leader; zero while it is not.
	termStart time.Time
}

// New returns a supervisor. Run starts it.
func New(opts Options) *Supervisor {
	return &Supervisor{
		opts: opts,
	}
}

// Run calls Round, with a pause of RoundInterval between calls, until ctx ends.
func (s *Supervisor) Run(ctx context.Context) {
	for {
		s.Round(ctx)
		t := s.opts.Clock.NewTimer(RoundInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C():
		}
	}
}

// Round proposes the changes that the current state needs. It does nothing on a
// host that is not the leader.
func (s *Supervisor) Round(ctx context.Context) {
	if _, self := s.opts.Control.Leader(); !self {
		s.termStart = time.Time{}
		return
	}
	now := s.opts.Clock.Now()
	if s.termStart.IsZero() {
		s.termStart = now
		for _, d := range s.opts.Deciders {
			d.Reset()
		}
	}
	state := s.opts.Control.State()
	if state.Revision() == 0 && s.opts.Bootstrap != nil {
		s.propose(ctx, bootstrapCommand(s.opts.Bootstrap))
		return
	}
	followers := s.opts.Control.Followers()
	if view := nextView(now, s.termStart, state, followers); view != nil {
		s.propose(ctx, &wire.Command{
			Change: &wire.Command_SetView{
				SetView: &wire.SetView{
					View: view,
				},
			},
		})
	}
	for _, change := range schedulerChanges(s.opts.Control.State()) {
		s.propose(ctx, &wire.Command{
			Change: &wire.Command_AssignScheduler{
				AssignScheduler: change,
			},
		})
	}
	for _, d := range s.opts.Deciders {
		for _, cmd := range d.Decide(now, s.opts.Control.State(), followers) {
			s.propose(ctx, cmd)
		}
	}
}

func (s *Supervisor) propose(ctx context.Context, cmd *wire.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if cmd.GetOperationId() == "" {
		cmd.OperationId = uuid.NewString()
	}
	cmd.Actor = "supervisor"
	result, err := s.opts.Control.Propose(ctx, cmd)
	if err != nil {
		s.opts.Logger.Warn("supervisor: proposal failed; the next round decides again", "error", err)
		return
	}
	if result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
		s.opts.Logger.Warn("supervisor: proposal was not accepted; the next round decides again", "reason", result.GetReason())
	}
}

// bootstrapCommand returns a command with a fixed operation ID, so that the state
// is initialised only once if several leaders in turn propose it.
func bootstrapCommand(snap *wire.Snapshot) *wire.Command {
	return &wire.Command{
		OperationId: "bootstrap",
		Change: &wire.Command_Bootstrap{
			Bootstrap: &wire.Bootstrap{
				Snapshot: snap,
			},
		},
	}
}
