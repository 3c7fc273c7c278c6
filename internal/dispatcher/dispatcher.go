// Package dispatcher routes tasks to the scheduler of a data centre and runs
// that scheduler on the entry host that the control state assigns.
//
// The client side (Submit, Get, Cancel, Poll) works on every entry host. The
// server side (the Serve methods) answers other entry hosts. Scheduling decisions
// are made by internal/scheduler; this package adds remote calls, replication of
// the task state to a backup entry host, and checks of the authority lease.
package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// CallTimeout is the deadline of one call to another entry host. Hosts are a
	// few milliseconds apart, so a peer that takes longer is considered failed.
	CallTimeout = 300 * time.Millisecond

	// refusalRetryDelay is the retry delay returned with a refusal: about the time
	// it takes to regain an authority lease or to replace a scheduler.
	refusalRetryDelay = time.Second
)

// Peers calls other entry hosts. An error means that the outcome of the call is
// unknown, unless the error has a method NotSent() bool that returns true: then
// the request did not leave this host.
type Peers interface {
	Submit(ctx context.Context, member *wire.Member, req *wire.SubmitRequest) (*wire.SubmitResponse, error)
	Get(ctx context.Context, member *wire.Member, req *wire.TaskRequest) (*wire.TaskResponse, error)
	Cancel(ctx context.Context, member *wire.Member, req *wire.TaskRequest) (*wire.TaskResponse, error)
	CopyTasks(ctx context.Context, member *wire.Member, req *wire.CopyTasksRequest) (*wire.CopyTasksResponse, error)
	FetchTasks(ctx context.Context, member *wire.Member, req *wire.FetchTasksRequest) (*wire.FetchTasksResponse, error)
	Poll(ctx context.Context, member *wire.Member, req *wire.WorkerPoll) (*wire.WorkerOrders, error)
}

// Options configures a Dispatcher. NewID and RunAll are optional, the other
// fields are required.
type Options struct {
	// Self is this entry host.
	Self *wire.Member
	// Clock is the time source; leases are checked by monotonic time differences.
	Clock timer.Clock
	// View returns the newest control state with its authority lease.
	View func() follower.View
	// Peers reaches the other entry hosts.
	Peers Peers
	// MaxTasks is the most tasks that a scheduler holds at once; 0 means no limit.
	MaxTasks int
	// Logger receives messages that begin with "dispatcher:" or "scheduler:".
	Logger *slog.Logger
	// NewID returns the random part of a task ID; nil means 16 random bytes.
	NewID func() string
	// RunAll runs the calls and waits for all of them; nil means concurrently.
	// Tests run them in order, to be deterministic.
	RunAll func(calls []func())
}

// Dispatcher is the task service of one entry host. Its methods may be called
// from any number of goroutines, except that Tick must not overlap itself.
type Dispatcher struct {
	opts      Options
	hostSizes hostSizeCache

	// mu guards the fields below; it is never held during a call to a peer.
	mu sync.Mutex
	// active is non-nil while this host schedules a data centre.
	active *activeScheduler
	// replicas holds the task copies of other hosts' schedulers by data centre.
	replicas map[string]*replica

	// replicateMu serializes the sending of copies. Lock order: before mu.
	replicateMu sync.Mutex
}

// New returns a dispatcher that schedules nothing until Tick reads a control
// state that assigns a data centre to this host.
func New(opts Options) *Dispatcher {
	if opts.NewID == nil {
		opts.NewID = randomID
	}
	if opts.RunAll == nil {
		opts.RunAll = runConcurrently
	}
	return &Dispatcher{
		opts:     opts,
		replicas: make(map[string]*replica),
	}
}
