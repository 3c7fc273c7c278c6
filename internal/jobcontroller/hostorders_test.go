package jobcontroller_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobcontroller"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/ordersender"
	"github.com/heathermux/heathermux/pkg/timer"
)

// maintainedHost is a provider with the host of worker w. It counts the orders to
// maintain it.
type maintainedHost struct {
	emptyProvider

	orders atomic.Int32
}

func (p *maintainedHost) Hosts(context.Context) ([]jobscheduler.Host, error) {
	return []jobscheduler.Host{
		{
			Name:   "host",
			Pool:   "p",
			State:  jobscheduler.HostUp,
			Worker: "w",
		},
	}, nil
}

func (p *maintainedHost) Maintain(context.Context, uint64, jobscheduler.Maintain) jobscheduler.HostAnswer {
	p.orders.Add(1)
	return jobscheduler.HostOrderDone
}

// An order for a host waits for its announcement in the log. What was decided before
// must still hold when it is sent: a worker that has ended meanwhile may have a
// successor on the host, whose tasks the decision did not consider.
func TestHostOrderIsDecidedAgainAfterAnnouncement(t *testing.T) {
	cases := map[string]struct {
		workerEnds bool
		orders     int32
	}{
		"nothing happens meanwhile": {
			orders: 1,
		},
		"the worker ends meanwhile": {
			workerEnds: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			provider := &maintainedHost{}
			log := &singleReplicaLog{
				machine: jobkeeper.New(timer.System()),
			}
			announced := make(chan struct{}, 1)
			named := make(chan []*jobwire.WorkerIncarnation, 100)
			log.onHostOrders = func(orders *jobwire.HostOrders) {
				// The next leader must not take the end of the worker for a crash.
				named <- orders.GetWorkers()
				if c.workerEnds {
					data, _ := proto.Marshal(&jobwire.Command{
						Change: &jobwire.Command_ForgetWorker{
							ForgetWorker: &jobwire.ForgetWorker{
								Id:   "w",
								Born: 1,
							},
						},
					})
					log.machine.Apply(data)
				}
				select {
				case announced <- struct{}{}:
				default:
				}
			}
			logger := slog.New(slog.DiscardHandler)
			local := ordersender.NewLocalSender(newFakeWorkers(), timer.System(), logger)
			t.Cleanup(local.Close)
			controller := jobcontroller.New(jobcontroller.Options{
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
				controller.Run(ctx)
			}()
			defer func() {
				cancel()
				<-done
			}()
			s := &harness{
				is:         is,
				log:        log,
				controller: controller,
			}
			is.Equal(s.configure(configuration(1)), jobwire.Outcome_OUTCOME_OK)
			is.Equal(s.heartbeat("w", "10.0.0.1:1", 1, 1), jobwire.Outcome_OUTCOME_OK)
			is.Equal(controller.Control(ctx, &jobwire.ControlRequest{
				Call: &jobwire.ControlRequest_Wave{
					Wave: &jobwire.Wave{
						Id:               "1",
						Hosts:            []string{"host"},
						DurationNanos:    int64(time.Minute),
						StartedUnixNanos: time.Now().UnixNano(),
					},
				},
			}).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
			select {
			case <-announced:
			case <-time.After(10 * time.Second):
				t.Fatal("no order was announced in 10 s")
			}
			workers := <-named
			is.Equal(len(workers), 1)
			is.Equal(workers[0].GetId(), "w")
			is.Equal(workers[0].GetBorn(), int64(1))
			time.Sleep(100 * time.Millisecond) // less than until the next decision
			is.Equal(provider.orders.Load(), c.orders)
		})
	}
}
