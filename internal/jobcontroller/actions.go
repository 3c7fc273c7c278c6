package jobcontroller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/ordersender"
)

const (
	// recordRetryDelay is the delay before a failed write of task ends is
	// retried.
	recordRetryDelay = 100 * time.Millisecond
	// listHostsTimeout bounds one listing of the provider's hosts, which may be
	// slow.
	listHostsTimeout = 3 * time.Second
)

// dispatch starts all actions without waiting for them; their outcomes are
// reported to the scheduler as they arrive.
func (c *Controller) dispatch(ctx context.Context, sched *jobscheduler.Scheduler, fence uint64, actions []jobscheduler.Action) {
	starts, actions := split(actions, isUnrecordedStart)
	orders, actions := split(actions, isOrder)
	hostOrders, actions := split(actions, isHostOrder)
	records, actions := splitType[jobscheduler.RecordEnds](actions)
	crashes, actions := splitType[jobscheduler.RecordCrashes](actions)
	placements, actions := splitType[jobscheduler.RecordPlacement](actions)
	marks, actions := splitType[jobscheduler.MarkLapsed](actions)
	confinements, actions := splitType[jobscheduler.ConfineJob](actions)
	begun, actions := splitType[jobscheduler.RecordBegun](actions)
	for _, action := range actions {
		c.pool.Go(func() { c.execute(ctx, sched, action) })
	}
	if len(records) > 0 {
		c.pool.Go(func() { c.recordEnds(ctx, sched, records) })
	}
	if len(crashes) > 0 {
		c.pool.Go(func() { c.recordCrashes(ctx, sched, crashes) })
	}
	if len(placements) > 0 {
		c.pool.Go(func() { c.recordPlacements(ctx, sched, placements) })
	}
	if len(marks) > 0 {
		c.pool.Go(func() { c.markLapsed(ctx, sched, marks) })
	}
	if len(confinements) > 0 {
		c.pool.Go(func() { c.confineJobs(ctx, sched, confinements) })
	}
	if len(hostOrders) > 0 {
		c.pool.Go(func() { c.sendHostOrders(ctx, sched, fence, hostOrders) })
	}
	if len(starts)+len(begun) > 0 {
		batch := startBatch{
			fence:   fence,
			sender:  c.sender,
			workers: c.workerCount,
			starts:  starts,
			begun:   begun,
		}
		c.pool.Go(func() { c.recordStarts(ctx, sched, batch) })
	}
	if len(orders) > 0 {
		c.sender.Send(orders, c.workerCount)
	}
}

// split returns the actions that match and the others.
func split(actions []jobscheduler.Action, match func(jobscheduler.Action) bool) (matching, others []jobscheduler.Action) {
	for _, a := range actions {
		if match(a) {
			matching = append(matching, a)
		} else {
			others = append(others, a)
		}
	}
	return matching, others
}

// splitType returns the actions of one type and the others.
func splitType[A any](actions []jobscheduler.Action) (matching []A, others []jobscheduler.Action) {
	for _, a := range actions {
		if v, ok := a.(A); ok {
			matching = append(matching, v)
		} else {
			others = append(others, a)
		}
	}
	return matching, others
}

func isOrder(a jobscheduler.Action) bool {
	_, ok := ordersender.TargetOf(a)
	return ok
}

// handleAnswers passes the outcomes of orders to the scheduler that issued
// them.
func (c *Controller) handleAnswers(sched *jobscheduler.Scheduler, answers []ordersender.Answer) {
	c.withScheduler(sched, func() {
		for _, a := range answers {
			switch o := a.Order.(type) {
			case jobscheduler.Start:
				sched.StartAnswered(o, a.Start, a.Clock)
			case jobscheduler.Stop:
				sched.StopAnswered(o, a.Confirmed, a.Clock)
			case jobscheduler.Poll:
				sched.PollAnswered(o, a.Poll)
			}
		}
	})
}

