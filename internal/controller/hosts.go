package controller

import "github.com/heathermux/heathermux/internal/wire"

func (s State) addHosts(hosts []*wire.Host) transition {
	if len(hosts) == 0 {
		return rejected("hosts: none is named")
	}
	next := s
	for _, h := range hosts {
		if h.GetName() == "" {
			return rejected("host: name is missing")
		}
		if _, ok := next.hosts.Get(h.GetName()); ok {
			return rejected("host %q exists", h.GetName())
		}
		if _, ok := s.pools.Get(h.GetPool()); !ok {
			return rejected("host %q: pool %q is not known", h.GetName(), h.GetPool())
		}
		if _, ok := s.dataCentres.Get(h.GetDataCentre()); !ok {
			return rejected("host %q: data centre %q is not known", h.GetName(), h.GetDataCentre())
		}
		h = clone(h)
		h.State = wire.HostState_HOST_STATE_ACTIVE
		h.MovingTo = ""
		// A host added again under an earlier name must not reuse a pool epoch.
		h.PoolEpoch = s.revision
		h.Revision = s.revision
		next = next.WithHost(h)
	}
	return accepted(next, "hosts")
}

// budgetLeft returns how many more hosts of the pool may become unavailable. The
// control state holds no host failures; the planner also counts failed hosts.
func (s State) budgetLeft(pool string) int64 {
	p, _ := s.pools.Get(pool)
	return p.GetAvailabilityBudget() - s.Unavailable(pool)
}

// drainableHost returns the host if it exists at the expected revision, is
// active, and the availability budget of its pool allows a drain; otherwise it
// returns the rejection or conflict.
func (s State) drainableHost(cmd *wire.Command, name string) (*wire.Host, transition, bool) {
	h, ok := s.hosts.Get(name)
	if !ok {
		return nil, rejected("host %q is not known", name), false
	}
	if t, ok := s.checkRevision(cmd, "host/"+name, h.GetRevision()); !ok {
		return nil, t, false
	}
	if h.GetState() != wire.HostState_HOST_STATE_ACTIVE {
		return nil, rejected("host %q is not active", name), false
	}
	if s.budgetLeft(h.GetPool()) < 1 {
		return nil, rejected("host %q: the availability budget of pool %q is used up", name, h.GetPool()), false
	}
	return h, transition{}, true
}

func (s State) moveHost(cmd *wire.Command, c *wire.MoveHost) transition {
	old, t, ok := s.drainableHost(cmd, c.GetHost())
	if !ok {
		return t
	}
	target, ok := s.pools.Get(c.GetPool())
	if !ok {
		return rejected("pool %q is not known", c.GetPool())
	}
	if c.GetPool() == old.GetPool() {
		return rejected("host %q is in pool %q already", c.GetHost(), c.GetPool())
	}
	if target.GetState() != wire.ServiceState_SERVICE_STATE_IN {
		return rejected("pool %q is out of service", c.GetPool())
	}
	h := clone(old)
	h.State = wire.HostState_HOST_STATE_DRAINING
	h.MovingTo = c.GetPool()
	h.Revision = s.revision
	return accepted(s.WithHost(h), "host/"+c.GetHost())
}

func (s State) drainHost(cmd *wire.Command, name string) transition {
	old, t, ok := s.drainableHost(cmd, name)
	if !ok {
		return t
	}
	h := clone(old)
	h.State = wire.HostState_HOST_STATE_DRAINING
	h.Revision = s.revision
	return accepted(s.WithHost(h), "host/"+name)
}

func (s State) confirmEmpty(c *wire.ConfirmEmpty) transition {
	old, ok := s.hosts.Get(c.GetHost())
	if !ok {
		return rejected("host %q is not known", c.GetHost())
	}
	if old.GetState() != wire.HostState_HOST_STATE_DRAINING {
		return rejected("host %q does not drain", c.GetHost())
	}
	if old.GetPoolEpoch() != c.GetPoolEpoch() {
		return rejected("host %q is at pool epoch %d, the confirmation is for epoch %d", c.GetHost(), old.GetPoolEpoch(), c.GetPoolEpoch())
	}
	h := clone(old)
	h.Revision = s.revision
	if h.GetMovingTo() != "" {
		h.Pool = h.GetMovingTo()
		h.MovingTo = ""
		h.PoolEpoch = s.revision
		h.State = wire.HostState_HOST_STATE_ACTIVE
	} else {
		h.State = wire.HostState_HOST_STATE_MAINTENANCE
		h.DrainedIncarnation = c.GetIncarnation()
	}
	return accepted(s.WithHost(h), "host/"+c.GetHost())
}

func (s State) returnHost(cmd *wire.Command, name string) transition {
	old, ok := s.hosts.Get(name)
	if !ok {
		return rejected("host %q is not known", name)
	}
	if t, ok := s.checkRevision(cmd, "host/"+name, old.GetRevision()); !ok {
		return t
	}
	if old.GetState() == wire.HostState_HOST_STATE_ACTIVE {
		return rejected("host %q is in service already", name)
	}
	h := clone(old)
	grant, granted := s.grants.Get(name)
	if granted && h.GetState() == wire.HostState_HOST_STATE_MAINTENANCE {
		h.MaintainedWave = grant.GetWave()
	}
	h.State = wire.HostState_HOST_STATE_ACTIVE
	h.MovingTo = ""
	h.Revision = s.revision
	next := s.WithHost(h).WithoutGrant(name)
	return accepted(next.withFinishedMaintenances(), "host/"+name)
}

func (s State) removeHost(cmd *wire.Command, name string) transition {
	old, ok := s.hosts.Get(name)
	if !ok {
		return rejected("host %q is not known", name)
	}
	if t, ok := s.checkRevision(cmd, "host/"+name, old.GetRevision()); !ok {
		return t
	}
	return accepted(s.WithoutHost(name).withFinishedMaintenances(), "host/"+name)
}
