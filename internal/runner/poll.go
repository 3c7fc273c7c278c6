package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

// Poll reports to the scheduler once and carries out its orders. The lease is
// counted from the sending of the poll.
func (r *Runner) Poll(ctx context.Context) error {
	sentAt := r.opts.Clock.Now()
	poll := r.buildPoll(sentAt)
	callCtx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	orders, err := r.opts.Poller.Poll(callCtx, poll)
	switch {
	case err != nil:
		err = errors.Wrap(err, "runner: send a poll to an entry host")
	case orders.GetError() != "":
		err = errors.New("runner: poll refused: " + orders.GetError())
	default:
		err = r.applyOrders(r.opts.Clock.Now(), sentAt, orders)
	}
	r.setSession(orders, err)
	return err
}

// setSession records the session of the scheduler that knows the running tasks.
// After a failed poll the next one describes all tasks again.
func (r *Runner) setSession(orders *wire.WorkerOrders, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.schedulerSession = ""
	if err == nil {
		r.schedulerSession = orders.GetSession()
	}
}

// buildPoll collects ended tasks and returns the next poll.
func (r *Runner) buildPoll(now time.Time) *wire.WorkerPoll {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collectEnded(now)
	r.lastSequence++
	poll := &wire.WorkerPoll{
		Worker:      r.opts.Worker,
		DataCentre:  r.opts.DataCentre,
		Rack:        r.opts.Rack,
		Capacity:    r.opts.Capacity,
		PoolEpoch:   r.poolEpoch,
		Leaving:     r.leaving,
		Epoch:       r.epochGuard.HighestEpoch(),
		Incarnation: r.opts.Incarnation,
		Sequence:    r.lastSequence,
		DescribedTo: r.schedulerSession,
	}
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		poll.Running = append(poll.Running, r.describe(now, id))
	}
	for _, id := range slices.Sorted(maps.Keys(r.ended)) {
		poll.Ended = append(poll.Ended, r.ended[id].report)
	}
	return poll
}

func (r *Runner) describe(now time.Time, id string) *wire.RunningTask {
	run := r.running[id]
	d := &wire.RunningTask{
		Task:  id,
		Epoch: run.epoch,
	}
	if r.schedulerSession == "" {
		d.Detail = run.task
	}
	if !run.startedAt.IsZero() {
		d.Used = r.opts.Executor.Used(id)
		d.RunNanos = int64(now.Sub(run.startedAt))
	}
	return d
}

// applyOrders carries out the orders, unless they are from a former scheduler or
// arrived after PollTimeout.
func (r *Runner) applyOrders(now, sentAt time.Time, orders *wire.WorkerOrders) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(sentAt) >= PollTimeout {
		return errors.New("runner: orders arrived after the poll timeout; discarded")
	}
	if !r.epochGuard.Admit(orders.GetEpoch()) {
		return errors.Errorf("runner: orders of epoch %d are from a former scheduler; discarded", orders.GetEpoch())
	}
	if until := sentAt.Add(time.Duration(orders.GetLeaseNanos())); until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
	r.pool = orders.GetPool()
	r.poolEpoch = orders.GetPoolEpoch()
	for _, id := range orders.GetAcknowledged() {
		r.acknowledge(now, id)
	}
	for _, id := range orders.GetStop() {
		r.stop(id, "stopped by order")
	}
	r.throttle(orders.GetThrottle())
	for _, id := range orders.GetCheckpoint() {
		r.checkpoint(id)
	}
	for _, task := range orders.GetStart() {
		r.accept(task, orders.GetEpoch(), sentAt.Add(scheduler.StartWindow))
	}
	r.startWaiting(now)
	return nil
}

// throttle throttles the started tasks in ids and restores all others.
func (r *Runner) throttle(ids []string) {
	for id, run := range r.running {
		on := slices.Contains(ids, id)
		if on != run.throttled && !run.startedAt.IsZero() {
			run.throttled = on
			r.opts.Executor.Throttle(id, on)
		}
	}
}

// checkpoint asks a started task to save its progress and end, unless it was asked
// before.
func (r *Runner) checkpoint(id string) {
	run := r.running[id]
	if run == nil || run.checkpointed || run.startedAt.IsZero() {
		return
	}
	run.checkpointed = true
	// A task that does not support checkpoints continues to run, which the next
	// poll reports to the scheduler.
	_ = r.opts.Executor.Checkpoint(id)
}
