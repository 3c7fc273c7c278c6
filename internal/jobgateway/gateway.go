// Package jobgateway passes calls of submitters, workers and operators on to
// the host that leads. It learns which host that is from the answers of the
// others, and is told a few addresses to begin with.
package jobgateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// attemptTimeout bounds one call to the leader, which answers within a few
	// syncs of its disk; one that does not is frozen or cut off.
	attemptTimeout = 700 * time.Millisecond
	// leaderlessTimeout is how long a call that was not sent waits for a leader
	// to be found before its caller is told to come back.
	leaderlessTimeout = 120 * time.Millisecond
	// unknownTimeout is how long a call that may have been carried out is
	// looked after before its caller is told that its outcome is not known.
	unknownTimeout = 1300 * time.Millisecond
	// probeTimeout bounds the question whether a host leads.
	probeTimeout = 300 * time.Millisecond
	// probePause is the time between two rounds of such questions.
	probePause = 40 * time.Millisecond
	// comeBack is when a caller should try again that met no leader: an
	// election takes about a second.
	comeBack = time.Second
	// freshFor is how long the last answer of a leader vouches for the path to it.
	freshFor = 1500 * time.Millisecond
)

// Methods of the service of the leading host.
const (
	jobMethod     = "Jobs.Job"
	controlMethod = "Jobs.Control"
)

// Caller calls a method of another host by its name.
type Caller interface {
	Call(ctx context.Context, host, method string, request, response proto.Message) error
}

// Options set up a Gateway.
type Options struct {
	// Hosts are the names to begin with.
	Hosts  []string
	Caller Caller
	Clock  timer.Clock
	Logger *slog.Logger
}

// Gateway is safe for concurrent use; make one with New.
type Gateway struct {
	opts Options

	mu sync.Mutex
	// Invariant: no name twice.
	hosts  []string
	leader string
	// answered is when a leader last answered.
	answered time.Time
	// finding is true while hosts are asked for the leader.
	finding bool
	// checking is true while the leader is asked whether it still leads.
	checking bool
	// changed is closed and replaced with each change of the leader.
	changed chan struct{}
}

// New returns a gateway that knows no leader yet.
func New(opts Options) *Gateway {
	return &Gateway{
		opts:    opts,
		hosts:   slices.Compact(slices.Sorted(slices.Values(opts.Hosts))),
		changed: make(chan struct{}),
	}
}

// Leader returns the name of the host that led last, empty when none is known.
func (g *Gateway) Leader() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// Ready reports whether a leader has answered lately.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opts.Clock.Now().Sub(g.answered) < freshFor
}

// Job passes on a call of a submitter.
func (g *Gateway) Job(ctx context.Context, req *jobwire.JobRequest) *jobwire.JobResponse {
	resp, sent := forward[jobwire.JobResponse](ctx, g, jobMethod, req)
	if resp != nil {
		return resp
	}
	outcome := jobwire.Outcome_OUTCOME_UNAVAILABLE
	if sent {
		outcome = jobwire.Outcome_OUTCOME_UNKNOWN
	}
	return &jobwire.JobResponse{
		Outcome:         outcome,
		Reason:          "no host leads at the moment",
		RetryAfterNanos: int64(comeBack),
	}
}

// Control passes on a call of a worker or an operator.
func (g *Gateway) Control(ctx context.Context, req *jobwire.ControlRequest) *jobwire.ControlResponse {
	resp, _ := forward[jobwire.ControlResponse](ctx, g, controlMethod, req)
	if resp != nil {
		return resp
	}
	return &jobwire.ControlResponse{
		Outcome: jobwire.Outcome_OUTCOME_UNAVAILABLE,
		Reason:  "no host leads at the moment",
	}
}

// answer is what a leader or another host answers.
type answer interface {
	proto.Message
	GetOutcome() jobwire.Outcome
	GetLeader() string
}

// forward calls the leader. All calls are idempotent, so one that may have been
// carried out is sent again to the next leader. It returns nil when no leader
// answered, and whether the call may have reached one.
func forward[R any, PR interface {
	*R
	answer
}](ctx context.Context, g *Gateway, method string, req proto.Message) (resp PR, sent bool) {
	begun := g.opts.Clock.Now()
	for {
		left := leaderlessTimeout
		if sent {
			left = unknownTimeout
		}
		left -= g.opts.Clock.Now().Sub(begun)
		host := g.await(ctx, left)
		if host == "" || ctx.Err() != nil {
			return nil, sent
		}
		resp, err := attempt[R, PR](ctx, g, host, method, req)
		switch {
		case err != nil && ctx.Err() != nil:
			// The caller has given up, which says nothing of the leader.
			g.check(host)
			return nil, true
		case err != nil:
			sent = sent || !messenger.NotSent(err)
			g.lost(host, err.Error())
		case resp.GetOutcome() == jobwire.Outcome_OUTCOME_NOT_LEADER:
			g.learn(host, resp.GetLeader())
		case resp.GetOutcome() == jobwire.Outcome_OUTCOME_UNKNOWN:
			sent = true
			g.lost(host, "the lead ended during the call")
		case sent && resp.GetOutcome() == jobwire.Outcome_OUTCOME_UNAVAILABLE:
			// An earlier attempt may have been accepted, so this is no refusal.
			g.found(host)
			g.pause(ctx, probePause)
		default:
			g.found(host)
			return resp, true
		}
	}
}

