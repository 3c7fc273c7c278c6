// Package dispatcher brings tasks to the scheduler of a data centre and runs
// that scheduler on the entry host that the control state assigns.
//
// The client side (Submit, Get, Cancel, Poll) works on every entry host. The
// server side (the Serve methods) answers other entry hosts. The decisions are
// those of internal/scheduler; this package adds calls, copies and the
// authority lease.
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
	// CallTimeout bounds one call to another entry host. Hosts are a few
	// milliseconds apart, so a longer silence means that the peer is lost.
	CallTimeout = 300 * time.Millisecond

	// retryAfter is what a refused submitter is told to wait: about the time
	// in which an authority lease or a scheduler is regained.
	retryAfter = time.Second
)

// Peers calls other entry hosts. An error means that the outcome is not known,
// unless it has a method NotSent() bool that returns true: then the request
// did not leave this host.
type Peers interface {
	Submit(ctx context.Context, member *wire.Member, req *wire.SubmitRequest) (*wire.SubmitResponse, error)
	Get(ctx context.Context, member *wire.Member, req *wire.TaskRequest) (*wire.TaskResponse, error)
	Cancel(ctx context.Context, member *wire.Member, req *wire.TaskRequest) (*wire.TaskResponse, error)
	CopyTasks(ctx context.Context, member *wire.Member, req *wire.CopyTasksRequest) (*wire.CopyTasksResponse, error)
	FetchTasks(ctx context.Context, member *wire.Member, req *wire.FetchTasksRequest) (*wire.FetchTasksResponse, error)
	Poll(ctx context.Context, member *wire.Member, req *wire.WorkerPoll) (*wire.WorkerOrders, error)
}

// Options sets up a Dispatcher; NewID and Together are optional, the other fields are not.
type Options struct {
	// Self is this entry host.
	Self *wire.Member
	// Clock decides leases by its monotonic differences.
	Clock timer.Clock
	// View returns the newest control state with its authority lease.
	View func() follower.View
	// Peers reaches the other entry hosts.
	Peers Peers
	// Logger takes short sentences with the prefix "dispatcher:".
	Logger *slog.Logger
	// NewID returns the random part of a task ID; nil means 16 random bytes.
	NewID func() string
	// Together runs calls to several peers and waits for them; nil means all
	// at once. Tests run them in order.
	Together func(calls []func())
}

// Dispatcher is the task service of one entry host. Its methods may be called
// from any number of goroutines, except that Tick must not overlap itself.
type Dispatcher struct {
	opts   Options
	places placeCache

	// mu guards the fields below; it is never held during a call to a peer.
	mu sync.Mutex
	// lead is set while this host schedules a data centre.
	lead *lead
	// Invariant: keyed by data centre.
	copies map[string]*copySet

	// copyMu is held while changes are sent, and is taken before mu.
	copyMu sync.Mutex
}

// New returns a dispatcher that schedules nothing until Tick has seen this
// host assigned.
func New(opts Options) *Dispatcher {
	if opts.NewID == nil {
		opts.NewID = randomID
	}
	if opts.Together == nil {
		opts.Together = allAtOnce
	}
	return &Dispatcher{
		opts:   opts,
		copies: make(map[string]*copySet),
	}
}
