package measurer

import (
	"fmt"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// shape is the size of an emulated fleet.
type shape struct {
	hosts, teams, pools, dataCentres, entryHosts int
}

// targetShape is the fleet at the target size.
func targetShape() shape {
	return shape{
		hosts:       targetHosts,
		teams:       targetTeams,
		pools:       targetPools,
		dataCentres: targetDataCentres,
		entryHosts:  targetEntryHosts,
	}
}

// here is the part of one data centre with the given number of hosts.
func here(hosts int) shape {
	s := targetShape()
	s.hosts = hosts
	s.dataCentres = 1
	return s
}

func teamName(i int) string       { return fmt.Sprintf("team-%02d", i) }
func poolName(i int) string       { return fmt.Sprintf("pool-%02d", i) }
func queueName(i int) string      { return fmt.Sprintf("tasks-%02d", i) }
func hostName(i int) string       { return fmt.Sprintf("worker-%04d", i) }
func dataCentreName(i int) string { return fmt.Sprintf("dc-%02d", i) }

// incarnation has the length of the random one of a process.
func incarnation(name string) string { return fmt.Sprintf("%-36s", name) }

// workerSize is that of the first users' workers, with one accelerator.
func workerSize() *wire.Resources {
	return &wire.Resources{
		MilliCores:   64_000,
		MemoryBytes:  128 << 30,
		Accelerators: 1,
	}
}

func part(of *wire.Resources, times, by int) *wire.Resources {
	return &wire.Resources{
		MilliCores:   of.GetMilliCores() * int64(times) / int64(by),
		MemoryBytes:  of.GetMemoryBytes() * int64(times) / int64(by),
		Accelerators: of.GetAccelerators() * int64(times) / int64(by),
	}
}

func (s shape) state() controller.State { return controller.FromSnapshot(s.snapshot()) }

func (s shape) snapshot() *wire.Snapshot {
	snap := &wire.Snapshot{
		Revision: 1,
		View: &wire.View{
			Epoch: 1,
		},
	}
	for i := range s.dataCentres {
		snap.DataCentres = append(snap.DataCentres, &wire.DataCentre{
			Name:           dataCentreName(i),
			Region:         fmt.Sprintf("region-%d", i%targetRegions),
			State:          wire.ServiceState_SERVICE_STATE_IN,
			SchedulerEpoch: 1,
		})
	}
	for i := range s.pools {
		snap.Pools = append(snap.Pools, s.pool(i))
		snap.Queues = append(snap.Queues, &wire.Queue{
			Name: queueName(i),
			Kind: wire.QueueKind_QUEUE_KIND_TASKS,
			Pool: poolName(i),
		})
	}
	for i := range s.hosts {
		snap.Hosts = append(snap.Hosts, s.host(i))
	}
	for i := range s.teams {
		snap.Contracts = append(snap.Contracts, s.contract(i))
		snap.Keys = append(snap.Keys, &wire.KeyRecord{
			Id:   "key-" + teamName(i),
			Team: teamName(i),
			Hash: []byte(fmt.Sprintf("%32d", i)),
			Role: wire.Role_ROLE_SUBMITTER,
		})
		snap.Allotments = append(snap.Allotments, s.allotments(i)...)
	}
	for i := range s.entryHosts {
		snap.View.Members = append(snap.View.Members, s.member(i))
	}
	return snap
}

// pool has no room to give hosts away, so that the planner moves none.
func (s shape) pool(i int) *wire.Pool {
	return &wire.Pool{
		Name:               poolName(i),
		State:              wire.ServiceState_SERVICE_STATE_IN,
		AvailabilityBudget: 5,
		MinHosts:           int64(s.hosts/s.pools + 1),
		MaxHosts:           int64(s.hosts),
	}
}

// host puts four hosts into a rack.
func (s shape) host(i int) *wire.Host {
	return &wire.Host{
		Name:       hostName(i),
		DataCentre: dataCentreName(i % s.dataCentres),
		Rack:       fmt.Sprintf("rack-%03d", i/s.dataCentres/4),
		Pool:       poolName(i / s.dataCentres % s.pools),
		PoolEpoch:  1,
		State:      wire.HostState_HOST_STATE_ACTIVE,
		Capacity:   workerSize(),
		Revision:   1,
	}
}

// limit is twice an equal share, as teams rarely need theirs at once.
func (s shape) limit() *wire.Resources { return part(workerSize(), 2*max(s.hosts, s.teams), s.teams) }

func (s shape) contract(i int) *wire.Contract {
	team := &wire.Team{
		Name:               teamName(i),
		Share:              1,
		Limit:              s.limit(),
		RequestRate:        500,
		RequestConcurrency: 200,
	}
	for j := range s.pools {
		team.Queues = append(team.Queues, queueName(j))
	}
	return &wire.Contract{
		Customer:   "customer-" + teamName(i),
		HomeRegion: "region-0",
		Teams: []*wire.Team{
			team,
		},
	}
}

func (s shape) allotments(team int) []*wire.Allotment {
	var list []*wire.Allotment
	for i := range s.dataCentres {
		list = append(list, &wire.Allotment{
			Team:       teamName(team),
			DataCentre: dataCentreName(i),
			Amount:     part(s.limit(), 1, s.dataCentres),
			Target:     part(s.limit(), 1, s.dataCentres),
		})
	}
	return list
}

func (s shape) member(i int) *wire.Member {
	name := fmt.Sprintf("entry-%02d", i)
	return &wire.Member{
		Name:        name,
		Incarnation: incarnation(name),
		DataCentre:  dataCentreName(i % s.dataCentres),
		PeerAddress: "10.20.30.40:7080",
	}
}