func (c *Controller) execute(ctx context.Context, sched *jobscheduler.Scheduler, action jobscheduler.Action) {
	switch a := action.(type) {
	case jobscheduler.ListHosts:
		c.listHosts(ctx, sched)
	case jobscheduler.Advise:
		c.advise(ctx, sched, a)
	case jobscheduler.RecordWaveHost:
		c.submitBestEffort(ctx, &jobwire.Command{
			Change: &jobwire.Command_WaveProgress{
				WaveProgress: &jobwire.WaveProgress{
					Id:    a.Wave,
					Begun: []string{a.Host},
				},
			},
		})
	case jobscheduler.RecordSurvival:
		c.submitBestEffort(ctx, &jobwire.Command{
			Change: &jobwire.Command_SurvivedRuns{
				SurvivedRuns: &jobwire.SurvivedRuns{
					Runs: []*jobwire.SurvivedRun{
						{
							Task: a.Task,
							Run:  a.Run,
						},
					},
				},
			},
		})
	case jobscheduler.RemoveWorker:
		c.submitBestEffort(ctx, forgetCommand(a.ID, a.Born))
	}
}

func (c *Controller) advise(ctx context.Context, sched *jobscheduler.Scheduler, a jobscheduler.Advise) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	tickets, valid, err := c.opts.Adviser.Advise(ctx, a)
	if err != nil {
		c.opts.Logger.Info("conductor: call to the placement adviser failed; retrying later", "job", a.Step.Job, "step", a.Step.Step, "error", err)
	}
	c.withScheduler(sched, func() { sched.Advised(a, tickets, valid, err == nil) })
}

func (c *Controller) listHosts(ctx context.Context, sched *jobscheduler.Scheduler) {
	ctx, cancel := context.WithTimeout(ctx, listHostsTimeout)
	defer cancel()
	askedAt := c.opts.Clock.Now()
	hosts, err := c.opts.Provider.Hosts(ctx)
	if err != nil {
		c.opts.Logger.Info("conductor: listing the provider's hosts failed; keeping the previous list", "error", err)
		hosts = nil
	}
	c.withScheduler(sched, func() { sched.HostsListed(askedAt, hosts) })
}

// recordEnds writes task ends to the log and retries until it succeeds or this
// host stops leading: a task whose end is not recorded may neither be restarted
// nor count as done. The ends of all workers that answered together share one
// log entry.
func (c *Controller) recordEnds(ctx context.Context, sched *jobscheduler.Scheduler, records []jobscheduler.RecordEnds) {
	ends := &jobwire.Ends{}
	for _, r := range records {
		ends.Ends = append(ends.Ends, r.Ends...)
	}
	cmd := &jobwire.Command{
		Change: &jobwire.Command_Ends{
			Ends: ends,
		},
	}
	c.record(ctx, sched, cmd, func() {
		for _, r := range records {
			sched.EndsRecorded(r)
		}
	})
}

// recordCrashes writes the crashes of one pass to the log.
func (c *Controller) recordCrashes(ctx context.Context, sched *jobscheduler.Scheduler, records []jobscheduler.RecordCrashes) {
	list := &jobwire.TaskCrashes{}
	for _, r := range records {
		list.Crashes = append(list.Crashes, r.Crashes...)
	}
	cmd := &jobwire.Command{
		Change: &jobwire.Command_Crashes{
			Crashes: list,
		},
	}
	c.record(ctx, sched, cmd, func() {
		for _, r := range records {
			sched.CrashesRecorded(r)
		}
	})
}

