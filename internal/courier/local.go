// Package courier carries the leader's orders to workers: by itself, or, where
// the fleet is large, through agents on other hosts, which keep the connections
// to the workers and hand over answers in batches.
package courier

import (
	"context"
	"log/slog"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// callsInFlight bounds the calls to workers.
	callsInFlight = 2048
	// orderTimeout bounds one order to a worker. An answer takes a few
	// milliseconds; a lost one is asked for again.
	orderTimeout = 500 * time.Millisecond
	// lookTimeout is added to the time that a worker may wait.
	lookTimeout = 600 * time.Millisecond
)

// Workers carries orders to workers. Its methods may be called from any number
// of goroutines; the fence is the term of the ordering leader.
type Workers interface {
	Start(ctx context.Context, fence uint64, a jobscheduler.Start) (jobscheduler.StartAnswer, int64)
	Stop(ctx context.Context, fence uint64, a jobscheduler.Stop) (confirmed bool, clock int64)
	Look(ctx context.Context, fence uint64, a jobscheduler.Look) jobscheduler.LookAnswer
	Pace(ctx context.Context, fence uint64, a jobscheduler.Pace) error
}

// Answer is the outcome of one order.
type Answer struct {
	// Order is a jobscheduler.Start, Stop, Look or Pace.
	Order jobscheduler.Action
	// Start is the outcome of a Start.
	Start jobscheduler.StartAnswer
	// Confirmed is true when the worker has confirmed a Stop.
	Confirmed bool
	// Clock is the worker's; 0 when it was not told.
	Clock int64
	// Look is the outcome of a Look.
	Look jobscheduler.LookAnswer
}

// TargetOf returns the worker that an order goes to; false for an action that
// is no order to a worker.
func TargetOf(order jobscheduler.Action) (jobscheduler.Target, bool) {
	switch o := order.(type) {
	case jobscheduler.Start:
		return o.Target, true
	case jobscheduler.Stop:
		return o.Target, true
	case jobscheduler.Look:
		return o.Target, true
	case jobscheduler.Pace:
		return o.Target, true
	}
	return jobscheduler.Target{}, false
}

// timeoutOf returns the time after which an order counts as not answered.
func timeoutOf(order jobscheduler.Action) time.Duration {
	if look, ok := order.(jobscheduler.Look); ok {
		return look.Wait + lookTimeout
	}
	return orderTimeout
}

// unanswered is the outcome of an order that may or may not have been carried
// out.
func unanswered(order jobscheduler.Action) Answer {
	return Answer{
		Order: order,
		Start: jobscheduler.StartUnknown,
		Look: jobscheduler.LookAnswer{
			Failed: true,
		},
	}
}

// Local carries orders from this host. It is safe for concurrent use; make one
// with NewLocal.
type Local struct {
	workers Workers
	clock   timer.Clock
	logger  *slog.Logger
	pool    pond.Pool
}

// NewLocal returns a Local; the clock must count suspended time.
func NewLocal(workers Workers, clock timer.Clock, logger *slog.Logger) *Local {
	return &Local{
		workers: workers,
		clock:   clock,
		logger:  logger,
		pool:    pond.NewPool(callsInFlight),
	}
}

// Close waits for the orders on their way and refuses further ones.
func (l *Local) Close() { l.pool.StopAndWait() }

// Go carries an order out and reports its outcome once. An order that has
// waited here for longer than its timeout, as in a process that was suspended,
// is not carried out any more.
func (l *Local) Go(ctx context.Context, fence uint64, order jobscheduler.Action, report func(Answer)) {
	given := l.clock.Now()
	// A pool that is closed has lost its leader, who awaits no answer.
	_ = l.pool.Go(func() {
		if l.clock.Now().Sub(given) > timeoutOf(order) {
			report(unanswered(order))
			return
		}
		report(l.carry(ctx, fence, order))
	})
}

func (l *Local) carry(ctx context.Context, fence uint64, order jobscheduler.Action) Answer {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(order))
	defer cancel()
	answer := Answer{
		Order: order,
	}
	switch o := order.(type) {
	case jobscheduler.Start:
		answer.Start, answer.Clock = l.workers.Start(ctx, fence, o)
	case jobscheduler.Stop:
		answer.Confirmed, answer.Clock = l.workers.Stop(ctx, fence, o)
	case jobscheduler.Look:
		sent := l.clock.Now()
		answer.Look = l.workers.Look(ctx, fence, o)
		answer.Look.SentAt = sent
	case jobscheduler.Pace:
		if err := l.workers.Pace(ctx, fence, o); err != nil {
			l.logger.Info("courier: pace was not set", "worker", o.Target.ID, "error", err)
		}
	}
	return answer
}
