// Package allocator divides each team's limits of request rate and concurrency
// among the entry hosts. It runs on the leader. Each host's part is sent with
// its authority lease and expires with it, so the parts are not replicated in
// the log.
//
// The sum of the parts that may be in use never exceeds the team's limit. When
// a host's part is reduced, the larger part keeps counting against the limit
// until the host has reported the smaller one or the lease that carried the
// larger one has expired.
package allocator

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// newTermGap is the time without a follow call after which this host is
	// assumed to have begun a new term as the leader. Followers call every
	// 400 ms, and another host can't win and lose the leadership in less than
	// the minimum election timeout.
	newTermGap = 500 * time.Millisecond

	// drainTime is how long requests may still run on a host whose lease has
	// expired. It equals the default request deadline.
	drainTime = 5 * time.Second

	// baseDemand is added to the demand of every host, so that a host without
	// load still has a part with which to serve the first requests of a peak.
	baseDemand = 1
)

// Part is one host's part of a limit.
type Part struct {
	// Rate is in requests per second.
	Rate int64
	// Concurrency is the number of requests in flight.
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

// hostState tracks what one host may use of one team's limit.
type hostState struct {
	// granted is the part of the latest grant.
	granted Part
	// previous is the largest earlier part that the host may still use, because
	// it has not confirmed the reduction.
	previous Part
	// previousUntil is the end of the lease that previous was granted with.
	previousUntil time.Time
	// grantedUntil is the end of the lease that granted was sent with.
	grantedUntil time.Time
	inFlight     int64
	demand       int64
}

// maxInUse returns the most that the host may be using at the given time.
func (h *hostState) maxInUse(now time.Time) Part {
	var p Part
	if now.Before(h.grantedUntil) {
		p = h.granted
	}
	if now.Before(h.previousUntil) {
		p = p.max(h.previous)
	}
	if now.Before(h.grantedUntil.Add(drainTime)) {
		p.Concurrency = max(p.Concurrency, h.inFlight)
	}
	return p
}

// released reports whether the host can no longer be using any of the limit.
func (h *hostState) released(now time.Time) bool {
	return !now.Before(h.grantedUntil.Add(drainTime)) && !now.Before(h.previousUntil)
}

// teamState tracks the parts of one team's limit by host.
type teamState struct {
	hosts map[string]*hostState
	// Invariant: the values of hosts. Each grant sums over all of them, and
	// iterating a slice is several times faster than iterating a map.
	list []*hostState
}

func (t *teamState) host(name string) *hostState {
	h := t.hosts[name]
	if h == nil {
		h = &hostState{}
		t.hosts[name] = h
		t.list = append(t.list, h)
	}
	return h
}

// others returns the most that all hosts but one may be using, and their total
// demand. The demand of a host that has released its part is not counted,
// because the capacity reserved for it would stay unused.
func (t *teamState) others(now time.Time, except *hostState) (inUse Part, demand int64) {
	for _, h := range t.list {
		if h == except || h.released(now) {
			continue
		}
		inUse = inUse.plus(h.maxInUse(now))
		demand += h.demand
	}
	return inUse, demand
}

// Allocator tracks the parts of all hosts. It must not be used by several
// goroutines at once; make one with New.
type Allocator struct {
	// Invariant: keyed by team name.
	teams map[string]*teamState
	// termStart is when this host's current term as the leader began.
	termStart time.Time
	lastGrant time.Time
}

// New returns an allocator that has granted nothing yet.
func New() *Allocator {
	return &Allocator{
		teams: make(map[string]*teamState),
	}
}

// Grant returns the host's parts of all teams' limits, valid for at most
// follower.LeaseLength from now. During the first LeaseLength of a term it only
// confirms the parts that the host reports, because other hosts may still use
// parts granted by the previous leader.
func (a *Allocator) Grant(now time.Time, host *wire.Member, demands []*wire.TeamDemand, s controller.State) []*wire.RequestAllotment {
	if a.lastGrant.IsZero() || now.Sub(a.lastGrant) > newTermGap {
		a.termStart = now
	}
	a.lastGrant = now
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
		t = &teamState{
			hosts: make(map[string]*hostState),
		}
		a.teams[spec.GetName()] = t
	}
	h := t.host(host)
	h.applyReport(d)
	limit := Part{
		Rate:        spec.GetRequestRate(),
		Concurrency: spec.GetRequestConcurrency(),
	}
	othersInUse, othersDemand := t.others(now, h)
	part := shareByDemand(limit, h.demand, othersDemand, members)
	if now.Sub(a.termStart) < follower.LeaseLength {
		part = Part{
			Rate:        d.GetHeldRate(),
			Concurrency: d.GetHeldConcurrency(),
		}
	}
	part.Rate = max(0, min(part.Rate, limit.Rate-othersInUse.Rate))
	part.Concurrency = max(0, min(part.Concurrency, limit.Concurrency-othersInUse.Concurrency))
	h.setGranted(now, part)
	return part
}

// applyReport records the load and the part that the host reports.
func (h *hostState) applyReport(d *wire.TeamDemand) {
	h.inFlight = d.GetInFlight()
	h.demand = d.GetInFlight() + d.GetQueued() + d.GetRate()
	held := Part{
		Rate:        d.GetHeldRate(),
		Concurrency: d.GetHeldConcurrency(),
	}
	if held == h.granted {
		// The host has received the reduced part.
		h.previous, h.previousUntil = Part{}, time.Time{}
	}
}

func (h *hostState) keepPrevious(p Part, until time.Time) {
	h.previous = h.previous.max(p)
	if until.After(h.previousUntil) {
		h.previousUntil = until
	}
}

func (h *hostState) setGranted(now time.Time, part Part) {
	if h.granted != part {
		h.keepPrevious(h.granted, h.grantedUntil)
	}
	h.granted = part
	h.grantedUntil = now.Add(follower.LeaseLength)
}

// shareByDemand returns the part of the limit that is proportional to the
// host's own demand.
func shareByDemand(limit Part, own, others, members int64) Part {
	total := members*baseDemand + own + others
	weight := own + baseDemand
	return Part{
		Rate:        limit.Rate * weight / total,
		Concurrency: limit.Concurrency * weight / total,
	}
}
