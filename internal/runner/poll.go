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

// Poll reports to the scheduler once and carries out its orders. The lease
// counts from the sending of the poll.
func (r *Runner) Poll(ctx context.Context) error {
	sentAt := r.opts.Clock.Now()
	poll := r.report(sentAt)
	call, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	orders, err := r.opts.Poller.Poll(call, poll)
	switch {
	case err != nil:
		err = errors.Wrap(err, "runner: poll")
	case orders.GetError() != "":
		err = errors.New("runner: poll refused: " + orders.GetError())
	default:
		err = r.obey(r.opts.Clock.Now(), sentAt, orders)
	}
	r.noteSession(orders, err)
	return err
}

// noteSession remembers the scheduler that knows the running tasks. After a
// poll without an answer the next one describes them all again.
func (r *Runner) noteSession(orders *wire.WorkerOrders, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.session = ""
	if err == nil {
		r.session = orders.GetSession()
	}
}

// report builds the next poll.
func (r *Runner) report(now time.Time) *wire.WorkerPoll {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collect(now)
	r.sequence++
	poll := &wire.WorkerPoll{
		Worker:      r.opts.Worker,
		DataCentre:  r.opts.DataCentre,
		Rack:        r.opts.Rack,
		Capacity:    r.opts.Capacity,
		PoolEpoch:   r.poolEpoch,
		Leaving:     r.leaving,
		Epoch:       r.guard.HighestEpoch(),
		Incarnation: r.opts.Incarnation,
		Sequence:    r.sequence,
		DescribedTo: r.session,
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
	if r.session == "" {
		d.Detail = run.task
	}
	if !run.startedAt.IsZero() {
		d.Used = r.opts.Executor.Used(id)
		d.RunNanos = int64(now.Sub(run.startedAt))
	}
	return d
}

// obey carries out orders, unless they are stale or came too late.
func (r *Runner) obey(now, sentAt time.Time, orders *wire.WorkerOrders) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(sentAt) >= PollTimeout {
		return errors.New("runner: the orders came too late")
	}
	if !r.guard.Admit(orders.GetEpoch()) {
		return errors.Errorf("runner: orders of epoch %d are stale", orders.GetEpoch())
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

// throttle slows down exactly the named tasks.
func (r *Runner) throttle(ids []string) {
	for id, run := range r.running {
		on := slices.Contains(ids, id)
		if on != run.throttled && !run.startedAt.IsZero() {
			run.throttled = on
			r.opts.Executor.Throttle(id, on)
		}
	}
}

// checkpoint asks a task once to save its progress and end.
func (r *Runner) checkpoint(id string) {
	run := r.running[id]
	if run == nil || run.checkpointed || run.startedAt.IsZero() {
		return
	}
	run.checkpointed = true
	// A task without support runs on; the scheduler sees that it does.
	_ = r.opts.Executor.Checkpoint(id)
}
