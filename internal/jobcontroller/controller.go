// Package jobcontroller runs jobs on the leader: it executes the actions that the
// scheduler decides on, records what workers report, and answers calls from
// submitters, workers and operators. Its log lines and errors keep the prefix
// "conductor:", by which operators search.
package jobcontroller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/ordersender"
	"github.com/heathermux/heathermux/internal/recoverer"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// maxAuthorityAge is how long after a majority last confirmed its
	// leadership this host still acts as the leader. It is shorter than the
	// minimum election timeout, so no other host can lead by then.
	maxAuthorityAge = 400 * time.Millisecond
	// minPassInterval is the minimum time between two scheduler passes, so that
	// a burst of events shares one pass.
	minPassInterval = 4 * time.Millisecond
	// passIntervalPerWorker is the minimum time between two passes per worker
	// of the fleet; it exceeds minPassInterval with more than 66 workers.
	passIntervalPerWorker = 60 * time.Microsecond
	// maxConcurrentActions bounds the actions executed at once, not counting
	// orders to workers.
	maxConcurrentActions = 256
	// logWriteTimeout bounds one write of task ends or of a worker or wave
	// change to the log.
	logWriteTimeout = 5 * time.Second
)

// Log is the replicated log whose entries the state machine of package jobkeeper
// applies.
type Log interface {
	Submit(ctx context.Context, data []byte) (any, error)
	Authority() voter.Authority
	Leader() (name string, self bool)
	// CaughtUp returns how far this host follows a leader.
	CaughtUp() voter.CaughtUp
}

// Provider lists, moves and maintains the hosts that workers run on. Its
// methods may be called concurrently.
type Provider interface {
	Hosts(ctx context.Context) ([]jobscheduler.Host, error)
	Maintain(ctx context.Context, fence uint64, a jobscheduler.Maintain) jobscheduler.HostAnswer
	Move(ctx context.Context, fence uint64, a jobscheduler.MoveHost) jobscheduler.HostAnswer
}

// Adviser decides which workers may run a step of a queue that uses placement
// advice.
type Adviser interface {
	// Advise returns the tickets by worker ID and how long they are valid.
	Advise(ctx context.Context, a jobscheduler.Advise) (map[string]string, time.Duration, error)
}

// Options configures a Controller.
type Options struct {
	Log          Log
	StateMachine *jobkeeper.StateMachine
	// Sender configures how orders are sent to workers.
	Sender ordersender.Options
	// Provider manages the hosts that workers run on.
	Provider Provider
	// Adviser is only called for steps of queues that use placement advice.
	Adviser Adviser
	// Clock is the clock that the log uses; it must include time spent
	// suspended.
	Clock    timer.Clock
	Logger   *slog.Logger
	Settings jobscheduler.Settings
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
}

// Controller runs the scheduler while this host leads. It is safe for concurrent
// use; create one with New.
type Controller struct {
	opts    Options
	metrics *metrics
	pool    pond.Pool
	wakeups chan struct{}

	// sched is nil while this host does not lead. It may only be used while the
	// lock of opts.StateMachine is held.
	sched *jobscheduler.Scheduler
	term  uint64
	// sender sends the orders of this term; nil while this host does not lead.
	// Only used by Run.
	sender *ordersender.Sender
	// workerCount is the number of workers at the last pass; only used by Run.
	workerCount int

	// mu guards sequences.
	mu sync.Mutex
	// sequences holds the sequence number of the newest heartbeat that took effect,
	// by the ID of the worker, for its latest incarnation.
	sequences map[string]heartbeatSequence
}

// heartbeatSequence orders the heartbeats of one worker.
type heartbeatSequence struct {
	born   int64
	number uint64
}

// after reports whether s is newer than other.
func (s heartbeatSequence) after(other heartbeatSequence) bool {
	return s.born > other.born || s.born == other.born && s.number > other.number
}

// New returns a Controller that is idle until Run is called.
func New(opts Options) *Controller {
	m := newMetrics()
	// A former leader may send an order that long after it was announced, and that
	// long after a majority last confirmed its lead.
	opts.Settings.ProviderOrderDelay += max(maxAuthorityAge, maxHostOrderAge)
	opts.Settings.ObserveStartDelay = func(d time.Duration) { m.firstStartWait.Observe(d.Seconds()) }
	c := &Controller{
		opts:      opts,
		metrics:   m,
		pool:      pond.NewPool(maxConcurrentActions),
		wakeups:   make(chan struct{}, 1),
		sequences: make(map[string]heartbeatSequence),
	}
	c.register()
	return c
}

// Run schedules jobs whenever this host leads, until ctx is cancelled.
func (c *Controller) Run(ctx context.Context) {
	t := c.opts.Clock.NewTimer(0)
	defer func() { t.Stop() }()
	for {
		select {
		case <-ctx.Done():
			c.stepDown()
			c.pool.Stop()
			return
		case <-c.wakeups:
			c.sleep(ctx, c.passInterval())
		case <-t.C():
		}
		t.Stop()
		t = c.opts.Clock.NewTimer(c.pass(ctx))
	}
}

