package condenser

import (
	"context"
	"sync"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

// Sender is a follower.Source that sends differences over another one. It may
// be used from any number of goroutines; make one with NewSender.
type Sender struct {
	source follower.Source

	mu sync.Mutex
	// Invariant: rises with each call.
	call uint64
	// base is the last call if it was answered, else nil.
	base *exchange
}

// NewSender returns a sender whose first request is whole.
func NewSender(source follower.Source) *Sender {
	return &Sender{
		source: source,
	}
}

// Follow sends the request and returns the whole answer. A receiver that does
// not hold the base gets the whole request at once, within the same ctx.
func (s *Sender) Follow(ctx context.Context, voter *wire.Member, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	request := ordered(r)
	sent, base := s.prepare(voter, request)
	answer, err := s.source.Follow(ctx, voter, sent)
	if err == nil && answer.GetWholeWanted() {
		sent, base = s.prepare(voter, request)
		answer, err = s.source.Follow(ctx, voter, sent)
	}
	if err != nil || answer.GetNotLeader() {
		return answer, err
	}
	return s.take(voter, request, sent, base, answer), nil
}

// prepare returns the message to send and what it is a difference to. Until
// the call is answered nobody knows what the receiver holds.
func (s *Sender) prepare(voter *wire.Member, request *wire.FollowRequest) (*wire.FollowRequest, *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.call++
	base := s.base
	s.base = nil
	if base == nil || base.peer != voter.GetName() {
		whole := ordered(request)
		whole.Call = s.call
		return whole, nil
	}
	sent := condense(base.request, request)
	sent.Call = s.call
	sent.Base = base.call
	return sent, base
}

// take notes an answered call and makes its answer whole.
func (s *Sender) take(voter *wire.Member, request, sent *wire.FollowRequest, base *exchange, answer *wire.FollowResponse) *wire.FollowResponse {
	if answer.GetAllotmentsDiffer() {
		answer.Allotments = merge(base.allotments, answer.GetAllotments(), answer.GetDroppedAllotments(), (*wire.RequestAllotment).GetTeam)
		answer.AllotmentsDiffer = false
		answer.DroppedAllotments = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.GetHeld() && sent.GetCall() == s.call {
		s.base = &exchange{
			peer:       voter.GetName(),
			call:       sent.GetCall(),
			request:    request,
			allotments: answer.GetAllotments(),
		}
	}
	return answer
}

var _ follower.Source = (*Sender)(nil)
