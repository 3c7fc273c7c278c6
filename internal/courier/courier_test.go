package courier_test

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

	"github.com/heathermux/heathermux/internal/courier"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// crew answers orders and notes which host called.
type crew struct {
	mu sync.Mutex
	// calls maps orders to the hosts that carried them.
	calls map[string][]string
	// look holds up looks until it is closed; nil does not.
	look chan struct{}
}

func (c *crew) note(host string, order any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[fmt.Sprint(order)] = append(c.calls[fmt.Sprint(order)], host)
}

// holdLooks holds up looks until the returned function is called.
func (c *crew) holdLooks() func() {
	released := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.look = released
	return func() { close(released) }
}

// member is a host that calls the crew.
type member struct {
	*crew

	host string
}

func (m member) Start(_ context.Context, fence uint64, a jobscheduler.Start) (jobscheduler.StartAnswer, int64) {
	m.note(m.host, fmt.Sprint("start ", fence, " ", a.Target.ID, " ", a.Task.GetJob(), " ", a.Run, " ", a.Payload, a.Checkpoint, a.Ticket, " ", a.Deadline))
	if a.Target.ID == "full" {
		return jobscheduler.StartNoRoom, 17
	}
	return jobscheduler.StartAccepted, 17
}

func (m member) Stop(_ context.Context, fence uint64, a jobscheduler.Stop) (bool, int64) {
	m.note(m.host, fmt.Sprint("stop ", fence, " ", a.Target.ID, " ", a.Task.GetJob(), " ", a.Run))
	return true, 18
}

func (m member) Look(ctx context.Context, fence uint64, a jobscheduler.Look) jobscheduler.LookAnswer {
	m.note(m.host, fmt.Sprint("look ", fence, " ", a.Target.ID, " ", a.Deadline, " ", a.Seen, " ", a.Wait))
	m.mu.Lock()
	released := m.look
	m.mu.Unlock()
	if released != nil {
		select {
		case <-released:
		case <-ctx.Done():
			return jobscheduler.LookAnswer{
				Failed: true,
			}
		}
	}
	return jobscheduler.LookAnswer{
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
	}
}

func (m member) Pace(_ context.Context, fence uint64, a jobscheduler.Pace) error {
	m.note(m.host, fmt.Sprint("pace ", fence, " ", a.Target.ID, " ", a.Run, " ", a.Percent))
	return nil
}

var task = &jobwire.Task{
	Job:   "job",
	Index: 2,
}

// group is a set of hosts with agents.
type group struct {
	is   *is.I
	t    *testing.T
	crew *crew

	mu     sync.Mutex
	agents map[string]*courier.Agent
	locals map[string]*courier.Local
	// cut holds the hosts that can't be called.
	cut map[string]bool
}

// newGroup makes hosts by name and data centre.
func newGroup(t *testing.T, hosts map[string]string) *group {
	g := &group{
		is: is.New(t),
		t:  t,
		crew: &crew{
			calls: make(map[string][]string),
		},
		agents: make(map[string]*courier.Agent),
		locals: make(map[string]*courier.Local),
		cut:    make(map[string]bool),
	}
	for host, dataCentre := range hosts {
		g.boot(host, dataCentre)
	}
	return g
}

// boot starts the process of a host, again if there was one.
func (g *group) boot(host, dataCentre string) {
	local := courier.NewLocal(member{
		crew: g.crew,
		host: host,
	}, timer.System(), slog.New(slog.DiscardHandler))
	agent := courier.NewAgent(courier.AgentOptions{
		Local:      local,
		DataCentre: dataCentre,
		Clock:      timer.System(),
		Logger:     slog.New(slog.DiscardHandler),
	})
	g.t.Cleanup(local.Close)
	g.t.Cleanup(agent.Close)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.agents[host], g.locals[host] = agent, local
}

func (g *group) isolate(host string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[host] = cut
}

func (g *group) Call(ctx context.Context, host, method string, request, response proto.Message) error {
	g.mu.Lock()
	agent, cut := g.agents[host], g.cut[host]
	g.mu.Unlock()
	if agent == nil || cut {
		return errors.New("no such host")
	}
	switch method {
	case courier.CarryMethod:
		return agent.Carry(request.(*jobwire.CarryRequest))
	case courier.CollectMethod:
		resp, err := agent.Collect(ctx, request.(*jobwire.CollectRequest))
		if err != nil {
			return err
		}
		g.mu.Lock()
		cut = g.cut[host]
		g.mu.Unlock()
		if cut {
			return errors.New("answer lost")
		}
		proto.Merge(response, resp)
		return nil
	}
	return errors.New("no such method")
}

// answers gathers the outcomes of one courier.
type answers struct {
	mu   sync.Mutex
	list []courier.Answer
}

func (a *answers) add(list []courier.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, list...)
}

// await waits for n outcomes and returns them.
func (a *answers) await(t *testing.T, n int) []courier.Answer {
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

// find waits for the outcome of an order.
func (a *answers) find(t *testing.T, order jobscheduler.Action) courier.Answer {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		a.mu.Lock()
		at := slices.IndexFunc(a.list, func(got courier.Answer) bool { return reflect.DeepEqual(got.Order, order) })
		if at >= 0 {
			defer a.mu.Unlock()
			return a.list[at]
		}
		a.mu.Unlock()
	}
	t.Fatalf("no answer to %v in 5 s", order)
	return courier.Answer{}
}

