package voter

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	mathrand "math/rand/v2"

	"github.com/heathermux/heathermux/internal/voter/replica"
	"github.com/heathermux/heathermux/pkg/persister"
	"github.com/heathermux/heathermux/pkg/timer"
)

func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = persister.OSFS()
	}
	if o.Clock == nil {
		o.Clock = timer.System()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

func (o Options) replicaOptions() replica.Options {
	opts := replica.Options{
		Name:          o.Name,
		Peers:         o.Peers,
		Dir:           o.Dir,
		FS:            o.FS,
		Send:          o.Transport.Send,
		Logger:        o.Logger,
		Rand:          mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		Incarnation:   incarnation,
		SnapshotEvery: o.SnapshotEvery,
		StateMachine:  o.StateMachine,
		VoterCount:    o.VoterCount,
		JoinOnly:      o.JoinOnly,
		AppendSpacing: o.AppendSpacing,
	}
	if o.RequestAllotter != nil {
		opts.Grant = o.RequestAllotter.Grant
	}
	return opts
}

func incarnation() string {
	var b [8]byte
	// rand.Read never returns an error; it crashes the process if the system
	// has no source of randomness.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
