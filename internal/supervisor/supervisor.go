// Package supervisor keeps the control state in step with the fleet. It runs
// on the leader: it maintains the view of entry hosts, assigns schedulers,
// and proposes what its deciders ask for.
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
	// Interval is the time between two rounds.
	Interval = 200 * time.Millisecond

	// proposeTimeout bounds one proposal; an unknown outcome is seen in the
	// state of the next round.
	proposeTimeout = 2 * time.Second
)

// Control is the replicated control state on this host.
type Control interface {
	// State returns the newest applied state.
	State() controller.State
	// Leader returns the leader's name and whether this host leads.
	Leader() (name string, self bool)
	// Followers returns what the leader knows of the entry hosts.
	Followers() []voter.FollowerStatus
	// Propose runs a command through the log.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// Decider returns commands for the present state. It is called on the leader
// once a round, with no concurrent calls, and must not keep what it is given.
type Decider interface {
	// Reset is called at the start of each term of this host as the leader.
	Reset()
	// Decide returns commands without operation IDs.
	Decide(now time.Time, s controller.State, followers []voter.FollowerStatus) []*wire.Command
}

// Options sets up a Supervisor.
type Options struct {
	// Control is the control state.
	Control Control
	// Clock times rounds and silence.
	Clock timer.Clock
	// Logger takes what was proposed in vain.
	Logger *slog.Logger
	// Bootstrap fills an empty control state; nil leaves it empty.
	Bootstrap *wire.Snapshot
	// Deciders are asked in order, after view and schedulers are in place.
	Deciders []Decider
}

// Supervisor runs the rounds of the leader. Make one with New.
type Supervisor struct {
	opts Options
	// since is the start of this host's present term as the leader; zero when it does not lead.
	since time.Time
}

// New returns a supervisor; Run starts it.
func New(opts Options) *Supervisor {
	return &Supervisor{
		opts: opts,
	}
}

// Run makes a round every Interval until ctx ends.
func (s *Supervisor) Run(ctx context.Context) {
	for {
		s.Round(ctx)
		t := s.opts.Clock.NewTimer(Interval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C():
		}
	}
}

// Round proposes what the present state needs. It does nothing on a host that
// does not lead.
func (s *Supervisor) Round(ctx context.Context) {
	if _, self := s.opts.Control.Leader(); !self {
		s.since = time.Time{}
		return
	}
	now := s.opts.Clock.Now()
	if s.since.IsZero() {
		s.since = now
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
	if view := nextView(now, s.since, state, followers); view != nil {
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
		s.opts.Logger.Warn("supervisor: proposal failed", "error", err)
		return
	}
	if result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
		s.opts.Logger.Warn("supervisor: proposal was not accepted", "reason", result.GetReason())
	}
}

// bootstrapCommand has a fixed operation ID, so that leaders that race for the
// first change fill the state once.
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
