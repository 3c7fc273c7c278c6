package jobconfigurer_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobconfigurer"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// state returns a control state with one data centre, two pools, a request queue, a
// job queue and a team.
func state() controller.State {
	return controller.State{}.
		WithDataCentre(&wire.DataCentre{
			Name:  "lima-1",
			State: wire.ServiceState_SERVICE_STATE_IN,
		}).
		WithPool(&wire.Pool{
			Name: "redeem",
		}).
		WithPool(&wire.Pool{
			Name:  "spare",
			Spare: true,
		}).
		WithQueue(&wire.Queue{
			Name: "redeem",
			Kind: wire.QueueKind_QUEUE_KIND_REQUESTS,
			Pool: "redeem",
		}).
		WithQueue(&wire.Queue{
			Name: "redeem-jobs",
			Kind: wire.QueueKind_QUEUE_KIND_JOBS,
			Pool: "redeem",
		}).
		WithContract(&wire.Contract{
			Customer: "bottler",
			Teams: []*wire.Team{
				{
					Name:  "ledger",
					Share: 3,
					Limit: &wire.Resources{
						MilliCores: 8000,
					},
				},
			},
		})
}

// The job configuration must be valid and hold only job queues; otherwise no job
// would be accepted.
func TestTranslate(t *testing.T) {
	is := is.New(t)
	cfg := jobconfigurer.Translate(state())
	is.NoErr(jobkeeper.Check(cfg))
	is.Equal(len(cfg.GetPools()), 2)
	is.Equal(len(cfg.GetQueues()), 1)
	is.Equal(cfg.GetQueues()[0].GetName(), "redeem-jobs")
	is.Equal(cfg.GetQueues()[0].GetPool(), "redeem")
	is.Equal(cfg.GetAccounts()[0].GetName(), "ledger")
	is.Equal(cfg.GetAccounts()[0].GetCeiling().GetMilliCores(), int64(8000))
}

// fakeController applies changes at once, as the job controller of a leader does.
type fakeController struct {
	inForce      *jobwire.Configuration
	outOfService map[string]bool
	changes      int
}

func (c *fakeController) Control(_ context.Context, req *jobwire.ControlRequest) *jobwire.ControlResponse {
	c.changes++
	switch call := req.GetCall().(type) {
	case *jobwire.ControlRequest_Configure:
		c.inForce = proto.CloneOf(call.Configure)
	case *jobwire.ControlRequest_Evacuate:
		c.outOfService[call.Evacuate.GetDataCentre()] = !call.Evacuate.GetFinish()
	}
	return &jobwire.ControlResponse{
		Outcome: jobwire.Outcome_OUTCOME_OK,
	}
}

// A change of the control state must be submitted exactly once, and an unchanged
// state must cause no write to the replicated log.
func TestConfigurerFollowsState(t *testing.T) {
	is := is.New(t)
	jobController := &fakeController{
		outOfService: make(map[string]bool),
	}
	current, known := state(), false
	clock := timer.NewFake(time.Unix(1000, 0))
	c := jobconfigurer.New(jobconfigurer.Options{
		State: func() (controller.State, bool) { return current, known },
		InForce: func() (*jobwire.Configuration, func(string) bool) {
			return jobController.inForce, func(name string) bool { return jobController.outOfService[name] }
		},
		Control: jobController,
		Clock:   clock,
		Logger:  slog.New(slog.DiscardHandler),
	})
	// reconcile runs one reconciliation: the context is cancelled before the next.
	reconcile := func() {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.Run(ctx)
		}()
		time.Sleep(20 * time.Millisecond)
		cancel()
		<-done
	}
	reconcile()
	is.Equal(jobController.changes, 0)
	known = true
	reconcile()
	is.Equal(jobController.changes, 1)
	is.Equal(jobController.inForce.GetVersion(), uint64(1))
	reconcile()
	is.Equal(jobController.changes, 1)
	current = current.WithDataCentre(&wire.DataCentre{
		Name:  "lima-1",
		State: wire.ServiceState_SERVICE_STATE_OUT,
	})
	reconcile()
	is.Equal(jobController.changes, 2)
	is.True(jobController.outOfService["lima-1"])
	current = current.WithPool(&wire.Pool{
		Name: "settle",
	})
	reconcile()
	is.Equal(jobController.inForce.GetVersion(), uint64(2))
}
