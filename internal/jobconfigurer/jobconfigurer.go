// Package jobconfigurer keeps the configuration of jobs in step with the
// control state: its pools, its queues of jobs, and the limits of its teams.
package jobconfigurer

import (
	"context"
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// interval is the time between two comparisons.
	interval = 500 * time.Millisecond
	// changeTimeout bounds the writing of a change.
	changeTimeout = 2 * time.Second

	// attempts is the number of failed runs after which a task fails for good.
	attempts = 3
	// stretch is how many times the time of its longest chain of steps a job may
	// take, beside target.
	stretch = 2
	target  = time.Second
	// submitTimeout bounds the acceptance of a job.
	submitTimeout = 2 * time.Second
	// host is the name under which all queues of jobs are kept.
	host = "jobs"
)

// Translate returns the configuration of jobs that a control state asks for,
// with version 0. Queues are public, since entry hosts check keys and scopes
// before they pass a job on.
func Translate(state controller.State) *jobwire.Configuration {
	cfg := &jobwire.Configuration{}
	for _, p := range state.Pools() {
		cfg.Pools = append(cfg.Pools, &jobwire.Pool{
			Name:    p.GetName(),
			Guards:  true,
			Standby: p.GetSpare(),
		})
	}
	for _, q := range state.Queues() {
		if q.GetKind() != wire.QueueKind_QUEUE_KIND_JOBS {
			continue
		}
		cfg.Queues = append(cfg.Queues, &jobwire.Queue{
			Name:         q.GetName(),
			Host:         host,
			Prefix:       "/" + q.GetName() + "/",
			Pool:         q.GetPool(),
			Attempts:     attempts,
			Stretch:      stretch,
			TargetNanos:  int64(target),
			TimeoutNanos: int64(submitTimeout),
			Public:       true,
		})
	}
	for _, t := range state.Teams() {
		cfg.Accounts = append(cfg.Accounts, &jobwire.Account{
			Name:    t.Team.GetName(),
			Weight:  t.Team.GetShare(),
			Ceiling: t.Team.GetLimit(),
		})
	}
	return cfg
}

// Control takes calls of operators, as a conductor does.
type Control interface {
	Control(ctx context.Context, req *jobwire.ControlRequest) *jobwire.ControlResponse
}

// Options set up a Configurer. All fields are needed.
type Options struct {
	// State returns the control state; false while it is not known to be new.
	State func() (controller.State, bool)
	// InForce returns the configuration of jobs that is in force, nil when there
	// is none, and whether a data centre is out of service for jobs.
	InForce func() (cfg *jobwire.Configuration, out func(dataCentre string) bool)
	// Control takes the changes; it answers elsewhere while this host does not
	// lead.
	Control Control
	Clock   timer.Clock
	Logger  *slog.Logger
}

// Configurer compares and changes the configuration on the leader. Make one
// with New.
type Configurer struct {
	opts Options
}

// New returns a configurer that does nothing until Run.
func New(opts Options) *Configurer {
	return &Configurer{
		opts: opts,
	}
}

// Run compares until ctx ends. It may run on all voters: only the leader takes
// a change, and one with an old version changes nothing.
func (c *Configurer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.compare(ctx)
		t := c.opts.Clock.NewTimer(interval)
		select {
		case <-t.C():
		case <-ctx.Done():
			t.Stop()
		}
	}
}

func (c *Configurer) compare(ctx context.Context) {
	state, ok := c.opts.State()
	if !ok || len(state.Pools()) == 0 {
		return
	}
	inForce, out := c.opts.InForce()
	wanted := Translate(state)
	wanted.Version = inForce.GetVersion()
	if inForce == nil || !proto.Equal(inForce, wanted) {
		wanted.Version++
		c.change(ctx, &jobwire.ControlRequest{
			Call: &jobwire.ControlRequest_Configure{
				Configure: wanted,
			},
		})
	}
	for _, d := range state.DataCentres() {
		isOut := d.GetState() == wire.ServiceState_SERVICE_STATE_OUT
		if isOut != out(d.GetName()) {
			c.change(ctx, &jobwire.ControlRequest{
				Call: &jobwire.ControlRequest_Evacuate{
					Evacuate: &jobwire.Evacuation{
						DataCentre: d.GetName(),
						Finish:     !isOut,
					},
				},
			})
		}
	}
}

// change sends a change. One that fails is sent again after the next comparison.
func (c *Configurer) change(ctx context.Context, req *jobwire.ControlRequest) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if resp := c.opts.Control.Control(ctx, req); resp.GetOutcome() == jobwire.Outcome_OUTCOME_INVALID {
		c.opts.Logger.Error("jobconfigurer: configuration of jobs was refused", "reason", resp.GetReason())
	}
}
