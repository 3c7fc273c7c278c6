package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// followerRetention is how long the status of an unresponsive follower is
	// kept. It is longer than the time after which the allotments of an
	// unresponsive data centre are reclaimed: ten minutes plus a worker lease.
	followerRetention = 15 * time.Minute
	pruneInterval     = time.Second
)

// Follow returns the changes that an entry host lacks, or a snapshot if they are
// no longer held, and an authority lease. The lease is 0 if no majority was in
// contact within the length of a lease, or if the host's revision is newer than
// this replica's. If this replica does not lead, the response only says who does.
func (r *Replica) Follow(now time.Time, req *wire.FollowRequest) *wire.FollowResponse {
	name, self := r.Leader()
	if !self {
		return &wire.FollowResponse{
			NotLeader: true,
			Leader:    name,
		}
	}
	resp := &wire.FollowResponse{
		Leader:   name,
		Revision: r.state.Revision(),
	}
	f := r.recordFollower(now, req)
	if commands, ok := r.history.since(req.GetRevision()); ok {
		resp.Commands = commands
	} else if req.GetRevision() < resp.Revision {
		resp.Snapshot = r.followerSnapshot()
	}
	contact, ok := r.core.QuorumContact(now)
	lease := follower.LeaseLength - now.Sub(contact)
	if !ok || lease <= 0 || req.GetRevision() > r.state.Revision() {
		return resp
	}
	resp.LeaseNanos = int64(lease)
	if end := contact.Add(follower.InForceBound); end.After(f.LeaseEnd) {
		f.LeaseEnd = end
	}
	if r.opts.Grant != nil {
		resp.Allotments = r.opts.Grant(now, req.GetMember(), req.GetDemands(), r.state)
	}
	return resp
}

// followerSnapshot returns a snapshot without the operation results: only the
// leader needs them, to answer resends, and they make up most of the state's size.
func (r *Replica) followerSnapshot() *wire.Snapshot {
	snap := r.state.Snapshot()
	snap.Operations = nil
	return snap
}

func (r *Replica) recordFollower(now time.Time, req *wire.FollowRequest) *FollowerStatus {
	key := req.GetMember().GetName() + "#" + req.GetMember().GetIncarnation()
	f, ok := r.leader.followers[key]
	if !ok {
		f = &FollowerStatus{}
		r.leader.followers[key] = f
	}
	f.Member = req.GetMember()
	f.LastContact = now
	f.Confirmed = max(f.Confirmed, req.GetRevision())
	if req.GetReport() != nil {
		f.Report = req.GetReport()
	}
	return f
}

// Followers returns the status of all entry hosts, sorted by name and then by
// last contact, so that the newest incarnation of a host comes last. It returns
// nil while this replica does not lead.
func (r *Replica) Followers() []FollowerStatus {
	if r.leader.followers == nil {
		return nil
	}
	list := make([]FollowerStatus, 0, len(r.leader.followers))
	for _, f := range r.leader.followers {
		list = append(list, *f)
	}
	slices.SortFunc(list, func(a, b FollowerStatus) int {
		return cmp.Or(cmp.Compare(a.Member.GetName(), b.Member.GetName()), a.LastContact.Compare(b.LastContact))
	})
	return list
}

// pruneFollowers removes followers that have not been in contact for
// followerRetention, and former incarnations of a host whose leases have expired.
func (r *Replica) pruneFollowers(now time.Time) {
	if now.Sub(r.leader.prunedAt) < pruneInterval {
		return
	}
	r.leader.prunedAt = now
	newest := make(map[string]time.Time)
	for _, f := range r.leader.followers {
		if name := f.Member.GetName(); f.LastContact.After(newest[name]) {
			newest[name] = f.LastContact
		}
	}
	for key, f := range r.leader.followers {
		superseded := f.LastContact.Before(newest[f.Member.GetName()]) && !f.LeaseEnd.After(now)
		if superseded || now.Sub(f.LastContact) > followerRetention {
			delete(r.leader.followers, key)
		}
	}
}
