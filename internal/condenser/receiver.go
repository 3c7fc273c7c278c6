package condenser

import (
	"context"
	"sync"

	"github.com/heathermux/heathermux/internal/wire"
)

// Leader answers whole follow requests.
type Leader interface {
	// Follow returns changes, lease and allotments, or who leads.
	Follow(ctx context.Context, request *wire.FollowRequest) (*wire.FollowResponse, error)
}

// Receiver answers the requests of Senders. It may be used from any number of
// goroutines; make one with NewReceiver.
type Receiver struct {
	leader Leader

	mu sync.Mutex
	// held is the newest answered call of each entry host, by name.
	held map[string]*exchange
	// seen is the newest call of each entry host that was given to the leader.
	seen map[string]seenCall
}

type seenCall struct {
	incarnation string
	call        uint64
}

// NewReceiver returns a receiver that holds nothing.
func NewReceiver(leader Leader) *Receiver {
	return &Receiver{
		leader: leader,
		held:   make(map[string]*exchange),
		seen:   make(map[string]seenCall),
	}
}

// Follow gives the whole request to the leader and answers with the difference.
func (c *Receiver) Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	if r.GetCall() == 0 {
		return c.leader.Follow(ctx, r)
	}
	base, ok := c.accept(r)
	if !ok {
		return &wire.FollowResponse{
			WholeWanted: true,
		}, nil
	}
	request := ordered(r)
	if base != nil {
		request = expand(base.request, r)
	}
	answer, err := c.leader.Follow(ctx, request)
	if err != nil || answer.GetNotLeader() {
		return answer, err
	}
	c.hold(r, request, answer)
	condenseAnswer(base, answer)
	answer.Held = true
	return answer, nil
}

// accept returns the base of a request, nil for a whole one. It reports false
// for a request whose base is not held, as after a restart of this process,
// and for one that was overtaken, which would put older entries back into force.
func (c *Receiver) accept(r *wire.FollowRequest) (*exchange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, incarnation := r.GetMember().GetName(), r.GetMember().GetIncarnation()
	seen := c.seen[name]
	if seen.incarnation == incarnation && r.GetCall() <= seen.call {
		return nil, false
	}
	var base *exchange
	if r.GetBase() != 0 {
		base = c.held[name]
		if base == nil || base.peer != incarnation || base.call != r.GetBase() {
			return nil, false
		}
	}
	c.seen[name] = seenCall{
		incarnation: incarnation,
		call:        r.GetCall(),
	}
	return base, true
}

// hold keeps an answered call as the base of the next one, unless a newer one
// was answered first.
func (c *Receiver) hold(r, request *wire.FollowRequest, answer *wire.FollowResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name, incarnation := r.GetMember().GetName(), r.GetMember().GetIncarnation()
	if c.seen[name] != (seenCall{
		incarnation: incarnation,
		call:        r.GetCall(),
	}) {
		return
	}
	c.held[name] = &exchange{
		peer:       incarnation,
		call:       r.GetCall(),
		request:    request,
		allotments: sorted(answer.GetAllotments(), (*wire.RequestAllotment).GetTeam),
	}
}

// condenseAnswer leaves the allotments that the caller knows out. An answer
// without a lease has no allotments and stays as it is.
func condenseAnswer(base *exchange, answer *wire.FollowResponse) {
	whole := sorted(answer.GetAllotments(), (*wire.RequestAllotment).GetTeam)
	answer.Allotments = whole
	if base == nil || len(whole) == 0 {
		return
	}
	answer.AllotmentsDiffer = true
	answer.Allotments, answer.DroppedAllotments = differ(base.allotments, whole, (*wire.RequestAllotment).GetTeam)
}
