package conductor_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/conductor"
	"github.com/heathermux/heathermux/internal/courier"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// soloLog is a log of one replica that holds nothing on disk.
type soloLog struct {
	mu     sync.Mutex
	keeper *jobkeeper.Keeper
	// lost is true when entries are not appended any more.
	lost bool
	// stale is true when the last confirmation of the lead is old.
	stale bool
}

func (l *soloLog) Submit(_ context.Context, data []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return nil, voter.ErrOutcomeUnknown
	}
	return l.keeper.Apply(data), nil
}

func (l *soloLog) Authority() voter.Authority {
	l.mu.Lock()
	defer l.mu.Unlock()
	contact := time.Now()
	if l.stale {
		contact = contact.Add(-10 * time.Second)
	}
	return voter.Authority{
		Term:      1,
		Contact:   contact,
		Confirmed: true,
	}
}

func (l *soloLog) Leader() (string, bool) { return "self", true }

// crew is a set of workers whose tasks end as soon as they are looked at.
type crew struct {
	mu      sync.Mutex
	started map[string]int
	running map[string][]jobscheduler.RunningTask
	ended   map[string][]jobscheduler.EndedTask
	count   map[string]uint64
	// lasting keeps tasks at work until they are stopped.
	lasting bool
}

func newCrew() *crew {
	return &crew{
		started: make(map[string]int),
		running: make(map[string][]jobscheduler.RunningTask),
		ended:   make(map[string][]jobscheduler.EndedTask),
		count:   make(map[string]uint64),
	}
}

func (c *crew) Start(_ context.Context, _ uint64, a jobscheduler.Start) (jobscheduler.StartAnswer, int64) {
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

func (c *crew) end(id string, t jobscheduler.RunningTask, how jobwire.Ending) {
	c.count[id]++
	c.ended[id] = append(c.ended[id], jobscheduler.EndedTask{
		Number: c.count[id],
		End: &jobwire.End{
			Task:   t.Task,
			Run:    t.Run,
			Ending: how,
		},
	})
}

func (c *crew) Stop(_ context.Context, _ uint64, a jobscheduler.Stop) (bool, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rest []jobscheduler.RunningTask
	for _, t := range c.running[a.Target.ID] {
		if t.Run == a.Run && t.Task.GetIndex() == a.Task.GetIndex() && t.Task.GetJob() == a.Task.GetJob() {
			c.end(a.Target.ID, t, jobwire.Ending_ENDING_STOPPED)
			continue
		}
		rest = append(rest, t)
	}
	c.running[a.Target.ID] = rest
	return true, time.Now().UnixMilli()
}

func (c *crew) Look(_ context.Context, _ uint64, a jobscheduler.Look) jobscheduler.LookAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lasting {
		for _, t := range c.running[a.Target.ID] {
			c.end(a.Target.ID, t, jobwire.Ending_ENDING_DONE)
		}
		c.running[a.Target.ID] = nil
	}
	answer := jobscheduler.LookAnswer{
		Clock:   time.Now().UnixMilli(),
		Running: append([]jobscheduler.RunningTask(nil), c.running[a.Target.ID]...),
	}
	for _, e := range c.ended[a.Target.ID] {
		if e.Number > a.Seen {
			answer.Ended = append(answer.Ended, e)
		}
	}
	return answer
}

func (c *crew) Pace(context.Context, uint64, jobscheduler.Pace) error { return nil }

// noHosts is a provider without hosts.
type noHosts struct{}

func (noHosts) Hosts(context.Context) ([]jobscheduler.Host, error) {
	return []jobscheduler.Host{}, nil
}

func (noHosts) Maintain(context.Context, uint64, jobscheduler.Maintain) jobscheduler.HostAnswer {
	return jobscheduler.HostOrderInvalid
}

func (noHosts) Move(context.Context, uint64, jobscheduler.MoveHost) jobscheduler.HostAnswer {
	return jobscheduler.HostOrderInvalid
}

