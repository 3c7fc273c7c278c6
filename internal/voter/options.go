package voter

import (
	"log/slog"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/voter/replica"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/persister"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Transport sends messages to other voters.
type Transport interface {
	// Send sends env to the voter on the host named to. It must not block and
	// may drop the message.
	Send(to string, env *wire.Envelope)
}

// RequestAllotter decides how much of each team's request limits a follower may use.
type RequestAllotter interface {
	// Grant is called on the leader only, by one goroutine at a time.
	Grant(now time.Time, follower *wire.Member, demands []*wire.TeamDemand, state controller.State) []*wire.RequestAllotment
}

// Options configures a Voter.
type Options struct {
	// Name is this host's name; it is among Peers if the host is an initial voter.
	Name string
	// Peers are the names of the initial voters.
	Peers []string
	// Dir is the directory of this voter's files. It is created if missing.
	Dir string
	// FS is the file system that holds Dir; nil means that of the operating system.
	FS persister.FS
	// Clock is the time source; nil means the system clock.
	Clock timer.Clock
	// Transport sends messages to the other voters.
	Transport Transport
	// Logger receives log messages; nil discards them.
	Logger *slog.Logger
	// RequestAllotter grants the request allotments of followers; if it is nil,
	// they get none.
	RequestAllotter RequestAllotter
	// SnapshotEvery is the number of entries between snapshots; 0 means 1,000.
	SnapshotEvery uint64
	// StateMachine is a second state machine that shares the log with the control
	// state; nil means none.
	StateMachine replica.StateMachine
	// VoterCount is the number of voters that an open group maintains: hosts that
	// are not among Peers may join it, and an unresponsive voter is replaced
	// by a live learner. 0 means that only Peers belong to the group.
	VoterCount int
	// JoinOnly is true when this voter may join an existing group but never form
	// a new one.
	JoinOnly bool
	// AppendSpacing, multiplied by the number of other replicas, is the minimum time
	// between two rounds in which a leader writes and sends new entries; 0 sends each at
	// once.
	AppendSpacing time.Duration
}
