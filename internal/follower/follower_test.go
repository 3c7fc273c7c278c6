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

type unreachableSource struct{}

func (unreachableSource) Follow(context.Context, *wire.Member, *wire.FollowRequest) (*wire.FollowResponse, error) {
	return nil, context.DeadlineExceeded
}

func defineDataCentre(name string) *wire.Command {
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

func appliedDefinition(revision uint64, name string) *wire.Applied {
	return &wire.Applied{
		Revision: revision,
		Command:  defineDataCentre(name),
	}
}

func newFollower(clock timer.Clock) *follower.Follower {
	return follower.New(follower.Options{
		Self: &wire.Member{
			Name: "e-1",
		},
		Clock:  clock,
		Source: unreachableSource{},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// Invariant in-force: late, repeated and incomplete responses must never return a
// host to an older revision.
func TestStateNeverReverts(t *testing.T) {
	first := &wire.FollowResponse{
		Revision: 2,
		Commands: []*wire.Applied{
			appliedDefinition(1, "a"),
			appliedDefinition(2, "b"),
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
					appliedDefinition(1, "a"),
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
		"missing revision": {
			second: &wire.FollowResponse{
				Revision: 4,
				Commands: []*wire.Applied{
					appliedDefinition(4, "d"),
				},
			},
			ok:       false,
			revision: 2,
		},
		"next revision": {
			second: &wire.FollowResponse{
				Revision: 3,
				Commands: []*wire.Applied{
					appliedDefinition(3, "c"),
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
			is.True(f.ApplyResponse(clock.Now(), first))
			is.Equal(f.ApplyResponse(clock.Now(), test.second), test.ok)
			is.Equal(f.View().State.Revision(), test.revision)
		})
	}
}

// Guards against a follower that stays behind after it has missed changes: it must
// recover with a snapshot.
func TestRecoveryBySnapshot(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(0, 0))
	f := newFollower(clock)
	leader := controller.State{}
	for _, name := range []string{"a", "b", "c"} {
		leader, _ = controller.Apply(leader, defineDataCentre(name))
	}
	is.True(!f.ApplyResponse(clock.Now(), &wire.FollowResponse{
		Revision: 3,
		Commands: []*wire.Applied{
			appliedDefinition(3, "c"),
		},
	}))
	is.True(f.ApplyResponse(clock.Now(), &wire.FollowResponse{
		Revision: 3,
		Snapshot: leader.Snapshot(),
	}))
	is.Equal(len(f.View().State.DataCentres()), 3)
}

// Invariants key-scope and zone-out: the lease is counted from the sending of the
// call, so that a slow response never extends it beyond the time that the leader
// assumes.
func TestLeaseCountsFromSending(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(0, 0))
	f := newFollower(clock)
	sent := clock.Now()
	clock.Advance(1500 * time.Millisecond)
	f.ApplyResponse(sent, &wire.FollowResponse{
		Revision: 1,
		Commands: []*wire.Applied{
			appliedDefinition(1, "a"),
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

// Guards against a lease before the first change. The host knows no queues and
// keys yet, and would refuse requests permanently that could succeed later.
func TestEmptyStateGivesNoLease(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(0, 0))
	f := newFollower(clock)
	f.ApplyResponse(clock.Now(), &wire.FollowResponse{
		LeaseNanos: int64(follower.LeaseLength),
	})
	is.True(!f.View().Live(clock.Now()))
}
