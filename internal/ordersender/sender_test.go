package ordersender_test

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/ordersender"
	"github.com/heathermux/heathermux/pkg/timer"
)

// fakeWorkers answers orders and records which host sent them.
type fakeWorkers struct {
	mu sync.Mutex
	// calls maps orders to the hosts that sent them.
	calls map[string][]string
	// unblockPolls delays polls until it is closed; nil means no delay.
	unblockPolls chan struct{}
}

func (c *fakeWorkers) record(host string, order any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[fmt.Sprint(order)] = append(c.calls[fmt.Sprint(order)], host)
}

// fenceText returns the term of a fencing token, and after a point the restarts that it counts
// if there are any.
func fenceText(fence uint64) string {
	if restarts := fence % (1 << 16); restarts > 0 {
		return fmt.Sprint(fence>>16, ".", restarts)
	}
	return fmt.Sprint(fence >> 16)
}

// blockPolls delays polls until the returned function is called.
func (c *fakeWorkers) blockPolls() func() {
	released := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unblockPolls = released
	return func() { close(released) }
}

// workersFrom is the fake workers as called from one host.
type workersFrom struct {
	*fakeWorkers

	host string
}

func (m workersFrom) Start(_ context.Context, fence uint64, a jobscheduler.Start) (jobscheduler.StartAnswer, int64) {
	m.record(m.host, fmt.Sprint("start ", fenceText(fence), " ", a.Target.ID, " ", a.Task.GetJob(), " ", a.Run, " ", a.Payload, a.Checkpoint, a.Ticket, " ", a.Deadline, " ", a.NewConnection))
	if a.Target.ID == "full" {
		return jobscheduler.StartNoRoom, 17
	}
	return jobscheduler.StartAccepted, 17
}

func (m workersFrom) Stop(_ context.Context, fence uint64, a jobscheduler.Stop) (bool, int64) {
	m.record(m.host, fmt.Sprint("stop ", fenceText(fence), " ", a.Target.ID, " ", a.Task.GetJob(), " ", a.Run))
	return true, 18
}

func (m workersFrom) Poll(ctx context.Context, fence uint64, a jobscheduler.Poll) jobscheduler.PollAnswer {
	if a.Target.ID == "malformed" {
		panic("unexpected answer")
	}
	m.record(m.host, fmt.Sprint("look ", fenceText(fence), " ", a.Target.ID, " ", a.Deadline, " ", a.LastRecordedEnd, " ", a.Wait))
	m.mu.Lock()
	released := m.unblockPolls
	m.mu.Unlock()
	if released != nil {
		select {
		case <-released:
		case <-ctx.Done():
			return jobscheduler.PollAnswer{
				Failed: true,
			}
		}
	}
	return jobscheduler.PollAnswer{
		Clock: 19,
		Running: []jobscheduler.RunningTask{
			{
				Task:       task,
				Run:        5,
				Checkpoint: "c",
				Percent:    40,
				Figure:     300,
			},
		},
		Ended: []jobscheduler.EndedTask{
			{
				Number: 3,
				End: &jobwire.End{
					Task:   task,
					Run:    4,
					Ending: jobwire.Ending_ENDING_FAILED,
				},
			},
		},
		MoreEnds: true,
	}
}

var task = &jobwire.Task{
	Job:   "job",
	Index: 2,
}

// cluster is a set of hosts with relays. It implements ordersender.Caller.
type cluster struct {
	is      *is.I
	t       *testing.T
	workers *fakeWorkers

	mu     sync.Mutex
	relays map[string]*ordersender.Relay
	locals map[string]*ordersender.LocalSender
	// unreachable holds the hosts that cannot be called.
	unreachable map[string]bool
}

// newCluster starts hosts, given as a map of names to data centres.
func newCluster(t *testing.T, hosts map[string]string) *cluster {
	g := &cluster{
		is: is.New(t),
		t:  t,
		workers: &fakeWorkers{
			calls: make(map[string][]string),
		},
		relays:      make(map[string]*ordersender.Relay),
		locals:      make(map[string]*ordersender.LocalSender),
		unreachable: make(map[string]bool),
	}
	for host, dataCentre := range hosts {
		g.startHost(host, dataCentre)
	}
	return g
}