// lead returns the courier of a term on the host "leader".
func (g *group) lead(fence uint64) (*courier.Courier, *answers) {
	a := &answers{}
	c := courier.New(courier.Options{
		Local:  g.locals["leader"],
		Caller: g,
		Hosts: func() []string {
			g.mu.Lock()
			defer g.mu.Unlock()
			var names []string
			for name := range g.agents {
				names = append(names, name)
			}
			return names
		},
		DelegateFrom: 10,
		Name:         "leader",
		Clock:        timer.System(),
		Logger:       slog.New(slog.DiscardHandler),
	}, fence, a.add)
	g.t.Cleanup(c.Close)
	return c, a
}

func (g *group) carriers(order string) []string {
	g.crew.mu.Lock()
	defer g.crew.mu.Unlock()
	return append([]string(nil), g.crew.calls[order]...)
}

// awaitCall waits until a worker was called and returns by which hosts.
func (g *group) awaitCall(order string) []string {
	g.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if hosts := g.carriers(order); len(hosts) > 0 {
			return hosts
		}
	}
	g.t.Fatalf("%q was not carried in 5 s", order)
	return nil
}

// awaitAgents sends looks until an agent carries them.
func (g *group) awaitAgents(c *courier.Courier, dataCentre string) {
	g.t.Helper()
	for i := range 1000 {
		order := look(fmt.Sprint("probe-", dataCentre, i), dataCentre)
		c.Send([]jobscheduler.Action{order}, 10)
		time.Sleep(5 * time.Millisecond)
		for _, host := range g.carriers(fmt.Sprint("look 1 ", order.Target.ID, " 0 0 0s")) {
			if host != "leader" {
				return
			}
		}
	}
	g.t.Fatal("no agent carries orders")
}

func target(id, dataCentre string) jobscheduler.Target {
	return jobscheduler.Target{
		ID:         id,
		Born:       1,
		Address:    "10.0.0.1:1",
		DataCentre: dataCentre,
	}
}

func look(id, dataCentre string) jobscheduler.Look {
	return jobscheduler.Look{
		Target: target(id, dataCentre),
	}
}

