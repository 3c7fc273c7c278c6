package courier

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// batchTime is how long an agent gathers answers before it hands them over:
	// each batch costs the leader about as much as four answers do.
	batchTime = 8 * time.Millisecond
	// sessionIdleTime is the time without a question after which an agent
	// forgets a session: its leader has ended.
	sessionIdleTime = 3 * time.Second
	// answersKept bounds the answers that wait for one leader.
	answersKept = 8192
)

// ErrFenced is returned for the orders of a leader that has been followed by
// another one.
var ErrFenced = errors.New("courier: a later leader gives orders")

// AgentOptions set up an Agent.
type AgentOptions struct {
	Local *Local
	// DataCentre is that of this host.
	DataCentre string
	Clock      timer.Clock
	Logger     *slog.Logger
}

// Agent carries orders for the leader. It is safe for concurrent use; make one
// with NewAgent.
type Agent struct {
	opts AgentOptions
	born int64

	mu sync.Mutex
	// fence is the highest one seen.
	fence uint64
	// session is the one of the highest fence; nil before the first.
	session *agentSession
}

// agentSession holds the answers for one leader; the agent's lock guards it.
type agentSession struct {
	name    string
	askedAt time.Time
	answers []*jobwire.OrderAnswer
	// ready holds a token when there may be answers.
	ready chan struct{}
	// ctx ends with the session, so that orders of a former leader which are on
	// their way are given up.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewAgent returns an agent that carries nothing yet.
func NewAgent(opts AgentOptions) *Agent {
	return &Agent{
		opts: opts,
		born: time.Now().UnixNano(),
	}
}

// enter returns the session of the given name. A higher fence ends that of a
// former leader.
func (a *Agent) enter(name string, fence uint64) (*agentSession, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence < a.fence {
		return nil, ErrFenced
	}
	if a.session == nil || a.session.name != name {
		if fence > a.fence {
			a.opts.Logger.Info("courier: carries orders for a leader", "session", name)
		}
		if a.session != nil {
			a.session.cancel()
		}
		a.fence = fence
		a.session = &agentSession{
			name:  name,
			ready: make(chan struct{}, 1),
		}
		a.session.ctx, a.session.cancel = context.WithCancel(context.Background())
	}
	a.session.askedAt = a.opts.Clock.Now()
	return a.session, nil
}

// Carry takes orders and returns before they are carried out.
func (a *Agent) Carry(req *jobwire.CarryRequest) error {
	session, err := a.enter(req.GetSession(), req.GetFence())
	if err != nil {
		return err
	}
	for _, message := range req.GetOrders() {
		order := decodeOrder(message)
		if order == nil {
			a.opts.Logger.Warn("courier: order of an unknown kind", "number", message.GetNumber())
			continue
		}
		number := message.GetNumber()
		// The order outlives the call that brought it.
		a.opts.Local.Go(session.ctx, req.GetFence(), order, func(answer Answer) {
			a.answered(session, encodeAnswer(number, answer))
		})
	}
	return nil
}

// answered keeps an answer until the leader asks for it.
func (a *Agent) answered(session *agentSession, answer *jobwire.OrderAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.session != session || len(session.answers) >= answersKept ||
		a.opts.Clock.Now().Sub(session.askedAt) > sessionIdleTime {
		// Nobody asks for it any more; a leader that does counts it as lost.
		session.answers = nil
		return
	}
	session.answers = append(session.answers, answer)
	session.signal()
}

func (s *agentSession) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Collect waits for answers and hands over all that there are. One that is lost
// on its way is not handed over again.
func (a *Agent) Collect(ctx context.Context, req *jobwire.CollectRequest) (*jobwire.CollectResponse, error) {
	session, err := a.enter(req.GetSession(), req.GetFence())
	if err != nil {
		return nil, err
	}
	if a.wait(ctx, session.ready, time.Duration(req.GetWaitNanos())) {
		a.wait(ctx, nil, batchTime)
	}
	if ctx.Err() != nil {
		// The caller is gone; the answers are for its next question.
		session.signal()
		return nil, ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	answers := session.answers
	session.answers = nil
	return &jobwire.CollectResponse{
		BornUnixNanos: a.born,
		DataCentre:    a.opts.DataCentre,
		Answers:       answers,
	}, nil
}

// Close gives up the orders on their way.
func (a *Agent) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.session != nil {
		a.session.cancel()
	}
}

// wait reports whether ready was closed before the time was over.
func (a *Agent) wait(ctx context.Context, ready <-chan struct{}, d time.Duration) bool {
	t := a.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ready:
		return true
	case <-t.C():
	case <-ctx.Done():
	}
	return false
}