// startHost starts, or restarts, the process of a host.
func (g *cluster) startHost(host, dataCentre string) {
	local := ordersender.NewLocalSender(workersFrom{
		fakeWorkers: g.workers,
		host:        host,
	}, timer.System(), slog.New(slog.DiscardHandler))
	relay := ordersender.NewRelay(ordersender.RelayOptions{
		Local:      local,
		DataCentre: dataCentre,
		Clock:      timer.System(),
		Logger:     slog.New(slog.DiscardHandler),
	})
	g.t.Cleanup(local.Close)
	g.t.Cleanup(relay.Close)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relays[host], g.locals[host] = relay, local
}

func (g *cluster) setUnreachable(host string, unreachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable[host] = unreachable
}

func (g *cluster) Call(ctx context.Context, host, method string, request, response proto.Message) error {
	g.mu.Lock()
	relay, unreachable := g.relays[host], g.unreachable[host]
	g.mu.Unlock()
	if relay == nil || unreachable {
		return errors.New("no such host")
	}
	switch method {
	case ordersender.CarryMethod:
		return relay.Carry(request.(*jobwire.CarryRequest))
	case ordersender.CollectMethod:
		resp, err := relay.Collect(ctx, request.(*jobwire.CollectRequest))
		if err != nil {
			return err
		}
		g.mu.Lock()
		unreachable = g.unreachable[host]
		g.mu.Unlock()
		if unreachable {
			return errors.New("answer lost")
		}
		proto.Merge(response, resp)
		return nil
	}
	return errors.New("no such method")
}

// answerRecorder records the outcomes that one Sender reports.
type answerRecorder struct {
	mu   sync.Mutex
	list []ordersender.Answer
}

func (a *answerRecorder) add(list []ordersender.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, list...)
}

// awaitCount waits for n outcomes and returns them.
func (a *answerRecorder) awaitCount(t *testing.T, n int) []ordersender.Answer {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		a.mu.Lock()
		list := a.list
		a.mu.Unlock()
		if len(list) >= n {
			return list
		}
	}
	t.Fatalf("fewer than %d answers in 5 s", n)
	return nil
}

// awaitAnswer waits for the outcome of an order.
func (a *answerRecorder) awaitAnswer(t *testing.T, order jobscheduler.Action) ordersender.Answer {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		a.mu.Lock()
		at := slices.IndexFunc(a.list, func(got ordersender.Answer) bool { return reflect.DeepEqual(got.Order, order) })
		if at >= 0 {
			defer a.mu.Unlock()
			return a.list[at]
		}
		a.mu.Unlock()
	}
	t.Fatalf("no answer to %v in 5 s", order)
	return ordersender.Answer{}
}

// newLeader returns the Sender of a term on the host "leader".
func (g *cluster) newLeader(fence uint64) (*ordersender.Sender, *answerRecorder) {
	a := &answerRecorder{}
	s := ordersender.New(ordersender.Options{
		Local:  g.locals["leader"],
		Caller: g,
		Hosts: func() []string {
			g.mu.Lock()
			defer g.mu.Unlock()
			var names []string
			for name := range g.relays {
				names = append(names, name)
			}
			return names
		},
		DelegateFrom: 10,
		Name:         "leader",
		Clock:        timer.System(),
		Logger:       slog.New(slog.DiscardHandler),
	}, fence, a.add)
	g.t.Cleanup(s.Close)
	return s, a
}

func (g *cluster) callers(order string) []string {
	g.workers.mu.Lock()
	defer g.workers.mu.Unlock()
	return append([]string(nil), g.workers.calls[order]...)
}

