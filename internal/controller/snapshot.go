package controller

import (
	"maps"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// Snapshot returns the complete state as one message. Its lists are sorted, so
// that equal states give equal snapshots.
func (s State) Snapshot() *wire.Snapshot {
	snap := &wire.Snapshot{
		Revision:     s.revision,
		Contracts:    s.contracts.Values(),
		Keys:         s.keys.Values(),
		Queues:       s.queues.Values(),
		DataCentres:  s.dataCentres.Values(),
		Pools:        s.pools.Values(),
		Hosts:        s.hosts.Values(),
		Grants:       s.grants.Values(),
		Maintenances: s.maintenances.Values(),
		Allotments:   s.allotments.Values(),
		View:         s.view,
		PreviousView: s.previousView,
		LastChanges:  s.lastChanges.Values(),
	}
	for n := s.operationLow + 1; n <= s.operationHigh; n++ {
		id, _ := s.operationIDs.Get(paddedDecimal(n))
		result, _ := s.Operation(id)
		snap.Operations = append(snap.Operations, &wire.OperationRecord{
			OperationId: id,
			Result:      result,
		})
	}
	return snap
}

// FromSnapshot returns the state that a snapshot describes.
func FromSnapshot(snap *wire.Snapshot) State {
	s := State{
		revision:     snap.GetRevision(),
		view:         snap.GetView(),
		previousView: snap.GetPreviousView(),
		queues:       newTable(keyedBy(snap.GetQueues(), (*wire.Queue).GetName)),
		dataCentres:  newTable(keyedBy(snap.GetDataCentres(), (*wire.DataCentre).GetName)),
		pools:        newTable(keyedBy(snap.GetPools(), (*wire.Pool).GetName)),
		hosts:        newTable(keyedBy(snap.GetHosts(), (*wire.Host).GetName)),
		grants:       newTable(keyedBy(snap.GetGrants(), (*wire.MaintenanceGrant).GetHost)),
		keys:         newTable(keyedBy(snap.GetKeys(), (*wire.KeyRecord).GetId)),
		keysByHash:   newTable(keyedBy(snap.GetKeys(), func(k *wire.KeyRecord) string { return string(k.GetHash()) })),
		lastChanges:  newTable(keyedBy(snap.GetLastChanges(), (*wire.LastChange).GetObject)),
	}
	s.unavailable = newTable(maps.All(unavailableByPool(snap.GetHosts())))
	// Contracts, roll-outs and allotments are few. Contracts and allotments also
	// update derived tables, so they are added one by one.
	for _, c := range snap.GetContracts() {
		s = s.WithContract(c)
	}
	for _, m := range snap.GetMaintenances() {
		s = s.WithMaintenance(m)
	}
	for _, a := range snap.GetAllotments() {
		s = s.WithAllotment(a)
	}
	return s.withOperations(snap.GetOperations())
}

// unavailableByPool counts the hosts of each pool that are not active.
func unavailableByPool(hosts []*wire.Host) map[string]int64 {
	counts := make(map[string]int64)
	for _, h := range hosts {
		if h.GetState() != wire.HostState_HOST_STATE_ACTIVE {
			counts[h.GetPool()]++
		}
	}
	return counts
}

// withOperations returns a state that records the given operations, which are
// ordered from oldest to newest.
func (s State) withOperations(records []*wire.OperationRecord) State {
	s.operationHigh = uint64(len(records))
	s.operations = newTable(func(yield func(string, operation) bool) {
		for i, r := range records {
			op := operation{
				number: uint64(i) + 1,
				result: r.GetResult(),
			}
			if !yield(r.GetOperationId(), op) {
				return
			}
		}
	})
	s.operationIDs = newTable(func(yield func(string, string) bool) {
		for i, r := range records {
			if !yield(paddedDecimal(uint64(i)+1), r.GetOperationId()) {
				return
			}
		}
	})
	return s
}

// Encode returns the serialized snapshot of the state, as stored in files and
// sent between replicas. Equal states give equal bytes.
func (s State) Encode() ([]byte, error) {
	data, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(s.Snapshot())
	return data, errors.Wrap(err, "controller: encode snapshot")
}

// Decode returns the state from the output of Encode.
func Decode(data []byte) (State, error) {
	snap := &wire.Snapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return State{}, errors.Wrap(err, "controller: decode snapshot")
	}
	return FromSnapshot(snap), nil
}

// bootstrap populates the empty state. It validates each object with the rules
// of its own command, so that an invalid bootstrap file is rejected with a reason.
func (s State) bootstrap(snap *wire.Snapshot) transition {
	if s.revision != 1 {
		return rejected("bootstrap: the control state is not empty")
	}
	steps := make([]func(State) transition, 0)
	add := func(step func(State) transition) { steps = append(steps, step) }
	emptyCommand := &wire.Command{}
	for _, d := range snap.GetDataCentres() {
		add(func(s State) transition { return s.defineDataCentre(emptyCommand, d) })
	}
	for _, p := range snap.GetPools() {
		add(func(s State) transition { return s.definePool(emptyCommand, p) })
	}
	for _, q := range snap.GetQueues() {
		add(func(s State) transition { return s.defineQueue(emptyCommand, q) })
	}
	for _, c := range snap.GetContracts() {
		add(func(s State) transition { return s.applyContract(emptyCommand, c) })
	}
	for _, k := range snap.GetKeys() {
		add(func(s State) transition { return s.grantKey(k) })
	}
	if len(snap.GetHosts()) > 0 {
		add(func(s State) transition { return s.addHosts(snap.GetHosts()) })
	}
	next := s
	for _, step := range steps {
		t := step(next)
		if t.result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
			return t
		}
		next = t.state
	}
	return accepted(next, "bootstrap")
}
