package deltaencoder

import (
	"context"
	"sync"

	"github.com/heathermux/heathermux/internal/wire"
)

// Leader answers full follow requests.
type Leader interface {
	// Follow returns changes, a lease and allotments, or the name of the
	// leader.
	Follow(ctx context.Context, request *wire.FollowRequest) (*wire.FollowResponse, error)
}

// Receiver answers the requests of Senders. It is safe for concurrent use;
// create one with NewReceiver.
type Receiver struct {
	leader Leader

	mu sync.Mutex
	// held is the newest answered call of each entry host, by host name.
	held map[string]*exchange
	// seen is the newest call of each entry host that was passed to the leader,
	// by host name.
	seen map[string]seenCall
}

type seenCall struct {
	incarnation string
	call        uint64
}

// NewReceiver returns a receiver that holds no calls.
func NewReceiver(leader Leader) *Receiver {
	return &Receiver{
		leader: leader,
		held:   make(map[string]*exchange),
		seen:   make(map[string]seenCall),
	}
}

// Follow passes the full request to the leader and returns its answer, with the
// allotments as a delta if the request was one.
func (rc *Receiver) Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	if r.GetCall() == 0 {
		return rc.leader.Follow(ctx, r)
	}
	base, ok := rc.accept(r)
	if !ok {
		return &wire.FollowResponse{
			WholeWanted: true,
		}, nil
	}
	request := normalize(r)
	if base != nil {
		request = applyRequestDiff(base.request, r)
	}
	answer, err := rc.leader.Follow(ctx, request)
	if err != nil || answer.GetNotLeader() {
		return answer, err
	}
	rc.hold(r, request, answer)
	diffAnswer(base, answer)
	answer.Held = true
	return answer, nil
}

// accept returns the base of a request, nil for a full one. It reports false
// for a request whose base is not held, for example after a restart of this
// process, and for one that was overtaken by a newer one and would restore
// outdated entries.
func (rc *Receiver) accept(r *wire.FollowRequest) (*exchange, bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	name, incarnation := r.GetMember().GetName(), r.GetMember().GetIncarnation()
	seen := rc.seen[name]
	if seen.incarnation == incarnation && r.GetCall() <= seen.call {
		return nil, false
	}
	var base *exchange
	if r.GetBase() != 0 {
		base = rc.held[name]
		if base == nil || base.peer != incarnation || base.call != r.GetBase() {
			return nil, false
		}
	}
	rc.seen[name] = seenCall{
		incarnation: incarnation,
		call:        r.GetCall(),
	}
	return base, true
}

// hold stores an answered call as the base of the next one, unless a newer call
// has arrived.
func (rc *Receiver) hold(r, request *wire.FollowRequest, answer *wire.FollowResponse) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	name, incarnation := r.GetMember().GetName(), r.GetMember().GetIncarnation()
	if rc.seen[name] != (seenCall{
		incarnation: incarnation,
		call:        r.GetCall(),
	}) {
		return
	}
	rc.held[name] = &exchange{
		peer:       incarnation,
		call:       r.GetCall(),
		request:    request,
		allotments: sorted(answer.GetAllotments(), (*wire.RequestAllotment).GetTeam),
	}
}

// diffAnswer removes the allotments that the caller already knows from the
// answer. An answer without a lease has no allotments and is not changed.
func diffAnswer(base *exchange, answer *wire.FollowResponse) {
	full := sorted(answer.GetAllotments(), (*wire.RequestAllotment).GetTeam)
	answer.Allotments = full
	if base == nil || len(full) == 0 {
		return
	}
	answer.AllotmentsDiffer = true
	answer.Allotments, answer.DroppedAllotments = diff(base.allotments, full, (*wire.RequestAllotment).GetTeam)
}
