// Package jobgateway forwards calls of submitters, workers and operators to the
// leader. It discovers the leader by probing a configured list of hosts, and learns
// of more hosts from their answers.
package jobgateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// attemptTimeout limits one call to the leader. A leader answers within a few
	// disk syncs; one that takes longer is frozen or partitioned.
	attemptTimeout = 700 * time.Millisecond
	// noLeaderTimeout is how long a call that was not sent waits until a leader is
	// found; then its caller is told to retry later.
	noLeaderTimeout = 120 * time.Millisecond
	// unknownOutcomeTimeout is how long a call that may have been executed is
	// retried; then its caller is told that its outcome is unknown.
	unknownOutcomeTimeout = 1300 * time.Millisecond
	// heldReadTimeout limits a read that tells of the configuration, and that a former leader
	// may have held back. Its caller may meanwhile have read again and got an older version;
	// a later answer of the next leader would look to it like a configuration that was
	// taken back.
	heldReadTimeout = 250 * time.Millisecond
	// probeTimeout limits one probe, which asks a host whether it leads.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the time between two rounds of probes.
	probeInterval = 40 * time.Millisecond
	// retryDelay is the delay after which a caller should retry if there was no
	// leader: an election takes about a second.
	retryDelay = time.Second
	// answerValidity is how long after its last answer the leader counts as
	// reachable.
	answerValidity = 1500 * time.Millisecond
)

// RPC methods of the leader.
const (
	jobMethod     = "Jobs.Job"
	controlMethod = "Jobs.Control"
)

// Caller calls an RPC method of a host.
type Caller interface {
	Call(ctx context.Context, host, method string, request, response proto.Message) error
}

// Options set up a Gateway.
type Options struct {
	// Hosts are the initially known names of hosts that may lead.
	Hosts  []string
	Caller Caller
	Clock  timer.Clock
	Logger *slog.Logger
	// ReadFromFollowers makes reads of a job's state go to hosts that do not lead; the leader
	// answers what they can't.
	ReadFromFollowers bool
	// Pauses tells whether this process has stood still; only Evacuate needs it.
	Pauses PauseDetector
}

// Gateway forwards calls to the leader and keeps track of which host that is. It is
// safe for concurrent use; create one with New.
type Gateway struct {
	opts Options

	mu sync.Mutex
	// hosts are the names of all known hosts, without duplicates.
	hosts []string
	// leader is the name of the leader, empty when unknown.
	leader string
	// lastAnswer is when a leader last answered.
	lastAnswer time.Time
	// searching is true while searchLeader runs.
	searching bool
	// verifying is true while the current leader is probed.
	verifying bool
	// leaderChanged is closed and replaced on each change of the leader.
	leaderChanged chan struct{}
	// readersFailedAt holds when a read of a host last failed, for readerRetryDelay.
	readersFailedAt map[string]time.Time
}

// New returns a gateway that doesn't know the leader yet.
func New(opts Options) *Gateway {
	return &Gateway{
		opts:          opts,
		hosts:         slices.Compact(slices.Sorted(slices.Values(opts.Hosts))),
		leaderChanged: make(chan struct{}),

		readersFailedAt: make(map[string]time.Time),
	}
}

// Leader returns the name of the last known leader, empty when unknown.
func (g *Gateway) Leader() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// Ready reports whether a leader has answered within answerValidity.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opts.Clock.Now().Sub(g.lastAnswer) < answerValidity
}

// Job forwards a call of a submitter. Its outcome is OUTCOME_UNAVAILABLE if no
// leader can have executed the call, and OUTCOME_UNKNOWN if one may have.
func (g *Gateway) Job(ctx context.Context, req *jobwire.JobRequest) *jobwire.JobResponse {
	if g.opts.ReadFromFollowers && isStateRead(req) {
		if resp := g.readFromFollower(ctx, req); resp != nil {
			return resp
		}
	}
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
		RetryAfterNanos: int64(retryDelay),
	}
}

