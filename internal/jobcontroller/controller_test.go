package jobcontroller_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobcontroller"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/ordersender"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// singleReplicaLog is an in-memory log with a single replica.
type singleReplicaLog struct {
	mu      sync.Mutex
	machine *jobkeeper.StateMachine
	// outcomeUnknown makes Submit return voter.ErrOutcomeUnknown without
	// appending the entry.
	outcomeUnknown bool
	// staleLead makes the last confirmation of leadership 10 s old.
	staleLead bool
	// caughtUp is what CaughtUp returns.
	caughtUp voter.CaughtUp
	// applyError is the result of each entry, which is not executed; nil for none.
	applyError error
	// onHostOrders, if not nil, is called after the announcement of orders to the
	// provider has been applied.
	onHostOrders func(*jobwire.HostOrders)
	// beforeStarts, if not nil, is called before recorded starts are applied, without the
	// lock.
	beforeStarts func(*jobwire.RecordedStarts)
	// failStarts, if not nil, is called in place of the write of recorded starts, whose
	// outcome is unknown then.
	failStarts func()
}

func (l *singleReplicaLog) setOutcomeUnknown(unknown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomeUnknown = unknown
}

func (l *singleReplicaLog) setApplyError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyError = err
}

func (l *singleReplicaLog) Submit(_ context.Context, data []byte) (any, error) {
	starts := recordedStartsIn(data)
	l.mu.Lock()
	before := l.beforeStarts
	l.mu.Unlock()
	if len(starts.GetStarts()) > 0 && before != nil {
		before(starts)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(starts.GetStarts()) > 0 && l.failStarts != nil {
		l.failStarts()
		return nil, voter.ErrOutcomeUnknown
	}
	if l.outcomeUnknown {
		return nil, voter.ErrOutcomeUnknown
	}
	if l.applyError != nil {
		return l.applyError, nil
	}
	result := l.machine.Apply(data)
	cmd := &jobwire.Command{}
	if proto.Unmarshal(data, cmd) == nil && cmd.GetHostOrders() != nil && l.onHostOrders != nil {
		l.onHostOrders(cmd.GetHostOrders())
	}
	return result, nil
}

// recordedStartsIn returns the recorded starts of an entry; nil if it is another one.
func recordedStartsIn(data []byte) *jobwire.RecordedStarts {
	cmd := &jobwire.Command{}
	if proto.Unmarshal(data, cmd) != nil {
		return nil
	}
	return cmd.GetRecordedStarts()
}

func (l *singleReplicaLog) Authority() voter.Authority {
	l.mu.Lock()
	defer l.mu.Unlock()
	contact := time.Now()
	if l.staleLead {
		contact = contact.Add(-10 * time.Second)
	}
	return voter.Authority{
		Term:      1,
		Contact:   contact,
		Confirmed: true,
	}
}

// apply applies a command as an entry of another leader.
func (l *singleReplicaLog) apply(cmd *jobwire.Command) {
	cmd.ProposedAtUnixNanos = time.Now().UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	if err, failed := l.machine.Apply(data).(error); failed {
		panic(err)
	}
}

func (l *singleReplicaLog) CaughtUp() voter.CaughtUp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.caughtUp
}

// follow makes the replica one that does not lead and follows a leader.
func (l *singleReplicaLog) follow(caughtUp voter.CaughtUp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.staleLead, l.caughtUp = true, caughtUp
}

func (l *singleReplicaLog) Leader() (string, bool) { return "self", true }

// fakeWorkers is a set of workers whose tasks end at the next poll.
type fakeWorkers struct {
	mu       sync.Mutex
	started  map[string]int
	running  map[string][]jobscheduler.RunningTask
	ended    map[string][]jobscheduler.EndedTask
	endCount map[string]uint64
	// keepRunning keeps tasks running until they are stopped.
	keepRunning bool
}

