package controller

import (
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
	}
	s = s.withObjects(snap)
	for _, c := range snap.GetLastChanges() {
		s.lastChanges = s.lastChanges.With(c.GetObject(), c)
	}
	for _, op := range snap.GetOperations() {
		s = s.WithOperation(op.GetOperationId(), op.GetResult())
	}
	return s
}

func (s State) withObjects(snap *wire.Snapshot) State {
	for _, d := range snap.GetDataCentres() {
		s = s.WithDataCentre(d)
	}
	for _, p := range snap.GetPools() {
		s = s.WithPool(p)
	}
	for _, q := range snap.GetQueues() {
		s = s.WithQueue(q)
	}
	for _, h := range snap.GetHosts() {
		s = s.WithHost(h)
	}
	for _, c := range snap.GetContracts() {
		s = s.WithContract(c)
	}
	for _, k := range snap.GetKeys() {
		s = s.WithKey(k)
	}
	for _, g := range snap.GetGrants() {
		s = s.WithGrant(g)
	}
	for _, m := range snap.GetMaintenances() {
		s = s.WithMaintenance(m)
	}
	for _, a := range snap.GetAllotments() {
		s = s.WithAllotment(a)
	}
	return s
}

// Encode returns the snapshot of the state in its file and wire form.
func (s State) Encode() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Snapshot())
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
