package jobscheduler

import (
	"cmp"
	"slices"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/sharer"
)

// heldHosts is what the runs on the workers of a pool hold, in hosts. The zero value is
// ready for use.
type heldHosts struct {
	// lasting is what long-running tasks hold, which are not subject to shares.
	lasting float64
	// batch is what other tasks hold, by account.
	batch map[string]float64
}

// add adds the hosts that a run takes, or removes them if they are negative. Tasks that
// fill idle processors hold nothing.
func (h *heldHosts) add(r *run, hosts float64) {
	switch {
	case r.step == nil || r.step.spec.GetFills():
	case r.step.spec.GetLasting():
		h.lasting += hosts
	default:
		if h.batch == nil {
			h.batch = make(map[string]float64)
		}
		if h.batch[r.account] += hosts; h.batch[r.account] < 1e-9 {
			delete(h.batch, r.account)
		}
	}
}

// demoteBeyondShare gives steps of accounts beyond their share a lower class. It returns false
// if there is nothing to divide: all waiting work is of one account. The list is sorted by rank.
func (s *Scheduler) demoteBeyondShare(p *pool, list []*step, ranks map[*step]rank, workerCount int) bool {
	claims := s.claims(p, list, ranks)
	if len(claims) < 2 {
		return false
	}
	ledger := sharer.NewLedger(float64(workerCount)-p.held.lasting, claims)
	demoted := false
	for _, st := range list {
		r := ranks[st]
		if r.class != classInTime {
			continue
		}
		if !ledger.Admit(st.account(), st.waitingHosts()) {
			r.class = classBeyondShare
			ranks[st] = r
			demoted = true
		}
	}
	if demoted {
		s.logShares(p, claims, ledger)
	}
	return demoted
}

// claims returns what each account with work in a pool holds there and asks for. Work that
// has begun counts as held: it goes first in any case. What a ceiling holds back is not asked for.
func (s *Scheduler) claims(p *pool, list []*step, ranks map[*step]rank) map[string]sharer.Claim {
	claims := make(map[string]sharer.Claim)
	for account, hosts := range p.held.batch {
		claims[account] = sharer.Claim{
			Held: hosts,
		}
	}
	for _, st := range list {
		c := claims[st.account()]
		switch ranks[st].class {
		case classStarted:
			c.Held += st.waitingHosts()
		case classInTime:
			c.Waiting += st.waitingHosts()
		default:
			continue
		}
		claims[st.account()] = c
	}
	s.addWeights(claims)
	capacity := s.hostCapacity(p.name)
	for _, a := range s.state.Configuration.GetAccounts() {
		c, ok := claims[a.GetName()]
		if !ok {
			continue
		}
		c.Waiting = min(c.Waiting, hostsUpTo(controller.AmountOf(a.GetCeiling()), s.usedByAccount[a.GetName()], capacity))
		claims[a.GetName()] = c
	}
	return claims
}

// hostsUpTo returns how many hosts an account may use more until it reaches a ceiling.
func hostsUpTo(ceiling, used, capacity controller.Amount) float64 {
	hosts := unlimitedHosts
	for _, resource := range [][3]int64{
		{ceiling.MilliCores, used.MilliCores, capacity.MilliCores},
		{ceiling.MemoryBytes, used.MemoryBytes, capacity.MemoryBytes},
		{ceiling.Accelerators, used.Accelerators, capacity.Accelerators},
	} {
		if limit, inUse, ofHost := resource[0], resource[1], resource[2]; limit > 0 && ofHost > 0 {
			hosts = min(hosts, max(0, float64(limit-inUse)/float64(ofHost)))
		}
	}
	return hosts
}

// unlimitedHosts is more than any fleet has.
const unlimitedHosts = 1e9

func (st *step) account() string { return st.occurrence.job.saved.Spec.GetAccount() }

// waitingHosts returns what the waiting tasks of the step would hold, in hosts.
func (st *step) waitingHosts() float64 { return st.hostShare * float64(len(st.pending)) }

// logShares logs, at most once in poolsLogInterval for each pool, the account that is furthest
// beyond its share.
func (s *Scheduler) logShares(p *pool, claims map[string]sharer.Claim, ledger *sharer.Ledger) {
	if s.now.Sub(p.sharesLoggedAt) < poolsLogInterval {
		return
	}
	p.sharesLoggedAt = s.now
	names := make([]string, 0, len(claims))
	for name := range claims {
		names = append(names, name)
	}
	excess := func(name string) float64 { return claims[name].Held + claims[name].Waiting - ledger.Share(name) }
	furthest := slices.MaxFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(excess(a), excess(b)), cmp.Compare(a, b))
	})
	c := claims[furthest]
	s.logger.Info("scheduler: work of an account beyond its share starts after that of others", "pool", p.name, "account", furthest,
		"weight", c.Weight, "share", ledger.Share(furthest), "held", c.Held, "waiting", c.Waiting, "accounts", len(claims))
}
