// Package ordersender sends the leader's orders to workers: directly, or, for
// large fleets, through relays on other hosts, which keep the connections to the
// workers and return answers in batches. Its log lines and errors keep the prefix
// "courier:", by which operators search, and its RPC service the name "Courier".
package ordersender

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// maxConcurrentCalls bounds the concurrent calls to workers.
	maxConcurrentCalls = 2048
	// orderTimeout bounds one order to a worker other than a Poll. An answer
	// takes a few milliseconds; a lost one is asked for again.
	orderTimeout = 500 * time.Millisecond
	// pollTimeoutMargin is added to the time that a worker may wait before it
	// answers a Poll.
	pollTimeoutMargin = 600 * time.Millisecond
	// probeTimeoutMargin is that of a probe. While a host is silent each attempt to connect
	// waits for as long, and a worker that starts there meanwhile is reached by the next one.
	probeTimeoutMargin = 250 * time.Millisecond
)

// Workers calls workers. Its methods may be called concurrently; the fence is the
// FencingToken of the order.
type Workers interface {
	Start(ctx context.Context, fence uint64, a jobscheduler.Start) (jobscheduler.StartAnswer, int64)
	Stop(ctx context.Context, fence uint64, a jobscheduler.Stop) (confirmed bool, clock int64)
	Poll(ctx context.Context, fence uint64, a jobscheduler.Poll) jobscheduler.PollAnswer
}

// epochBits is the number of low bits of a fencing token that hold the epoch of a
// worker. A token must stay below 2^53, because some workers read numbers in JSON as
// doubles: that leaves 37 bits for the term. A worker that leaves a start unanswered each
// second for 18 hours of one term reaches 2^16; its token does not rise from there on.
const epochBits = 16

// FencingToken returns the fencing token of an order to a worker in a term. It rises with the
// term and, within a term, with the epoch, so that a worker which has seen an order refuses
// those that were sent to its former incarnation, and starts that have got no answer.
func FencingToken(term uint64, target jobscheduler.Target) uint64 {
	const maxEpoch = 1<<epochBits - 1
	return term<<epochBits + min(target.Epoch, maxEpoch)
}

// Answer is the outcome of an order.
type Answer struct {
	// Order is a jobscheduler.Start, Stop or Poll.
	Order jobscheduler.Action
	// Start is the outcome of a Start.
	Start jobscheduler.StartAnswer
	// Confirmed is true if the worker has confirmed a Stop.
	Confirmed bool
	// Clock is the worker's clock in milliseconds; 0 if unknown.
	Clock int64
	// Poll is the outcome if Order is a Poll.
	Poll jobscheduler.PollAnswer
}

// TargetOf returns the worker that an order is addressed to; false for an
// action that is not an order to a worker.
func TargetOf(order jobscheduler.Action) (jobscheduler.Target, bool) {
	switch o := order.(type) {
	case jobscheduler.Start:
		return o.Target, true
	case jobscheduler.Stop:
		return o.Target, true
	case jobscheduler.Poll:
		return o.Target, true
	}
	return jobscheduler.Target{}, false
}

// timeoutOf returns the time after which an order counts as unanswered.
func timeoutOf(order jobscheduler.Action) time.Duration {
	poll, ok := order.(jobscheduler.Poll)
	switch {
	case !ok:
		return orderTimeout
	case poll.Probe:
		return poll.Wait + probeTimeoutMargin
	}
	return poll.Wait + pollTimeoutMargin
}

// notSent returns the outcome of an order that was not sent.
func notSent(order jobscheduler.Action) Answer {
	answer := unanswered(order)
	answer.Start = jobscheduler.StartNotSent
	return answer
}

// unanswered returns the outcome of an order that may or may not have been
// executed.
func unanswered(order jobscheduler.Action) Answer {
	return Answer{
		Order: order,
		Start: jobscheduler.StartUnknown,
		Poll: jobscheduler.PollAnswer{
			Failed: true,
		},
	}
}

// LocalSender sends orders to workers from this host. It is safe for concurrent
// use; create one with NewLocalSender.
type LocalSender struct {
	workers Workers
	clock   timer.Clock
	logger  *slog.Logger
	pool    pond.Pool
}

// NewLocalSender returns a LocalSender; the clock must include time spent
// suspended.
func NewLocalSender(workers Workers, clock timer.Clock, logger *slog.Logger) *LocalSender {
	return &LocalSender{
		workers: workers,
		clock:   clock,
		logger:  logger,
		pool:    pond.NewPool(maxConcurrentCalls),
	}
}

// Close waits for the orders in flight and rejects further ones.
func (l *LocalSender) Close() { l.pool.StopAndWait() }

// Go executes an order of the leader of a term in the background and reports its outcome once. An order
// that was queued for longer than its timeout, for example because the process
// was suspended, is not executed.
func (l *LocalSender) Go(ctx context.Context, term uint64, order jobscheduler.Action, report func(Answer)) {
	queuedAt := l.clock.Now()
	// A closed pool rejects the order; its leader no longer waits for an
	// answer.
	_ = l.pool.Go(func() {
		if l.clock.Now().Sub(queuedAt) > timeoutOf(order) {
			report(notSent(order))
			return
		}
		report(l.execute(ctx, term, order))
	})
}

// execute executes an order. A panic, for example over an answer that nothing
// expects, leaves the outcome unknown: without one, the worker would count as being
// polled for ever.
func (l *LocalSender) execute(ctx context.Context, term uint64, order jobscheduler.Action) (answer Answer) {
	defer func() {
		if p := recover(); p != nil {
			l.logger.Error("courier: sending an order panicked; its outcome is unknown", "panic", p, "stack", string(debug.Stack()))
			answer = unanswered(order)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(order))
	defer cancel()
	answer = Answer{
		Order: order,
	}
	target, _ := TargetOf(order)
	fence := FencingToken(term, target)
	switch o := order.(type) {
	case jobscheduler.Start:
		answer.Start, answer.Clock = l.workers.Start(ctx, fence, o)
	case jobscheduler.Stop:
		answer.Confirmed, answer.Clock = l.workers.Stop(ctx, fence, o)
	case jobscheduler.Poll:
		sentAt := l.clock.Now()
		answer.Poll = l.workers.Poll(ctx, fence, o)
		answer.Poll.SentAt = sentAt
	}
	return answer
}
