package controller

import "github.com/heathermux/heathermux/internal/wire"

func (s State) defineDataCentre(cmd *wire.Command, d *wire.DataCentre) transition {
	name := d.GetName()
	if name == "" {
		return rejected("data centre: name is missing")
	}
	object := "data-centre/" + name
	old, _ := s.dataCentres.Get(name)
	if t, ok := s.checkRevision(cmd, object, old.GetRevision()); !ok {
		return t
	}
	d = clone(d)
	d.Revision = s.revision
	// The service state and the scheduler are changed by separate commands.
	d.State = wire.ServiceState_SERVICE_STATE_IN
	d.Scheduler = ""
	d.SchedulerEpoch = 0
	if old != nil {
		d.State = old.GetState()
		d.ChangedAtUnixNanos = old.GetChangedAtUnixNanos()
		d.Scheduler = old.GetScheduler()
		d.SchedulerEpoch = old.GetSchedulerEpoch()
	}
	return accepted(s.WithDataCentre(d), object)
}

func (s State) setDataCentreState(cmd *wire.Command, c *wire.SetDataCentreState) transition {
	object := "data-centre/" + c.GetName()
	old, ok := s.dataCentres.Get(c.GetName())
	if !ok {
		return rejected("data centre %q is not known", c.GetName())
	}
	if t, ok := s.checkRevision(cmd, object, old.GetRevision()); !ok {
		return t
	}
	if c.GetState() == wire.ServiceState_SERVICE_STATE_UNSPECIFIED {
		return rejected("data centre %q: state must be in or out", c.GetName())
	}
	d := clone(old)
	d.State = c.GetState()
	d.ChangedAtUnixNanos = cmd.GetProposedAtUnixNanos()
	d.Revision = s.revision
	return accepted(s.WithDataCentre(d), object)
}

func (s State) definePool(cmd *wire.Command, p *wire.Pool) transition {
	name := p.GetName()
	if name == "" {
		return rejected("pool: name is missing")
	}
	object := "pool/" + name
	old, _ := s.pools.Get(name)
	if t, ok := s.checkRevision(cmd, object, old.GetRevision()); !ok {
		return t
	}
	if p.GetAvailabilityBudget() < 1 {
		return rejected("pool %q: availability-budget is below 1", name)
	}
	if p.GetMinHosts() < 0 || p.GetMaxHosts() < p.GetMinHosts() {
		return rejected("pool %q: min-hosts and max-hosts don't form a range", name)
	}
	p = clone(p)
	p.Revision = s.revision
	p.State = wire.ServiceState_SERVICE_STATE_IN
	if old != nil {
		p.State = old.GetState()
	}
	return accepted(s.WithPool(p), object)
}

func (s State) setPoolState(cmd *wire.Command, c *wire.SetPoolState) transition {
	object := "pool/" + c.GetName()
	old, ok := s.pools.Get(c.GetName())
	if !ok {
		return rejected("pool %q is not known", c.GetName())
	}
	if t, ok := s.checkRevision(cmd, object, old.GetRevision()); !ok {
		return t
	}
	if c.GetState() == wire.ServiceState_SERVICE_STATE_UNSPECIFIED {
		return rejected("pool %q: state must be in or out", c.GetName())
	}
	p := clone(old)
	p.State = c.GetState()
	p.Revision = s.revision
	return accepted(s.WithPool(p), object)
}

func (s State) assignScheduler(c *wire.AssignScheduler) transition {
	old, ok := s.dataCentres.Get(c.GetDataCentre())
	if !ok {
		return rejected("data centre %q is not known", c.GetDataCentre())
	}
	if !s.isMember(c.GetEntryHost()) {
		return rejected("entry host %q is not in the view", c.GetEntryHost())
	}
	d := clone(old)
	d.Scheduler = c.GetEntryHost()
	d.SchedulerEpoch++
	// The data centre's own revision is not changed, so that a new scheduler does
	// not make an operator's command conflict.
	return accepted(s.WithDataCentre(d), "scheduler/"+c.GetDataCentre())
}

func (s State) isMember(name string) bool {
	for _, m := range s.View().GetMembers() {
		if m.GetName() == name {
			return true
		}
	}
	return false
}

func (s State) setView(v *wire.View) transition {
	if v.GetEpoch() != s.View().GetEpoch()+1 {
		return rejected("view: epoch %d does not follow epoch %d", v.GetEpoch(), s.View().GetEpoch())
	}
	seen := make(map[string]bool, len(v.GetMembers()))
	for _, m := range v.GetMembers() {
		if m.GetName() == "" || m.GetIncarnation() == "" || seen[m.GetName()] {
			return rejected("view: member %q has no name or incarnation, or is listed twice", m.GetName())
		}
		seen[m.GetName()] = true
	}
	return accepted(s.WithView(clone(v)), "view")
}
