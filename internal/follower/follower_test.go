package follower_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

type noSource struct{}

func (noSource) Follow(context.Context, *wire.Member, *wire.FollowRequest) (*wire.FollowResponse, error) {
	return nil, context.DeadlineExceeded
}

func define(name string) *wire.Command {
	return &wire.Command{
		OperationId: "define-" + name,
		Change: &wire.Command_DefineDataCentre{
			DefineDataCentre: &wire.DefineDataCentre{
				DataCentre: &wire.DataCentre{
					Name: name,
				},
			},
		},
	}
}

func applied(revision uint64, name string) *wire.Applied {
	return &wire.Applied{
		Revision: revision,
		Command:  define(name),
	}
}

func newFollower(clock timer.Clock) *follower.Follower {
	return follower.New(follower.Options{
		Self: &wire.Member{
			Name: "e-1",
		},
		Clock:  clock,
		Source: noSource{},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// in-force: late, repeated and incomplete answers must never take a host back
// to an older revision.
func TestStateNeverReverts(t *testing.T) {
	first := &wire.FollowResponse{
		Revision: 2,
		Commands: []*wire.Applied{
			applied(1, "a"),
			applied(2, "b"),
		},
	}
	tests := map[string]struct {
		second   *wire.FollowResponse
		ok       bool
		revision uint64
	}{
		"repeated": {
			second:   first,
			ok:       true,
			revision: 2,
		},
		"late": {
			second: &wire.FollowResponse{
				Revision: 1,
				Commands: []*wire.Applied{
					applied(1, "a"),
				},
			},
			ok:       true,
			revision: 2,
		},
		"old snapshot": {
			second: &wire.FollowResponse{
				Revision: 1,
				Snapshot: &wire.Snapshot{
					Revision: 1,
				},
			},
			ok:       true,
			revision: 2,
		},
		"gap": {
			second: &wire.FollowResponse{
				Revision: 4,
				Commands: []*wire.Applied{
					applied(4, "d"),
				},
			},
			ok:       false,
			revision: 2,
		},
		"next": {
			second: &wire.FollowResponse{
				Revision: 3,
				Commands: []*wire.Applied{
					applied(3, "c"),
				},
			},
			ok:       true,
			revision: 3,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewFake(time.Unix(0, 0))
			f := newFollower(clock)
			is.True(f.Take(clock.Now(), first))
			is.Equal(f.Take(clock.Now(), test.second), test.ok)
			is.Equal(f.View().State.Revision(), test.revision)
		})
	}
}

// A follower that missed changes must recover with the whole state.
func TestRefetch(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(0, 0))
	f := newFollower(clock)
	leader := controller.State{}
	for _, name := range []string{"a", "b", "c"} {
		leader, _ = controller.Apply(leader, define(name))
	}
	is.True(!f.Take(clock.Now(), &wire.FollowResponse{
		Revision: 3,
		Commands: []*wire.Applied{
			applied(3, "c"),
		},
	}))
	is.True(f.Take(clock.Now(), &wire.FollowResponse{
		Revision: 3,
		Snapshot: leader.Snapshot(),
	}))
	is.Equal(len(f.View().State.DataCentres()), 3)
}

// key-scope and zone-out: the lease is counted from the sending of the call,
// so that a slow answer never stretches it beyond the leader's promise.
func TestLeaseCountsFromSending(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(0, 0))
	f := newFollower(clock)
	sent := clock.Now()
	clock.Advance(1500 * time.Millisecond)
	f.Take(sent, &wire.FollowResponse{
		Revision: 1,
		Commands: []*wire.Applied{
			applied(1, "a"),
		},
		LeaseNanos: int64(follower.LeaseLength),
		Allotments: []*wire.RequestAllotment{
			{
				Team:        "markets",
				Rate:        5,
				Concurrency: 3,
			},
		},
	})
	is.True(f.View().Live(clock.Now()))
	rate, concurrency := f.Allotment("markets")
	is.Equal(rate, int64(5))
	is.Equal(concurrency, int64(3))
	clock.Advance(499 * time.Millisecond)
	is.True(f.View().Live(clock.Now()))
	clock.Advance(time.Millisecond)
	is.True(!f.View().Live(clock.Now()))
}

// Before the first change nothing is known of queues and keys, so requests
// would be refused for good that are only early.
func TestEmptyStateGivesNoLease(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(0, 0))
	f := newFollower(clock)
	f.Take(clock.Now(), &wire.FollowResponse{
		LeaseNanos: int64(follower.LeaseLength),
	})
	is.True(!f.View().Live(clock.Now()))
}
