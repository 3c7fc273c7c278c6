package replica

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/pkg/persister"
	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

// queryInterval is the time between the queries that a replica sends while it
// belongs to no group or has to rejoin one.
const queryInterval = 200 * time.Millisecond

// rejoinTimeout is the time without contact to a leader after which a replica
// that may have been removed from the group asks to join again. It is longer
// than an election takes.
const rejoinTimeout = 5 * time.Second

// formation is what a replica that belongs to no group has learned from its peers.
type formation struct {
	queriedAt time.Time
	// ungroupedIDs maps peer names to the IDs under which they answered this
	// replica's current ID that they belong to no group.
	ungroupedIDs map[string]string
	// groupExists is true once a peer has answered that it belongs to a group.
	groupExists bool
}

// inGroup reports whether this replica belongs to a group.
func (r *Replica) inGroup() bool {
	return r.identity.GetInitial() != nil || r.core.Status().Membership != nil
}

// mustRejoin reports whether this replica has lost contact with its group and is
// not a voter, or may no longer be one, so that it has to ask to join.
func (r *Replica) mustRejoin(now time.Time) bool {
	status := r.core.Status()
	if now.Sub(status.LastLeaderContact) <= rejoinTimeout || status.IsLeader {
		return false
	}
	// A voter of an open group may have been replaced without learning of it.
	return !status.Voter || r.opts.VoterCount > 0
}

// knownHosts returns the names of the hosts that may belong to the group: the
// peers and, in an open group, the last known members.
func (r *Replica) knownHosts() []string {
	names := slices.Clone(r.opts.Peers)
	for _, m := range r.core.Status().Membership.GetMembers() {
		if name := nameOf(m.GetId()); r.opts.VoterCount > 0 && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func (r *Replica) tickFormation(now time.Time) {
	if (r.inGroup() && !r.mustRejoin(now)) || now.Sub(r.formation.queriedAt) < queryInterval {
		return
	}
	r.formation.queriedAt = now
	for _, peer := range r.knownHosts() {
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
	if !r.inGroup() {
		r.formGroup(now)
	}
}

// stepQuery answers whether this replica belongs to a group. The leader also
// takes the query as a request to join.
func (r *Replica) stepQuery(from string, q *replication.Query) {
	name := nameOf(q.GetId())
	forwarded := name != from
	if !forwarded {
		r.sendAnswer(from, q.GetId())
	}
	if r.leader.joinRequests != nil && (!forwarded || r.opts.VoterCount > 0) && r.mayJoin(name) {
		r.leader.joinRequests[name] = q.GetId()
		return
	}
	leader := nameOf(string(r.core.Leader()))
	if r.opts.VoterCount > 0 && !forwarded && leader != "" && leader != r.opts.Name {
		// A joining host knows only its seed hosts, and perhaps none of them
		// leads, so the query is forwarded to the leader.
		r.send(leader, &replication.Packet{
			Body: &replication.Packet_Query{
				Query: q,
			},
		})
	}
}

func (r *Replica) mayJoin(name string) bool {
	return r.opts.VoterCount > 0 || slices.Contains(r.opts.Peers, name)
}

func (r *Replica) sendAnswer(to, id string) {
	r.send(to, &replication.Packet{
		Body: &replication.Packet_Answer{
			Answer: &replication.Answer{
				Id:      r.identity.GetId(),
				To:      id,
				Formed:  r.inGroup(),
				Initial: r.identity.GetInitial(),
			},
		},
	})
}

func (r *Replica) stepAnswer(now time.Time, from string, a *replication.Answer) {
	if r.inGroup() || a.GetTo() != r.identity.GetId() || !slices.Contains(r.opts.Peers, from) {
		return
	}
	if !a.GetFormed() {
		if r.formation.ungroupedIDs == nil {
			r.formation.ungroupedIDs = make(map[string]string)
		}
		r.formation.ungroupedIDs[from] = a.GetId()
		r.formGroup(now)
		return
	}
	r.formation.groupExists = true
	for _, m := range a.GetInitial().GetMembers() {
		if m.GetId() == r.identity.GetId() {
			r.adoptInitialMembership(now, a.GetInitial())
			return
		}
	}
}

// formGroup forms the group once every initial voter has answered that it belongs
// to none. Only the host with the lowest name does so, so that two groups can't
// be formed. It needs all answers because, if a group existed and one host lost
// its disk, the other voters still know of the group.
func (r *Replica) formGroup(now time.Time) {
	if r.opts.JoinOnly || r.formation.groupExists || len(r.opts.Peers) == 0 || r.opts.Name != slices.Min(r.opts.Peers) {
		return
	}
	initial := &replication.Membership{}
	for _, peer := range slices.Sorted(slices.Values(r.opts.Peers)) {
		id, ok := r.formation.ungroupedIDs[peer]
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
	if !r.adoptInitialMembership(now, initial) {
		return
	}
	r.opts.Logger.Info("voter: group formed", "members", len(initial.GetMembers()))
	for peer, id := range r.formation.ungroupedIDs {
		r.sendAnswer(peer, id)
	}
}

// adoptInitialMembership makes this replica a member of the initial group. It
// writes the membership to disk before using it.
func (r *Replica) adoptInitialMembership(now time.Time, initial *replication.Membership) bool {
	identity := &replication.Identity{
		Id:      r.identity.GetId(),
		Initial: initial,
	}
	err := persister.WriteRecord(r.opts.FS, r.identityPath(), identity)
	if err == nil {
		// Reopening keeps what is stored, which for a replica of no group is
		// at most a term.
		_ = r.store.Close()
		err = r.open(now)
	}
	if err != nil {
		r.fail(now, err)
		return false
	}
	return true
}

// bootstrapLog starts the log with a snapshot of the initial membership, which is
// identical on all members.
func (r *Replica) bootstrapLog(now time.Time, initial *replication.Membership, recovered replicator.Recovered) error {
	recovered.Snapshot = &replication.Snapshot{
		Index:      1,
		Term:       1,
		Membership: initial,
	}
	recovered.BaseIndex, recovered.BaseTerm, recovered.Entries = 1, 1, nil
	if err := r.store.SaveSnapshot(recovered.Snapshot); err != nil {
		return err
	}
	return r.startCore(now, recovered)
}