// Control forwards a call of a worker or an operator. Its outcome is
// OUTCOME_UNAVAILABLE even if a leader may have executed the call.
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

// leaderResponse is the response of a host, whether it leads or not.
type leaderResponse interface {
	proto.Message
	GetOutcome() jobwire.Outcome
	GetLeader() string
}

// forward calls the leader. All calls are idempotent, so one that may have been
// executed is sent again to the next leader. It returns nil if no leader answered,
// and whether the call may have reached one.
func forward[R any, PR interface {
	*R
	leaderResponse
}](ctx context.Context, g *Gateway, method string, req proto.Message) (resp PR, sent bool) {
	start := g.opts.Clock.Now()
	for {
		remaining := noLeaderTimeout
		if sent {
			remaining = retryTimeout(req)
		}
		remaining -= g.opts.Clock.Now().Sub(start)
		host := g.awaitLeader(ctx, remaining)
		if host == "" || ctx.Err() != nil {
			return nil, sent
		}
		if sent && tellsOfConfiguration(req) {
			// Its end says nothing about the leader, as that of the caller's context.
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, remaining)
			defer cancel()
		}
		resp, err := attempt[R, PR](ctx, g, host, method, req)
		switch {
		case err != nil && ctx.Err() != nil:
			// The call's context has ended, which says nothing about the leader.
			g.verifyLeader(host)
			return nil, true
		case errors.Is(err, messenger.ErrNotEncodable):
			// That says nothing about the leader, and no other one would take the call.
			g.opts.Logger.Warn("gateway: call not passed on, because it can't be encoded", "method", method, "error", err)
			return nil, sent
		case err != nil:
			sent = sent || !messenger.NotSent(err)
			g.clearLeader(host, err.Error())
		case resp.GetOutcome() == jobwire.Outcome_OUTCOME_NOT_LEADER:
			g.followRedirect(host, resp.GetLeader())
		case resp.GetOutcome() == jobwire.Outcome_OUTCOME_UNKNOWN:
			sent = true
			g.clearLeader(host, "the host lost leadership during the call")
		case sent && resp.GetOutcome() == jobwire.Outcome_OUTCOME_UNAVAILABLE:
			// An earlier attempt may have been accepted, so the refusal can't be
			// passed on.
			g.confirmLeader(host)
			g.sleep(ctx, probeInterval)
		case sent && isSubmission(req) && resp.GetOutcome() != jobwire.Outcome_OUTCOME_OK:
			// The same holds for a refusal that does not pass soon. The earlier
			// attempt may still be on its way through the log.
			g.confirmLeader(host)
			return nil, true
		default:
			g.confirmLeader(host)
			return resp, true
		}
	}
}

// retryTimeout returns how long a call that may have reached a leader is retried.
func retryTimeout(req proto.Message) time.Duration {
	if tellsOfConfiguration(req) {
		return heldReadTimeout
	}
	return unknownOutcomeTimeout
}

// tellsOfConfiguration reports whether a call reads what the configuration in force decides
// and little else: the configuration, or the length of a queue, by which a caller learns
// whether there is such a queue.
func tellsOfConfiguration(req proto.Message) bool {
	switch call := req.(type) {
	case *jobwire.ControlRequest:
		return call.GetRead() != nil
	case *jobwire.JobRequest:
		return call.GetGet() != nil && !isStateRead(call)
	}
	return false
}

// isSubmission reports whether a call submits a job.
func isSubmission(req proto.Message) bool {
	call, ok := req.(*jobwire.JobRequest)
	return ok && call.GetSubmit() != nil
}

