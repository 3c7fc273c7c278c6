// Package conductor runs jobs on the leader: it carries out the actions of the
// scheduler, records what workers report, and answers the calls of submitters,
// workers and operators.
package conductor

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/courier"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// authorityLimit is the age of the last confirmation up to which this host
	// acts as the leader. It is below the least election timeout, so that no
	// other host leads by then.
	authorityLimit = 400 * time.Millisecond
	// passInterval is the least time between two passes, so that events of a
	// burst share one.
	passInterval = 4 * time.Millisecond
	// passShare is the part of that time for each worker of a large fleet.
	passShare = 40 * time.Microsecond
	// actionsInFlight bounds what is being done beside the orders to workers.
	actionsInFlight = 256
	// recordTimeout bounds the writing of ends to the log.
	recordTimeout = 5 * time.Second
)

// Log is the replicated log that the keeper belongs to.
type Log interface {
	Submit(ctx context.Context, data []byte) (any, error)
	Authority() voter.Authority
	Leader() (name string, self bool)
}

// Provider moves and maintains the hosts of workers. Its methods may be called
// from any number of goroutines.
type Provider interface {
	Hosts(ctx context.Context) ([]jobscheduler.Host, error)
	Maintain(ctx context.Context, fence uint64, a jobscheduler.Maintain) jobscheduler.HostAnswer
	Move(ctx context.Context, fence uint64, a jobscheduler.MoveHost) jobscheduler.HostAnswer
}

// Adviser knows which workers may run a step of an advised queue.
type Adviser interface {
	// Advise returns the tickets by worker and how long they are valid.
	Advise(ctx context.Context, a jobscheduler.Advise) (map[string]string, time.Duration, error)
}

// Options set up a Conductor.
type Options struct {
	Log    Log
	Keeper *jobkeeper.Keeper
	// Courier says how orders get to the workers.
	Courier courier.Options
	// Provider is the one of the workers' hosts.
	Provider Provider
	// Adviser is asked for the steps of advised queues only.
	Adviser Adviser
	// Clock is the one of the log; it must count suspended time.
	Clock    timer.Clock
	Logger   *slog.Logger
	Settings jobscheduler.Settings
	// Registerer takes the metrics; nil means none.
	Registerer prometheus.Registerer
}

// Conductor is safe for concurrent use; make one with New.
type Conductor struct {
	opts    Options
	metrics *metrics
	pool    pond.Pool
	wakes   chan struct{}

	// sched is nil while this host does not lead. It is used with the lock of
	// the keeper held.
	sched *jobscheduler.Scheduler
	term  uint64
	// courier carries the orders of this term; nil while this host does not
	// lead. Used by Run only.
	courier *courier.Courier
	// workers is the number of workers at the last pass; used by Run only.
	workers int

	// mu guards sequences.
	mu sync.Mutex
	// sequences holds the newest heartbeat of each life of a worker.
	sequences map[life]uint64
}

type life struct {
	id   string
	born int64
}

// New returns a conductor that does nothing until Run.
func New(opts Options) *Conductor {
	m := newMetrics()
	opts.Settings.Waited = func(d time.Duration) { m.waited.Observe(d.Seconds()) }
	c := &Conductor{
		opts:      opts,
		metrics:   m,
		pool:      pond.NewPool(actionsInFlight),
		wakes:     make(chan struct{}, 1),
		sequences: make(map[life]uint64),
	}
	c.register()
	return c
}

// Run conducts until ctx ends.
func (c *Conductor) Run(ctx context.Context) {
	t := c.opts.Clock.NewTimer(0)
	defer func() { t.Stop() }()
	for {
		select {
		case <-ctx.Done():
			c.resign()
			c.pool.Stop()
			return
		case <-c.wakes:
			pause := c.opts.Clock.NewTimer(c.interval())
			<-pause.C()
		case <-t.C():
		}
		t.Stop()
		t = c.opts.Clock.NewTimer(c.pass(ctx))
	}
}

// interval returns the least time between two passes, which grows with the
// fleet as a pass does.
func (c *Conductor) interval() time.Duration {
	return max(passInterval, time.Duration(c.workers)*passShare)
}