func newFakeWorkers() *fakeWorkers {
	return &fakeWorkers{
		started:  make(map[string]int),
		running:  make(map[string][]jobscheduler.RunningTask),
		ended:    make(map[string][]jobscheduler.EndedTask),
		endCount: make(map[string]uint64),
	}
}

// setKeepRunning keeps tasks running from now on.
func (c *fakeWorkers) setKeepRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepRunning = true
}

func (c *fakeWorkers) Start(_ context.Context, _ uint64, a jobscheduler.Start) (jobscheduler.StartAnswer, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started[fmt.Sprintf("%s.%d", a.Task.GetJob(), a.Task.GetIndex())]++
	c.running[a.Target.ID] = append(c.running[a.Target.ID], jobscheduler.RunningTask{
		Task:    a.Task,
		Run:     a.Run,
		Percent: 100,
	})
	return jobscheduler.StartAccepted, time.Now().UnixMilli()
}

func (c *fakeWorkers) endTask(id string, t jobscheduler.RunningTask, ending jobwire.Ending) {
	c.endCount[id]++
	c.ended[id] = append(c.ended[id], jobscheduler.EndedTask{
		Number: c.endCount[id],
		End: &jobwire.End{
			Task:   t.Task,
			Run:    t.Run,
			Ending: ending,
		},
	})
}

func (c *fakeWorkers) Stop(_ context.Context, _ uint64, a jobscheduler.Stop) (bool, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var remaining []jobscheduler.RunningTask
	for _, t := range c.running[a.Target.ID] {
		if t.Run == a.Run && t.Task.GetIndex() == a.Task.GetIndex() && t.Task.GetJob() == a.Task.GetJob() {
			c.endTask(a.Target.ID, t, jobwire.Ending_ENDING_STOPPED)
			continue
		}
		remaining = append(remaining, t)
	}
	c.running[a.Target.ID] = remaining
	return true, time.Now().UnixMilli()
}

func (c *fakeWorkers) Poll(_ context.Context, _ uint64, a jobscheduler.Poll) jobscheduler.PollAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.keepRunning {
		for _, t := range c.running[a.Target.ID] {
			c.endTask(a.Target.ID, t, jobwire.Ending_ENDING_DONE)
		}
		c.running[a.Target.ID] = nil
	}
	answer := jobscheduler.PollAnswer{
		Clock:   time.Now().UnixMilli(),
		Running: append([]jobscheduler.RunningTask(nil), c.running[a.Target.ID]...),
	}
	for _, e := range c.ended[a.Target.ID] {
		if e.Number > a.LastRecordedEnd {
			answer.Ended = append(answer.Ended, e)
		}
	}
	return answer
}

// emptyProvider is a provider without hosts.
type emptyProvider struct{}

func (emptyProvider) Hosts(context.Context) ([]jobscheduler.Host, error) {
	return []jobscheduler.Host{}, nil
}

func (emptyProvider) Maintain(context.Context, uint64, jobscheduler.Maintain) jobscheduler.HostAnswer {
	return jobscheduler.HostOrderInvalid
}

func (emptyProvider) Move(context.Context, uint64, jobscheduler.MoveHost) jobscheduler.HostAnswer {
	return jobscheduler.HostOrderInvalid
}

type harness struct {
	is         *is.I
	log        *singleReplicaLog
	workers    *fakeWorkers
	controller *jobcontroller.Controller
}

