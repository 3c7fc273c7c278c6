package loader

import (
	"encoding/hex"
	"fmt"

	"github.com/heathermux/heathermux/internal/wire"
)

// Snapshot converts the deployment to the control state for a wire.Bootstrap
// command. The deployment must have been read without problems.
func (dep Deployment) Snapshot() *wire.Snapshot {
	snap := &wire.Snapshot{
		Hosts: dep.expandedHosts(),
	}
	for _, c := range dep.DataCentres {
		snap.DataCentres = append(snap.DataCentres, &wire.DataCentre{
			Name:   c.Name,
			Region: c.Region,
		})
	}
	for _, p := range dep.Pools {
		snap.Pools = append(snap.Pools, p.toWire())
	}
	for _, q := range dep.Queues {
		snap.Queues = append(snap.Queues, q.toWire())
	}
	for _, c := range dep.Contracts {
		snap.Contracts = append(snap.Contracts, c.Wire())
	}
	for _, k := range dep.Keys {
		snap.Keys = append(snap.Keys, k.toWire())
	}
	return snap
}

func (p Pool) toWire() *wire.Pool {
	policy := wire.PlanPolicy_PLAN_POLICY_FAVOUR_SHARES
	if p.Favour == "cost" {
		policy = wire.PlanPolicy_PLAN_POLICY_FAVOUR_COST
	}
	return &wire.Pool{
		Name:               p.Name,
		AvailabilityBudget: p.AvailabilityBudget,
		MinHosts:           p.MinHosts,
		MaxHosts:           p.MaxHosts,
		Spare:              p.Spare,
		Policy:             policy,
	}
}

var queueKinds = map[string]wire.QueueKind{
	"requests": wire.QueueKind_QUEUE_KIND_REQUESTS,
	"tasks":    wire.QueueKind_QUEUE_KIND_TASKS,
	"jobs":     wire.QueueKind_QUEUE_KIND_JOBS,
}

func (q Queue) toWire() *wire.Queue {
	return &wire.Queue{
		Name: q.Name,
		Kind: queueKinds[q.Kind],
		Pool: q.Pool,
		Open: q.Open,
	}
}

// Wire converts the contract to the form of the control state.
func (c Contract) Wire() *wire.Contract {
	contract := &wire.Contract{
		Customer:   c.Customer,
		HomeRegion: c.HomeRegion,
	}
	for _, t := range c.Teams {
		contract.Teams = append(contract.Teams, &wire.Team{
			Name:               t.Name,
			Share:              t.Share,
			Limit:              t.Limit.Wire(),
			RequestRate:        int64(t.RequestRate),
			RequestConcurrency: t.RequestConcurrency,
			Queues:             t.Queues,
		})
	}
	return contract
}

// ContractOf converts a contract of the control state to the form of files.
func ContractOf(c *wire.Contract) Contract {
	contract := Contract{
		Customer:   c.GetCustomer(),
		HomeRegion: c.GetHomeRegion(),
		Teams:      make([]Team, 0, len(c.GetTeams())),
	}
	for _, t := range c.GetTeams() {
		contract.Teams = append(contract.Teams, Team{
			Name:               t.GetName(),
			Share:              t.GetShare(),
			Limit:              CapacityOf(t.GetLimit()),
			RequestRate:        Rate(t.GetRequestRate()),
			RequestConcurrency: t.GetRequestConcurrency(),
			Queues:             t.GetQueues(),
		})
	}
	return contract
}

// Wire converts the capacity to the form of the control state.
func (c Capacity) Wire() *wire.Resources {
	return &wire.Resources{
		MilliCores:   int64(c.Processors),
		MemoryBytes:  int64(c.Memory),
		Accelerators: c.Accelerators,
	}
}

// CapacityOf converts resources of the control state to the form of files.
func CapacityOf(r *wire.Resources) Capacity {
	return Capacity{
		Processors:   MilliCores(r.GetMilliCores()),
		Memory:       Bytes(r.GetMemoryBytes()),
		Accelerators: r.GetAccelerators(),
	}
}

func (k Key) toWire() *wire.KeyRecord {
	role := wire.Role_ROLE_SUBMITTER
	if k.Role == "operator" {
		role = wire.Role_ROLE_OPERATOR
	}
	// The digits were validated when the deployment was read.
	hash, _ := hex.DecodeString(k.SHA256)
	return &wire.KeyRecord{
		Id:   k.ID,
		Team: k.Team,
		Hash: hash,
		Role: role,
	}
}

// expandedHosts returns the hosts of all ranges.
func (dep Deployment) expandedHosts() []*wire.Host {
	var hosts []*wire.Host
	for _, h := range dep.Hosts {
		expanded, _ := expandName(h.Name)
		for i, name := range expanded {
			hosts = append(hosts, &wire.Host{
				Name:       name,
				DataCentre: h.DataCentre,
				Rack:       h.rackName(i),
				Pool:       h.Pools[i%len(h.Pools)],
				Capacity:   h.Capacity.Wire(),
			})
		}
	}
	return hosts
}

// rackName returns the rack of host i of the range, counted from 0.
func (h HostRange) rackName(i int) string {
	if h.PerRack == 0 {
		return h.Rack
	}
	return fmt.Sprintf("%s%d", h.Rack, 1+int64(i)/h.PerRack)
}
