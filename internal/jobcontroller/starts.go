package jobcontroller

import (
	"context"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/ordersender"
)

// startWriteTimeout bounds the log write of starts. A start that waits for longer is decided
// anew: the lease in its order counts from the decision.
const startWriteTimeout = 2 * time.Second

// startBatch holds the starts of one pass, and runs that are recorded as begun with them.
type startBatch struct {
	fence uint64
	// sender is that of the term.
	sender  *ordersender.Sender
	workers int
	// starts holds values of type jobscheduler.Start.
	starts []jobscheduler.Action
	begun  []jobscheduler.RecordBegun
}

func isUnrecordedStart(action jobscheduler.Action) bool {
	a, ok := action.(jobscheduler.Start)
	return ok && a.ToRecord
}

// recordStarts writes the starts of one pass to the log and then sends their orders. If the
// leader is lost after that, the next one knows from the log which starts a worker may still
// execute. Without a write that is known to have succeeded nothing is sent.
func (c *Controller) recordStarts(ctx context.Context, sched *jobscheduler.Scheduler, batch startBatch) {
	cmd := batch.command()
	if len(batch.starts) == 0 {
		c.record(ctx, sched, cmd, func() {})
		return
	}
	err := c.recordWithin(ctx, startWriteTimeout, cmd)
	if err != nil {
		c.opts.Logger.Info("conductor: starts were not recorded in the log and are not sent; their tasks are queued again", "starts", len(batch.starts), "error", err)
		c.sleep(ctx, recordRetryDelay)
	}
	c.sendStarts(sched, batch, err == nil)
	if err != nil && len(batch.begun) > 0 {
		batch.starts = nil
		c.record(ctx, sched, batch.command(), func() {})
	}
}

// command returns the log command of the batch.
func (b startBatch) command() *jobwire.Command {
	list := &jobwire.RecordedStarts{}
	for _, action := range b.starts {
		a := action.(jobscheduler.Start)
		list.Starts = append(list.Starts, &jobwire.RecordedStart{
			Task:   a.Task,
			Run:    a.Run,
			Worker: a.Target.ID,
			Born:   a.Target.Born,
		})
	}
	for _, r := range b.begun {
		list.Begun = append(list.Begun, r.Runs...)
	}
	return &jobwire.Command{
		Change: &jobwire.Command_RecordedStarts{
			RecordedStarts: list,
		},
	}
}

// sendStarts sends the orders of recorded starts that the scheduler still wants, unless the
// proof that this host leads the term has grown too old during the write. The scheduler is
// told of those that are not sent. The orders are handed to the sender under the lock of the
// state machine, so that the term doesn't end meanwhile.
func (c *Controller) sendStarts(sched *jobscheduler.Scheduler, batch startBatch, recorded bool) {
	c.withScheduler(sched, func() {
		authority, ok := c.authority(c.opts.Clock.Now())
		recorded = recorded && ok && authority.Term == batch.fence
		orders := make([]jobscheduler.Action, 0, len(batch.starts))
		for _, action := range batch.starts {
			a := action.(jobscheduler.Start)
			if !recorded || !sched.StartRecorded(a) {
				sched.StartAnswered(a, jobscheduler.StartNotSent, 0)
				continue
			}
			a.ToRecord = false
			orders = append(orders, a)
		}
		if len(orders) > 0 {
			batch.sender.Send(orders, batch.workers)
		}
	})
}

// recordWithin writes a command to the log once, in the given time.
func (c *Controller) recordWithin(ctx context.Context, timeout time.Duration, cmd *jobwire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := c.submit(ctx, cmd)
	return err
}