// wake makes the next pass happen soon.
func (c *Conductor) wake() {
	select {
	case c.wakes <- struct{}{}:
	default:
	}
}

// authority returns the proof that this host leads now.
func (c *Conductor) authority(now time.Time) (voter.Authority, bool) {
	a := c.opts.Log.Authority()
	return a, a.Confirmed && now.Sub(a.Contact) < authorityLimit
}

// pass runs the scheduler once and returns the time until the next pass.
func (c *Conductor) pass(ctx context.Context) time.Duration {
	now := c.opts.Clock.Now()
	authority, ok := c.authority(now)
	c.follow(now, authority, ok)
	if !ok {
		return authorityLimit / 8
	}
	var actions []jobscheduler.Action
	var sched *jobscheduler.Scheduler
	next := now
	c.opts.Keeper.View(func(*jobkeeper.State) {
		if sched = c.sched; sched == nil {
			return
		}
		sched.SetTime(c.opts.Clock.Now(), time.Now())
		actions = sched.Pass(authority.Contact, c.courier.SenderCount())
		next = sched.Next()
		c.workers = sched.Workers()
	})
	c.carryOut(ctx, sched, authority.Term, actions)
	return max(c.interval(), next.Sub(c.opts.Clock.Now()))
}

// follow begins and ends the scheduler with the term that this host leads.
func (c *Conductor) follow(now time.Time, authority voter.Authority, ok bool) {
	if c.term != 0 && authority.Term != c.term {
		c.opts.Logger.Info("conductor: lead has ended", "term", c.term)
		c.resign()
	}
	if c.term != 0 || !ok {
		return
	}
	c.term = authority.Term
	observer := &observer{
		wake: c.wake,
	}
	c.opts.Keeper.Observe(observer, func(s *jobkeeper.State) {
		c.sched = jobscheduler.New(now, time.Now(), authority.Term, s, c.opts.Settings, c.opts.Logger)
		observer.Scheduler = c.sched
	})
	sched := c.sched
	c.courier = courier.New(c.opts.Courier, c.term, func(answers []courier.Answer) { c.answered(sched, answers) })
	c.opts.Logger.Info("conductor: leads", "term", c.term)
}

// resign ends the scheduler and what carries its orders.
func (c *Conductor) resign() {
	c.term = 0
	c.opts.Keeper.Observe(nil, func(*jobkeeper.State) { c.sched = nil })
	if c.courier != nil {
		c.courier.Close()
		c.courier = nil
	}
}

// observer passes changes of the state on to the scheduler and wakes the
// conductor.
type observer struct {
	*jobscheduler.Scheduler
	wake func()
}

// JobAdded implements jobkeeper.Observer.
func (o *observer) JobAdded(j *jobkeeper.Job) {
	o.Scheduler.JobAdded(j)
	o.wake()
}

// JobEnded implements jobkeeper.Observer.
func (o *observer) JobEnded(j *jobkeeper.Job) {
	o.Scheduler.JobEnded(j)
	o.wake()
}

// RunEnded implements jobkeeper.Observer.
func (o *observer) RunEnded(j *jobkeeper.Job, end *jobwire.End) {
	o.Scheduler.RunEnded(j, end)
	o.wake()
}

// WorkerChanged implements jobkeeper.Observer.
func (o *observer) WorkerChanged(w *jobwire.Worker) {
	o.Scheduler.WorkerChanged(w)
	o.wake()
}

// with reports an outcome to the scheduler that asked for the action.
func (c *Conductor) with(sched *jobscheduler.Scheduler, f func()) {
	c.opts.Keeper.View(func(*jobkeeper.State) {
		if c.sched != sched {
			return
		}
		sched.SetTime(c.opts.Clock.Now(), time.Now())
		f()
	})
	c.wake()
}

// submit writes a command to the log and returns its result.
func (c *Conductor) submit(ctx context.Context, cmd *jobwire.Command) (any, error) {
	cmd.ProposedAtUnixNanos = time.Now().UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "conductor: encode command")
	}
	return c.opts.Log.Submit(ctx, data)
}
