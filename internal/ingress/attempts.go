package ingress

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/heathermux/heathermux/internal/forwarder"
	"github.com/heathermux/heathermux/internal/router"
	"github.com/heathermux/heathermux/pkg/retrier"
)

// callResult is the result of a call after its last attempt.
type callResult struct {
	outcome forwarder.Outcome
	// sent is true once a byte of any attempt may have reached an upstream.
	sent bool
	// refusal is set when the lease, the key or its scope was lost before the
	// request was sent.
	refusal *Problem
}

var (
	errAuthorityLost = errors.New("ingress: request not sent: no longer authorised by authority lease, key or scope")
	errUpstreamLeft  = errors.New("ingress: request not sent: the chosen upstream is no longer listed")
)

// sendWithRetries sends the call to one upstream after the other until it is
// answered, the retry policy allows no further attempt or no other upstream is
// left.
func (g *Ingress) sendWithRetries(ctx context.Context, c *call) callResult {
	policy := g.retryPolicy(c.queue.GetName())
	var res callResult
	var tried []router.Choice
	interrupted := 0
	for n := 1; ; n++ {
		choice, ok := g.pickUpstream(c, tried)
		if !ok {
			if n == 1 {
				res.outcome.Kind = forwarder.NotSent
			}
			return res
		}
		g.sendOnce(ctx, c, n, choice, &res)
		if g.isFinal(ctx, res) {
			return res
		}
		if res.outcome.Kind == forwarder.Interrupted {
			interrupted++
		}
		decision := policy.Decide(g.cfg.Clock.Now(), retrier.Attempt{
			Result:      retryResult(res.outcome.Kind),
			Idempotent:  c.idempotent(),
			Number:      n,
			Interrupted: interrupted,
			Deadline:    c.deadline,
			Estimate:    g.admitter.ServiceTime(c.queue.GetName()),
		})
		if decision != retrier.Retry {
			return res
		}
		tried = append(tried, choice)
	}
}

// isFinal reports whether a failed call must not be retried whatever the retry
// policy says: it is no longer authorised, its context has ended, or its answer
// is too large, which a retry would not change.
func (g *Ingress) isFinal(ctx context.Context, res callResult) bool {
	if res.outcome.Kind == forwarder.Complete {
		return false
	}
	return res.refusal != nil || ctx.Err() != nil || errors.Cause(res.outcome.Err) == forwarder.ErrTooLarge
}

// pickUpstream chooses an upstream for the next attempt. For a retry it passes
// the upstreams already tried, so that another one is chosen.
func (g *Ingress) pickUpstream(c *call, tried []router.Choice) (router.Choice, bool) {
	if len(tried) == 0 {
		return g.router.Pick(c.queue.GetName())
	}
	return g.router.PickOther(c.queue.GetName(), tried)
}

// sendOnce makes attempt number n of the call to the chosen upstream and stores
// its outcome in res.
func (g *Ingress) sendOnce(ctx context.Context, c *call, n int, choice router.Choice, res *callResult) {
	upstream := choice.Upstream()
	ctx, span := g.tracer.Start(ctx, "forward", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	var refusal *Problem
	res.outcome = g.forwarder.Send(ctx, target(upstream), &forwarder.Request{
		Timeout: c.deadline.Sub(g.cfg.Clock.Now()),
		Method:  c.method,
		URL:     c.url,
		Header:  g.attemptHeader(ctx, c),
		Body:    c.body,
		ID:      c.id + "-" + strconv.Itoa(n),
		BeforeWrite: func() error {
			var err error
			refusal, err = g.checkBeforeSend(c, choice)
			return err
		},
	})
	if res.outcome.Kind != forwarder.NotSent {
		res.sent = true
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("upstream", upstream.GetId()), attribute.Int("attempt", n),
			attribute.String("outcome", res.outcome.Kind.String()))
	}
	g.reportOutcome(choice, res.outcome)
	if errors.Cause(res.outcome.Err) == errAuthorityLost {
		res.refusal = refusal
	}
}

// checkBeforeSend checks right before the first byte is written that the call is
// still authorised and the upstream still listed. Both may have changed, because
// a request may wait for a connection until its deadline.
func (g *Ingress) checkBeforeSend(c *call, choice router.Choice) (*Problem, error) {
	view := g.cfg.View()
	if _, refusal := authorise(g.recordRevision(&view), g.cfg.Clock.Now(), &c.credential, c.queue, c.keyed()); refusal != nil {
		return refusal, errAuthorityLost
	}
	if !g.router.Live(choice) {
		return nil, errUpstreamLeft
	}
	return nil, nil
}

// reportOutcome tells the router whether the upstream succeeded. An attempt that
// ended for a reason that says nothing about the upstream is only released.
func (g *Ingress) reportOutcome(choice router.Choice, o forwarder.Outcome) {
	switch cause := errors.Cause(o.Err); {
	case cause == errAuthorityLost || cause == errUpstreamLeft || errors.Is(cause, context.Canceled):
		choice.Release()
	case cause == forwarder.ErrTooLarge:
		choice.Done(true)
	case o.Kind == forwarder.Complete:
		choice.Done(o.Response.Status < http.StatusBadGateway)
	default:
		choice.Done(false)
	}
}

// retryResult converts the outcome of an attempt for the retry policy.
func retryResult(k forwarder.Kind) retrier.Result {
	switch k {
	case forwarder.NotSent:
		return retrier.NotRun
	case forwarder.Complete:
		return retrier.Answered
	default:
		return retrier.MayHaveRun
	}
}