// All that an order and its outcome hold must survive the way through an agent.
func TestOrdersThroughAgent(t *testing.T) {
	g := newGroup(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	c, got := g.lead(1)
	g.awaitAgents(c, "b")
	start := jobscheduler.Start{
		Target:     target("w", "b"),
		Task:       task,
		Run:        4,
		Payload:    "p",
		Checkpoint: "c",
		Ticket:     "t",
		Deadline:   77,
	}
	cases := map[string]struct {
		order jobscheduler.Action
		call  string
		check func(is *is.I, a courier.Answer)
	}{
		"start": {
			order: start,
			call:  "start 1 w job 4 pct 77",
			check: func(is *is.I, a courier.Answer) {
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
			call:  "start 1 full job 4  0",
			check: func(is *is.I, a courier.Answer) { is.Equal(a.Start, jobscheduler.StartNoRoom) },
		},
		"stop": {
			order: jobscheduler.Stop{
				Target: target("w", "b"),
				Task:   task,
				Run:    4,
			},
			call: "stop 1 w job 4",
			check: func(is *is.I, a courier.Answer) {
				is.True(a.Confirmed)
				is.Equal(a.Clock, int64(18))
			},
		},
		"look": {
			order: jobscheduler.Look{
				Target:   target("w", "b"),
				Deadline: 9,
				Seen:     2,
				Wait:     time.Millisecond,
			},
			call: "look 1 w 9 2 1ms",
			check: func(is *is.I, a courier.Answer) {
				is.True(!a.Look.Failed)
				is.True(!a.Look.SentAt.IsZero())
				is.Equal(a.Look.Clock, int64(19))
				is.Equal(a.Look.Running[0].Run, uint64(5))
				is.Equal(a.Look.Running[0].Checkpoint, "c")
				is.Equal(a.Look.Running[0].Percent, 40)
				is.Equal(a.Look.Running[0].Figure, int64(300))
				is.Equal(a.Look.Ended[0].Number, uint64(3))
				is.Equal(a.Look.Ended[0].End.GetEnding(), jobwire.Ending_ENDING_FAILED)
			},
		},
		"pace": {
			order: jobscheduler.Pace{
				Target:  target("w", "b"),
				Task:    task,
				Run:     4,
				Percent: 30,
			},
			call:  "pace 1 w 4 30",
			check: func(*is.I, courier.Answer) {},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.Send([]jobscheduler.Action{test.order}, 10)
			if _, ok := test.order.(jobscheduler.Pace); !ok {
				test.check(is, got.find(t, test.order))
			}
			is.Equal(g.awaitCall(test.call), []string{"near"})
		})
	}
}

// A small fleet needs no agents.
func TestSmallFleetIsServedDirectly(t *testing.T) {
	g := newGroup(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	c, got := g.lead(1)
	for range 20 {
		c.Send([]jobscheduler.Action{look("w", "b")}, 9)
		time.Sleep(time.Millisecond)
	}
	got.await(t, 20)
	for _, host := range g.carriers("look 1 w 0 0 0s") {
		g.is.Equal(host, "leader")
	}
}

// Orders go to an agent near the worker while there is one.
func TestAgentNearTheWorkerIsUsed(t *testing.T) {
	g := newGroup(t, map[string]string{
		"leader": "a",
		"b1":     "b",
		"b2":     "b",
		"c1":     "c",
	})
	c, _ := g.lead(1)
	g.awaitAgents(c, "b")
	g.awaitAgents(c, "c")
	time.Sleep(300 * time.Millisecond)
	used := make(map[string]int)
	for i := range 40 {
		id := fmt.Sprint("w", i)
		c.Send([]jobscheduler.Action{look(id, "b")}, 10)
		used[g.awaitCall("look 1 " + id + " 0 0 0s")[0]]++
	}
	g.is.True(used["b1"] > 5)
	g.is.True(used["b2"] > 5)
	g.is.Equal(used["b1"]+used["b2"], 40)
}

// When an agent is cut off, its looks take another way, and a start on its way
// may have been carried out: it counts as unanswered, never as refused.
func TestAgentIsCutOff(t *testing.T) {
	g := newGroup(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	c, got := g.lead(1)
	g.awaitAgents(c, "b")
	release := g.crew.holdLooks()
	order := jobscheduler.Look{
		Target: target("w", "b"),
		Wait:   2 * time.Second,
	}
	c.Send([]jobscheduler.Action{order}, 10)
	g.awaitCall("look 1 w 0 0 2s")
	g.isolate("near", true)
	start := jobscheduler.Start{
		Target: target("full", "b"),
		Task:   task,
		Run:    4,
	}
	c.Send([]jobscheduler.Action{start}, 10)
	g.is.Equal(got.find(t, start).Start, jobscheduler.StartUnknown)
	release()
	g.is.True(!got.find(t, order).Look.Failed)
	g.is.Equal(g.carriers("look 1 w 0 0 2s"), []string{"near", "leader"})
	// Sent again, it goes another way.
	c.Send([]jobscheduler.Action{start}, 10)
	g.is.Equal(g.awaitCall("start 1 full job 4  0"), []string{"leader"})
	g.isolate("near", false)
	g.awaitAgents(c, "b")
}

// An agent that has started again has lost what it was carrying; waiting for it
// would leave its workers without leases.
func TestAgentStartsAgain(t *testing.T) {
	g := newGroup(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	c, got := g.lead(1)
	g.awaitAgents(c, "b")
	release := g.crew.holdLooks()
	order := jobscheduler.Look{
		Target: target("w", "b"),
		Wait:   3 * time.Second,
	}
	c.Send([]jobscheduler.Action{order}, 10)
	g.awaitCall("look 1 w 0 0 3s")
	g.boot("near", "b")
	begun := time.Now()
	for len(g.carriers("look 1 w 0 0 3s")) < 2 {
		g.is.True(time.Since(begun) < 2*time.Second)
		time.Sleep(time.Millisecond)
	}
	release()
	g.is.True(!got.find(t, order).Look.Failed)
}

// Orders of a leader that has been followed by another one must not leave an
// agent any more, whenever they arrive there.
func TestAgentObeysTheLatestLeader(t *testing.T) {
	g := newGroup(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	agent := g.agents["near"]
	release := g.crew.holdLooks()
	carry := func(fence uint64, id string) error {
		return agent.Carry(&jobwire.CarryRequest{
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
	g.is.True(errors.Is(carry(1, "w3"), courier.ErrFenced))
	_, err := agent.Collect(context.Background(), &jobwire.CollectRequest{
		Session: "leader/1",
		Fence:   1,
	})
	g.is.True(errors.Is(err, courier.ErrFenced))
	release()
	resp, err := agent.Collect(context.Background(), &jobwire.CollectRequest{
		Session:   "leader/2",
		Fence:     2,
		WaitNanos: int64(5 * time.Second),
	})
	g.is.NoErr(err)
	g.is.Equal(len(resp.GetAnswers()), 1)
	g.is.True(!resp.GetAnswers()[0].GetLook().GetFailed())
	g.is.Equal(len(g.carriers("look 1 w3 0 0 1m0s")), 0)
}

// An order of a kind that this version does not know must not hold up others.
func TestUnknownOrder(t *testing.T) {
	g := newGroup(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	g.is.NoErr(g.agents["near"].Carry(&jobwire.CarryRequest{
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

// A new leader of a large fleet has all workers to ask; its agents must be there
// long before the workers' leases are an issue.
func TestAgentsAreUsedAtOnce(t *testing.T) {
	g := newGroup(t, map[string]string{
		"leader": "a",
		"near":   "b",
	})
	c, _ := g.lead(1)
	begun := time.Now()
	g.awaitAgents(c, "b")
	g.is.True(time.Since(begun) < 100*time.Millisecond)
}
