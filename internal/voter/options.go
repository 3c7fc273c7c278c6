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

// Transport carries messages to other voters.
type Transport interface {
	// Send passes env on to the voter of the given name. It does not block
	// and may drop the message.
	Send(to string, env *wire.Envelope)
}

// RequestAllotter decides how much of each team's request limits a follower gets.
type RequestAllotter interface {
	// Grant is called by one goroutine at a time, on the leader only.
	Grant(now time.Time, follower *wire.Member, demands []*wire.TeamDemand, state controller.State) []*wire.RequestAllotment
}

// Options are the settings of a Voter.
type Options struct {
	// Name is this host's name; it is among Peers when the host is an initial voter.
	Name string
	// Peers are the names of the initial voters.
	Peers []string
	// Dir is the folder of this voter's files; it is made when missing.
	Dir string
	// FS holds the files; nil means the file system of the machine.
	FS persister.FS
	// Clock is read for all timing; nil means the clock of the machine.
	Clock timer.Clock
	// Transport carries messages to the other voters.
	Transport Transport
	// Logger receives what happens; nil discards it.
	Logger *slog.Logger
	// RequestAllotter fills the allotments of followers; nil grants none.
	RequestAllotter RequestAllotter
	// SnapshotEvery is the number of entries between snapshots; 0 means 1,000.
	SnapshotEvery uint64
	// Machine shares the log with the control state; nil means none.
	Machine replica.StateMachine
	// Voters is the number of voters that an open group keeps; 0 means that
	// only Peers belong to the group.
	Voters int
	// Joins is true when this voter never forms a group and only joins one.
	Joins bool
}
