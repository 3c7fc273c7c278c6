// Package replica implements one replica of the control state as a
// single-threaded state machine without goroutines. Its inputs are peer
// messages, commands, follower requests and the current time; its outputs are
// file writes, peer messages and results. Package voter drives it from a clock.
package replica

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/persister"
	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

const (
	// defaultSnapshotEvery is a number of entries. It bounds how many of them
	// a restart has to replay.
	defaultSnapshotEvery = 1000
	// reopenDelay is the wait between a failed write or reopen and the next
	// attempt to open the files.
	reopenDelay = 5 * time.Second
)

// Options configures a Replica. All fields but Grant and SnapshotEvery are required.
type Options struct {
	Name  string
	Peers []string
	Dir   string
	FS    persister.FS
	// Send sends a message to a peer. It must not block and may drop the message.
	Send   func(to string, env *wire.Envelope)
	Logger *slog.Logger
	// Rand randomizes the election timeouts.
	Rand *rand.Rand
	// Incarnation returns a value that is unique across all calls on all hosts.
	Incarnation func() string
	// Grant computes the request allotments of a follower. If it is nil,
	// followers get none.
	Grant func(now time.Time, follower *wire.Member, demands []*wire.TeamDemand, state controller.State) []*wire.RequestAllotment
	// SnapshotEvery is the number of entries between snapshots; 0 means 1,000.
	SnapshotEvery uint64
	// StateMachine is a second state machine that shares the log with the
	// control state; nil means none.
	StateMachine StateMachine
	// VoterCount is the number of voters that an open group maintains:
	// replicas that are not among Peers may join it, and an unresponsive voter
	// is replaced by a live learner. 0 means that the group is closed: only
	// Peers may join.
	VoterCount int
	// JoinOnly is true when this replica may join an existing group but never
	// form a new one.
	JoinOnly bool
	// AppendSpacing is that of the replicated log, see replicator.Config.
	AppendSpacing time.Duration
}

// Replica is one replica of the control state, created by Open. It is not safe
// for concurrent use. Calls take effect with the next Flush.
type Replica struct {
	opts     Options
	identity *replication.Identity
	store    *persister.Store
	core     *replicator.Core
	// failedAt is the time of the last failed write or reopen; zero while the
	// files are usable.
	failedAt time.Time

	// state is the result of all committed entries up to the core's applied index.
	state controller.State
	// published is what State returns. Its revision never decreases while the
	// process runs, even when reopening the files restores an older state.
	published     controller.State
	snapshotIndex uint64
	history       history

	formation          formation
	leader             leaderState
	pendingProposals   map[uint64]*proposal
	awaitingInForce    []*proposal
	pendingSubmissions map[uint64]*submission
}

// leaderState is held only while this replica leads.
type leaderState struct {
	// since is when this replica became the leader; zero while it does not lead.
	since     time.Time
	term      uint64
	followers map[string]*FollowerStatus
	// joinRequests maps host names to the new IDs that asked to join.
	joinRequests map[string]string
	prunedAt     time.Time
}

// Open opens the replica's files, creating them if there are none, and restores
// its state from them.
func Open(now time.Time, opts Options) (*Replica, error) {
	if opts.SnapshotEvery == 0 {
		opts.SnapshotEvery = defaultSnapshotEvery
	}
	r := &Replica{
		opts:               opts,
		pendingProposals:   make(map[uint64]*proposal),
		pendingSubmissions: make(map[uint64]*submission),
	}
	return r, r.open(now)
}

func (r *Replica) open(now time.Time) error {
	recovered, err := r.openFiles()
	if err != nil {
		return err
	}
	if r.identity.GetInitial() != nil && recovered.Snapshot == nil {
		err = r.bootstrapLog(now, r.identity.GetInitial(), recovered)
	} else {
		err = r.startCore(now, recovered)
	}
	if err != nil {
		_ = r.store.Close()
	}
	return err
}

// startCore restores the state from the latest snapshot and creates the
// replication core from the recovered log.
func (r *Replica) startCore(now time.Time, recovered replicator.Recovered) error {
	state, err := r.decodeState(recovered.Snapshot.GetData())
	if err != nil {
		return err
	}
	r.setState(now, state, recovered.Snapshot.GetIndex())
	r.core = replicator.New(replicator.Config{
		ID:   replicator.ID(r.identity.GetId()),
		Rand: r.opts.Rand,

		AppendSpacing: r.opts.AppendSpacing,
	}, recovered)
	r.failedAt = time.Time{}
	return nil
}

// setState replaces the state with the one restored from a snapshot.
func (r *Replica) setState(now time.Time, state controller.State, index uint64) {
	r.state, r.snapshotIndex = state, index
	r.history = newHistory(state.Revision(), now)
	r.publish()
}

func (r *Replica) publish() {
	if r.state.Revision() >= r.published.Revision() {
		r.published = r.state
	}
}

// Tick advances the replica's timers to now.
func (r *Replica) Tick(now time.Time) {
	if !r.failedAt.IsZero() {
		r.reopen(now)
		return
	}
	r.core.Tick(now)
	r.updateLeadership(now)
	r.tickFormation(now)
	r.tickLeader(now)
}

// reopen opens the files again once reopenDelay has passed since the failure.
// The store syncs all that it recovers before returning it, so nothing that the
// failed write left unsynced is relied on.
func (r *Replica) reopen(now time.Time) {
	if now.Sub(r.failedAt) < reopenDelay {
		return
	}
	if err := r.open(now); err != nil {
		r.failedAt = now
		r.opts.Logger.Error("voter: reopening the files failed; trying again in 5 s", "error", err)
		return
	}
	r.opts.Logger.Info("voter: files reopened; this replica takes part in the group again")
}