// attempt calls a host once.
func attempt[R any, PR interface {
	*R
	leaderResponse
}](ctx context.Context, g *Gateway, host, method string, req proto.Message) (PR, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp := PR(new(R))
	if err := g.opts.Caller.Call(ctx, host, method, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// awaitLeader returns the leader. It starts a search if the leader is unknown, and
// returns an empty name if none is found in time.
func (g *Gateway) awaitLeader(ctx context.Context, timeout time.Duration) string {
	t := g.opts.Clock.NewTimer(timeout)
	defer t.Stop()
	for {
		g.mu.Lock()
		leader, changed := g.leader, g.leaderChanged
		if leader == "" && !g.searching {
			g.searching = true
			go g.searchLeader()
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

// sleep waits for d or until ctx ends.
func (g *Gateway) sleep(ctx context.Context, d time.Duration) {
	t := g.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-ctx.Done():
	}
}

// searchLeader probes all known hosts concurrently, round after round, until one
// leads.
func (g *Gateway) searchLeader() {
	for {
		hosts, found := g.searchedHosts()
		if found {
			return
		}
		var probes sync.WaitGroup
		for _, host := range hosts {
			probes.Go(func() { g.probe(host) })
		}
		probes.Wait()
		wait := g.opts.Clock.NewTimer(probeInterval)
		<-wait.C()
	}
}

// searchedHosts returns the hosts to probe, or ends the search if a leader is known. A
// leader that is lost right after that starts the next search.
func (g *Gateway) searchedHosts() (hosts []string, found bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.searching = g.leader == ""
	return slices.Clone(g.hosts), !g.searching
}

// verifyLeader starts a probe of the given host, the presumed leader, unless a
// leader has answered recently or a probe is in progress.
func (g *Gateway) verifyLeader(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.verifying || g.opts.Clock.Now().Sub(g.lastAnswer) < answerValidity/3 {
		return
	}
	g.verifying = true
	go func() {
		g.probe(host)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.verifying = false
	}()
}

// probe asks a host whether it leads, with a cheap read that has no effect.
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
		g.clearLeader(host, err.Error())
	case resp.GetOutcome() == jobwire.Outcome_OUTCOME_NOT_LEADER:
		g.followRedirect(host, "")
		g.AddHost(resp.GetLeader())
	default:
		g.confirmLeader(host)
	}
}

// setLeader changes the leader; g.mu is held.
func (g *Gateway) setLeader(host string) {
	if g.leader == host {
		return
	}
	g.leader = host
	close(g.leaderChanged)
	g.leaderChanged = make(chan struct{})
}

// clearLeader forgets the leader if it is the given host.
func (g *Gateway) clearLeader(host, cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == host {
		g.opts.Logger.Info("gateway: leader unreachable or no longer leading; searching for a leader", "host", host, "cause", cause)
		g.setLeader("")
	}
}

// followRedirect handles the answer of a host that it does not lead. If this host
// is the presumed leader, the leader that it has named replaces it; the leader is
// unknown if it has named none or itself.
func (g *Gateway) followRedirect(host, leader string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != host {
		return
	}
	if leader == host {
		leader = ""
	}
	g.setLeader(leader)
	g.addHost(leader)
}

// confirmLeader records that a host has answered as the leader.
func (g *Gateway) confirmLeader(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != host {
		g.opts.Logger.Info("gateway: found leader", "host", host)
	}
	g.setLeader(host)
	g.lastAnswer = g.opts.Clock.Now()
	g.addHost(host)
}

// addHost adds a name to the known hosts; g.mu is held.
func (g *Gateway) addHost(host string) {
	if host != "" && !slices.Contains(g.hosts, host) {
		g.hosts = append(g.hosts, host)
	}
}

// AddHost adds the name of a host that may lead.
func (g *Gateway) AddHost(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addHost(host)
}

// Hosts returns the names of all hosts that may lead.
func (g *Gateway) Hosts() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.hosts)
}

// Watch probes the leader whenever no call has passed for a while, until ctx ends,
// so that Ready reports whether the leader can be reached.
func (g *Gateway) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.answeredWithin(answerValidity / 3) {
			if leader := g.awaitLeader(ctx, probeTimeout); leader != "" {
				g.probe(leader)
			}
		}
		g.sleep(ctx, answerValidity/3)
	}
}

// answeredWithin reports whether a leader has answered within the last d.
func (g *Gateway) answeredWithin(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opts.Clock.Now().Sub(g.lastAnswer) < d
}
