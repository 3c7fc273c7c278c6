package ingress

import (
	"context"
	"net/http"

	"github.com/heathermux/heathermux/internal/admitter"
)

// admit waits until the admitter lets the request run. The caller must call Done
// on the permit when the request has ended.
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
	return permit, c.markNotRun(admissionProblem(refusal.Reason)).withRetryAfter(refusal.RetryAfter)
}

// admissionProblem returns the refusal for the reason that the admitter gave.
func admissionProblem(reason admitter.Reason) *Problem {
	switch reason {
	case admitter.NoCapacity:
		return newProblem(http.StatusServiceUnavailable, "no-upstream", "No upstream is available",
			"no upstream of this queue takes work now")
	case admitter.NoAllotment:
		return newProblem(http.StatusTooManyRequests, "no-allotment", "Team has no allotment here",
			"the team may run no requests on this entry host now")
	case admitter.OverRate:
		return newProblem(http.StatusTooManyRequests, "over-rate", "Request rate is used up",
			"the team sends more requests a second than it may")
	case admitter.QueueFull:
		return newProblem(http.StatusServiceUnavailable, "queue-full", "Queue is full",
			"too many requests wait for this queue")
	case admitter.TooLate:
		return newProblem(http.StatusServiceUnavailable, "too-late", "Deadline can't be met",
			"the request would not end before its deadline")
	default:
		return newProblem(statusClientClosedRequest, "caller-gone", "Caller has gone", "the caller closed the connection")
	}
}

// statusClientClosedRequest is the status that nginx uses for a request whose
// client has closed the connection. No caller receives it.
const statusClientClosedRequest = 499

// stoppingProblem returns the refusal of new work while the entry host drains.
func (g *Ingress) stoppingProblem(r *http.Request) *Problem {
	return newProblem(http.StatusServiceUnavailable, "stopping", "Entry host is stopping",
		"this entry host takes no new work; another one does").withRetryAfter(leaseRetryAfter).unknownRunIfKeyed(r.Header)
}
