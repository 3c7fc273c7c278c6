// Package controller is the state machine of the control state: contracts,
// keys, queues, data centres, pools, hosts, maintenance grants, allotments
// and the view of entry hosts.
//
// A State is immutable. Apply takes a state and a command and returns the
// next state and a result; it is deterministic, so that every replica of the
// command log reaches the same state. All values reachable from a State must
// be treated as read-only.
package controller

import (
	"strconv"

	"github.com/heathermux/heathermux/internal/wire"
)

// OperationsKept is the number of operation results that the state keeps to
// answer retries. At 7,500 changes a day it covers more than two days.
const OperationsKept = 20_000

// TeamRef is a team and the customer whose contract it belongs to.
type TeamRef struct {
	Customer string
	Team     *wire.Team
}

type operation struct {
	// Invariant: increases by one with each recorded operation.
	number uint64
	result *wire.Result
}

// State is one revision of the control state. The zero value is the empty
// state at revision 0.
type State struct {
	// Invariant: increases by one with each accepted command and never decreases.
	revision uint64

	contracts    Table[*wire.Contract]
	keys         Table[*wire.KeyRecord]
	queues       Table[*wire.Queue]
	dataCentres  Table[*wire.DataCentre]
	pools        Table[*wire.Pool]
	hosts        Table[*wire.Host]
	grants       Table[*wire.MaintenanceGrant]
	maintenances Table[*wire.Maintenance]
	// Keyed by allotmentKey.
	allotments  Table[*wire.Allotment]
	lastChanges Table[*wire.LastChange]

	view         *wire.View
	previousView *wire.View

	operations Table[operation]
	// Invariant: maps the number of each kept operation, as paddedDecimal, to its ID.
	operationIDs Table[string]
	// Invariant: operations with numbers in (operationLow, operationHigh] are kept.
	operationLow  uint64
	operationHigh uint64

	// Invariant: derived from contracts; a team belongs to one contract.
	teams Table[TeamRef]
	// Invariant: derived from keys, by hash.
	keysByHash Table[*wire.KeyRecord]
	// Invariant: derived from allotments; the sum over data centres for each team.
	allotted Table[Amount]
	// Invariant: derived from hosts; the number of hosts that are not active, for each pool.
	unavailable Table[int64]
}

// Revision returns the number of commands accepted since the empty state.
func (s State) Revision() uint64 { return s.revision }

// Contract returns the contract of a customer.
func (s State) Contract(customer string) (*wire.Contract, bool) { return s.contracts.Get(customer) }

// Contracts returns all contracts, sorted by customer name.
func (s State) Contracts() []*wire.Contract { return s.contracts.Values() }

// Team returns a team and the contract that it belongs to.
func (s State) Team(name string) (TeamRef, bool) { return s.teams.Get(name) }

// Teams returns all teams, sorted by name.
func (s State) Teams() []TeamRef { return s.teams.Values() }

// Key returns the record of a granted key by its ID.
func (s State) Key(id string) (*wire.KeyRecord, bool) { return s.keys.Get(id) }

// Keys returns the records of all granted keys, sorted by ID.
func (s State) Keys() []*wire.KeyRecord { return s.keys.Values() }

// KeyByHash returns the record of the granted key with the given SHA-256 hash.
func (s State) KeyByHash(hash []byte) (*wire.KeyRecord, bool) { return s.keysByHash.Get(string(hash)) }

// Queue returns a queue by name.
func (s State) Queue(name string) (*wire.Queue, bool) { return s.queues.Get(name) }

// Queues returns all queues, sorted by name.
func (s State) Queues() []*wire.Queue { return s.queues.Values() }

// DataCentre returns a data centre by name.
func (s State) DataCentre(name string) (*wire.DataCentre, bool) { return s.dataCentres.Get(name) }

// DataCentres returns all data centres, sorted by name.
func (s State) DataCentres() []*wire.DataCentre { return s.dataCentres.Values() }

// Pool returns a pool by name.
func (s State) Pool(name string) (*wire.Pool, bool) { return s.pools.Get(name) }

// Pools returns all pools, sorted by name.
func (s State) Pools() []*wire.Pool { return s.pools.Values() }

// Host returns a host by name.
func (s State) Host(name string) (*wire.Host, bool) { return s.hosts.Get(name) }

// Hosts returns all hosts, sorted by name. Each call sorts again, so callers on a
// hot path should keep the result.
func (s State) Hosts() []*wire.Host { return s.hosts.Values() }

// Grant returns the maintenance grant of a host.
func (s State) Grant(host string) (*wire.MaintenanceGrant, bool) { return s.grants.Get(host) }

// Grants returns all maintenance grants, sorted by host name.
func (s State) Grants() []*wire.MaintenanceGrant { return s.grants.Values() }

// Maintenances returns all maintenance roll-outs, oldest first.
func (s State) Maintenances() []*wire.Maintenance { return s.maintenances.Values() }

// Allotment returns the resources that a data centre may use for a team.
func (s State) Allotment(team, dataCentre string) (*wire.Allotment, bool) {
	return s.allotments.Get(allotmentKey(team, dataCentre))
}

// Allotments returns all allotments, sorted by team and then data centre.
func (s State) Allotments() []*wire.Allotment { return s.allotments.Values() }

// Allotted returns the sum of a team's allotments over all data centres.
func (s State) Allotted(team string) Amount {
	a, _ := s.allotted.Get(team)
	return a
}

// Unavailable returns how many hosts of a pool are draining or under maintenance.
func (s State) Unavailable(pool string) int64 {
	n, _ := s.unavailable.Get(pool)
	return n
}

// View returns the agreed set of entry hosts; it is never nil.
func (s State) View() *wire.View {
	if s.view == nil {
		return &wire.View{}
	}
	return s.view
}

// PreviousView returns the view before the current one; it is never nil.
func (s State) PreviousView() *wire.View {
	if s.previousView == nil {
		return &wire.View{}
	}
	return s.previousView
}

// Operation returns the recorded result of an operation, if it is still kept.
func (s State) Operation(id string) (*wire.Result, bool) {
	op, ok := s.operations.Get(id)
	return op.result, ok
}

// LastChange returns the last operation that changed an object, such as "pool/spare".
func (s State) LastChange(object string) (*wire.LastChange, bool) { return s.lastChanges.Get(object) }

func allotmentKey(team, dataCentre string) string { return team + "/" + dataCentre }

// paddedDecimal formats n with leading zeros, so that sorting the texts sorts
// the numbers. The width of 20 digits fits every uint64.
func paddedDecimal(n uint64) string {
	const width = 20
	digits := strconv.FormatUint(n, 10)
	const zeros = "00000000000000000000"
	return zeros[:width-len(digits)] + digits
}
