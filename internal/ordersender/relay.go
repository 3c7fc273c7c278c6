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
	// answerBatchWindow is how long a relay collects answers before it returns
	// them as a batch: each batch costs the leader about as much as four
	// answers.
	answerBatchWindow = 16 * time.Millisecond
	// sessionIdleTimeout is the time without a call from the leader after which
	// a relay discards the session's answers: its leader is assumed to be
	// gone.
	sessionIdleTimeout = 3 * time.Second
	// MaxBufferedAnswers bounds the answers buffered for one leader.
	MaxBufferedAnswers = 8192
)

// ErrFenced is returned for calls from a leader that a later leader has
// replaced.
var ErrFenced = errors.New("courier: a later leader gives orders")

// RelayOptions configures a Relay.
type RelayOptions struct {
	Local *LocalSender
	// DataCentre is the data centre of this host.
	DataCentre string
	Clock      timer.Clock
	Logger     *slog.Logger
}

// Relay relays a leader's orders to workers from this host and buffers the
// answers. It is safe for concurrent use; create one with NewRelay.
type Relay struct {
	opts        RelayOptions
	incarnation int64

	mu sync.Mutex
	// fence is the highest fencing token seen.
	fence uint64
	// session is the session of the leader with the highest fence; nil before
	// the first call.
	session *relaySession
}

// relaySession buffers the answers for one leader; the relay's mutex guards it.
type relaySession struct {
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

// NewRelay returns a relay without a session.
func NewRelay(opts RelayOptions) *Relay {
	return &Relay{
		opts:        opts,
		incarnation: time.Now().UnixNano(),
	}
}

// sessionFor returns the session with the given name. A higher fence ends the
// session of a former leader.
func (r *Relay) sessionFor(name string, fence uint64) (*relaySession, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fence < r.fence {
		return nil, ErrFenced
	}
	if r.session == nil || r.session.name != name {
		if fence > r.fence {
			r.opts.Logger.Info("courier: relaying orders for a new leader", "session", name)
		}
		if r.session != nil {
			r.session.cancel()
		}
		r.fence = fence
		r.session = &relaySession{
			name:  name,
			ready: make(chan struct{}, 1),
		}
		r.session.ctx, r.session.cancel = context.WithCancel(context.Background())
	}
	r.session.usedAt = r.opts.Clock.Now()
	return r.session, nil
}

// Carry accepts orders and returns before they are executed.
func (r *Relay) Carry(req *jobwire.CarryRequest) error {
	session, err := r.sessionFor(req.GetSession(), req.GetFence())
	if err != nil {
		return err
	}
	for _, message := range req.GetOrders() {
		order := decodeOrder(message)
		if order == nil {
			r.opts.Logger.Warn("courier: order of an unknown kind ignored", "number", message.GetNumber())
			continue
		}
		number := message.GetNumber()
		// The session's context is used because the order outlives this call.
		r.opts.Local.Go(session.ctx, req.GetFence(), order, func(answer Answer) {
			r.addAnswer(session, encodeAnswer(number, answer))
		})
	}
	return nil
}

// addAnswer buffers an answer until the leader collects it.
func (r *Relay) addAnswer(session *relaySession, answer *jobwire.OrderAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.session != session || r.opts.Clock.Now().Sub(session.usedAt) > sessionIdleTimeout:
		// No leader collects these answers any more.
		session.answers = nil
		return
	case len(session.answers) >= MaxBufferedAnswers:
		// The order counts as unanswered. The answers that are buffered stay: they say
		// which tasks have started and ended.
		return
	}
	session.answers = append(session.answers, answer)
	session.signal()
}

func (s *relaySession) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Collect waits for answers and returns all that are buffered. Answers lost on
// the way to the leader are not sent again.
func (r *Relay) Collect(ctx context.Context, req *jobwire.CollectRequest) (*jobwire.CollectResponse, error) {
	session, err := r.sessionFor(req.GetSession(), req.GetFence())
	if err != nil {
		return nil, err
	}
	if r.wait(ctx, session.ready, time.Duration(req.GetWaitNanos())) {
		r.wait(ctx, nil, answerBatchWindow)
	}
	if ctx.Err() != nil {
		// The caller has gone; keep the answers for its next call.
		session.signal()
		return nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	answers := session.answers
	session.answers = nil
	return &jobwire.CollectResponse{
		BornUnixNanos: r.incarnation,
		DataCentre:    r.opts.DataCentre,
		Answers:       answers,
	}, nil
}

// Close cancels the orders in flight.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session != nil {
		r.session.cancel()
	}
}

// wait waits for a token in ready and reports whether one arrived before d
// elapsed or ctx ended.
func (r *Relay) wait(ctx context.Context, ready <-chan struct{}, d time.Duration) bool {
	t := r.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ready:
		return true
	case <-t.C():
	case <-ctx.Done():
	}
	return false
}