func newHarness(t *testing.T) *harness {
	s := &harness{
		is: is.New(t),
		log: &singleReplicaLog{
			machine: jobkeeper.New(timer.System()),
		},
		workers: newFakeWorkers(),
	}
	local := ordersender.NewLocalSender(s.workers, timer.System(), slog.New(slog.DiscardHandler))
	t.Cleanup(local.Close)
	s.controller = jobcontroller.New(jobcontroller.Options{
		Log:          s.log,
		StateMachine: s.log.machine,
		Sender: ordersender.Options{
			Local:  local,
			Clock:  timer.System(),
			Logger: slog.New(slog.DiscardHandler),
		},
		Provider: emptyProvider{},
		Clock:    timer.System(),
		Logger:   slog.New(slog.DiscardHandler),
		Settings: jobscheduler.Settings{
			Lease:             3 * time.Second,
			RecordBatchStarts: true,
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.controller.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	s.is.Equal(s.configure(configuration(1)), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(s.heartbeat("w", "10.0.0.1:1", 1, 1), jobwire.Outcome_OUTCOME_OK)
	// Calls before the first pass are refused as unavailable.
	s.awaitLeader()
	return s
}

// with returns a copy of the harness that reports to another test.
func (s *harness) with(t *testing.T) *harness {
	h := *s
	h.is = is.New(t)
	return &h
}

func configuration(version uint64) *jobwire.Configuration {
	return &jobwire.Configuration{
		Version:        version,
		Document:       []byte(fmt.Sprint(version)),
		BodyLimitBytes: 1000,
		Pools: []*jobwire.Pool{
			{
				Name: "p",
			},
		},
		Queues: []*jobwire.Queue{
			{
				Name:         "q",
				Host:         "h",
				Prefix:       "/q/",
				Pool:         "p",
				Attempts:     2,
				TimeoutNanos: 1,
			},
			{
				Name:         "open",
				Host:         "h",
				Prefix:       "/q/open/",
				Pool:         "p",
				Attempts:     2,
				TimeoutNanos: 1,
				Public:       true,
			},
		},
		Accounts: []*jobwire.Account{
			{
				Name: "one",
				Keys: []string{"key"},
			},
		},
	}
}

func (s *harness) configure(c *jobwire.Configuration) jobwire.Outcome {
	return s.controller.Control(context.Background(), &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_Configure{
			Configure: c,
		},
	}).GetOutcome()
}

func (s *harness) heartbeat(id, address string, born int64, sequence uint64) jobwire.Outcome {
	return s.heartbeatOf("p", id, address, born, sequence)
}

func (s *harness) heartbeatOf(pool, id, address string, born int64, sequence uint64) jobwire.Outcome {
	return s.report(newReport(pool, id, address, born, sequence))
}

// drain sends a heartbeat that says that the worker drains.
func (s *harness) drain(id, address string, born int64, sequence uint64) jobwire.Outcome {
	r := newReport("p", id, address, born, sequence)
	r.Worker.Draining = true
	return s.report(r)
}

func (s *harness) report(r *jobwire.WorkerReport) jobwire.Outcome {
	return s.controller.Control(context.Background(), &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_Report{
			Report: r,
		},
	}).GetOutcome()
}

func newReport(pool, id, address string, born int64, sequence uint64) *jobwire.WorkerReport {
	return &jobwire.WorkerReport{
		Worker: &jobwire.Worker{
			Id:      id,
			Born:    born,
			Pool:    pool,
			Address: address,
			Capacity: &wire.Resources{
				MilliCores: 4000,
			},
		},
		Sequence:    sequence,
		ClockMillis: time.Now().UnixMilli(),
	}
}

func (s *harness) call(path, key string, req *jobwire.JobRequest) *jobwire.JobResponse {
	req.Address = &jobwire.Address{
		Host: "h",
		Path: path,
		Key:  key,
	}
	return s.controller.Job(context.Background(), req)
}

func submitRequest() *jobwire.JobRequest {
	return &jobwire.JobRequest{
		Call: &jobwire.JobRequest_Submit{
			Submit: &jobwire.Job{
				Steps: []*jobwire.Step{
					{
						Tasks: 3,
						Each: &wire.Resources{
							MilliCores: 1000,
						},
					},
				},
			},
		},
	}
}

func getRequest() *jobwire.JobRequest {
	return &jobwire.JobRequest{
		Call: &jobwire.JobRequest_Get{
			Get: &jobwire.GetJob{},
		},
	}
}

func cancelRequest() *jobwire.JobRequest {
	return &jobwire.JobRequest{
		Call: &jobwire.JobRequest_Cancel{
			Cancel: &jobwire.CancelJob{},
		},
	}
}

// awaitState waits until a job is in the given state.
func (s *harness) awaitState(path string, state jobwire.JobState) {
	for range 500 {
		if s.call(path, "key", getRequest()).GetState() == state {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.is.Equal(s.call(path, "key", getRequest()).GetState(), state)
}

const path = "/q/0123456789abcdef"

// A job that is submitted again after its answer was lost must run once.
func TestJobRunsOnce(t *testing.T) {
	s := newHarness(t)
	for range 3 {
		s.is.Equal(s.call(path, "key", submitRequest()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	}
	s.awaitState(path, jobwire.JobState_JOB_STATE_COMPLETED)
	s.is.Equal(s.call(path, "key", submitRequest()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(s.workers.started, map[string]int{
		"0123456789abcdef.0": 1,
		"0123456789abcdef.1": 1,
		"0123456789abcdef.2": 1,
	})
}

// Running tasks of a cancelled job must be stopped, and the job must stay
// cancelled.
func TestCancelledJobIsStopped(t *testing.T) {
	s := newHarness(t)
	s.workers.setKeepRunning()
	s.is.Equal(s.call(path, "key", submitRequest()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	s.awaitState(path, jobwire.JobState_JOB_STATE_RUNNING)
	s.is.Equal(s.call(path, "key", cancelRequest()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(s.call(path, "key", getRequest()).GetState(), jobwire.JobState_JOB_STATE_CANCELLED)
	for range 500 {
		s.workers.mu.Lock()
		left := len(s.workers.running["w"])
		s.workers.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("tasks of a cancelled job still run")
}

// Each call must be answered at once with the given outcome.
func TestAnswersAtOnce(t *testing.T) {
	large := submitRequest()
	large.BodyBytes = 1001
	cases := map[string]struct {
		path, key string
		req       *jobwire.JobRequest
		outcome   jobwire.Outcome
	}{
		"no such queue": {
			path:    "/x/0123456789abcdef",
			key:     "key",
			req:     submitRequest(),
			outcome: jobwire.Outcome_OUTCOME_NO_QUEUE,
		},
		"key not granted": {
			path:    path,
			key:     "other",
			req:     submitRequest(),
			outcome: jobwire.Outcome_OUTCOME_UNAUTHORIZED,
		},
		"no key": {
			path:    path,
			req:     submitRequest(),
			outcome: jobwire.Outcome_OUTCOME_UNAUTHORIZED,
		},
		"public queue": {
			path:    "/q/open/0123456789abcdee",
			req:     submitRequest(),
			outcome: jobwire.Outcome_OUTCOME_OK,
		},
		"no such job": {
			path:    path,
			key:     "key",
			req:     getRequest(),
			outcome: jobwire.Outcome_OUTCOME_NO_JOB,
		},
		"cancel of no job": {
			path:    path,
			key:     "key",
			req:     cancelRequest(),
			outcome: jobwire.Outcome_OUTCOME_NO_JOB,
		},
		"id of other size": {
			path:    "/q/0123",
			key:     "key",
			req:     getRequest(),
			outcome: jobwire.Outcome_OUTCOME_INVALID,
		},
		"body too large": {
			path:    path,
			key:     "key",
			req:     large,
			outcome: jobwire.Outcome_OUTCOME_TOO_LARGE,
		},
		"jobs of the queue": {
			path:    "/q/",
			key:     "key",
			req:     getRequest(),
			outcome: jobwire.Outcome_OUTCOME_OK,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t)
			s.is.Equal(s.call(c.path, c.key, c.req).GetOutcome(), c.outcome)
		})
	}
}

// awaitLeader waits until the controller leads and answers calls.
func (s *harness) awaitLeader() {
	for range 500 {
		if s.call("/q/", "key", getRequest()).GetOutcome() == jobwire.Outcome_OUTCOME_OK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.is.Fail() // no leader answered in 5 s
}

// A job that may or may not be in the log must be answered neither as accepted
// nor as refused.
func TestUnknownOutcomeIsReported(t *testing.T) {
	s := newHarness(t)
	s.log.mu.Lock()
	s.log.outcomeUnknown = true
	s.log.mu.Unlock()
	s.is.Equal(s.call(path, "key", submitRequest()).GetOutcome(), jobwire.Outcome_OUTCOME_UNKNOWN)
}

// An invalid configuration must be rejected even if its version is old, and an
// old valid one must be acknowledged without effect.
func TestConfigurationVersions(t *testing.T) {
	s := newHarness(t)
	s.is.Equal(s.configure(configuration(5)), jobwire.Outcome_OUTCOME_OK)
	bad := configuration(3)
	bad.Queues[0].TimeoutNanos = 0
	s.is.Equal(s.configure(bad), jobwire.Outcome_OUTCOME_INVALID)
	old := configuration(4)
	old.Queues = nil
	s.is.Equal(s.configure(old), jobwire.Outcome_OUTCOME_OK)
	resp := s.controller.Control(context.Background(), &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_Read{
			Read: &jobwire.ReadConfiguration{},
		},
	})
	s.is.Equal(string(resp.GetDocument()), "5")
}

// An evacuation order that another one has overtaken must not be acknowledged: its caller may
// still want it, and then has to send it again.
func TestSupersededEvacuationOrderIsNotAcknowledged(t *testing.T) {
	s := newHarness(t)
	evacuate := func(finish bool, revision uint64) jobwire.Outcome {
		return s.controller.Control(context.Background(), &jobwire.ControlRequest{
			Call: &jobwire.ControlRequest_Evacuate{
				Evacuate: &jobwire.Evacuation{
					DataCentre:       "dc",
					Finish:           finish,
					ExpectedRevision: proto.Uint64(revision),
				},
			},
		}).GetOutcome()
	}
	s.is.Equal(evacuate(false, 0), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(evacuate(true, 0), jobwire.Outcome_OUTCOME_UNAVAILABLE)
	resp := s.controller.Control(context.Background(), &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_ReadEvacuation{
			ReadEvacuation: &jobwire.ReadEvacuation{
				DataCentre: "dc",
			},
		},
	})
	s.is.Equal(resp.GetEvacuationRevision(), uint64(1))
	s.is.Equal(evacuate(true, 1), jobwire.Outcome_OUTCOME_OK)
}

// A delayed heartbeat must not bring back a worker whose address another worker
// has taken over.
func TestDelayedHeartbeatIsIgnored(t *testing.T) {
	s := newHarness(t)
	s.is.Equal(s.heartbeat("other", "10.0.0.1:1", 2, 1), jobwire.Outcome_OUTCOME_OK)
	workers := func() (ids []string) {
		s.log.machine.View(func(state *jobkeeper.State) { ids = slices.Sorted(maps.Keys(state.Workers)) })
		return ids
	}
	// The former worker is removed once the other one has answered from its address.
	for range 500 {
		if len(workers()) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.is.Equal(workers(), []string{"other"})
	s.is.Equal(s.heartbeat("w", "10.0.0.1:1", 1, 2), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(workers(), []string{"other"})
}

// Another writer sends a heartbeat for the address of a worker. It must not remove that worker,
// nor add one of a pool that no configuration names.
func TestHeartbeatOfAnotherWriterRemovesNoWorker(t *testing.T) {
	for name, test := range map[string]struct {
		pool  string
		known bool
	}{
		"unknown pool": {
			pool: "pool-of-another-system",
		},
		"known pool": {
			pool:  "p",
			known: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t)
			s.is.Equal(s.heartbeat("w2", "10.0.0.2:1", 1, 1), jobwire.Outcome_OUTCOME_OK)
			s.is.Equal(s.heartbeatOf(test.pool, "x", "10.0.0.2:1", 2, 1), jobwire.Outcome_OUTCOME_OK)
			s.log.machine.View(func(state *jobkeeper.State) {
				s.is.True(state.Workers["w2"] != nil)
				s.is.Equal(state.Workers["x"] != nil, test.known)
			})
		})
	}
}

// A heartbeat with the id and start of a worker, but another address or pool, is not its own:
// these stay for the life of its process.
func TestHeartbeatMovesNoWorker(t *testing.T) {
	s := newHarness(t)
	s.is.Equal(s.heartbeat("w2", "10.0.0.2:1", 1, 1), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(s.heartbeat("w2", "10.0.0.3:1", 1, 2), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(s.heartbeatOf("pool-of-another-system", "w2", "10.0.0.2:1", 1, 3), jobwire.Outcome_OUTCOME_OK)
	s.log.machine.View(func(state *jobkeeper.State) {
		s.is.Equal(state.Workers["w2"].GetAddress(), "10.0.0.2:1")
		s.is.Equal(state.Workers["w2"].GetPool(), "p")
	})
}

// Another writer leaves an odd heartbeat under the id of a worker. If it counted as the newest,
// the worker's own later heartbeats, such as that it drains, would be taken for delayed ones.
func TestOddHeartbeatOutdatesNoOther(t *testing.T) {
	for name, odd := range map[string]func(s *harness){
		"sequence number out of reach": func(s *harness) { s.heartbeat("w2", "10.0.0.2:1", 1, math.MaxUint64) },
		"start in the far future":      func(s *harness) { s.heartbeat("w2", "10.0.0.2:1", math.MaxInt64, 1) },
		"another pool":                 func(s *harness) { s.heartbeatOf("other", "w2", "10.0.0.2:1", 1, 9) },
		"port out of range":            func(s *harness) { s.heartbeat("w2", "10.0.0.2:99999", 2, 9) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t)
			s.is.Equal(s.heartbeat("w2", "10.0.0.2:1", 1, 1), jobwire.Outcome_OUTCOME_OK)
			odd(s)
			s.is.Equal(s.drain("w2", "10.0.0.2:1", 1, 2), jobwire.Outcome_OUTCOME_OK)
			s.log.machine.View(func(state *jobkeeper.State) {
				s.is.True(state.Workers["w2"].GetDraining())
				s.is.Equal(state.Workers["w2"].GetBorn(), int64(1))
			})
		})
	}
}

// A heartbeat that tells of a change may fail because its log write does. The worker
// repeats it, and a forwarding host may do so under the same sequence number: it must
// not count as an old one, or the change is acknowledged without effect.
func TestHeartbeatIsRepeatedAfterFailedWrite(t *testing.T) {
	s := newHarness(t)
	s.log.setOutcomeUnknown(true)
	s.is.Equal(s.heartbeat("w2", "10.0.0.2:1", 1, 7), jobwire.Outcome_OUTCOME_UNKNOWN)
	s.log.setOutcomeUnknown(false)
	s.is.Equal(s.heartbeat("w2", "10.0.0.2:1", 1, 7), jobwire.Outcome_OUTCOME_OK)
	known := func(id string) (ok bool) {
		s.log.machine.View(func(state *jobkeeper.State) { _, ok = state.Workers[id] })
		return ok
	}
	s.is.True(known("w2"))
	// An older one, also of a former incarnation, still changes nothing.
	s.is.Equal(s.heartbeat("w2", "10.0.0.3:1", 1, 6), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(s.heartbeat("w2", "10.0.0.3:1", 0, 9), jobwire.Outcome_OUTCOME_OK)
	s.log.machine.View(func(state *jobkeeper.State) { s.is.Equal(state.Workers["w2"].GetAddress(), "10.0.0.2:1") })
}

// An entry that is in the log and can't be executed must not be acknowledged.
func TestEntryWithoutEffectIsNotAcknowledged(t *testing.T) {
	s := newHarness(t)
	s.log.setApplyError(errors.New("unreadable"))
	s.is.Equal(s.configure(configuration(2)), jobwire.Outcome_OUTCOME_UNKNOWN)
	s.is.Equal(s.call(path, "key", submitRequest()).GetOutcome(), jobwire.Outcome_OUTCOME_UNKNOWN)
}
