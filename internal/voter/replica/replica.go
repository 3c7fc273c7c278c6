// Package replica is one replica of the control state without goroutines: it
// takes messages, commands, requests of followers and the time, and writes
// files, sends messages and answers. Package voter runs it on a clock.
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
	// snapshotEvery bounds the entries that a restart has to apply again.
	snapshotEvery = 1000
	// reopenDelay is the time between a failed write and the next attempt to
	// open the files.
	reopenDelay = 5 * time.Second
)

// Options are the settings of a Replica. All but Grant and SnapshotEvery are required.
type Options struct {
	Name  string
	Peers []string
	Dir   string
	FS    persister.FS
	// Send passes a message on; it does not block and may drop it.
	Send   func(to string, env *wire.Envelope)
	Logger *slog.Logger
	// Rand spreads the election timeouts.
	Rand *rand.Rand
	// Incarnation returns a value that no other call on any host returns.
	Incarnation func() string
	// Grant returns the request allotments of a follower; nil grants none.
	Grant func(now time.Time, follower *wire.Member, demands []*wire.TeamDemand, state controller.State) []*wire.RequestAllotment
	// SnapshotEvery is the number of entries between snapshots; 0 means 1,000.
	SnapshotEvery uint64
	// Machine shares the log with the control state; nil means none.
	Machine Machine
	// Voters is the number of voters that an open group keeps: replicas that
	// are not among Peers may join it, and a silent voter is replaced by a live
	// learner. 0 means that the group is closed.
	Voters int
	// Joins is true when this replica never forms a group and only joins one.
	Joins bool
}

// Replica is one replica of the control state. It is not safe for concurrent
// use; make one with Open. Calls take effect with the next Flush.
type Replica struct {
	opts     Options
	identity *replication.Identity
	store    *persister.Store
	core     *replicator.Core
	// failedAt is when a write failed; zero while the files are usable.
	failedAt time.Time

	// Invariant: all committed entries up to the core's applied index are in it.
	state controller.State
	// Invariant: its revision never falls while the process runs.
	newest     controller.State
	snapshotAt uint64
	history    history

	formation formation
	leading   leading
	pending   map[uint64]*proposal
	waiting   []*proposal
	submitted map[uint64]*submission
}

// leading is what only a leader keeps.
type leading struct {
	// since is when this replica became the leader; zero while it is not.
	since     time.Time
	term      uint64
	followers map[string]*FollowerStatus
	// joins maps host names to the new IDs that asked to join.
	joins  map[string]string
	pruned time.Time
}

// Open reads the files of the replica.
func Open(now time.Time, opts Options) (*Replica, error) {
	if opts.SnapshotEvery == 0 {
		opts.SnapshotEvery = snapshotEvery
	}
	r := &Replica{
		opts:      opts,
		pending:   make(map[uint64]*proposal),
		submitted: make(map[uint64]*submission),
	}
	return r, r.open(now)
}

func (r *Replica) open(now time.Time) error {
	recovered, err := r.openFiles()
	if err != nil {
		return err
	}
	if r.identity.GetInitial() != nil && recovered.Snapshot == nil {
		return r.start(now, r.identity.GetInitial(), recovered)
	}
	return r.run(now, recovered)
}

// run makes the core from what the files hold.
func (r *Replica) run(now time.Time, recovered replicator.Recovered) error {
	state, err := r.decodeState(recovered.Snapshot.GetData())
	if err != nil {
		return err
	}
	r.setState(now, state, recovered.Snapshot.GetIndex())
	r.core = replicator.New(replicator.Config{
		ID:   replicator.ID(r.identity.GetId()),
		Rand: r.opts.Rand,
	}, recovered)
	r.failedAt = time.Time{}
	return nil
}

// setState replaces the state by that of a snapshot.
func (r *Replica) setState(now time.Time, state controller.State, index uint64) {
	r.state, r.snapshotAt = state, index
	r.history = newHistory(state.Revision(), now)
	r.publish()
}

func (r *Replica) publish() {
	if r.state.Revision() >= r.newest.Revision() {
		r.newest = r.state
	}
}

