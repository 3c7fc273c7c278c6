package controller

import (
	"maps"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/wire"
)

// Snapshot returns the whole state as one message. Its lists are sorted, so
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
		id, _ := s.operationIDs.Get(numberName(n))
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
		queues:       tableOf(named(snap.GetQueues(), (*wire.Queue).GetName)),
		dataCentres:  tableOf(named(snap.GetDataCentres(), (*wire.DataCentre).GetName)),
		pools:        tableOf(named(snap.GetPools(), (*wire.Pool).GetName)),
		hosts:        tableOf(named(snap.GetHosts(), (*wire.Host).GetName)),
		grants:       tableOf(named(snap.GetGrants(), (*wire.MaintenanceGrant).GetHost)),
		keys:         tableOf(named(snap.GetKeys(), (*wire.KeyRecord).GetId)),
		keysByHash:   tableOf(named(snap.GetKeys(), func(k *wire.KeyRecord) string { return string(k.GetHash()) })),
		lastChanges:  tableOf(named(snap.GetLastChanges(), (*wire.LastChange).GetObject)),
	}
	s.unavailable = tableOf(maps.All(unavailableByPool(snap.GetHosts())))
	// Contracts, roll-outs and allotments are few and have derived tables.
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

func unavailableByPool(hosts []*wire.Host) map[string]int64 {
	counts := make(map[string]int64)
	for _, h := range hosts {
		if h.GetState() != wire.HostState_HOST_STATE_ACTIVE {
			counts[h.GetPool()]++
		}
	}
	return counts
}

// withOperations returns a state that remembers the operations, the oldest first.
func (s State) withOperations(records []*wire.OperationRecord) State {
	s.operationHigh = uint64(len(records))
	s.operations = tableOf(func(yield func(string, operation) bool) {
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
	s.operationIDs = tableOf(func(yield func(string, string) bool) {
		for i, r := range records {
			if !yield(numberName(uint64(i)+1), r.GetOperationId()) {
				return
			}
		}
	})
	return s
}

// Encode returns the snapshot of the state in its file and wire form.
func (s State) Encode() ([]byte, error) {
	data, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(s.Snapshot())
	return data, errors.Wrap(err, "controller: encode snapshot")
}

// Decode returns the state that Encode wrote.
func Decode(data []byte) (State, error) {
	snap := &wire.Snapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return State{}, errors.Wrap(err, "controller: decode snapshot")
	}
	return FromSnapshot(snap), nil
}

// bootstrap fills the empty state. It applies each object through the rules
// of its own command, so that a bad bootstrap file is refused with a reason.
func (s State) bootstrap(snap *wire.Snapshot) verdict {
	if s.revision != 1 {
		return rejected("bootstrap: the control state is not empty")
	}
	steps := make([]func(State) verdict, 0)
	add := func(step func(State) verdict) { steps = append(steps, step) }
	none := &wire.Command{}
	for _, d := range snap.GetDataCentres() {
		add(func(s State) verdict { return s.defineDataCentre(none, d) })
	}
	for _, p := range snap.GetPools() {
		add(func(s State) verdict { return s.definePool(none, p) })
	}
	for _, q := range snap.GetQueues() {
		add(func(s State) verdict { return s.defineQueue(none, q) })
	}
	for _, c := range snap.GetContracts() {
		add(func(s State) verdict { return s.applyContract(none, c) })
	}
	for _, k := range snap.GetKeys() {
		add(func(s State) verdict { return s.grantKey(k) })
	}
	if len(snap.GetHosts()) > 0 {
		add(func(s State) verdict { return s.addHosts(snap.GetHosts()) })
	}
	next := s
	for _, step := range steps {
		v := step(next)
		if v.result.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
			return v
		}
		next = v.state
	}
	return accepted(next, "bootstrap")
}
