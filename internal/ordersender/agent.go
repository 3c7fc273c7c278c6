package ordersender

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
	// answerBatchWindow is how long an agent collects answers before it returns
	// them as a batch: each batch costs the leader about as much as four
	// answers.
	answerBatchWindow = 8 * time.Millisecond
	// sessionIdleTimeout is the time without a call from the leader after which
	// an agent discards the session's answers: its leader is assumed to be
	// gone.
	sessionIdleTimeout = 3 * time.Second
	// maxBufferedAnswers bounds the answers buffered for one leader.
	maxBufferedAnswers = 8192
)

// ErrFenced is returned for calls from a leader that a later leader has
// replaced.
var ErrFenced = errors.New("courier: a later leader gives orders")

// RelayOptions configures an Agent.
type RelayOptions struct {
	Local *LocalSender
	// DataCentre is the data centre of this host.
	DataCentre string
	Clock      timer.Clock
	Logger     *slog.Logger
}

// Relay relays a leader's orders to workers from this host and buffers the
// answers. It is safe for concurrent use; create one with NewAgent.
type Relay struct {
	opts        RelayOptions
	incarnation int64

	mu sync.Mutex
	// fence is the highest fencing token seen.
	fence uint64
	// session is the session of the leader with the highest fence; nil before
	// the first call.
	session *agentSession
}

// agentSession buffers the answers for one leader; the agent's mutex guards it.
type agentSession struct {
	name    string
	usedAt  time.Time
	answers []*jobwire.OrderAnswer
	// ready holds a token when there may be answers.
	ready chan struct{}
	// ctx is cancelled with the session, so that orders in flight from a former
	// leader are abandoned.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewRelay returns an agent without a session.
func NewRelay(opts RelayOptions) *Relay {
	return &Relay{
		opts:        opts,
		incarnation: time.Now().UnixNano(),
	}
}

// sessionFor returns the session with the given name. A higher fence ends the
// session of a former leader.
func (a *Relay) sessionFor(name string, fence uint64) (*agentSession, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence < a.fence {
		return nil, ErrFenced
	}
	if a.session == nil || a.session.name != name {
		if fence > a.fence {
			a.opts.Logger.Info("courier: relaying orders for a new leader", "session", name)
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
	a.session.usedAt = a.opts.Clock.Now()
	return a.session, nil
}

// Carry accepts orders and returns before they are executed.
func (a *Relay) Carry(req *jobwire.CarryRequest) error {
	session, err := a.sessionFor(req.GetSession(), req.GetFence())
	if err != nil {
		return err
	}
	for _, message := range req.GetOrders() {
		order := decodeOrder(message)
		if order == nil {
			a.opts.Logger.Warn("courier: order of an unknown kind ignored", "number", message.GetNumber())
			continue
		}
		number := message.GetNumber()
		// The session's context is used because the order outlives this call.
		a.opts.Local.Go(session.ctx, req.GetFence(), order, func(answer Answer) {
			a.addAnswer(session, encodeAnswer(number, answer))
		})
	}
	return nil
}

// addAnswer buffers an answer until the leader collects it.
func (a *Relay) addAnswer(session *agentSession, answer *jobwire.OrderAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.session != session || len(session.answers) >= maxBufferedAnswers ||
		a.opts.Clock.Now().Sub(session.usedAt) > sessionIdleTimeout {
		// No leader collects these answers any more. One that still does counts
		// them as lost.
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

// Collect waits for answers and returns all that are buffered. Answers lost on
// the way to the leader are not sent again.
func (a *Relay) Collect(ctx context.Context, req *jobwire.CollectRequest) (*jobwire.CollectResponse, error) {
	session, err := a.sessionFor(req.GetSession(), req.GetFence())
	if err != nil {
		return nil, err
	}
	if a.wait(ctx, session.ready, time.Duration(req.GetWaitNanos())) {
		a.wait(ctx, nil, answerBatchWindow)
	}
	if ctx.Err() != nil {
		// The caller has gone; keep the answers for its next call.
		session.signal()
		return nil, ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	answers := session.answers
	session.answers = nil
	return &jobwire.CollectResponse{
		BornUnixNanos: a.incarnation,
		DataCentre:    a.opts.DataCentre,
		Answers:       answers,
	}, nil
}

// Close cancels the orders in flight.
func (a *Relay) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.session != nil {
		a.session.cancel()
	}
}

// wait waits for a token in ready and reports whether one arrived before d
// elapsed or ctx ended.
func (a *Relay) wait(ctx context.Context, ready <-chan struct{}, d time.Duration) bool {
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