// recordPlacements writes the placements of one pass to the log.
func (c *Controller) recordPlacements(ctx context.Context, sched *jobscheduler.Scheduler, placements []jobscheduler.RecordPlacement) {
	list := &jobwire.Placements{}
	for _, a := range placements {
		list.Placements = append(list.Placements, &jobwire.Placement{
			Task:      a.Task,
			Run:       a.Run,
			Worker:    a.Target.ID,
			Born:      a.Target.Born,
			Alone:     a.Alone,
			Prompt:    a.Prompt,
			Bystander: a.Bystander,
			Suspects:  a.Suspects,
			Begun:     a.Begun,
			Others:    a.Others,
			LivedMs:   a.Lived.Milliseconds(),
		})
	}
	cmd := &jobwire.Command{
		Change: &jobwire.Command_Placements{
			Placements: list,
		},
	}
	c.record(ctx, sched, cmd, func() {
		for _, a := range placements {
			sched.PlacementRecorded(a)
		}
	})
}

// markLapsed writes the lapsed marks of one pass to the log. It has to learn that
// they are there, because the scheduler gives those workers no lease before.
func (c *Controller) markLapsed(ctx context.Context, sched *jobscheduler.Scheduler, marks []jobscheduler.MarkLapsed) {
	list := &jobwire.LapsedMarks{}
	for _, m := range marks {
		list.Marks = append(list.Marks, &jobwire.LapsedMark{
			Id:     m.ID,
			Born:   m.Born,
			Lapsed: m.Lapsed,
		})
	}
	cmd := &jobwire.Command{
		Change: &jobwire.Command_LapsedMarks{
			LapsedMarks: list,
		},
	}
	c.record(ctx, sched, cmd, func() {
		for _, m := range marks {
			sched.LapsedMarked(m)
		}
	})
}

// confineJobs writes the confinements of one pass to the log.
func (c *Controller) confineJobs(ctx context.Context, sched *jobscheduler.Scheduler, confinements []jobscheduler.ConfineJob) {
	list := &jobwire.JobConfinements{}
	for _, j := range confinements {
		list.Jobs = append(list.Jobs, &jobwire.JobConfinement{
			Id:          j.Job,
			DataCentres: j.DataCentres,
		})
	}
	cmd := &jobwire.Command{
		Change: &jobwire.Command_Confinements{
			Confinements: list,
		},
	}
	c.record(ctx, sched, cmd, func() {
		for _, j := range confinements {
			sched.JobConfined(j)
		}
	})
}

// record writes a command to the log, retries until it is there or this host stops
// leading, and reports it with recorded.
func (c *Controller) record(ctx context.Context, sched *jobscheduler.Scheduler, cmd *jobwire.Command, recorded func()) {
	for ctx.Err() == nil && c.isCurrent(sched) {
		err := c.recordOnce(ctx, cmd)
		if err == nil {
			c.withScheduler(sched, recorded)
			return
		}
		if errors.Is(err, errNotApplied) {
			c.opts.Logger.Error("conductor: a log entry of this host has no effect; it is not repeated", "error", err)
			return
		}
		c.opts.Logger.Info("conductor: write to the log failed; retrying while this host leads", "bytes", proto.Size(cmd), "error", err)
		c.sleep(ctx, recordRetryDelay)
	}
}

// sleep waits for d or until ctx ends.
func (c *Controller) sleep(ctx context.Context, d time.Duration) {
	t := c.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-ctx.Done():
	}
}

func (c *Controller) recordOnce(ctx context.Context, cmd *jobwire.Command) error {
	return c.recordWithin(ctx, logWriteTimeout, cmd)
}

// isCurrent reports whether the scheduler is the one of the current term.
func (c *Controller) isCurrent(sched *jobscheduler.Scheduler) bool {
	same := false
	c.opts.StateMachine.View(func(*jobkeeper.State) { same = c.sched == sched })
	return same
}

// submitBestEffort submits a command whose result nobody waits for; a failure
// is only logged.
func (c *Controller) submitBestEffort(ctx context.Context, cmd *jobwire.Command) {
	ctx, cancel := context.WithTimeout(ctx, logWriteTimeout)
	defer cancel()
	if _, err := c.submit(ctx, cmd); err != nil {
		c.opts.Logger.Info("conductor: recording a change of a worker or maintenance wave in the log failed", "error", err)
	}
}
