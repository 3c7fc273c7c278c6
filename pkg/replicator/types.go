package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/heathermux/heathermux/pkg/replication"
)

// The message types of the log are the generated ones. Values that have been
// handed to or received from a Core are read-only.
type (
	// Entry is one position of the log.
	Entry = replication.Entry
	// HardState is the term and the vote.
	HardState = replication.HardState
	// Snapshot stands for all entries up to its index.
	Snapshot = replication.Snapshot
	// Message is sent from one replica to another.
	Message = *replication.Message
	// Membership lists the replicas.
	Membership = replication.Membership
)

// ID names one replica. A replica that lost its disk gets another ID.
type ID string

const (
	// DefaultHeartbeatInterval is the time between heartbeat rounds.
	DefaultHeartbeatInterval = 100 * time.Millisecond
	// DefaultElectionTimeout is the least time without a leader after which a
	// replica campaigns; the random part is as long again.
	DefaultElectionTimeout = 500 * time.Millisecond
)

// Config holds the settings of a Core.
type Config struct {
	ID ID
	// HeartbeatInterval is DefaultHeartbeatInterval when 0.
	HeartbeatInterval time.Duration
	// ElectionTimeout is DefaultElectionTimeout when 0.
	ElectionTimeout time.Duration
	// Rand spreads the election timeouts; it is required.
	Rand *rand.Rand
}

// Recovered is what a replica had on disk. The zero value is an empty disk.
type Recovered struct {
	Hard *HardState
	// Snapshot is nil when none was saved.
	Snapshot *Snapshot
	// BaseIndex and BaseTerm are of the entry before the first of Entries.
	BaseIndex uint64
	BaseTerm  uint64
	// Entries are contiguous; they may begin before the snapshot's index.
	Entries []*Entry
}

// Position identifies an entry: it is committed if and only if the entry that
// is applied at the index has this term.
type Position struct {
	Index uint64
	Term  uint64
}

// ChangeKind is the kind of a membership change.
type ChangeKind int

// The membership changes; each adds or removes at most one voter.
const (
	// AddLearner adds a replica that does not vote.
	AddLearner ChangeKind = iota
	// Promote turns a learner into a voter.
	Promote
	// Remove removes a learner or voter.
	Remove
)

// String returns the name of the change in kebab case.
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

// Ready is work for the caller. It is done in this order: install Snapshot
// and sync, append Hard and Entries and sync, send Messages, apply Committed.
type Ready struct {
	// Hard is nil when it has not changed.
	Hard     *HardState
	Entries  []*Entry
	Snapshot *Snapshot
	Messages []Message
	// Committed follow Snapshot when both are set.
	Committed []*Entry
}
