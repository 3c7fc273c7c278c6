package replica

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/pkg/persister"
	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

// queryInterval is the time between the questions of a replica of no group.
const queryInterval = 200 * time.Millisecond

// strayAfter is the time without a leader after which a replica that is no
// voter asks to join again: longer than an election takes.
const strayAfter = 5 * time.Second

// formation is what a replica of no group has learned from the others.
type formation struct {
	asked time.Time
	// Invariant: IDs of peers that answered this ID that they belong to no group.
	unformed map[string]string
	// exists is true once a peer has answered that the group was formed.
	exists bool
}

// formed reports whether this replica belongs to a group.
func (r *Replica) formed() bool {
	return r.identity.GetInitial() != nil || r.core.Status().Membership != nil
}

// stray reports whether this replica no longer hears from its group and can't
// campaign, so that it has to ask to join.
func (r *Replica) stray(now time.Time) bool {
	status := r.core.Status()
	if now.Sub(status.Heard) <= strayAfter || status.Leads {
		return false
	}
	// In an open group a voter may have been replaced without knowing of it.
	return !status.Voter || r.opts.Voters > 0
}

// acquaintances returns the names of the hosts that may belong to the group.
func (r *Replica) acquaintances() []string {
	names := slices.Clone(r.opts.Peers)
	for _, m := range r.core.Status().Membership.GetMembers() {
		if name := nameOf(m.GetId()); r.opts.Voters > 0 && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func (r *Replica) tickFormation(now time.Time) {
	if (r.formed() && !r.stray(now)) || now.Sub(r.formation.asked) < queryInterval {
		return
	}
	r.formation.asked = now
	for _, peer := range r.acquaintances() {
		if peer == r.opts.Name {
			continue
		}
		r.send(peer, &replication.Packet{
			Body: &replication.Packet_Query{
				Query: &replication.Query{
					Id: r.identity.GetId(),
				},
			},
		})
	}
	if !r.formed() {
		r.form(now)
	}
}

// stepQuery answers whether this replica belongs to a group. On the leader the
// question is also a request to join.
func (r *Replica) stepQuery(from string, q *replication.Query) {
	name := nameOf(q.GetId())
	passedOn := name != from
	if !passedOn {
		r.sendAnswer(from, q.GetId())
	}
	if r.leading.joins != nil && (!passedOn || r.opts.Voters > 0) && r.mayJoin(name) {
		r.leading.joins[name] = q.GetId()
		return
	}
	leader := nameOf(string(r.core.Leader()))
	if r.opts.Voters > 0 && !passedOn && leader != "" && leader != r.opts.Name {
		// A host that joins knows its seeds only, and none of them may lead.
		r.send(leader, &replication.Packet{
			Body: &replication.Packet_Query{
				Query: q,
			},
		})
	}
}

func (r *Replica) mayJoin(name string) bool {
	return r.opts.Voters > 0 || slices.Contains(r.opts.Peers, name)
}

func (r *Replica) sendAnswer(to, id string) {
	r.send(to, &replication.Packet{
		Body: &replication.Packet_Answer{
			Answer: &replication.Answer{
				Id:      r.identity.GetId(),
				To:      id,
				Formed:  r.formed(),
				Initial: r.identity.GetInitial(),
			},
		},
	})
}

func (r *Replica) stepAnswer(now time.Time, from string, a *replication.Answer) {
	if r.formed() || a.GetTo() != r.identity.GetId() || !slices.Contains(r.opts.Peers, from) {
		return
	}
	if !a.GetFormed() {
		if r.formation.unformed == nil {
			r.formation.unformed = make(map[string]string)
		}
		r.formation.unformed[from] = a.GetId()
		r.form(now)
		return
	}
	r.formation.exists = true
	for _, m := range a.GetInitial().GetMembers() {
		if m.GetId() == r.identity.GetId() {
			r.enter(now, a.GetInitial())
			return
		}
	}
}

// form makes the group once every initial voter has answered that it belongs
// to none. Only the lowest name does, so that two groups can't be formed; and
// only with all answers, since a group that lost one disk has a voter that
// knows of it.
func (r *Replica) form(now time.Time) {
	if r.opts.Joins || r.formation.exists || len(r.opts.Peers) == 0 || r.opts.Name != slices.Min(r.opts.Peers) {
		return
	}
	initial := &replication.Membership{}
	for _, peer := range slices.Sorted(slices.Values(r.opts.Peers)) {
		id, ok := r.formation.unformed[peer]
		if peer == r.opts.Name {
			id, ok = r.identity.GetId(), true
		}
		if !ok {
			return
		}
		initial.Members = append(initial.Members, &replication.Member{
			Id: id,
		})
	}
	if !r.enter(now, initial) {
		return
	}
	r.opts.Logger.Info("voter: group formed", "members", len(initial.GetMembers()))
	for peer, id := range r.formation.unformed {
		r.sendAnswer(peer, id)
	}
}

// enter makes this replica a member of the initial group; the membership is on
// disk before it is used.
func (r *Replica) enter(now time.Time, initial *replication.Membership) bool {
	identity := &replication.Identity{
		Id:      r.identity.GetId(),
		Initial: initial,
	}
	err := persister.WriteRecord(r.opts.FS, r.identityName(), identity)
	if err == nil {
		// The log goes on from what is stored; a replica of no group has
		// stored at most a term.
		_ = r.store.Close()
		err = r.open(now)
	}
	if err != nil {
		r.fail(now, err)
		return false
	}
	return true
}

// start begins the log of the initial group, the same on each of its members.
func (r *Replica) start(now time.Time, initial *replication.Membership, recovered replicator.Recovered) error {
	recovered.Snapshot = &replication.Snapshot{
		Index:      1,
		Term:       1,
		Membership: initial,
	}
	recovered.BaseIndex, recovered.BaseTerm, recovered.Entries = 1, 1, nil
	if err := r.store.SaveSnapshot(recovered.Snapshot); err != nil {
		return err
	}
	return r.run(now, recovered)
}
