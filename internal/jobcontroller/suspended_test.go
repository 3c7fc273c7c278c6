package jobcontroller_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/jobcontroller"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/ordersender"
	"github.com/heathermux/heathermux/pkg/timer"
)

// standbyProvider is a provider with one host in the standby pool. It counts
// moves.
type standbyProvider struct {
	emptyProvider

	mu    sync.Mutex
	moves int
}

func (r *standbyProvider) Hosts(context.Context) ([]jobscheduler.Host, error) {
	return []jobscheduler.Host{
		{
			Name:  "host",
			Pool:  "off",
			State: jobscheduler.HostUp,
		},
	}, nil
}

func (r *standbyProvider) Move(context.Context, uint64, jobscheduler.MoveHost) jobscheduler.HostAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moves++
	return jobscheduler.HostOrderDone
}

func (r *standbyProvider) moveCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moves
}

// messageHandler is a log handler that passes each message to a function.
type messageHandler struct {
	slog.Handler

	onMessage func(message string)
}

func (l messageHandler) Enabled(context.Context, slog.Level) bool { return true }

func (l messageHandler) Handle(_ context.Context, r slog.Record) error {
	l.onMessage(r.Message)
	return nil
}

// A leader that is suspended between a decision and the order must not send the
// order when it resumes: the next leader may be sending orders by then, and the
// provider may not check fencing tokens.
func TestSuspendedLeaderMovesNoHost(t *testing.T) {
	cases := map[string]struct {
		suspended bool
		moves     bool
	}{
		"still leads": {
			moves: true,
		},
		"was suspended": {
			suspended: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &singleReplicaLog{
				machine: jobkeeper.New(timer.System()),
			}
			provider := &standbyProvider{}
			decided := make(chan struct{}, 1)
			logger := slog.New(messageHandler{
				Handler: slog.DiscardHandler,
				onMessage: func(message string) {
					if message != "scheduler: host moves" {
						return
					}
					log.mu.Lock()
					log.staleLead = c.suspended
					log.mu.Unlock()
					select {
					case decided <- struct{}{}:
					default:
					}
				},
			})
			local := ordersender.NewLocalSender(newFakeWorkers(), timer.System(), logger)
			t.Cleanup(local.Close)
			cond := jobcontroller.New(jobcontroller.Options{
				Log:          log,
				StateMachine: log.machine,
				Sender: ordersender.Options{
					Local:  local,
					Clock:  timer.System(),
					Logger: logger,
				},
				Provider: provider,
				Clock:    timer.System(),
				Logger:   logger,
				Settings: jobscheduler.Settings{
					Lease: 3 * time.Second,
				},
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				cond.Run(ctx)
			}()
			defer func() {
				cancel()
				<-done
			}()
			cfg := configuration(1)
			cfg.Pools = append(cfg.Pools, &jobwire.Pool{
				Name:    "off",
				Standby: true,
			})
			is.Equal(cond.Control(ctx, &jobwire.ControlRequest{
				Call: &jobwire.ControlRequest_Configure{
					Configure: cfg,
				},
			}).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
			select {
			case <-decided:
			case <-time.After(10 * time.Second):
				t.Fatal("no move was decided in 10 s")
			}
			time.Sleep(200 * time.Millisecond)
			is.Equal(provider.moveCount() > 0, c.moves)
		})
	}
}