// awaitCall waits until an order reaches a worker and returns the hosts that
// sent it.
func (g *cluster) awaitCall(order string) []string {
	g.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if hosts := g.callers(order); len(hosts) > 0 {
			return hosts
		}
	}
	g.t.Fatalf("%q reached no worker in 5 s", order)
	return nil
}

// awaitRelays sends polls until one goes through a relay.
func (g *cluster) awaitRelays(s *ordersender.Sender, dataCentre string) {
	g.t.Helper()
	for i := range 1000 {
		order := newPoll(fmt.Sprint("probe-", dataCentre, i), dataCentre)
		s.Send([]jobscheduler.Action{order}, 10)
		time.Sleep(5 * time.Millisecond)
		for _, host := range g.callers(fmt.Sprint("look 1 ", order.Target.ID, " 0 0 0s")) {
			if host != "leader" {
				return
			}
		}
	}
	g.t.Fatal("no order went through a relay in 1000 attempts")
}

func target(id, dataCentre string) jobscheduler.Target {
	return jobscheduler.Target{
		ID:         id,
		Born:       1,
		Address:    "10.0.0.1:1",
		DataCentre: dataCentre,
	}
}

func newPoll(id, dataCentre string) jobscheduler.Poll {
	return jobscheduler.Poll{
		Target: target(id, dataCentre),
	}
}

// All fields of an order and its outcome must be preserved when it is sent
// through a relay.
func TestOrdersThroughRelay(t *testing.T) {
	g := newCluster(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	s, got := g.newLeader(1)
	g.awaitRelays(s, "b")
	start := jobscheduler.Start{
		Target:     target("w", "b"),
		Task:       task,
		Run:        4,
		Payload:    "p",
		Checkpoint: "c",
		Ticket:     "t",
		Deadline:   77,

		NewConnection: true,
	}
	cases := map[string]struct {
		order jobscheduler.Action
		call  string
		check func(is *is.I, a ordersender.Answer)
	}{
		"start": {
			order: start,
			call:  "start 1 w job 4 pct 77 true",
			check: func(is *is.I, a ordersender.Answer) {
				is.Equal(a.Start, jobscheduler.StartAccepted)
				is.Equal(a.Clock, int64(17))
			},
		},
		"refused start": {
			order: jobscheduler.Start{
				Target: target("full", "b"),
				Task:   task,
				Run:    4,
			},
			call:  "start 1 full job 4  0 false",
			check: func(is *is.I, a ordersender.Answer) { is.Equal(a.Start, jobscheduler.StartNoRoom) },
		},
		"stop": {
			order: jobscheduler.Stop{
				Target: target("w", "b"),
				Task:   task,
				Run:    4,
			},
			call: "stop 1 w job 4",
			check: func(is *is.I, a ordersender.Answer) {
				is.True(a.Confirmed)
				is.Equal(a.Clock, int64(18))
			},
		},
		"look": {
			order: jobscheduler.Poll{
				Target:          target("w", "b"),
				Deadline:        9,
				LastRecordedEnd: 2,
				Wait:            time.Millisecond,
			},
			call: "look 1 w 9 2 1ms",
			check: func(is *is.I, a ordersender.Answer) {
				is.True(!a.Poll.Failed)
				is.True(!a.Poll.SentAt.IsZero())
				is.Equal(a.Poll.Clock, int64(19))
				is.Equal(a.Poll.Running[0].Run, uint64(5))
				is.Equal(a.Poll.Running[0].Checkpoint, "c")
				is.Equal(a.Poll.Running[0].Percent, 40)
				is.Equal(a.Poll.Running[0].Figure, int64(300))
				is.Equal(a.Poll.Ended[0].Number, uint64(3))
				is.Equal(a.Poll.Ended[0].End.GetEnding(), jobwire.Ending_ENDING_FAILED)
				is.True(a.Poll.MoreEnds)
			},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s.Send([]jobscheduler.Action{test.order}, 10)
			test.check(is, got.awaitAnswer(t, test.order))
			is.Equal(g.awaitCall(test.call), []string{"near"})
		})
	}
}

