package jobcontroller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/permitter"
)

const (
	// providerTimeout bounds one order to the provider.
	providerTimeout = 1500 * time.Millisecond
	// maxHostOrderAge is how long after its announcement an order may be sent.
	maxHostOrderAge = 500 * time.Millisecond
)

// hostOf returns the host that an order to the provider is for, and the worker on it;
// both are zero for any other action.
func hostOf(action jobscheduler.Action) (string, jobscheduler.Target) {
	switch a := action.(type) {
	case jobscheduler.Maintain:
		return a.Host, a.Worker
	case jobscheduler.MoveHost:
		return a.Host, a.Worker
	}
	return "", jobscheduler.Target{}
}

func isHostOrder(action jobscheduler.Action) bool {
	host, _ := hostOf(action)
	return host != ""
}

// sendHostOrders announces the orders of one pass in the log and then sends them. The
// next leader learns from the log which hosts it has to leave alone for a while, and
// which workers end by plan; it may order all other hosts at once. Without an announcement nothing is sent.
func (c *Controller) sendHostOrders(ctx context.Context, sched *jobscheduler.Scheduler, fence uint64, orders []jobscheduler.Action) {
	announcement := &jobwire.HostOrders{
		Term: fence,
	}
	for _, order := range orders {
		host, worker := hostOf(order)
		announcement.Hosts = append(announcement.Hosts, host)
		if worker.ID != "" {
			announcement.Workers = append(announcement.Workers, &jobwire.WorkerIncarnation{
				Id:   worker.ID,
				Born: worker.Born,
			})
		}
	}
	// The age of the announcement counts from here: other replicas apply it later.
	announcedAt := c.opts.Clock.Now()
	err := c.recordOnce(ctx, &jobwire.Command{
		Change: &jobwire.Command_HostOrders{
			HostOrders: announcement,
		},
	})
	if err != nil {
		c.opts.Logger.Info("conductor: orders to the provider were not announced in the log and are not sent", "hosts", len(orders), "error", err)
	}
	for _, order := range orders {
		c.pool.Go(func() { c.sendHostOrder(ctx, sched, fence, order, announcedAt, err == nil) })
	}
}

// sendHostOrder sends an announced order, if the scheduler still wants it, and reports
// its outcome.
func (c *Controller) sendHostOrder(ctx context.Context, sched *jobscheduler.Scheduler, fence uint64, order jobscheduler.Action, announcedAt time.Time, announced bool) {
	answer := jobscheduler.HostOrderNotSent
	permission := func() error { return c.mayOrderHosts(fence, announcedAt) }
	ctx, cancel := context.WithTimeout(permitter.With(ctx, permission), providerTimeout)
	defer cancel()
	send := announced && permission() == nil && c.mayOrder(sched, order)
	switch a := order.(type) {
	case jobscheduler.Maintain:
		if send {
			answer = c.opts.Provider.Maintain(ctx, fence, a)
		}
		c.opts.Logger.Info("conductor: host maintenance ordered from the provider", "host", a.Host, "wave", a.Wave, "sent", send, "answer", int(answer))
		c.withScheduler(sched, func() { sched.Maintained(a, answer) })
	case jobscheduler.MoveHost:
		if send {
			answer = c.opts.Provider.Move(ctx, fence, a)
		}
		c.opts.Logger.Info("conductor: host move ordered from the provider", "host", a.Host, "pool", a.Pool, "sent", send, "answer", int(answer))
		c.withScheduler(sched, func() { sched.HostMoved(a, answer) })
	}
}

// mayOrder reports whether the scheduler still wants an order that it had decided on
// before the announcement.
func (c *Controller) mayOrder(sched *jobscheduler.Scheduler, order jobscheduler.Action) bool {
	may := false
	c.opts.StateMachine.View(func(*jobkeeper.State) {
		if c.sched == sched {
			sched.SetTime(c.opts.Clock.Now(), time.Now())
			may = sched.MayOrder(order)
		}
	})
	return may
}

// errNoPermission is the error of an order that is not sent because this host can no
// longer prove that it leads the term, or because its announcement is too old.
var errNoPermission = errors.New("conductor: the permission to order the host has ended")

// mayOrderHosts returns nil while this host may send an announced order. The provider
// may not check fencing tokens, so the proof is checked again when the order is
// written to its connection: the process may have been suspended meanwhile, and
// another leader may be sending orders.
func (c *Controller) mayOrderHosts(fence uint64, announcedAt time.Time) error {
	now := c.opts.Clock.Now()
	if a, ok := c.authority(now); !ok || a.Term != fence || now.Sub(announcedAt) > maxHostOrderAge {
		return errNoPermission
	}
	return nil
}
