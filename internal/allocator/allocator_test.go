package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/internal/allocator"
	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	limitRate        = 100
	limitConcurrency = 30
	hosts            = 3
)

func newState() controller.State {
	return controller.State{}.WithContract(&wire.Contract{
		Customer: "qhapaq",
		Teams: []*wire.Team{
			{
				Name:               "markets",
				RequestRate:        limitRate,
				RequestConcurrency: limitConcurrency,
			},
		},
	}).WithView(&wire.View{
		Epoch:   1,
		Members: make([]*wire.Member, hosts),
	})
}

// fakeHost is an entry host that uses its whole part until its lease expires.
type fakeHost struct {
	part  allocator.Part
	until time.Time
}

func (h *fakeHost) usable(now time.Time) allocator.Part {
	if now.Before(h.until) {
		return h.part
	}
	return allocator.Part{}
}

func (h *fakeHost) demand(now time.Time, load int64) []*wire.TeamDemand {
	return []*wire.TeamDemand{
		{
			Team:            "markets",
			Rate:            load,
			HeldRate:        h.usable(now).Rate,
			HeldConcurrency: h.usable(now).Concurrency,
		},
	}
}

// Guards against parts that add up to more than the contract at any moment,
// when responses are lost, the leader changes and the load moves between hosts.
func TestPartsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		now := time.Unix(0, 0)
		leaders := []*allocator.Allocator{allocator.New(), allocator.New()}
		leading := 0
		all := make([]*fakeHost, hosts)
		for i := range all {
			all[i] = &fakeHost{}
		}
		steps := rapid.IntRange(1, 150).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "election") == 0 {
				// An election takes at least the minimum election timeout.
				now = now.Add(600 * time.Millisecond)
				leading = 1 - leading
			}
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			h := all[i]
			sent := now
			grants := leaders[leading].Grant(now, &wire.Member{
				Name: fmt.Sprint(i),
			}, h.demand(now, int64(rapid.IntRange(0, 500).Draw(t, "load"))), s)
			if rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
				h.part = allocator.Part{
					Rate:        grants[0].GetRate(),
					Concurrency: grants[0].GetConcurrency(),
				}
				h.until = sent.Add(follower.LeaseLength)
			}
			var sum allocator.Part
			for _, h := range all {
				sum.Rate += h.usable(now).Rate
				sum.Concurrency += h.usable(now).Concurrency
			}
			if sum.Rate > limitRate || sum.Concurrency > limitConcurrency {
				t.Fatalf("hosts may use %+v in total, which exceeds the limit of the team", sum)
			}
		}
	})
}

// Guards against parts that stay on idle hosts: when the load moves to one host,
// most of the limit must follow within a few calls.
func TestPartsFollowDemand(t *testing.T) {
	is := is.New(t)
	a := allocator.New()
	s := newState()
	now := time.Unix(0, 0)
	all := []*fakeHost{
		{},
		{},
		{},
	}
	for round := range 20 {
		for i, h := range all {
			now = now.Add(130 * time.Millisecond)
			load := int64(0)
			if i == 0 && round > 10 {
				load = 100
			}
			grants := a.Grant(now, &wire.Member{
				Name: fmt.Sprint(i),
			}, h.demand(now, load), s)
			h.part = allocator.Part{
				Rate:        grants[0].GetRate(),
				Concurrency: grants[0].GetConcurrency(),
			}
			h.until = now.Add(follower.LeaseLength)
		}
	}
	is.True(all[0].part.Rate > limitRate*9/10)
	is.True(all[0].part.Concurrency > limitConcurrency*9/10)
}

// Guards against a part that stays reserved for a host that failed under load,
// after its lease has expired and its last requests have ended.
func TestPartOfLostHostIsReassigned(t *testing.T) {
	is := is.New(t)
	a := allocator.New()
	s := newState()
	now := time.Unix(0, 0)
	all := []*fakeHost{
		{},
		{},
		{},
	}
	for round := range 60 {
		for i, h := range all {
			now = now.Add(130 * time.Millisecond)
			if i == 0 && round > 20 {
				continue
			}
			grants := a.Grant(now, &wire.Member{
				Name: fmt.Sprint(i),
			}, h.demand(now, 100), s)
			h.part = allocator.Part{
				Rate:        grants[0].GetRate(),
				Concurrency: grants[0].GetConcurrency(),
			}
			h.until = now.Add(follower.LeaseLength)
		}
		if round == 20 {
			is.True(all[0].part.Rate > 0)
		}
	}
	is.True(all[1].part.Rate+all[2].part.Rate > limitRate*9/10)
}