// A fleet below DelegateFrom must be served without relays.
func TestSmallFleetIsServedDirectly(t *testing.T) {
	g := newCluster(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	s, got := g.newLeader(1)
	for range 20 {
		s.Send([]jobscheduler.Action{newPoll("w", "b")}, 9)
		time.Sleep(time.Millisecond)
	}
	got.awaitCount(t, 20)
	for _, host := range g.callers("look 1 w 0 0 0s") {
		g.is.Equal(host, "leader")
	}
}

// Orders must go through relays in the worker's data centre while one is up
// there.
func TestRelayNearTheWorkerIsUsed(t *testing.T) {
	g := newCluster(t, map[string]string{
		"leader": "a",
		"b1":     "b",
		"b2":     "b",
		"c1":     "c",
	})
	s, _ := g.newLeader(1)
	g.awaitRelays(s, "b")
	g.awaitRelays(s, "c")
	time.Sleep(300 * time.Millisecond)
	used := make(map[string]int)
	for i := range 40 {
		id := fmt.Sprint("w", i)
		s.Send([]jobscheduler.Action{newPoll(id, "b")}, 10)
		used[g.awaitCall("look 1 " + id + " 0 0 0s")[0]]++
	}
	g.is.True(used["b1"] > 5)
	g.is.True(used["b2"] > 5)
	g.is.Equal(used["b1"]+used["b2"], 40)
}

// When a relay becomes unreachable, its polls must be sent another way. A
// start in flight may have been executed, so it must count as unanswered, never
// as refused.
func TestRelayIsCutOff(t *testing.T) {
	g := newCluster(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	s, got := g.newLeader(1)
	g.awaitRelays(s, "b")
	release := g.workers.blockPolls()
	order := jobscheduler.Poll{
		Target: target("w", "b"),
		Wait:   2 * time.Second,
	}
	s.Send([]jobscheduler.Action{order}, 10)
	g.awaitCall("look 1 w 0 0 2s")
	g.setUnreachable("near", true)
	start := jobscheduler.Start{
		Target: target("full", "b"),
		Task:   task,
		Run:    4,
	}
	s.Send([]jobscheduler.Action{start}, 10)
	g.is.Equal(got.awaitAnswer(t, start).Start, jobscheduler.StartUnknown)
	release()
	g.is.True(!got.awaitAnswer(t, order).Poll.Failed)
	g.is.Equal(g.callers("look 1 w 0 0 2s"), []string{"near", "leader"})
	// Sent again, the start goes directly.
	s.Send([]jobscheduler.Action{start}, 10)
	g.is.Equal(g.awaitCall("start 1 full job 4  0 false"), []string{"leader"})
	g.setUnreachable("near", false)
	g.awaitRelays(s, "b")
}

// A restarted relay has lost the orders in flight. Waiting for their answers
// would leave its workers without leases.
func TestRestartedRelayLosesOrders(t *testing.T) {
	g := newCluster(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	s, got := g.newLeader(1)
	g.awaitRelays(s, "b")
	release := g.workers.blockPolls()
	order := jobscheduler.Poll{
		Target: target("w", "b"),
		Wait:   3 * time.Second,
	}
	s.Send([]jobscheduler.Action{order}, 10)
	g.awaitCall("look 1 w 0 0 3s")
	g.startHost("near", "b")
	begun := time.Now()
	for len(g.callers("look 1 w 0 0 3s")) < 2 {
		g.is.True(time.Since(begun) < 2*time.Second)
		time.Sleep(time.Millisecond)
	}
	release()
	g.is.True(!got.awaitAnswer(t, order).Poll.Failed)
}

// A relay must not send orders of a leader that has been replaced, whenever
// they arrive.
func TestRelayRejectsFormerLeader(t *testing.T) {
	g := newCluster(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	relay := g.relays["near"]
	release := g.workers.blockPolls()
	carry := func(fence uint64, id string) error {
		return relay.Carry(&jobwire.CarryRequest{
			Session: fmt.Sprint("leader/", fence),
			Fence:   fence,
			Orders: []*jobwire.Order{
				{
					Number: 1,
					Target: &jobwire.Target{
						Id: id,
					},
					Order: &jobwire.Order_Look{
						Look: &jobwire.LookOrder{
							WaitNanos: int64(time.Minute),
						},
					},
				},
			},
		})
	}
	g.is.NoErr(carry(1, "w1"))
	g.awaitCall("look 1 w1 0 0 1m0s")
	g.is.NoErr(carry(2, "w2"))
	g.awaitCall("look 2 w2 0 0 1m0s")
	g.is.True(errors.Is(carry(1, "w3"), ordersender.ErrFenced))
	_, err := relay.Collect(context.Background(), &jobwire.CollectRequest{
		Session: "leader/1",
		Fence:   1,
	})
	g.is.True(errors.Is(err, ordersender.ErrFenced))
	release()
	resp, err := relay.Collect(context.Background(), &jobwire.CollectRequest{
		Session:   "leader/2",
		Fence:     2,
		WaitNanos: int64(5 * time.Second),
	})
	g.is.NoErr(err)
	g.is.Equal(len(resp.GetAnswers()), 1)
	g.is.True(!resp.GetAnswers()[0].GetLook().GetFailed())
	g.is.Equal(len(g.callers("look 1 w3 0 0 1m0s")), 0)
}

// An order of a kind unknown to this version must not block others.
func TestUnknownOrder(t *testing.T) {
	g := newCluster(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	g.is.NoErr(g.relays["near"].Carry(&jobwire.CarryRequest{
		Session: "leader/1",
		Fence:   1,
		Orders: []*jobwire.Order{
			{
				Number: 1,
			},
			{
				Number: 2,
				Target: &jobwire.Target{
					Id: "w",
				},
				Order: &jobwire.Order_Look{
					Look: &jobwire.LookOrder{},
				},
			},
		},
	}))
	g.is.Equal(g.awaitCall("look 1 w 0 0 0s"), []string{"near"})
}

// A new leader of a large fleet has to poll all workers; its relays must be
// in use within 100 ms, long before leases of workers are at risk.
func TestRelaysAreUsedAtOnce(t *testing.T) {
	g := newCluster(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	s, _ := g.newLeader(1)
	begun := time.Now()
	g.awaitRelays(s, "b")
	g.is.True(time.Since(begun) < 100*time.Millisecond)
}

// An answer that nothing expects must end neither the process nor the polls of its
// worker: the order counts as unanswered, here and through a relay.
func TestPanicLeavesOutcomeUnknown(t *testing.T) {
	g := newCluster(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	s, got := g.newLeader(1)
	direct := newPoll("malformed", "a")
	s.Send([]jobscheduler.Action{direct}, 1)
	g.is.True(got.awaitAnswer(t, direct).Poll.Failed)
	g.awaitRelays(s, "b")
	relayed := newPoll("malformed", "b")
	s.Send([]jobscheduler.Action{relayed}, 10)
	g.is.True(got.awaitAnswer(t, relayed).Poll.Failed)
}

// A leader that is slow to collect must get the answers that fit: they used to be
// dropped all together when one more came, and starts that had been accepted counted as
// unanswered.
func TestFullBufferKeepsAnswers(t *testing.T) {
	const orders = ordersender.MaxBufferedAnswers + 1
	is := is.New(t)
	g := newCluster(t, map[string]string{
		"relay": "a",
	})
	carried := &jobwire.CarryRequest{
		Session: "leader/1",
		Fence:   1,
	}
	for n := range uint64(orders) {
		carried.Orders = append(carried.Orders, &jobwire.Order{
			Number: n + 1,
			Target: &jobwire.Target{
				Id: fmt.Sprint("w-", n),
			},
			Order: &jobwire.Order_Stop{
				Stop: &jobwire.StopOrder{
					Task: task,
				},
			},
		})
	}
	is.NoErr(g.relays["relay"].Carry(carried))
	g.locals["relay"].Close() // waits for the orders
	resp, err := g.relays["relay"].Collect(t.Context(), &jobwire.CollectRequest{
		Session: carried.GetSession(),
		Fence:   carried.GetFence(),
	})
	is.NoErr(err)
	is.Equal(len(resp.GetAnswers()), ordersender.MaxBufferedAnswers)
}

// steppingClock is a second later at each look.
type steppingClock struct {
	timer.Clock

	now time.Time
}

func (c *steppingClock) Now() time.Time {
	c.now = c.now.Add(time.Second)
	return c.now
}

// A start that has waited here for longer than it may, as in a process that was suspended, is not
// sent. It counted as one that the worker may still execute, and kept its task from running.
func TestStartThatWaitedTooLongIsNotSent(t *testing.T) {
	is := is.New(t)
	workers := &fakeWorkers{
		calls: make(map[string][]string),
	}
	local := ordersender.NewLocalSender(workersFrom{
		fakeWorkers: workers,
	}, &steppingClock{}, slog.New(slog.DiscardHandler))
	answers := make(chan ordersender.Answer, 1)
	local.Go(t.Context(), 1, jobscheduler.Start{
		Target: target("w", "a"),
		Task:   task,
	}, func(a ordersender.Answer) { answers <- a })
	is.Equal((<-answers).Start, jobscheduler.StartNotSent)
	local.Close()
	is.Equal(len(workers.calls), 0)
}

// A worker that restarts under its id has seen no fencing token. The first order to the later
// incarnation must make it refuse those that were sent to the former one in the same term,
// also when a relay on another host sends some of them, and those of former terms.
func TestFencingTokenRisesWithTermAndRestart(t *testing.T) {
	g := newCluster(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	s, _ := g.newLeader(1)
	orders := func(id, dataCentre string) []jobscheduler.Action {
		later := target(id, dataCentre)
		later.Epoch = 3
		return []jobscheduler.Action{
			jobscheduler.Start{
				Target: later,
				Task:   task,
				Run:    4,
			},
			jobscheduler.Stop{
				Target: later,
				Task:   task,
				Run:    4,
			},
			jobscheduler.Poll{
				Target: later,
			},
		}
	}
	s.Send(orders("direct", "a"), 1)
	g.awaitRelays(s, "b")
	s.Send(orders("relayed", "b"), 10)
	for id, host := range map[string]string{
		"direct":  "leader",
		"relayed": "near",
	} {
		g.is.Equal(g.awaitCall(fmt.Sprint("start 1.3 ", id, " job 4  0 false")), []string{host})
		g.is.Equal(g.awaitCall(fmt.Sprint("stop 1.3 ", id, " job 4")), []string{host})
		g.is.Equal(g.awaitCall(fmt.Sprint("look 1.3 ", id, " 0 0 0s")), []string{host})
	}
}

// The token of a later term must be higher than each of the terms before, however often a
// worker has restarted or left a start unanswered, and below 2^53: some workers read numbers in
// JSON as doubles, and would take neighbouring tokens for one.
func TestFencingTokenIsBounded(t *testing.T) {
	tests := map[string]struct {
		term  uint64
		epoch uint64
		want  uint64
	}{
		"first epoch": {
			term: 1,
			want: 65536,
		},
		"second epoch": {
			term:  1,
			epoch: 1,
			want:  65537,
		},
		"last that is counted": {
			term:  1,
			epoch: 65535,
			want:  131071,
		},
		"epochs beyond those": {
			term:  1,
			epoch: 1 << 40,
			want:  131071,
		},
		"next term": {
			term: 2,
			want: 131072,
		},
		"highest term": {
			term:  1<<37 - 1,
			epoch: 1 << 40,
			want:  1<<53 - 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ordersender.FencingToken(test.term, jobscheduler.Target{
				Epoch: test.epoch,
			}), test.want)
		})
	}
}