type session struct {
	is        *is.I
	log       *soloLog
	crew      *crew
	conductor *conductor.Conductor
}

func newSession(t *testing.T) *session {
	s := &session{
		is: is.New(t),
		log: &soloLog{
			keeper: jobkeeper.New(),
		},
		crew: newCrew(),
	}
	local := courier.NewLocal(s.crew, timer.System(), slog.New(slog.DiscardHandler))
	t.Cleanup(local.Close)
	s.conductor = conductor.New(conductor.Options{
		Log:    s.log,
		Keeper: s.log.keeper,
		Courier: courier.Options{
			Local:  local,
			Clock:  timer.System(),
			Logger: slog.New(slog.DiscardHandler),
		},
		Provider: noHosts{},
		Clock:    timer.System(),
		Logger:   slog.New(slog.DiscardHandler),
		Settings: jobscheduler.Settings{
			Lease: 3 * time.Second,
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.conductor.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	s.is.Equal(s.configure(configuration(1)), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(s.heartbeat("w", "10.0.0.1:1", 1, 1), jobwire.Outcome_OUTCOME_OK)
	// A call that comes before the first pass is told to come back.
	s.reachable()
	return s
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

func (s *session) configure(c *jobwire.Configuration) jobwire.Outcome {
	return s.conductor.Control(context.Background(), &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_Configure{
			Configure: c,
		},
	}).GetOutcome()
}

func (s *session) heartbeat(id, address string, born int64, sequence uint64) jobwire.Outcome {
	return s.conductor.Control(context.Background(), &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_Report{
			Report: &jobwire.WorkerReport{
				Worker: &jobwire.Worker{
					Id:      id,
					Born:    born,
					Pool:    "p",
					Address: address,
					Capacity: &wire.Resources{
						MilliCores: 4000,
					},
				},
				Sequence:    sequence,
				ClockMillis: time.Now().UnixMilli(),
			},
		},
	}).GetOutcome()
}

func (s *session) call(path, key string, req *jobwire.JobRequest) *jobwire.JobResponse {
	req.Address = &jobwire.Address{
		Host: "h",
		Path: path,
		Key:  key,
	}
	return s.conductor.Job(context.Background(), req)
}

func submission() *jobwire.JobRequest {
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

func question() *jobwire.JobRequest {
	return &jobwire.JobRequest{
		Call: &jobwire.JobRequest_Get{
			Get: &jobwire.GetJob{},
		},
	}
}

func cancellation() *jobwire.JobRequest {
	return &jobwire.JobRequest{
		Call: &jobwire.JobRequest_Cancel{
			Cancel: &jobwire.CancelJob{},
		},
	}
}

// reach waits until a job is in the given state.
func (s *session) reach(path string, state jobwire.JobState) {
	for range 500 {
		if s.call(path, "key", question()).GetState() == state {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.is.Equal(s.call(path, "key", question()).GetState(), state)
}

const path = "/q/0123456789abcdef"

// A job that is handed in again after a lost answer must run once.
func TestJobRunsOnce(t *testing.T) {
	s := newSession(t)
	for range 3 {
		s.is.Equal(s.call(path, "key", submission()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	}
	s.reach(path, jobwire.JobState_JOB_STATE_COMPLETED)
	s.is.Equal(s.call(path, "key", submission()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(s.crew.started, map[string]int{
		"0123456789abcdef.0": 1,
		"0123456789abcdef.1": 1,
		"0123456789abcdef.2": 1,
	})
}

// The tasks of a cancelled job must be stopped, and stay so.
func TestCancelledJobIsStopped(t *testing.T) {
	s := newSession(t)
	s.crew.lasting = true
	s.is.Equal(s.call(path, "key", submission()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	s.reach(path, jobwire.JobState_JOB_STATE_RUNNING)
	s.is.Equal(s.call(path, "key", cancellation()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(s.call(path, "key", question()).GetState(), jobwire.JobState_JOB_STATE_CANCELLED)
	for range 500 {
		s.crew.mu.Lock()
		left := len(s.crew.running["w"])
		s.crew.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("tasks of a cancelled job still run")
}

// Each case is a call that must be answered at once and must change nothing.
func TestAnswersAtOnce(t *testing.T) {
	large := submission()
	large.BodyBytes = 1001
	cases := map[string]struct {
		path, key string
		req       *jobwire.JobRequest
		outcome   jobwire.Outcome
	}{
		"no such queue": {
			path:    "/x/0123456789abcdef",
			key:     "key",
			req:     submission(),
			outcome: jobwire.Outcome_OUTCOME_NO_QUEUE,
		},
		"key not granted": {
			path:    path,
			key:     "other",
			req:     submission(),
			outcome: jobwire.Outcome_OUTCOME_UNAUTHORIZED,
		},
		"no key": {
			path:    path,
			req:     submission(),
			outcome: jobwire.Outcome_OUTCOME_UNAUTHORIZED,
		},
		"public queue": {
			path:    "/q/open/0123456789abcdee",
			req:     submission(),
			outcome: jobwire.Outcome_OUTCOME_OK,
		},
		"no such job": {
			path:    path,
			key:     "key",
			req:     question(),
			outcome: jobwire.Outcome_OUTCOME_NO_JOB,
		},
		"cancel of no job": {
			path:    path,
			key:     "key",
			req:     cancellation(),
			outcome: jobwire.Outcome_OUTCOME_NO_JOB,
		},
		"id of other size": {
			path:    "/q/0123",
			key:     "key",
			req:     question(),
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
			req:     question(),
			outcome: jobwire.Outcome_OUTCOME_OK,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSession(t)
			s.is.Equal(s.call(c.path, c.key, c.req).GetOutcome(), c.outcome)
		})
	}
}

// reachable waits until the conductor leads.
func (s *session) reachable() {
	for range 500 {
		if s.call("/q/", "key", question()).GetOutcome() == jobwire.Outcome_OUTCOME_OK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// What the log may or may not hold must not be answered as accepted or refused.
func TestUnknownOutcomeIsSaid(t *testing.T) {
	s := newSession(t)
	s.log.mu.Lock()
	s.log.lost = true
	s.log.mu.Unlock()
	s.is.Equal(s.call(path, "key", submission()).GetOutcome(), jobwire.Outcome_OUTCOME_UNKNOWN)
}

// An invalid configuration must be refused even if its version is an old one,
// and an old valid one acknowledged without effect.
func TestConfigurations(t *testing.T) {
	s := newSession(t)
	s.is.Equal(s.configure(configuration(5)), jobwire.Outcome_OUTCOME_OK)
	bad := configuration(3)
	bad.Queues[0].TimeoutNanos = 0
	s.is.Equal(s.configure(bad), jobwire.Outcome_OUTCOME_INVALID)
	old := configuration(4)
	old.Queues = nil
	s.is.Equal(s.configure(old), jobwire.Outcome_OUTCOME_OK)
	resp := s.conductor.Control(context.Background(), &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_Read{
			Read: &jobwire.ReadConfiguration{},
		},
	})
	s.is.Equal(string(resp.GetDocument()), "5")
}

// A heartbeat that was delayed must not bring back a worker whose address
// another one has taken over.
func TestDelayedHeartbeatIsIgnored(t *testing.T) {
	s := newSession(t)
	s.is.Equal(s.heartbeat("other", "10.0.0.1:1", 2, 1), jobwire.Outcome_OUTCOME_OK)
	s.is.Equal(s.heartbeat("w", "10.0.0.1:1", 1, 2), jobwire.Outcome_OUTCOME_OK)
	s.log.keeper.View(func(state *jobkeeper.State) {
		s.is.Equal(len(state.Workers), 1)
		s.is.True(state.Workers["other"] != nil)
	})
}