func attempt[R any, PR interface {
	*R
	answer
}](ctx context.Context, g *Gateway, host, method string, req proto.Message) (PR, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp := PR(new(R))
	if err := g.opts.Caller.Call(ctx, host, method, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// await returns the leader, empty when none is found in time.
func (g *Gateway) await(ctx context.Context, timeout time.Duration) string {
	t := g.opts.Clock.NewTimer(timeout)
	defer t.Stop()
	for {
		g.mu.Lock()
		leader, changed := g.leader, g.changed
		if leader == "" && !g.finding {
			g.finding = true
			go g.find()
		}
		g.mu.Unlock()
		if leader != "" && timeout > 0 {
			return leader
		}
		select {
		case <-changed:
		case <-t.C():
			return ""
		case <-ctx.Done():
			return ""
		}
	}
}

// pause waits for some time, or until ctx ends.
func (g *Gateway) pause(ctx context.Context, d time.Duration) {
	t := g.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-ctx.Done():
	}
}

// find asks all hosts at once until one leads.
func (g *Gateway) find() {
	for g.Leader() == "" {
		g.mu.Lock()
		hosts := slices.Clone(g.hosts)
		g.mu.Unlock()
		var asked sync.WaitGroup
		for _, host := range hosts {
			asked.Go(func() { g.probe(host) })
		}
		asked.Wait()
		pause := g.opts.Clock.NewTimer(probePause)
		<-pause.C()
	}
	g.mu.Lock()
	g.finding = false
	g.mu.Unlock()
}

// check begins to ask a leader that has not answered lately whether it still
// leads.
func (g *Gateway) check(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.checking || g.opts.Clock.Now().Sub(g.answered) < freshFor/3 {
		return
	}
	g.checking = true
	go func() {
		g.probe(host)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.checking = false
	}()
}

// probe asks a host whether it leads, with a call that costs it little.
func (g *Gateway) probe(host string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	resp := &jobwire.ControlResponse{}
	err := g.opts.Caller.Call(ctx, host, controlMethod, &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_ReadWave{
			ReadWave: &jobwire.ReadWave{},
		},
	}, resp)
	switch {
	case err != nil:
		g.lost(host, err.Error())
	case resp.GetOutcome() == jobwire.Outcome_OUTCOME_NOT_LEADER:
		g.learn(host, "")
		g.Add(resp.GetLeader())
	default:
		g.found(host)
	}
}

// setLeader changes the leader; g.mu is held.
func (g *Gateway) setLeader(host string) {
	if g.leader == host {
		return
	}
	g.leader = host
	close(g.changed)
	g.changed = make(chan struct{})
}

// lost notes that a host did not answer.
func (g *Gateway) lost(host, cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == host {
		g.opts.Logger.Info("gateway: leader does not answer", "host", host, "cause", cause)
		g.setLeader("")
	}
}

// learn notes whom a host that does not lead takes for the leader.
func (g *Gateway) learn(host, leader string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != host {
		return
	}
	if leader == host {
		leader = ""
	}
	g.setLeader(leader)
	g.add(leader)
}

func (g *Gateway) found(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != host {
		g.opts.Logger.Info("gateway: host leads", "host", host)
	}
	g.setLeader(host)
	g.answered = g.opts.Clock.Now()
	g.add(host)
}

// add notes a host's name; g.mu is held.
func (g *Gateway) add(host string) {
	if host != "" && !slices.Contains(g.hosts, host) {
		g.hosts = append(g.hosts, host)
	}
}

// Add notes the name of another host that may lead.
func (g *Gateway) Add(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(host)
}

// Hosts returns the names of all hosts that may lead.
func (g *Gateway) Hosts() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.hosts)
}

// Watch asks the leader while no calls pass, until ctx ends, so that Ready
// tells of the path to it.
func (g *Gateway) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.freshWithin(freshFor / 3) {
			if leader := g.await(ctx, probeTimeout); leader != "" {
				g.probe(leader)
			}
		}
		g.pause(ctx, freshFor/3)
	}
}

func (g *Gateway) freshWithin(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opts.Clock.Now().Sub(g.answered) < d
}
