package conductor_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/conductor"
	"github.com/heathermux/heathermux/internal/courier"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// reserve is a provider with hosts that are off, which counts moves.
type reserve struct {
	noHosts

	mu    sync.Mutex
	moves int
}

func (r *reserve) Hosts(context.Context) ([]jobscheduler.Host, error) {
	return []jobscheduler.Host{
		{
			Name:  "host",
			Pool:  "off",
			State: jobscheduler.HostUp,
		},
	}, nil
}

func (r *reserve) Move(context.Context, uint64, jobscheduler.MoveHost) jobscheduler.HostAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moves++
	return jobscheduler.HostOrderDone
}

func (r *reserve) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moves
}

// lines calls a function for each log line.
type lines struct {
	slog.Handler

	saw func(message string)
}

func (l lines) Enabled(context.Context, slog.Level) bool { return true }

func (l lines) Handle(_ context.Context, r slog.Record) error {
	l.saw(r.Message)
	return nil
}

// A leader that was suspended between a decision and its order must not send
// the order when it goes on: the next leader gives orders then, and the provider
// may check no fences.
func TestSuspendedLeaderMovesNoHost(t *testing.T) {
	cases := map[string]struct {
		suspended bool
		moves     bool
	}{
		"leads on": {
			moves: true,
		},
		"was suspended": {
			suspended: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &soloLog{
				keeper: jobkeeper.New(),
			}
			provider := &reserve{}
			decided := make(chan struct{}, 1)
			logger := slog.New(lines{
				Handler: slog.DiscardHandler,
				saw: func(message string) {
					if message != "scheduler: host moves" {
						return
					}
					log.mu.Lock()
					log.stale = c.suspended
					log.mu.Unlock()
					select {
					case decided <- struct{}{}:
					default:
					}
				},
			})
			local := courier.NewLocal(newCrew(), timer.System(), logger)
			t.Cleanup(local.Close)
			cond := conductor.New(conductor.Options{
				Log:    log,
				Keeper: log.keeper,
				Courier: courier.Options{
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
			is.Equal(provider.count() > 0, c.moves)
		})
	}
}
