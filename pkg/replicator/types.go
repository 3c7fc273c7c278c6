package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

// The message types of the log are the generated ones. Values that were passed
// to a Core or returned by it must not be modified.
type (
	// Entry is one entry of the replicated log.
	Entry = replication.Entry
	// HardState is the current term and the vote in it, which must be durable.
	HardState = replication.HardState
	// Snapshot is the state that results from all entries up to its index.
	Snapshot = replication.Snapshot
	// Message is a message from one replica to another.
	Message = *replication.Message
	// Membership lists the replicas of the group, voters and learners.
	Membership = replication.Membership
)

// ID identifies one replica. A replica that has lost its disk gets a new ID.
type ID string

const (
	// DefaultHeartbeatInterval is the time between two heartbeat rounds of a leader.
	DefaultHeartbeatInterval = 100 * time.Millisecond
	// DefaultElectionTimeout is the minimum time without contact from a leader
	// after which a replica campaigns. The random addition is below the same value.
	DefaultElectionTimeout = 500 * time.Millisecond
)

// Config holds the settings of a Core.
type Config struct {
	ID ID
	// HeartbeatInterval defaults to DefaultHeartbeatInterval when it is 0.
	HeartbeatInterval time.Duration
	// ElectionTimeout defaults to DefaultElectionTimeout when it is 0.
	ElectionTimeout time.Duration
	// AppendSpacing, multiplied by the number of other replicas, is the minimum time
	// between two rounds in which a leader appends new entries. A round costs it a
	// message and a reply for each replica, so without spacing many small entries would
	// take all of its time. 0 sends each entry at once.
	AppendSpacing time.Duration
	// Rand randomises the election timeouts. Required.
	Rand *rand.Rand
}

// Recovered is the state that a replica read from its disk. The zero value
// stands for an empty disk.
type Recovered struct {
	Hard *HardState
	// Snapshot is nil when none has been saved.
	Snapshot *Snapshot
	// BaseIndex and BaseTerm are those of the entry before the first of Entries.
	BaseIndex uint64
	BaseTerm  uint64
	// Entries are contiguous and may start before the index of Snapshot.
	Entries []*Entry
}

// Position identifies a proposed entry. The proposal is committed if and only if
// the entry that is applied at Index has this Term.
type Position struct {
	Index uint64
	Term  uint64
}

// ChangeKind is the kind of a membership change.
type ChangeKind int

// Kinds of membership changes. Each adds or removes at most one voter.
const (
	// AddLearner adds a replica that receives the log but does not vote.
	AddLearner ChangeKind = iota
	// Promote turns a learner into a voter.
	Promote
	// Remove removes a learner or voter.
	Remove
)

// String returns the name of the change kind in kebab case.
func (k ChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add-learner"
	case Promote:
		return "promote"
	case Remove:
		return "remove"
	default:
		return "unknown"
	}
}

// Change is one membership change.
type Change struct {
	Kind ChangeKind
	ID   ID
}

// Ready is work for the caller, which must be done in this order: install
// Snapshot and sync, append Hard and Entries and sync, send Messages, apply
// Committed.
type Ready struct {
	// Hard is nil when it has not changed.
	Hard     *HardState
	Entries  []*Entry
	Snapshot *Snapshot
	Messages []Message
	// Committed are the newly committed entries; they follow Snapshot when both
	// are set.
	Committed []*Entry
}
