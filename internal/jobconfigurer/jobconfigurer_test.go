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

// The configuration of jobs must be valid and hold the queues of jobs only, or
// no job could be accepted.
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

// keeper applies changes at once, as a conductor that leads does.
type keeper struct {
	inForce *jobwire.Configuration
	out     map[string]bool
	changes int
}

func (k *keeper) Control(_ context.Context, req *jobwire.ControlRequest) *jobwire.ControlResponse {
	k.changes++
	switch call := req.GetCall().(type) {
	case *jobwire.ControlRequest_Configure:
		k.inForce = proto.CloneOf(call.Configure)
	case *jobwire.ControlRequest_Evacuate:
		k.out[call.Evacuate.GetDataCentre()] = !call.Evacuate.GetFinish()
	}
	return &jobwire.ControlResponse{
		Outcome: jobwire.Outcome_OUTCOME_OK,
	}
}

// A change of the control state must reach the jobs once, and a state that has
// not changed must write nothing to the log.
func TestConfigurerFollowsState(t *testing.T) {
	is := is.New(t)
	k := &keeper{
		out: make(map[string]bool),
	}
	current, known := state(), false
	clock := timer.NewFake(time.Unix(1000, 0))
	c := jobconfigurer.New(jobconfigurer.Options{
		State: func() (controller.State, bool) { return current, known },
		InForce: func() (*jobwire.Configuration, func(string) bool) {
			return k.inForce, func(name string) bool { return k.out[name] }
		},
		Control: k,
		Clock:   clock,
		Logger:  slog.New(slog.DiscardHandler),
	})
	// compare runs one comparison: a context that has ended stops the next one.
	compare := func() {
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
	compare()
	is.Equal(k.changes, 0)
	known = true
	compare()
	is.Equal(k.changes, 1)
	is.Equal(k.inForce.GetVersion(), uint64(1))
	compare()
	is.Equal(k.changes, 1)
	current = current.WithDataCentre(&wire.DataCentre{
		Name:  "lima-1",
		State: wire.ServiceState_SERVICE_STATE_OUT,
	})
	compare()
	is.Equal(k.changes, 2)
	is.True(k.out["lima-1"])
	current = current.WithPool(&wire.Pool{
		Name: "settle",
	})
	compare()
	is.Equal(k.inForce.GetVersion(), uint64(2))
}
