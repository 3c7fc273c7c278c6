package measurer

import (
	"fmt"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// fleetSize has the number of objects of each kind in an emulated fleet.
type fleetSize struct {
	hosts, teams, pools, dataCentres, entryHosts int
}

// targetFleet returns the design's target size.
func targetFleet() fleetSize {
	return fleetSize{
		hosts:       targetHosts,
		teams:       targetTeams,
		pools:       targetPools,
		dataCentres: targetDataCentres,
		entryHosts:  targetEntryHosts,
	}
}

// oneDataCentre returns the target size reduced to one data centre with the given
// number of hosts.
func oneDataCentre(hosts int) fleetSize {
	s := targetFleet()
	s.hosts = hosts
	s.dataCentres = 1
	return s
}

func teamName(i int) string       { return fmt.Sprintf("team-%02d", i) }
func poolName(i int) string       { return fmt.Sprintf("pool-%02d", i) }
func queueName(i int) string      { return fmt.Sprintf("tasks-%02d", i) }
func hostName(i int) string       { return fmt.Sprintf("worker-%04d", i) }
func dataCentreName(i int) string { return fmt.Sprintf("dc-%02d", i) }

// incarnation pads a name to 36 characters, the length of the random incarnation
// of a process.
func incarnation(name string) string { return fmt.Sprintf("%-36s", name) }

// workerSize is the capacity of a worker of the first users, with one accelerator.
func workerSize() *wire.Resources {
	return &wire.Resources{
		MilliCores:   64_000,
		MemoryBytes:  128 << 30,
		Accelerators: 1,
	}
}

// fraction returns the resources multiplied by numerator / denominator.
func fraction(of *wire.Resources, numerator, denominator int) *wire.Resources {
	return &wire.Resources{
		MilliCores:   of.GetMilliCores() * int64(numerator) / int64(denominator),
		MemoryBytes:  of.GetMemoryBytes() * int64(numerator) / int64(denominator),
		Accelerators: of.GetAccelerators() * int64(numerator) / int64(denominator),
	}
}

func (s fleetSize) state() controller.State { return controller.FromSnapshot(s.snapshot()) }

func (s fleetSize) snapshot() *wire.Snapshot {
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

// pool returns a pool whose minimum exceeds its number of hosts, so that the
// planner doesn't move any away.
func (s fleetSize) pool(i int) *wire.Pool {
	return &wire.Pool{
		Name:               poolName(i),
		State:              wire.ServiceState_SERVICE_STATE_IN,
		AvailabilityBudget: 5,
		MinHosts:           int64(s.hosts/s.pools + 1),
		MaxHosts:           int64(s.hosts),
	}
}

// host returns the i-th host. Each rack has four hosts.
func (s fleetSize) host(i int) *wire.Host {
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

// limit returns the limit of each team: twice an equal share of the fleet, because
// teams rarely need their limits at the same time.
func (s fleetSize) limit() *wire.Resources {
	return fraction(workerSize(), 2*max(s.hosts, s.teams), s.teams)
}

func (s fleetSize) contract(i int) *wire.Contract {
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

func (s fleetSize) allotments(team int) []*wire.Allotment {
	var list []*wire.Allotment
	for i := range s.dataCentres {
		list = append(list, &wire.Allotment{
			Team:       teamName(team),
			DataCentre: dataCentreName(i),
			Amount:     fraction(s.limit(), 1, s.dataCentres),
			Target:     fraction(s.limit(), 1, s.dataCentres),
		})
	}
	return list
}

func (s fleetSize) member(i int) *wire.Member {
	name := fmt.Sprintf("entry-%02d", i)
	return &wire.Member{
		Name:        name,
		Incarnation: incarnation(name),
		DataCentre:  dataCentreName(i % s.dataCentres),
		PeerAddress: "10.20.30.40:7080",
	}
}
