// Package recorder runs the at-most-once registry on one entry host: it joins
// the decisions of pkg/deduplicator to the messages between entry hosts.
package recorder

import (
	"context"
	"log/slog"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Peers carries calls to other entry hosts. Every call returns soon after its
// context has ended, also when the peer does not answer.
type Peers interface {
	// Begin asks the owner of a key.
	Begin(ctx context.Context, to *wire.Member, req *wire.BeginRequest) (*wire.BeginResponse, error)
	// Finish reports an outcome to the owner of a key.
	Finish(ctx context.Context, to *wire.Member, req *wire.FinishRequest) (*wire.FinishResponse, error)
	// Copy sends entries to the copy holder of a slot.
	Copy(ctx context.Context, to *wire.Member, req *wire.CopyRequest) (*wire.CopyResponse, error)
	// Fetch asks an earlier holder for a slot.
	Fetch(ctx context.Context, to *wire.Member, req *wire.FetchRequest) (*wire.FetchResponse, error)
}

// Options configure a Recorder. Self, Clock and Peers are required; zero values
// of the others select the defaults.
type Options struct {
	// Self is this process, as listed in the view.
	Self *wire.Member
	// Clock decides retention, call deadlines and waits.
	Clock timer.Clock
	// Peers reaches the other entry hosts.
	Peers Peers
	// Logger receives log messages; nil discards them.
	Logger *slog.Logger
	// MemoryCap bounds the bytes of all entries.
	MemoryCap int64
	// Retention is how long outcomes are kept.
	Retention time.Duration
	// GrantBound is how long an unfinished intent counts as in progress.
	GrantBound time.Duration
	// Live reports whether this host has a live authority lease. Without one it
	// grants and acknowledges no intent. Nil means always, for tests and for a
	// deployment of one host.
	Live func() bool
	// Tries is the number of times that Begin asks for an owner.
	Tries int
	// FinishTries is the number of times that Finish does.
	FinishTries int
	// Workers is the number of slots that are transferred at once.
	Workers int
	// Background runs a function that sends one message with bounded retries;
	// nil uses a worker pool. Tests run it in place.
	Background func(func())
}

const (
	// copyTimeout bounds the call to the copy holder. Data centres are a few
	// milliseconds apart, and a request has 5 s by default.
	copyTimeout = 300 * time.Millisecond
	// ownerTimeout bounds a call to an owner. It exceeds copyTimeout, so that
	// an owner whose copy holder is frozen still answers.
	ownerTimeout = 700 * time.Millisecond
	// transferTimeout bounds the fetch or push of a whole slot.
	transferTimeout = 2 * time.Second
	// transferPause is the wait between two passes over the pending slots.
	transferPause = 200 * time.Millisecond
	// transferBytes bounds the answers in one whole slot. Answers beyond it are
	// sent as forgotten, which keeps the message bounded.
	transferBytes = 16 << 20
	// lostPasses is the number of passes in which every earlier holder must be
	// out of the view and unreachable before the slot counts as lost.
	lostPasses = 3
	// maxFailures is above 1 because a single lost message would otherwise make
	// all remaining slots of a pass count as unreachable.
	maxFailures = 3
	// historyLength is the number of earlier views that are kept for surveys.
	historyLength = 8

	// noticeQueue bounds the abandon messages that wait for a worker.
	noticeQueue = 1024

	defaultTries       = 3
	defaultFinishTries = 8
	defaultWorkers     = 8

	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second

	// refusedRetryAfter is about half the time that a view change takes.
	refusedRetryAfter = 2 * time.Second
	// progressRetryAfter is a small multiple of the usual service time.
	progressRetryAfter = 500 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Live == nil {
		o.Live = func() bool {
			return true
		}
	}
	if o.Tries <= 0 {
		o.Tries = defaultTries
	}
	if o.FinishTries <= 0 {
		o.FinishTries = defaultFinishTries
	}
	if o.Workers <= 0 {
		o.Workers = defaultWorkers
	}
	return o
}
