package ingress

import (
	"context"
	"net/http"

	"github.com/heathermux/heathermux/internal/admitter"
)

func (g *Ingress) admit(ctx context.Context, c *call) (admitter.Permit, *Problem) {
	permit, refusal := g.admitter.Admit(ctx, admitter.Request{
		Queue:    c.queue.GetName(),
		Team:     c.team.GetName(),
		Weight:   c.team.GetShare(),
		Deadline: c.deadline,
	})
	if refusal == nil {
		return permit, nil
	}
	return permit, c.notRun(admissionProblem(refusal.Reason)).after(refusal.RetryAfter)
}

func admissionProblem(r admitter.Reason) *Problem {
	switch r {
	case admitter.NoCapacity:
		return problem(http.StatusServiceUnavailable, "no-upstream", "No upstream is available",
			"no upstream of this queue takes work now")
	case admitter.NoAllotment:
		return problem(http.StatusTooManyRequests, "no-allotment", "Team has no allotment here",
			"the team may run no requests on this entry host now")
	case admitter.OverRate:
		return problem(http.StatusTooManyRequests, "over-rate", "Request rate is used up",
			"the team sends more requests a second than it may")
	case admitter.QueueFull:
		return problem(http.StatusServiceUnavailable, "queue-full", "Queue is full",
			"too many requests wait for this queue")
	case admitter.TooLate:
		return problem(http.StatusServiceUnavailable, "too-late", "Deadline can't be met",
			"the request would not end before its deadline")
	default:
		return problem(statusClientClosed, "caller-gone", "Caller has gone", "the caller closed the connection")
	}
}

// statusClientClosed is logged and traced only; no one receives it.
const statusClientClosed = 499

func (g *Ingress) stopping(r *http.Request) *Problem {
	return problem(http.StatusServiceUnavailable, "stopping", "Entry host is stopping",
		"this entry host takes no new work; another one does").after(leaseRetry).seenKey(r.Header)
}