// passInterval returns the minimum time between two passes. It grows with the
// fleet, because the cost of a pass does.
func (c *Controller) passInterval() time.Duration {
	return max(minPassInterval, time.Duration(c.workerCount)*passIntervalPerWorker)
}

// wake requests a pass soon.
func (c *Controller) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default:
	}
}

// authority returns the latest proof of leadership and whether it is still
// valid.
func (c *Controller) authority(now time.Time) (voter.Authority, bool) {
	a := c.opts.Log.Authority()
	return a, a.Confirmed && now.Sub(a.Contact) < maxAuthorityAge
}

// panickedPassDelay is the time to the next pass after one that panicked.
const panickedPassDelay = time.Second

// pass runs the scheduler once and returns the time until the next pass is due.
func (c *Controller) pass(ctx context.Context) time.Duration {
	now := c.opts.Clock.Now()
	authority, ok := c.authority(now)
	c.followTerm(now, authority, ok)
	if !ok {
		return maxAuthorityAge / 8
	}
	var actions []jobscheduler.Action
	var sched *jobscheduler.Scheduler
	next := now
	c.opts.StateMachine.View(func(*jobkeeper.State) {
		if sched = c.sched; sched == nil {
			return
		}
		sched.SetTime(c.opts.Clock.Now(), time.Now())
		// The next leader would read the same state and panic as well.
		err := recoverer.Run(c.opts.Logger, "conductor: a scheduling pass panicked; its actions are lost", func() {
			actions = sched.Pass(authority.Contact, c.sender.SenderCount())
			sched.HoldStarts(actions)
			next = sched.Next()
		})
		if err != nil {
			next = c.opts.Clock.Now().Add(panickedPassDelay)
		}
		c.workerCount = sched.Workers()
	})
	c.dispatch(ctx, sched, authority.Term, actions)
	return max(c.passInterval(), next.Sub(c.opts.Clock.Now()))
}

// followTerm starts a scheduler when this host begins to lead a term and drops
// it when that term has ended.
func (c *Controller) followTerm(now time.Time, authority voter.Authority, ok bool) {
	if c.term != 0 && authority.Term != c.term {
		c.opts.Logger.Info("conductor: no longer leads this term; scheduler stopped", "term", c.term)
		c.stepDown()
	}
	if c.term != 0 || !ok {
		return
	}
	c.term = authority.Term
	observer := &observer{
		wake: c.wake,
	}
	c.opts.StateMachine.Observe(observer, func(s *jobkeeper.State) {
		c.sched = jobscheduler.New(now, time.Now(), authority.Term, s, c.opts.Settings, c.opts.Logger)
		observer.Scheduler = c.sched
	})
	sched := c.sched
	c.sender = ordersender.New(c.opts.Sender, c.term, func(answers []ordersender.Answer) { c.handleAnswers(sched, answers) })
	c.opts.Logger.Info("conductor: leads a new term; scheduler started", "term", c.term)
}

// stepDown drops the scheduler and closes the sender of its orders.
func (c *Controller) stepDown() {
	c.term = 0
	c.opts.StateMachine.Observe(nil, func(*jobkeeper.State) { c.sched = nil })
	if c.sender != nil {
		c.sender.Close()
		c.sender = nil
	}
}

// observer forwards state changes to the scheduler and wakes the controller.
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

// withScheduler runs f, which reports an outcome to the scheduler that asked
// for the action. It skips f if that scheduler's term has ended.
func (c *Controller) withScheduler(sched *jobscheduler.Scheduler, f func()) {
	c.opts.StateMachine.View(func(*jobkeeper.State) {
		if c.sched != sched {
			return
		}
		sched.SetTime(c.opts.Clock.Now(), time.Now())
		// The panic is logged; the outcome counts as unknown to the scheduler.
		_ = recoverer.Run(c.opts.Logger, "conductor: handling an outcome panicked", f)
	})
	c.wake()
}

// errNotApplied means that a log entry was written and could not be executed. A
// repetition would fail in the same way.
var errNotApplied = errors.New("conductor: the log entry could not be executed")

// submit writes a command to the log and returns the result of applying it. The
// error is errNotApplied if the entry has no effect.
func (c *Controller) submit(ctx context.Context, cmd *jobwire.Command) (any, error) {
	cmd.ProposedAtUnixNanos = time.Now().UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "conductor: encode command")
	}
	result, err := c.opts.Log.Submit(ctx, data)
	if applyErr, ok := result.(error); err == nil && ok {
		return nil, errors.Wrap(errNotApplied, applyErr.Error())
	}
	return result, err
}
