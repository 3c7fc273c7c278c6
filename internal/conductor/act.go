package conductor

import (
	"context"
	"time"

	"github.com/heathermux/heathermux/internal/courier"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// recordPause is the time before ends are written again.
	recordPause = 100 * time.Millisecond
	// listTimeout bounds one listing of the provider, which may be slow.
	listTimeout = 3 * time.Second
	// providerTimeout bounds one order to the provider. With authorityLimit it
	// is below the time that a new leader waits before its first order.
	providerTimeout = 1500 * time.Millisecond
)

// carryOut begins all actions; their outcomes are reported when they come.
func (c *Conductor) carryOut(ctx context.Context, sched *jobscheduler.Scheduler, fence uint64, actions []jobscheduler.Action) {
	var orders []jobscheduler.Action
	var records []jobscheduler.Record
	for _, action := range actions {
		if _, ok := courier.TargetOf(action); ok {
			orders = append(orders, action)
			continue
		}
		if r, ok := action.(jobscheduler.Record); ok {
			records = append(records, r)
			continue
		}
		c.pool.Go(func() { c.act(ctx, sched, fence, action) })
	}
	if len(records) > 0 {
		c.pool.Go(func() { c.record(ctx, sched, records) })
	}
	if len(orders) > 0 {
		c.courier.Send(orders, c.workers)
	}
}

// answered passes the outcomes of orders to the scheduler that gave them.
func (c *Conductor) answered(sched *jobscheduler.Scheduler, answers []courier.Answer) {
	c.with(sched, func() {
		for _, a := range answers {
			switch o := a.Order.(type) {
			case jobscheduler.Start:
				sched.StartAnswered(o, a.Start, a.Clock)
			case jobscheduler.Stop:
				sched.StopAnswered(o, a.Confirmed, a.Clock)
			case jobscheduler.Look:
				sched.LookAnswered(o, a.Look)
			}
		}
	})
}

func (c *Conductor) act(ctx context.Context, sched *jobscheduler.Scheduler, fence uint64, action jobscheduler.Action) {
	switch a := action.(type) {
	case jobscheduler.ListHosts:
		c.listHosts(ctx, sched)
	case jobscheduler.Maintain:
		answer := c.orderHost(ctx, fence, func(ctx context.Context) jobscheduler.HostAnswer {
			return c.opts.Provider.Maintain(ctx, fence, a)
		})
		c.opts.Logger.Info("conductor: maintenance was ordered", "host", a.Host, "wave", a.Wave, "answer", int(answer))
		c.with(sched, func() { sched.Maintained(a, answer) })
	case jobscheduler.MoveHost:
		answer := c.orderHost(ctx, fence, func(ctx context.Context) jobscheduler.HostAnswer {
			return c.opts.Provider.Move(ctx, fence, a)
		})
		c.opts.Logger.Info("conductor: move was ordered", "host", a.Host, "pool", a.Pool, "answer", int(answer))
		c.with(sched, func() { sched.HostMoved(a, answer) })
	case jobscheduler.Advise:
		c.advise(ctx, sched, a)
	case jobscheduler.NoteWave:
		c.write(ctx, &jobwire.Command{
			Change: &jobwire.Command_WaveProgress{
				WaveProgress: &jobwire.WaveProgress{
					Id:    a.Wave,
					Begun: []string{a.Host},
				},
			},
		})
	case jobscheduler.NoteWorker:
		c.write(ctx, &jobwire.Command{
			Change: &jobwire.Command_Worker{
				Worker: a.Worker,
			},
		})
	case jobscheduler.Forget:
		c.write(ctx, forget(a.ID, a.Born))
	}
}

// orderHost gives an order to the provider, which may check no fences. An order
// that has waited in a process that was suspended is not sent: another leader
// may be giving orders by now.
func (c *Conductor) orderHost(ctx context.Context, fence uint64, order func(context.Context) jobscheduler.HostAnswer) jobscheduler.HostAnswer {
	if a, ok := c.authority(c.opts.Clock.Now()); !ok || a.Term != fence {
		return jobscheduler.HostOrderUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, providerTimeout)
	defer cancel()
	return order(ctx)
}

func (c *Conductor) advise(ctx context.Context, sched *jobscheduler.Scheduler, a jobscheduler.Advise) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	sent := c.opts.Clock.Now()
	tickets, valid, err := c.opts.Adviser.Advise(ctx, a)
	if err != nil {
		c.opts.Logger.Info("conductor: adviser did not answer", "job", a.Step.Job, "step", a.Step.Step, "error", err)
	}
	c.with(sched, func() { sched.Advised(a, sent, tickets, valid, err == nil) })
}

func (c *Conductor) listHosts(ctx context.Context, sched *jobscheduler.Scheduler) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := c.opts.Clock.Now()
	hosts, err := c.opts.Provider.Hosts(ctx)
	if err != nil {
		c.opts.Logger.Info("conductor: hosts were not listed", "error", err)
		hosts = nil
	}
	c.with(sched, func() { sched.HostsListed(asked, hosts) })
}

// record writes ends to the log, again until it succeeds or the lead ends: a
// task whose end is not recorded may neither start again nor count as done.
// The ends of all workers that answered together share one entry.
func (c *Conductor) record(ctx context.Context, sched *jobscheduler.Scheduler, records []jobscheduler.Record) {
	ends := &jobwire.Ends{}
	for _, r := range records {
		ends.Ends = append(ends.Ends, r.Ends...)
	}
	cmd := &jobwire.Command{
		Change: &jobwire.Command_Ends{
			Ends: ends,
		},
	}
	for ctx.Err() == nil && c.conducts(sched) {
		err := c.recordOnce(ctx, cmd)
		if err == nil {
			c.with(sched, func() {
				for _, r := range records {
					sched.Recorded(r)
				}
			})
			return
		}
		c.opts.Logger.Info("conductor: ends were not recorded", "workers", len(records), "ends", len(ends.GetEnds()), "error", err)
		pause := c.opts.Clock.NewTimer(recordPause)
		<-pause.C()
	}
}

func (c *Conductor) recordOnce(ctx context.Context, cmd *jobwire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err := c.submit(ctx, cmd)
	return err
}

// conducts reports whether the scheduler is the one of the present term.
func (c *Conductor) conducts(sched *jobscheduler.Scheduler) bool {
	same := false
	c.opts.Keeper.View(func(*jobkeeper.State) { same = c.sched == sched })
	return same
}

// write submits a command whose result is not waited for by anyone.
func (c *Conductor) write(ctx context.Context, cmd *jobwire.Command) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if _, err := c.submit(ctx, cmd); err != nil {
		c.opts.Logger.Info("conductor: change of a worker was not recorded", "error", err)
	}
}
