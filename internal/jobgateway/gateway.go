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
	// attemptTimeout bounds one call to one host. A leader answers within a few
	// syncs of its disk; one that does not is frozen or cut off.
	attemptTimeout = 700 * time.Millisecond
	// leaderlessTimeout is how long a call looks for a leader that no host
	// names before its caller is told to come back.
	leaderlessTimeout = 120 * time.Millisecond
	// totalTimeout bounds a call that may have been carried out.
	totalTimeout = 2 * time.Second
	// attemptPause is the time between two rounds of attempts.
	attemptPause = 30 * time.Millisecond
	// comeBack is when a caller should try again that met no leader.
	comeBack = time.Second
	// freshFor is how long the last answer of a leader vouches for the path to it.
	freshFor = 1500 * time.Millisecond
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
}

// New returns a gateway that knows no leader yet.
func New(opts Options) *Gateway {
	return &Gateway{
		opts:  opts,
		hosts: slices.Compact(slices.Sorted(slices.Values(opts.Hosts))),
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
	resp, sent := forward[jobwire.JobResponse](ctx, g, "Jobs.Job", req)
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
	resp, _ := forward[jobwire.ControlResponse](ctx, g, "Jobs.Control", req)
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
		for _, host := range g.order() {
			resp, err := attempt[R, PR](ctx, g, host, method, req)
			switch {
			case err != nil:
				sent = sent || !messenger.NotSent(err)
				g.lost(host)
			case resp.GetOutcome() == jobwire.Outcome_OUTCOME_NOT_LEADER:
				g.learn(host, resp.GetLeader())
			case resp.GetOutcome() == jobwire.Outcome_OUTCOME_UNKNOWN:
				sent = true
				g.lost(host)
			default:
				g.found(host)
				return resp, true
			}
			if g.Leader() != "" && g.Leader() != host {
				break
			}
		}
		spent := g.opts.Clock.Now().Sub(begun)
		if ctx.Err() != nil || spent > totalTimeout || (!sent && g.Leader() == "" && spent > leaderlessTimeout) {
			return nil, sent
		}
		pause := g.opts.Clock.NewTimer(attemptPause)
		select {
		case <-pause.C():
		case <-ctx.Done():
			pause.Stop()
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

// order returns the hosts to ask, the leader first.
func (g *Gateway) order() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	order := make([]string, 0, len(g.hosts)+1)
	if g.leader != "" {
		order = append(order, g.leader)
	}
	for _, host := range g.hosts {
		if host != g.leader {
			order = append(order, host)
		}
	}
	return order
}

// lost notes that a host did not answer.
func (g *Gateway) lost(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == host {
		g.opts.Logger.Info("gateway: leader does not answer", "host", host)
		g.leader = ""
	}
}

// learn notes whom a host that does not lead takes for the leader.
func (g *Gateway) learn(host, leader string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if leader == host {
		leader = ""
	}
	if g.leader == host || leader != "" {
		g.leader = leader
	}
	if leader != "" && !slices.Contains(g.hosts, leader) {
		g.hosts = append(g.hosts, leader)
	}
}

func (g *Gateway) found(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != host || g.answered.IsZero() {
		g.opts.Logger.Info("gateway: host leads", "host", host)
	}
	g.leader = host
	g.answered = g.opts.Clock.Now()
	if !slices.Contains(g.hosts, host) {
		g.hosts = append(g.hosts, host)
	}
}

// Add notes the name of another host that may lead.
func (g *Gateway) Add(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Contains(g.hosts, host) {
		g.hosts = append(g.hosts, host)
	}
}

// Watch asks for the leader while no calls pass, until ctx ends, so that Ready
// tells of the path to it.
func (g *Gateway) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.freshWithin(freshFor / 3) {
			g.probe(ctx)
		}
		pause := g.opts.Clock.NewTimer(freshFor / 3)
		select {
		case <-pause.C():
		case <-ctx.Done():
			pause.Stop()
		}
	}
}

func (g *Gateway) freshWithin(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opts.Clock.Now().Sub(g.answered) < d
}

// probe asks for the configuration's presence, which costs the leader little.
func (g *Gateway) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	g.Control(ctx, &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_ReadWave{
			ReadWave: &jobwire.ReadWave{},
		},
	})
}
