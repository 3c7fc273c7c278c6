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

// result is how a call ended after its last attempt.
type result struct {
	outcome forwarder.Outcome
	// sent reports whether a byte of any attempt may have reached an upstream.
	sent bool
	// refusal is set when the call lost its authority before it was sent.
	refusal *Problem
}

var (
	errNoAuthority = errors.New("ingress: no authority for the request any more")
	errLeft        = errors.New("ingress: upstream has left")
)

// attempts sends the call until it is answered or the policy gives up.
func (g *Ingress) attempts(ctx context.Context, c *call) result {
	policy := g.policy(c.queue.GetName())
	var res result
	var tried []router.Choice
	for n := 1; ; n++ {
		choice, ok := g.pick(c, tried)
		if !ok {
			if n == 1 {
				res.outcome.Kind = forwarder.NotSent
			}
			return res
		}
		g.attempt(ctx, c, n, choice, &res)
		if g.final(ctx, res) {
			return res
		}
		decision := policy.Decide(g.cfg.Clock.Now(), retrier.Attempt{
			Result:     retryResult(res.outcome.Kind),
			Idempotent: c.idempotent(),
			Number:     n,
			Deadline:   c.deadline,
			Estimate:   g.admitter.Service(c.queue.GetName()),
		})
		if decision != retrier.Retry {
			return res
		}
		tried = append(tried, choice)
	}
}

// final reports whether no policy can change the result: the call lost its
// authority, its caller has gone, or every answer to it is too large.
func (g *Ingress) final(ctx context.Context, res result) bool {
	if res.outcome.Kind == forwarder.Complete {
		return false
	}
	return res.refusal != nil || ctx.Err() != nil || errors.Cause(res.outcome.Err) == forwarder.ErrTooLarge
}

func (g *Ingress) pick(c *call, tried []router.Choice) (router.Choice, bool) {
	if len(tried) == 0 {
		return g.router.Pick(c.queue.GetName())
	}
	return g.router.PickOther(c.queue.GetName(), tried)
}

// attempt sends the call once.
func (g *Ingress) attempt(ctx context.Context, c *call, n int, choice router.Choice, res *result) {
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
		Gate: func() error {
			var err error
			refusal, err = g.gate(c, choice)
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
	g.settle(choice, res.outcome)
	if errors.Cause(res.outcome.Err) == errNoAuthority {
		res.refusal = refusal
	}
}

// gate is the last check before the first byte: a request may have waited for
// a connection for as long as its deadline.
func (g *Ingress) gate(c *call, choice router.Choice) (*Problem, error) {
	view := g.cfg.View()
	if _, refusal := authorise(g.saw(&view), g.cfg.Clock.Now(), &c.credential, c.queue, c.keyed()); refusal != nil {
		return refusal, errNoAuthority
	}
	if !g.router.Live(choice) {
		return nil, errLeft
	}
	return nil, nil
}

// settle tells the router how the upstream did.
func (g *Ingress) settle(choice router.Choice, o forwarder.Outcome) {
	switch cause := errors.Cause(o.Err); {
	case cause == errNoAuthority || cause == errLeft || errors.Is(cause, context.Canceled):
		choice.Release()
	case cause == forwarder.ErrTooLarge:
		choice.Done(true)
	case o.Kind == forwarder.Complete:
		choice.Done(o.Answer.Status < http.StatusBadGateway)
	default:
		choice.Done(false)
	}
}

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
