package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// followersKept is how long a silent follower is remembered. It is longer
	// than the ten minutes and a worker lease after which the allotments of a
	// silent data centre are reclaimed.
	followersKept = 15 * time.Minute
	pruneInterval = time.Second
)

// Follow answers an entry host with the changes that it lacks and a lease. The
// lease is 0 when no majority was heard from for the length of a lease.
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
	f := r.noteFollower(now, req)
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
	if end := contact.Add(follower.ForceBound); end.After(f.LeaseEnd) {
		f.LeaseEnd = end
	}
	if r.opts.Grant != nil {
		resp.Allotments = r.opts.Grant(now, req.GetMember(), req.GetDemands(), r.state)
	}
	return resp
}

// followerSnapshot leaves out the operation results: only the leader answers
// resends, and the results are most of the state's size.
func (r *Replica) followerSnapshot() *wire.Snapshot {
	snap := r.state.Snapshot()
	snap.Operations = nil
	return snap
}

func (r *Replica) noteFollower(now time.Time, req *wire.FollowRequest) *FollowerStatus {
	key := req.GetMember().GetName() + "#" + req.GetMember().GetIncarnation()
	f, ok := r.leading.followers[key]
	if !ok {
		f = &FollowerStatus{}
		r.leading.followers[key] = f
	}
	f.Member = req.GetMember()
	f.LastContact = now
	f.Confirmed = max(f.Confirmed, req.GetRevision())
	if req.GetReport() != nil {
		f.Report = req.GetReport()
	}
	return f
}

// Followers returns what the leader knows of entry hosts, by name and the
// newest incarnation last; nil while this replica does not lead.
func (r *Replica) Followers() []FollowerStatus {
	if r.leading.followers == nil {
		return nil
	}
	list := make([]FollowerStatus, 0, len(r.leading.followers))
	for _, f := range r.leading.followers {
		list = append(list, *f)
	}
	slices.SortFunc(list, func(a, b FollowerStatus) int {
		return cmp.Or(cmp.Compare(a.Member.GetName(), b.Member.GetName()), a.LastContact.Compare(b.LastContact))
	})
	return list
}

// pruneFollowers forgets followers that are silent for long, and former
// incarnations of a host whose leases have ended.
func (r *Replica) pruneFollowers(now time.Time) {
	if now.Sub(r.leading.pruned) < pruneInterval {
		return
	}
	r.leading.pruned = now
	newest := make(map[string]time.Time)
	for _, f := range r.leading.followers {
		if name := f.Member.GetName(); f.LastContact.After(newest[name]) {
			newest[name] = f.LastContact
		}
	}
	for key, f := range r.leading.followers {
		former := f.LastContact.Before(newest[f.Member.GetName()]) && !f.LeaseEnd.After(now)
		if former || now.Sub(f.LastContact) > followersKept {
			delete(r.leading.followers, key)
		}
	}
}
