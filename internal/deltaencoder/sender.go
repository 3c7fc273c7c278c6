package deltaencoder

import (
	"context"
	"sync"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

// Sender is a follower.Source that delta-encodes the requests to another
// source. It is safe for concurrent use; create one with NewSender.
type Sender struct {
	source follower.Source

	mu sync.Mutex
	// Invariant: increases with each call.
	lastCall uint64
	// base is the last call if it was answered, else nil.
	base *exchange
}

// NewSender returns a sender whose first request is a full one.
func NewSender(source follower.Source) *Sender {
	return &Sender{
		source: source,
	}
}

// Follow sends the request and returns the full answer. If the receiver does
// not hold the base, the full request is sent at once, within the same ctx.
func (s *Sender) Follow(ctx context.Context, voter *wire.Member, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	request := normalize(r)
	sent, base := s.prepare(voter, request)
	answer, err := s.source.Follow(ctx, voter, sent)
	if err == nil && answer.GetWholeWanted() {
		sent, base = s.prepare(voter, request)
		answer, err = s.source.Follow(ctx, voter, sent)
	}
	if err != nil || answer.GetNotLeader() {
		return answer, err
	}
	return s.acceptAnswer(voter, request, sent, base, answer), nil
}

// prepare returns the message to send and the call that it is a delta to, nil
// for a full request. It clears the base, because until the call is answered it
// is unknown what the receiver holds.
func (s *Sender) prepare(voter *wire.Member, request *wire.FollowRequest) (*wire.FollowRequest, *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall++
	base := s.base
	s.base = nil
	if base == nil || base.peer != voter.GetName() {
		full := normalize(request)
		full.Call = s.lastCall
		return full, nil
	}
	sent := diffRequest(base.request, request)
	sent.Call = s.lastCall
	sent.Base = base.call
	return sent, base
}

// acceptAnswer reconstructs the full answer and stores the call as the base of
// the next one.
func (s *Sender) acceptAnswer(voter *wire.Member, request, sent *wire.FollowRequest, base *exchange, answer *wire.FollowResponse) *wire.FollowResponse {
	if answer.GetAllotmentsDiffer() {
		answer.Allotments = applyDiff(base.allotments, answer.GetAllotments(), answer.GetDroppedAllotments(), (*wire.RequestAllotment).GetTeam)
		answer.AllotmentsDiffer = false
		answer.DroppedAllotments = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.GetHeld() && sent.GetCall() == s.lastCall {
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
