// Package jobconfigurer derives the job configuration (pools, job queues and team
// limits) and the service state of data centres from the control state, and submits
// what differs to the leader.
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
	// reconcileInterval is the time between two comparisons with the control state.
	reconcileInterval = 500 * time.Millisecond
	// changeTimeout limits the submission of one change.
	changeTimeout = 2 * time.Second

	// maxAttempts is the number of failed runs after which a task fails permanently.
	maxAttempts = 3
	// A job is in time if it ends within targetStretch times the duration of its
	// critical path plus targetTime.
	targetStretch = 2
	targetTime    = time.Second
	// submitTimeout limits the time until a job is accepted.
	submitTimeout = 2 * time.Second
	// queueHost is the host name of the address of every job queue.
	queueHost = "jobs"
)

// Translate returns the job configuration for a control state, with version 0. Its
// queues are public, since entry hosts check keys and scopes before they forward a
// job.
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
			Host:         queueHost,
			Prefix:       "/" + q.GetName() + "/",
			Pool:         q.GetPool(),
			Attempts:     maxAttempts,
			Stretch:      targetStretch,
			TargetNanos:  int64(targetTime),
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

// Control handles calls of operators; *jobcontroller.Controller implements it.
type Control interface {
	Control(ctx context.Context, req *jobwire.ControlRequest) *jobwire.ControlResponse
}

// Options set up a Configurer. All fields are required.
type Options struct {
	// State returns the control state, and false while it may be outdated.
	State func() (controller.State, bool)
	// InForce returns the current job configuration, nil if there is none, and a
	// function that reports whether a data centre is out of service for jobs.
	InForce func() (cfg *jobwire.Configuration, out func(dataCentre string) bool)
	// Control receives the changes. It rejects them while this host does not lead.
	Control Control
	Clock   timer.Clock
	Logger  *slog.Logger
}

// Configurer brings the job configuration in line with the control state. Create
// one with New.
type Configurer struct {
	opts Options
}

// New returns a configurer that does nothing until Run is called.
func New(opts Options) *Configurer {
	return &Configurer{
		opts: opts,
	}
}

// Run reconciles at intervals until ctx ends. It may run on all voters: only the
// leader accepts a change, and a change with an old version has no effect.
func (c *Configurer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.reconcile(ctx)
		t := c.opts.Clock.NewTimer(reconcileInterval)
		select {
		case <-t.C():
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// reconcile submits what differs from the control state. It does nothing while the
// state is outdated or has no pools.
func (c *Configurer) reconcile(ctx context.Context) {
	state, ok := c.opts.State()
	if !ok || len(state.Pools()) == 0 {
		return
	}
	inForce, outOfService := c.opts.InForce()
	desired := Translate(state)
	desired.Version = inForce.GetVersion()
	if inForce == nil || !proto.Equal(inForce, desired) {
		desired.Version++
		c.submitChange(ctx, &jobwire.ControlRequest{
			Call: &jobwire.ControlRequest_Configure{
				Configure: desired,
			},
		})
	}
	for _, d := range state.DataCentres() {
		isOut := d.GetState() == wire.ServiceState_SERVICE_STATE_OUT
		if isOut != outOfService(d.GetName()) {
			c.submitChange(ctx, &jobwire.ControlRequest{
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

// submitChange submits one change. If it fails, the next reconciliation submits it
// again.
func (c *Configurer) submitChange(ctx context.Context, req *jobwire.ControlRequest) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if resp := c.opts.Control.Control(ctx, req); resp.GetOutcome() == jobwire.Outcome_OUTCOME_INVALID {
		c.opts.Logger.Error("jobconfigurer: leader refused a change of the job configuration; it is submitted again", "reason", resp.GetReason())
	}
}
