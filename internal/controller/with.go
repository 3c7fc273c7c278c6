package controller

import (
	"github.com/heathermux/heathermux/internal/wire"
)

// WithContract returns a state in which c replaces the customer's previous contract.
func (s State) WithContract(c *wire.Contract) State {
	if old, ok := s.contracts.Get(c.GetCustomer()); ok {
		for _, t := range old.GetTeams() {
			s.teams = s.teams.Without(t.GetName())
		}
	}
	s.contracts = s.contracts.With(c.GetCustomer(), c)
	for _, t := range c.GetTeams() {
		s.teams = s.teams.With(t.GetName(), TeamRef{
			Customer: c.GetCustomer(),
			Team:     t,
		})
	}
	return s
}

// WithKey returns a state that also holds k.
func (s State) WithKey(k *wire.KeyRecord) State {
	s.keys = s.keys.With(k.GetId(), k)
	s.keysByHash = s.keysByHash.With(string(k.GetHash()), k)
	return s
}

// WithoutKey returns a state without the key of the given ID.
func (s State) WithoutKey(id string) State {
	if k, ok := s.keys.Get(id); ok {
		s.keys = s.keys.Without(id)
		s.keysByHash = s.keysByHash.Without(string(k.GetHash()))
	}
	return s
}

// WithQueue returns a state that holds q.
func (s State) WithQueue(q *wire.Queue) State {
	s.queues = s.queues.With(q.GetName(), q)
	return s
}

// WithDataCentre returns a state that holds d.
func (s State) WithDataCentre(d *wire.DataCentre) State {
	s.dataCentres = s.dataCentres.With(d.GetName(), d)
	return s
}

// WithPool returns a state that holds p.
func (s State) WithPool(p *wire.Pool) State {
	s.pools = s.pools.With(p.GetName(), p)
	return s
}

// WithHost returns a state that holds h. A host is in exactly one pool because h
// replaces the previous value under the same name.
func (s State) WithHost(h *wire.Host) State {
	s = s.withoutUnavailableHost(h.GetName())
	s.hosts = s.hosts.With(h.GetName(), h)
	if h.GetState() != wire.HostState_HOST_STATE_ACTIVE {
		s.unavailable = s.unavailable.With(h.GetPool(), s.Unavailable(h.GetPool())+1)
	}
	return s
}

// WithoutHost returns a state without the host and its maintenance grant.
func (s State) WithoutHost(name string) State {
	s = s.withoutUnavailableHost(name)
	s.hosts = s.hosts.Without(name)
	s.grants = s.grants.Without(name)
	return s
}

// withoutUnavailableHost subtracts the host from the unavailable hosts of its
// pool if it is counted there.
func (s State) withoutUnavailableHost(name string) State {
	old, ok := s.hosts.Get(name)
	if ok && old.GetState() != wire.HostState_HOST_STATE_ACTIVE {
		s.unavailable = s.unavailable.With(old.GetPool(), s.Unavailable(old.GetPool())-1)
	}
	return s
}

// WithGrant returns a state that holds the maintenance grant g.
func (s State) WithGrant(g *wire.MaintenanceGrant) State {
	s.grants = s.grants.With(g.GetHost(), g)
	return s
}

// WithoutGrant returns a state in which the host has no maintenance grant.
func (s State) WithoutGrant(host string) State {
	s.grants = s.grants.Without(host)
	return s
}

// WithMaintenance returns a state that holds the roll-out m.
func (s State) WithMaintenance(m *wire.Maintenance) State {
	s.maintenances = s.maintenances.With(paddedDecimal(m.GetWave()), m)
	return s
}

// WithAllotment returns a state that holds the allotment a.
func (s State) WithAllotment(a *wire.Allotment) State {
	key := allotmentKey(a.GetTeam(), a.GetDataCentre())
	sum := s.Allotted(a.GetTeam())
	if old, ok := s.allotments.Get(key); ok {
		sum = sum.Minus(AmountOf(old.GetAmount()))
	}
	s.allotments = s.allotments.With(key, a)
	s.allotted = s.allotted.With(a.GetTeam(), sum.Plus(AmountOf(a.GetAmount())))
	return s
}

// WithView returns a state with a new view; the current one becomes the previous view.
func (s State) WithView(v *wire.View) State {
	s.previousView = s.view
	s.view = v
	return s
}

// WithOperation returns a state that records the result of an operation and
// evicts the oldest results beyond OperationsKept.
func (s State) WithOperation(id string, result *wire.Result) State {
	s.operationHigh++
	s.operations = s.operations.With(id, operation{
		number: s.operationHigh,
		result: result,
	})
	s.operationIDs = s.operationIDs.With(paddedDecimal(s.operationHigh), id)
	for s.operationHigh-s.operationLow > OperationsKept {
		s.operationLow++
		key := paddedDecimal(s.operationLow)
		oldest, _ := s.operationIDs.Get(key)
		s.operationIDs = s.operationIDs.Without(key)
		s.operations = s.operations.Without(oldest)
	}
	return s
}

func (s State) withLastChange(object string, cmd *wire.Command) State {
	s.lastChanges = s.lastChanges.With(object, &wire.LastChange{
		Object:      object,
		Revision:    s.revision,
		OperationId: cmd.GetOperationId(),
		Actor:       cmd.GetActor(),
	})
	return s
}
