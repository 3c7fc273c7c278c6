package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

type proposal struct {
	term         uint64
	awaitInForce bool
	result       *wire.Result
	done         func(*wire.Result, error)
}

// Propose appends a command to the log and calls done exactly once with its
// result. A resent command that already has a result isn't appended again. With
// awaitInForce, done is called for an accepted change only once the change is in
// force on every entry host. Propose returns false if the command is not in the
// log; if it returns true, the outcome is undetermined until done is called.
func (r *Replica) Propose(now time.Time, cmd *wire.Command, awaitInForce bool, done func(*wire.Result, error)) bool {
	name, self := r.Leader()
	if !self {
		done(nil, NotLeaderError{
			Leader: name,
		})
		return false
	}
	p := &proposal{
		awaitInForce: awaitInForce,
		done:         done,
	}
	if previous, ok := r.state.Operation(cmd.GetOperationId()); ok {
		r.resolve(now, p, previous)
		return true
	}
	position, err := r.append(now, cmd)
	if err != nil {
		done(nil, err)
		return false
	}
	p.term = position.Term
	r.pendingProposals[position.Index] = p
	return true
}

func (r *Replica) append(now time.Time, cmd *wire.Command) (replicator.Position, error) {
	cmd = proto.CloneOf(cmd)
	cmd.ProposedAtUnixNanos = now.UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return replicator.Position{}, err
	}
	return r.core.Propose(now, data)
}

// apply applies a committed entry to its state machine and resolves the proposal
// at its index. If another term's entry was committed there, the proposal ends
// with ErrOutcomeUnknown.
func (r *Replica) apply(now time.Time, e *replication.Entry) {
	if data, ok := stripTag(e.GetData()); ok {
		r.applyStateMachineEntry(e, data)
		return
	}
	var result *wire.Result
	if e.GetKind() == replication.EntryKind_ENTRY_KIND_DATA {
		result = r.applyCommand(now, e.GetData())
	}
	p, ok := r.pendingProposals[e.GetIndex()]
	if !ok {
		return
	}
	delete(r.pendingProposals, e.GetIndex())
	if p.term != e.GetTerm() {
		p.done(nil, ErrOutcomeUnknown)
		return
	}
	r.resolve(now, p, result)
}

// applyCommand applies a command to the control state. Data that can't be
// decoded is skipped, which is deterministic: every replica skips the same entries.
func (r *Replica) applyCommand(now time.Time, data []byte) *wire.Result {
	cmd := &wire.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		r.opts.Logger.Error("voter: decoding a log entry failed; entry skipped", "error", err)
		return nil
	}
	next, result := controller.Apply(r.state, cmd)
	if next.Revision() > r.state.Revision() {
		r.history.add(now, next.Revision(), cmd)
	}
	r.state = next
	return result
}

// resolve records the result of a proposal, and replies now or, if the caller
// asked for it, once the change is in force.
func (r *Replica) resolve(now time.Time, p *proposal, result *wire.Result) {
	p.result = result
	if p.awaitInForce && result.GetOutcome() == wire.Outcome_OUTCOME_ACCEPTED && !r.inForce(now, result.GetRevision()) {
		r.awaitingInForce = append(r.awaitingInForce, p)
		return
	}
	r.reply(now, p)
}

// reply calls done with a copy of the result, because the result itself is part
// of the state.
func (r *Replica) reply(now time.Time, p *proposal) {
	result := proto.CloneOf(p.result)
	if result.GetOutcome() == wire.Outcome_OUTCOME_ACCEPTED {
		at := r.inForceBy(result.GetRevision())
		if at.After(now) && r.inForce(now, result.GetRevision()) {
			at = now
		}
		result.InForceAtUnixNanos = at.UnixNano()
	}
	p.done(result, nil)
}

// inForceBy returns the time by which a revision is in force on every entry
// host: all leases that were granted on an older revision have expired by then.
func (r *Replica) inForceBy(revision uint64) time.Time {
	return r.history.committedBy(revision).Add(follower.InForceBound)
}

// inForce reports whether a revision is in force on every entry host. That may
// be before inForceBy, once every host with a lease has confirmed the revision.
// A new leader doesn't know the leases that its predecessor granted, so it counts
// confirmations only after those must have expired.
func (r *Replica) inForce(now time.Time, revision uint64) bool {
	if !r.inForceBy(revision).After(now) {
		return true
	}
	if r.leader.since.IsZero() || now.Before(r.leader.since.Add(follower.InForceBound)) {
		return false
	}
	for _, f := range r.leader.followers {
		if f.LeaseEnd.After(now) && f.Confirmed < revision {
			return false
		}
	}
	return true
}

// replyInForce replies to the waiting proposals whose change is now in force.
func (r *Replica) replyInForce(now time.Time) {
	remaining := r.awaitingInForce[:0]
	for _, p := range r.awaitingInForce {
		if r.inForce(now, p.result.GetRevision()) {
			r.reply(now, p)
			continue
		}
		remaining = append(remaining, p)
	}
	clear(r.awaitingInForce[len(remaining):])
	r.awaitingInForce = remaining
}

// updateLeadership starts or ends the leader state when the core has gained or
// lost leadership.
func (r *Replica) updateLeadership(now time.Time) {
	status := r.core.Status()
	if r.leader.term != 0 && (!status.IsLeader || status.Term != r.leader.term) {
		r.endLeadership(now)
	}
	if status.IsLeader && r.leader.term == 0 {
		r.leader = leaderState{
			since:        now,
			term:         status.Term,
			followers:    make(map[string]*FollowerStatus),
			joinRequests: make(map[string]string),
		}
		r.opts.Logger.Info("voter: became leader", "term", status.Term)
	}
}

// endLeadership discards the leader state and completes all pending proposals:
// committed ones that wait to be in force get the time by which they are, all
// others ErrOutcomeUnknown.
func (r *Replica) endLeadership(now time.Time) {
	r.leader = leaderState{}
	r.failSubmissions()
	for index, p := range r.pendingProposals {
		delete(r.pendingProposals, index)
		p.done(nil, ErrOutcomeUnknown)
	}
	for _, p := range r.awaitingInForce {
		r.reply(now, p)
	}
	r.awaitingInForce = nil
}
