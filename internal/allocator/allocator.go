// Package allocator splits each team's request rate and concurrency among the
// entry hosts. It runs on the leader; the parts travel with the authority
// lease and end with it, so they need no log entries.
//
// The sum of the parts that may be in use never exceeds the team's limit. A
// host whose part was reduced counts with the larger part until it has
// reported the smaller one or the lease of the larger one has ended.
package allocator

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// termGap is the silence after which this host is taken to lead anew.
	// Followers call every 400 ms, and another leader can't come and go in
	// less than the minimum election timeout.
	termGap = 500 * time.Millisecond

	// drainTime is how long requests may still run on a host whose lease has
	// ended. It is the default request deadline.
	drainTime = 5 * time.Second

	// idleDemand is the demand that every host counts with, so that a host
	// without load can serve the first requests of a peak.
	idleDemand = 1
)

// Part is one host's part of a limit.
type Part struct {
	// Rate is in requests a second.
	Rate int64
	// Concurrency is in requests in flight.
	Concurrency int64
}

func (p Part) max(q Part) Part {
	return Part{
		Rate:        max(p.Rate, q.Rate),
		Concurrency: max(p.Concurrency, q.Concurrency),
	}
}

func (p Part) plus(q Part) Part {
	return Part{
		Rate:        p.Rate + q.Rate,
		Concurrency: p.Concurrency + q.Concurrency,
	}
}

// holding is what one host may use of one team's limit.
type holding struct {
	// granted is the newest part.
	granted Part
	// former is the largest part whose reduction is not confirmed.
	former Part
	// formerUntil is the end of the lease that former came with.
	formerUntil time.Time
	// until is the end of the lease that granted came with.
	until    time.Time
	inFlight int64
	demand   int64
}

// inUse returns what the host may be using at the given time.
func (h *holding) inUse(now time.Time) Part {
	var p Part
	if now.Before(h.until) {
		p = h.granted
	}
	if now.Before(h.formerUntil) {
		p = p.max(h.former)
	}
	if now.Before(h.until.Add(drainTime)) {
		p.Concurrency = max(p.Concurrency, h.inFlight)
	}
	return p
}

// gone reports whether nothing of the limit is in use by the host any more.
func (h *holding) gone(now time.Time) bool {
	return !now.Before(h.until.Add(drainTime)) && !now.Before(h.formerUntil)
}

// team is what the hosts hold of one team's limit.
type team struct {
	hosts map[string]*holding
	// Invariant: the values of hosts. Each call adds them up, and a list is
	// several times faster to go through than a map.
	list []*holding
}

func (t *team) holding(host string) *holding {
	h := t.hosts[host]
	if h == nil {
		h = &holding{}
		t.hosts[host] = h
		t.list = append(t.list, h)
	}
	return h
}

// others returns what the other hosts may be using and what they ask for. A
// host that is gone asks for nothing, or its part would stay unused.
func (t *team) others(now time.Time, except *holding) (use Part, demand int64) {
	for _, h := range t.list {
		if h == except || h.gone(now) {
			continue
		}
		use = use.plus(h.inUse(now))
		demand += h.demand
	}
	return use, demand
}

// Allocator holds the parts of all hosts. It is used by one goroutine at a
// time; make one with New.
type Allocator struct {
	// Invariant: by name.
	teams map[string]*team
	// since is the start of this host's term as the leader.
	since time.Time
	last  time.Time
}

// New returns an allocator without grants.
func New() *Allocator {
	return &Allocator{
		teams: make(map[string]*team),
	}
}

// Grant returns the host's parts of all teams, valid for follower.LeaseLength
// from now at most. In the first LeaseLength of a term it only confirms what
// the host reports, because parts from the former leader may still be in use.
func (a *Allocator) Grant(now time.Time, host *wire.Member, demands []*wire.TeamDemand, s controller.State) []*wire.RequestAllotment {
	if a.last.IsZero() || now.Sub(a.last) > termGap {
		a.since = now
	}
	a.last = now
	reported := make(map[string]*wire.TeamDemand, len(demands))
	for _, d := range demands {
		reported[d.GetTeam()] = d
	}
	members := int64(len(s.View().GetMembers()))
	teams := s.Teams()
	grants := make([]*wire.RequestAllotment, 0, len(teams))
	for _, ref := range teams {
		part := a.grantTeam(now, host.GetName(), ref.Team, reported[ref.Team.GetName()], max(members, 1))
		grants = append(grants, &wire.RequestAllotment{
			Team:        ref.Team.GetName(),
			Rate:        part.Rate,
			Concurrency: part.Concurrency,
		})
	}
	return grants
}

func (a *Allocator) grantTeam(now time.Time, host string, spec *wire.Team, d *wire.TeamDemand, members int64) Part {
	t := a.teams[spec.GetName()]
	if t == nil {
		t = &team{
			hosts: make(map[string]*holding),
		}
		a.teams[spec.GetName()] = t
	}
	h := t.holding(host)
	h.report(d)
	limit := Part{
		Rate:        spec.GetRequestRate(),
		Concurrency: spec.GetRequestConcurrency(),
	}
	used, demand := t.others(now, h)
	part := target(limit, h.demand, demand, members)
	if now.Sub(a.since) < follower.LeaseLength {
		part = Part{
			Rate:        d.GetHeldRate(),
			Concurrency: d.GetHeldConcurrency(),
		}
	}
	part.Rate = max(0, min(part.Rate, limit.Rate-used.Rate))
	part.Concurrency = max(0, min(part.Concurrency, limit.Concurrency-used.Concurrency))
	h.grant(now, part)
	return part
}

// report takes what the host says about its load and the part that it holds.
func (h *holding) report(d *wire.TeamDemand) {
	h.inFlight = d.GetInFlight()
	h.demand = d.GetInFlight() + d.GetQueued() + d.GetRate()
	held := Part{
		Rate:        d.GetHeldRate(),
		Concurrency: d.GetHeldConcurrency(),
	}
	if held == h.granted {
		// The reduction has reached the host.
		h.former, h.formerUntil = Part{}, time.Time{}
	}
}

func (h *holding) keep(p Part, until time.Time) {
	h.former = h.former.max(p)
	if until.After(h.formerUntil) {
		h.formerUntil = until
	}
}

func (h *holding) grant(now time.Time, part Part) {
	if h.granted != part {
		h.keep(h.granted, h.until)
	}
	h.granted = part
	h.until = now.Add(follower.LeaseLength)
}

// target divides the limit by demand.
func target(limit Part, own, others, members int64) Part {
	total := members*idleDemand + own + others
	weight := own + idleDemand
	return Part{
		Rate:        limit.Rate * weight / total,
		Concurrency: limit.Concurrency * weight / total,
	}
}
