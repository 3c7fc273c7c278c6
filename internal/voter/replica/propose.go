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
	term   uint64
	await  bool
	result *wire.Result
	done   func(*wire.Result, error)
}

// Propose appends a command to the log and calls done once with its result.
// With await, an accepted change is answered when it is in force everywhere.
// It reports whether the command was appended, so that its outcome is open
// until done is called.
func (r *Replica) Propose(now time.Time, cmd *wire.Command, await bool, done func(*wire.Result, error)) bool {
	name, self := r.Leader()
	if !self {
		done(nil, NotLeaderError{
			Leader: name,
		})
		return false
	}
	p := &proposal{
		await: await,
		done:  done,
	}
	if first, ok := r.state.Operation(cmd.GetOperationId()); ok {
		r.answer(now, p, first)
		return true
	}
	position, err := r.append(now, cmd)
	if err != nil {
		done(nil, err)
		return false
	}
	p.term = position.Term
	r.pending[position.Index] = p
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

// apply runs a committed entry through the state machine.
func (r *Replica) apply(now time.Time, e *replication.Entry) {
	if data, ok := marked(e.GetData()); ok {
		r.applyMachine(e, data)
		return
	}
	var result *wire.Result
	if e.GetKind() == replication.EntryKind_ENTRY_KIND_DATA {
		result = r.applyCommand(now, e.GetData())
	}
	p, ok := r.pending[e.GetIndex()]
	if !ok {
		return
	}
	delete(r.pending, e.GetIndex())
	if p.term != e.GetTerm() {
		p.done(nil, ErrOutcomeUnknown)
		return
	}
	r.answer(now, p, result)
}

// applyCommand skips data that is no command; each replica skips the same.
func (r *Replica) applyCommand(now time.Time, data []byte) *wire.Result {
	cmd := &wire.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		r.opts.Logger.Error("voter: log entry can't be decoded", "error", err)
		return nil
	}
	next, result := controller.Apply(r.state, cmd)
	if next.Revision() > r.state.Revision() {
		r.history.add(now, next.Revision(), cmd)
	}
	r.state = next
	return result
}

func (r *Replica) answer(now time.Time, p *proposal, result *wire.Result) {
	p.result = result
	if p.await && result.GetOutcome() == wire.Outcome_OUTCOME_ACCEPTED && !r.inForce(now, result.GetRevision()) {
		r.waiting = append(r.waiting, p)
		return
	}
	r.finish(now, p)
}

// finish answers with a copy, as the result itself belongs to the state.
func (r *Replica) finish(now time.Time, p *proposal) {
	result := proto.CloneOf(p.result)
	if result.GetOutcome() == wire.Outcome_OUTCOME_ACCEPTED {
		at := r.forceBound(result.GetRevision())
		if at.After(now) && r.inForce(now, result.GetRevision()) {
			at = now
		}
		result.InForceAtUnixNanos = at.UnixNano()
	}
	p.done(result, nil)
}

// forceBound returns the time by which a revision is in force on every entry
// host: leases that were granted on an older state end before it.
func (r *Replica) forceBound(revision uint64) time.Time {
	return r.history.committedBy(revision).Add(follower.ForceBound)
}

// inForce reports whether a revision is in force on every entry host. Leases
// that a former leader granted are not known here, so the confirmations count
// only when those have ended.
func (r *Replica) inForce(now time.Time, revision uint64) bool {
	if !r.forceBound(revision).After(now) {
		return true
	}
	if r.leading.since.IsZero() || now.Before(r.leading.since.Add(follower.ForceBound)) {
		return false
	}
	for _, f := range r.leading.followers {
		if f.LeaseEnd.After(now) && f.Confirmed < revision {
			return false
		}
	}
	return true
}

// answerWaiting answers the proposals whose change has come into force.
func (r *Replica) answerWaiting(now time.Time) {
	kept := r.waiting[:0]
	for _, p := range r.waiting {
		if r.inForce(now, p.result.GetRevision()) {
			r.finish(now, p)
			continue
		}
		kept = append(kept, p)
	}
	clear(r.waiting[len(kept):])
	r.waiting = kept
}

// noteLeading follows the role of the core.
func (r *Replica) noteLeading(now time.Time) {
	status := r.core.Status()
	if r.leading.term != 0 && (!status.Leads || status.Term != r.leading.term) {
		r.stopLeading(now)
	}
	if status.Leads && r.leading.term == 0 {
		r.leading = leading{
			since:     now,
			term:      status.Term,
			followers: make(map[string]*FollowerStatus),
			joins:     make(map[string]string),
		}
		r.opts.Logger.Info("voter: leads", "term", status.Term)
	}
}

// stopLeading answers all open proposals: the committed ones with their bound,
// the others with an unknown outcome.
func (r *Replica) stopLeading(now time.Time) {
	r.leading = leading{}
	r.abandonSubmissions()
	for index, p := range r.pending {
		delete(r.pending, index)
		p.done(nil, ErrOutcomeUnknown)
	}
	for _, p := range r.waiting {
		r.finish(now, p)
	}
	r.waiting = nil
}
