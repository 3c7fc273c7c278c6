package planner

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// settlingPeriod is how long a new leader only observes and starts no drain,
// grant or move. Followers report every 400 ms and workers poll every 500 ms, so
// afterwards every live host is known.
const settlingPeriod = 5 * time.Second

// Options configures a Planner.
type Options struct {
	// Policies returns the policy of a pool; nil means PolicyOf.
	Policies func(pool *wire.Pool) Policy
}

// Planner makes capacity and maintenance decisions. It is not safe for concurrent
// use. Create one with New.
type Planner struct {
	opts        Options
	firstPlanAt time.Time
	demand      demandTracker
	drains      drainTracker
	failures    failureTracker
}

// New returns a planner without observations.
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

// PolicyOf returns the policy that is configured for the pool.
func PolicyOf(pool *wire.Pool) Policy {
	if pool.GetPolicy() == wire.PlanPolicy_PLAN_POLICY_FAVOUR_COST {
		return FavourCost()
	}
	return FavourShares()
}

// Reset discards all observations. It is called at the start of a leader's term.
func (p *Planner) Reset() {
	p.firstPlanAt = time.Time{}
	p.demand = demandTracker{
		pools: make(map[string]*demand),
	}
	p.drains = drainTracker{
		acknowledged: make(map[string]acknowledgedDrain),
	}
	p.failures = failureTracker{
		dead:             make(map[string]bool),
		awaitingBaseline: true,
	}
}

// Plan returns the commands to propose for the given input. During the settling
// period and while failures are correlated it starts no drain, grant or move, but
// completes those in progress.
func (p *Planner) Plan(in Input) []*wire.Command {
	if p.firstPlanAt.IsZero() {
		p.firstPlanAt = in.Now
	}
	f := newFleet(in)
	p.failures.observe(f)
	p.demand.observe(f, p.policies(in.State))
	commands := append(p.drains.confirmEmptyCommands(f), returnCommands(f)...)
	if in.Now.Sub(p.firstPlanAt) < settlingPeriod || p.failures.correlated() {
		return commands
	}
	b := newBudgets(f)
	commands = append(commands, p.moveCommands(f, b)...)
	return append(commands, p.grantCommands(f, b)...)
}

func (p *Planner) policies(s controller.State) map[string]Policy {
	policies := make(map[string]Policy)
	for _, pool := range s.Pools() {
		policies[pool.GetName()] = p.opts.Policies(pool)
	}
	return policies
}
