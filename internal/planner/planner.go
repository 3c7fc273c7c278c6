package planner

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// settleTime is how long a new leader only watches. Followers report every
// 400 ms and workers poll every 500 ms, so by then every live host is known.
const settleTime = 5 * time.Second

// Options changes the planner's decisions.
type Options struct {
	// Policies returns the policy of a pool; nil takes the one that the pool names.
	Policies func(pool *wire.Pool) Policy
}

// Planner decides on capacity and maintenance. It is used by one goroutine;
// make one with New.
type Planner struct {
	opts     Options
	since    time.Time
	demand   demands
	drains   drains
	failures failures
}

// New returns a planner that knows nothing yet.
func New(opts Options) *Planner {
	if opts.Policies == nil {
		opts.Policies = PolicyOf
	}
	p := &Planner{
		opts: opts,
	}
	p.Reset()
	return p
}

// PolicyOf returns the policy that a pool names.
func PolicyOf(pool *wire.Pool) Policy {
	if pool.GetPolicy() == wire.PlanPolicy_PLAN_POLICY_FAVOUR_COST {
		return FavourCost()
	}
	return FavourShares()
}

// Reset forgets what was learned; it is called at the start of a term.
func (p *Planner) Reset() {
	p.since = time.Time{}
	p.demand = demands{
		pools: make(map[string]*demand),
	}
	p.drains = drains{
		known: make(map[string]knownDrain),
	}
	p.failures = failures{
		dead:  make(map[string]bool),
		first: true,
	}
}

// Plan returns the commands for one moment. While failures are correlated it
// starts no drain, grant or move; those under way are finished.
func (p *Planner) Plan(in Input) []*wire.Command {
	if p.since.IsZero() {
		p.since = in.Now
	}
	f := newFleet(in)
	p.failures.observe(f)
	p.demand.observe(f, p.policies(in.State))
	commands := append(p.drains.confirm(f), returns(f)...)
	if in.Now.Sub(p.since) < settleTime || p.failures.correlated() {
		return commands
	}
	b := newBudgets(f)
	commands = append(commands, p.moves(f, b)...)
	return append(commands, p.grants(f, b)...)
}

func (p *Planner) policies(s controller.State) map[string]Policy {
	policies := make(map[string]Policy)
	for _, pool := range s.Pools() {
		policies[pool.GetName()] = p.opts.Policies(pool)
	}
	return policies
}
