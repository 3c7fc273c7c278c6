package controller

import (
	"crypto/sha256"

	"github.com/heathermux/heathermux/internal/wire"
)

func (s State) applyContract(cmd *wire.Command, c *wire.Contract) transition {
	customer := c.GetCustomer()
	if customer == "" {
		return rejected("contract: customer is missing")
	}
	object := "contract/" + customer
	old, _ := s.contracts.Get(customer)
	if t, ok := s.checkRevision(cmd, object, old.GetRevision()); !ok {
		return t
	}
	if cmd.GetRegion() != "" && old != nil && cmd.GetRegion() != old.GetHomeRegion() {
		return rejected("contract %q: its home region is %q, the command is for region %q", customer, old.GetHomeRegion(), cmd.GetRegion())
	}
	if reason := s.invalidContractReason(c); reason != "" {
		return rejected("contract %q: %s", customer, reason)
	}
	if team := s.removedTeamWithKeys(old, c); team != "" {
		return rejected("contract %q: team %q still has keys; withdraw them first", customer, team)
	}
	c = clone(c)
	c.Revision = s.revision
	return accepted(s.WithContract(c), object)
}

// invalidContractReason returns why the contract cannot be applied, or "" if it is valid.
func (s State) invalidContractReason(c *wire.Contract) string {
	seen := make(map[string]bool, len(c.GetTeams()))
	for _, t := range c.GetTeams() {
		name := t.GetName()
		if name == "" {
			return "a team has no name"
		}
		if seen[name] {
			return "team \"" + name + "\" is listed twice"
		}
		seen[name] = true
		if ref, ok := s.teams.Get(name); ok && ref.Customer != c.GetCustomer() {
			return "team \"" + name + "\" belongs to the contract of \"" + ref.Customer + "\""
		}
		if t.GetShare() < 1 {
			return "team \"" + name + "\": share is below 1"
		}
		if AmountOf(t.GetLimit()).Negative() || t.GetRequestRate() < 0 || t.GetRequestConcurrency() < 0 {
			return "team \"" + name + "\": a limit is negative"
		}
		for _, q := range t.GetQueues() {
			if _, ok := s.queues.Get(q); !ok {
				return "team \"" + name + "\": queue \"" + q + "\" is not known"
			}
		}
	}
	return ""
}

// removedTeamWithKeys returns a team that the new contract no longer lists
// although it still has keys, or "". Such keys would refer to a team that does
// not exist.
func (s State) removedTeamWithKeys(old, c *wire.Contract) string {
	kept := make(map[string]bool, len(c.GetTeams()))
	for _, t := range c.GetTeams() {
		kept[t.GetName()] = true
	}
	removed := make(map[string]bool)
	for _, t := range old.GetTeams() {
		if !kept[t.GetName()] {
			removed[t.GetName()] = true
		}
	}
	if len(removed) == 0 {
		return ""
	}
	for _, k := range s.Keys() {
		if removed[k.GetTeam()] {
			return k.GetTeam()
		}
	}
	return ""
}

func (s State) grantKey(k *wire.KeyRecord) transition {
	if k.GetId() == "" || len(k.GetHash()) != sha256.Size {
		return rejected("key: id or SHA-256 hash is missing")
	}
	object := "key/" + k.GetId()
	if _, ok := s.keys.Get(k.GetId()); ok {
		return rejected("key %q exists", k.GetId())
	}
	if _, ok := s.lastChanges.Get(object); ok {
		return rejected("key %q was withdrawn; key IDs are not used twice", k.GetId())
	}
	if _, ok := s.keysByHash.Get(string(k.GetHash())); ok {
		return rejected("key %q: another key has the same hash", k.GetId())
	}
	switch k.GetRole() {
	case wire.Role_ROLE_SUBMITTER:
		if _, ok := s.teams.Get(k.GetTeam()); !ok {
			return rejected("key %q: team %q is not known", k.GetId(), k.GetTeam())
		}
	case wire.Role_ROLE_OPERATOR:
	default:
		return rejected("key %q: role must be submitter or operator", k.GetId())
	}
	k = clone(k)
	k.Revision = s.revision
	return accepted(s.WithKey(k), object)
}

func (s State) withdrawKey(cmd *wire.Command, id string) transition {
	object := "key/" + id
	k, ok := s.keys.Get(id)
	if !ok {
		if change, withdrawn := s.lastChanges.Get(object); withdrawn {
			t, _ := s.checkRevision(cmd, object, change.GetRevision())
			if t.result != nil {
				return t
			}
		}
		return rejected("key %q is not known", id)
	}
	if t, ok := s.checkRevision(cmd, object, k.GetRevision()); !ok {
		return t
	}
	return accepted(s.WithoutKey(id), object)
}

func (s State) defineQueue(cmd *wire.Command, q *wire.Queue) transition {
	name := q.GetName()
	if name == "" {
		return rejected("queue: name is missing")
	}
	object := "queue/" + name
	old, _ := s.queues.Get(name)
	if t, ok := s.checkRevision(cmd, object, old.GetRevision()); !ok {
		return t
	}
	if q.GetKind() == wire.QueueKind_QUEUE_KIND_UNSPECIFIED {
		return rejected("queue %q: kind must be requests, tasks or jobs", name)
	}
	if _, ok := s.pools.Get(q.GetPool()); !ok {
		return rejected("queue %q: pool %q is not known", name, q.GetPool())
	}
	q = clone(q)
	q.Revision = s.revision
	return accepted(s.WithQueue(q), object)
}
