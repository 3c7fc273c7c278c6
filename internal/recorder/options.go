// Package recorder implements the at-most-once registry of idempotency keys on
// one entry host. It connects the decision logic of pkg/deduplicator with the
// messages between entry hosts.
//
// Each key belongs to a slot. A slot has two holders: an owner, which decides on
// attempts, and a copy holder, which stores a replica of the entries. Slots are
// transferred to their new holders when the view of the entry hosts changes.
package recorder

import (
	"context"
	"log/slog"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Peers sends calls to other entry hosts. Every call must return soon after its
// context ends, even if the peer does not answer.
type Peers interface {
	// Begin asks the owner of a key.
	Begin(ctx context.Context, to *wire.Member, req *wire.BeginRequest) (*wire.BeginResponse, error)
	// Finish reports the outcome of an attempt to the owner of its key.
	Finish(ctx context.Context, to *wire.Member, req *wire.FinishRequest) (*wire.FinishResponse, error)
	// Copy sends entries to the copy holder of a slot.
	Copy(ctx context.Context, to *wire.Member, req *wire.CopyRequest) (*wire.CopyResponse, error)
	// Fetch asks an earlier holder for a slot.
	Fetch(ctx context.Context, to *wire.Member, req *wire.FetchRequest) (*wire.FetchResponse, error)
}

// Options configures a Recorder. Self, Clock and Peers are required; the zero
// value of any other field selects its default.
type Options struct {
	// Self is this process as a member of the view.
	Self *wire.Member
	// Clock is used for retention, call timeouts and waits.
	Clock timer.Clock
	// Peers sends calls to the other entry hosts.
	Peers Peers
	// Logger receives log messages; nil discards them.
	Logger *slog.Logger
	// MemoryCap limits the total size of all entries, in bytes.
	MemoryCap int64
	// Retention is how long outcomes are kept.
	Retention time.Duration
	// GrantBound is how long an unfinished intent counts as in progress.
	GrantBound time.Duration
	// HoldsLease reports whether this host holds a valid authority lease. Without one
	// it neither grants nor acknowledges an intent. Nil means always; use that in
	// tests and in a deployment of one host.
	HoldsLease func() bool
	// BeginTries is the number of times that Begin calls the owner of a key.
	BeginTries int
	// FinishTries is the number of times that Finish calls the owner of a key.
	FinishTries int
	// Workers is the number of slots that are transferred at once. The pool that
	// sends abandon messages has the same size.
	Workers int
	// RunAsync runs a function that sends one message with bounded retries; nil
	// uses a worker pool. Tests run the function synchronously.
	RunAsync func(func())
}

const (
	// copyTimeout limits a call to the copy holder. The latency between data
	// centres is a few milliseconds, and the default request deadline is 5 s.
	copyTimeout = 300 * time.Millisecond
	// ownerTimeout limits a call to an owner. It exceeds copyTimeout, so that an
	// owner whose copy holder does not respond can still answer.
	ownerTimeout = 700 * time.Millisecond
	// transferTimeout limits the fetch or push of a whole slot.
	transferTimeout = 2 * time.Second
	// transferRetryInterval is the wait between two passes over the pending slots.
	transferRetryInterval = 200 * time.Millisecond
	// maxTransferAnswerBytes limits the size of all answers in the message for a
	// whole slot. Entries whose answers exceed it are sent as forgotten.
	maxTransferAnswerBytes = 16 << 20
	// passesUntilLost is the number of the first pass under a view in which a slot
	// may count as lost, if every earlier holder has left the view and cannot be
	// reached.
	passesUntilLost = 3
	// maxConsecutiveFailures is the number of failed calls in a row after which a
	// pass stops calling a host. With 1, a single lost message would make all
	// remaining slots of the pass count as unreachable.
	maxConsecutiveFailures = 3
	// maxKeptViews limits the views kept for finding earlier holders of a slot,
	// the current view included.
	maxKeptViews = 8

	// abandonQueueSize limits the abandon messages that wait for a worker.
	abandonQueueSize = 1024

	defaultBeginTries  = 3
	defaultFinishTries = 8
	defaultWorkers     = 8

	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second

	// refusedRetryAfter is about half of the duration of a view change.
	refusedRetryAfter = 2 * time.Second
	// inProgressRetryAfter is a small multiple of the usual service time of a
	// request.
	inProgressRetryAfter = 500 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.HoldsLease == nil {
		o.HoldsLease = func() bool {
			return true
		}
	}
	if o.BeginTries <= 0 {
		o.BeginTries = defaultBeginTries
	}
	if o.FinishTries <= 0 {
		o.FinishTries = defaultFinishTries
	}
	if o.Workers <= 0 {
		o.Workers = defaultWorkers
	}
	return o
}