// Step handles a message from another replica. A message that is addressed to
// another host or can't be decoded is dropped.
func (r *Replica) Step(now time.Time, env *wire.Envelope) {
	packet := &replication.Packet{}
	if !r.failedAt.IsZero() || env.GetTo() != r.opts.Name || proto.Unmarshal(env.GetPayload(), packet) != nil {
		return
	}
	switch body := packet.GetBody().(type) {
	case *replication.Packet_Message:
		r.stepMessage(now, body.Message)
	case *replication.Packet_Query:
		r.stepQuery(env.GetFrom(), body.Query)
	case *replication.Packet_Answer:
		r.stepAnswer(now, env.GetFrom(), body.Answer)
	}
	if r.failedAt.IsZero() {
		r.updateLeadership(now)
	}
}

// stepMessage passes a message to the core. A replica that belongs to no group
// accepts only appends and snapshots: without a log of its own it can't tell
// whether a candidate's log is up to date.
func (r *Replica) stepMessage(now time.Time, m *replication.Message) {
	fromLeader := m.GetKind() == replication.MessageKind_MESSAGE_KIND_APPEND ||
		m.GetKind() == replication.MessageKind_MESSAGE_KIND_SNAPSHOT
	if r.inGroup() || fromLeader {
		r.core.Step(now, m)
	}
}

func (r *Replica) send(to string, packet *replication.Packet) {
	payload, err := proto.Marshal(packet)
	if err != nil {
		r.opts.Logger.Error("voter: encoding a message failed; message dropped", "error", err)
		return
	}
	r.opts.Send(to, &wire.Envelope{
		From:    r.opts.Name,
		To:      to,
		Payload: payload,
	})
}

// NextRound returns when entries that wait are due to be written and sent by Flush, or
// false when none waits.
func (r *Replica) NextRound() (time.Time, bool) { return r.core.NextRound() }

// Flush writes and syncs pending log entries and snapshots, then sends messages,
// applies committed entries and delivers results.
func (r *Replica) Flush(now time.Time) {
	for r.failedAt.IsZero() {
		ready, ok := r.core.Ready(now)
		if !ok {
			break
		}
		if err := r.persist(now, ready); err != nil {
			r.fail(now, err)
			return
		}
		for _, m := range ready.Messages {
			r.send(nameOf(m.GetTo()), &replication.Packet{
				Body: &replication.Packet_Message{
					Message: m,
				},
			})
		}
		for _, e := range ready.Committed {
			r.apply(now, e)
		}
		r.publish()
		r.core.Advance(now, ready)
		r.updateLeadership(now)
		r.compact(now)
	}
	r.replyInForce(now)
}

func (r *Replica) persist(now time.Time, ready replicator.Ready) error {
	if ready.Snapshot != nil {
		state, err := r.decodeState(ready.Snapshot.GetData())
		if err != nil {
			return err
		}
		if err := r.store.SaveSnapshot(ready.Snapshot); err != nil {
			return err
		}
		r.setState(now, state, ready.Snapshot.GetIndex())
	}
	if ready.Hard == nil && len(ready.Entries) == 0 {
		return nil
	}
	return r.store.Append(ready.Hard, ready.Entries)
}

// fail withdraws this replica from the group after a file error, because it no
// longer knows what is on its disk. Tick reopens the files after reopenDelay.
func (r *Replica) fail(now time.Time, err error) {
	r.opts.Logger.Error("voter: writing or loading files failed; this replica stops taking part in the group until its files are reopened", "error", err)
	r.failedAt = now
	_ = r.store.Close()
	r.endLeadership(now)
}

// compact saves a snapshot and truncates the log when SnapshotEvery entries were
// applied since the last snapshot.
func (r *Replica) compact(now time.Time) {
	if r.core.Status().Applied < r.snapshotIndex+r.opts.SnapshotEvery {
		return
	}
	data, err := r.encodeState()
	if err != nil {
		r.fail(now, err)
		return
	}
	// Half of the entries are retained, so that replicas that are slightly
	// behind catch up from the log rather than from a snapshot.
	snap, base := r.core.Compact(data, r.opts.SnapshotEvery/2)
	if err := r.store.SaveSnapshot(snap); err != nil {
		r.fail(now, err)
		return
	}
	if err := r.store.Compact(base); err != nil {
		r.fail(now, err)
		return
	}
	r.snapshotIndex = snap.GetIndex()
}

// State returns the newest applied state. Its revision never decreases.
func (r *Replica) State() controller.State { return r.published }

// Leader returns the host name of the leader, empty when none is known, and
// whether this replica leads and has applied an entry of its own term, so that
// it may act as the leader.
func (r *Replica) Leader() (name string, self bool) {
	if !r.failedAt.IsZero() {
		return "", false
	}
	return nameOf(string(r.core.Leader())), r.core.LeaderReady()
}

// Voters returns the IDs of the current voters as far as this replica knows, and
// nil before the group is formed. An ID consists of the host's name and the
// incarnation of its files.
func (r *Replica) Voters() []string {
	if !r.inGroup() {
		return nil
	}
	var ids []string
	for _, m := range r.core.Status().Membership.GetMembers() {
		if !m.GetLearner() {
			ids = append(ids, m.GetId())
		}
	}
	return ids
}

// Status returns the status of the replication core.
func (r *Replica) Status() replicator.Status { return r.core.Status() }

// Failed reports whether a write failed and the files have not been reopened yet.
func (r *Replica) Failed() bool { return !r.failedAt.IsZero() }

// Close closes the replica's files.
func (r *Replica) Close() error { return errors.Wrap(r.store.Close(), "voter: close") }