// Tick tells the replica the time.
func (r *Replica) Tick(now time.Time) {
	if !r.failedAt.IsZero() {
		r.reopen(now)
		return
	}
	r.core.Tick(now)
	r.noteLeading(now)
	r.tickFormation(now)
	r.tickLeading(now)
}

// reopen opens the files again some time after a failed write. The store
// syncs all that it recovers before it returns it.
func (r *Replica) reopen(now time.Time) {
	if now.Sub(r.failedAt) < reopenDelay {
		return
	}
	if err := r.open(now); err != nil {
		r.failedAt = now
		r.opts.Logger.Error("voter: files can't be opened", "error", err)
		return
	}
	r.opts.Logger.Info("voter: files opened again")
}

// Step takes a message from another voter. What can't be decoded is dropped.
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
		r.noteLeading(now)
	}
}

// stepMessage passes a message on to the core. A replica of no group takes
// only the log, because it has no log of its own to judge candidates by.
func (r *Replica) stepMessage(now time.Time, m *replication.Message) {
	fromLeader := m.GetKind() == replication.MessageKind_MESSAGE_KIND_APPEND ||
		m.GetKind() == replication.MessageKind_MESSAGE_KIND_SNAPSHOT
	if r.formed() || fromLeader {
		r.core.Step(now, m)
	}
}

func (r *Replica) send(to string, packet *replication.Packet) {
	payload, err := proto.Marshal(packet)
	if err != nil {
		r.opts.Logger.Error("voter: message can't be encoded", "error", err)
		return
	}
	r.opts.Send(to, &wire.Envelope{
		From:    r.opts.Name,
		To:      to,
		Payload: payload,
	})
}

// Flush writes and syncs what has come up, then sends messages, applies
// committed entries and answers.
func (r *Replica) Flush(now time.Time) {
	for r.failedAt.IsZero() {
		ready, some := r.core.Ready(now)
		if !some {
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
		r.noteLeading(now)
		r.compact(now)
	}
	r.answerWaiting(now)
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

// fail ends the part of this replica in the group after a failed write, since
// it can no longer vouch for what is on its disk.
func (r *Replica) fail(now time.Time, err error) {
	r.opts.Logger.Error("voter: write failed, this host no longer takes part", "error", err)
	r.failedAt = now
	_ = r.store.Close()
	r.stopLeading(now)
}

// compact saves a snapshot when enough entries were applied since the last one.
func (r *Replica) compact(now time.Time) {
	if r.core.Status().Applied < r.snapshotAt+r.opts.SnapshotEvery {
		return
	}
	data, err := r.encodeState()
	if err != nil {
		r.fail(now, err)
		return
	}
	// Half of the entries stay for replicas that are a little behind.
	snap, base := r.core.Compact(data, r.opts.SnapshotEvery/2)
	if err := r.store.SaveSnapshot(snap); err != nil {
		r.fail(now, err)
		return
	}
	if err := r.store.Compact(base); err != nil {
		r.fail(now, err)
		return
	}
	r.snapshotAt = snap.GetIndex()
}

// State returns the newest applied state. Its revision never falls.
func (r *Replica) State() controller.State { return r.newest }

// Leader returns the name of the leader, empty when none is known, and
// whether this replica leads and may act as the leader.
func (r *Replica) Leader() (name string, self bool) {
	if !r.failedAt.IsZero() {
		return "", false
	}
	return nameOf(string(r.core.Leader())), r.core.Leading()
}

// Voters returns the IDs of the present voters as this replica knows them, and
// none before the group is formed. An ID is a host's name with the identity of
// its files.
func (r *Replica) Voters() []string {
	if !r.formed() {
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

// Status returns a summary of the log.
func (r *Replica) Status() replicator.Status { return r.core.Status() }

// Failed reports whether a write failed and the files are not open again yet.
func (r *Replica) Failed() bool { return !r.failedAt.IsZero() }

// Close closes the files.
func (r *Replica) Close() error { return errors.Wrap(r.store.Close(), "voter: close") }
