package registrar_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/registrar"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// pair is the directories of two entry hosts that share a fake clock.
type pair struct {
	clock *timer.Fake
	a, b  *registrar.Registrar
}

func newPair() *pair {
	clock := timer.NewFake(time.Unix(0, 0))
	host := func(name string) *registrar.Registrar {
		return registrar.New(registrar.Options{
			Self: &wire.Member{
				Name:        name,
				Incarnation: name + "-1",
			},
			Clock: clock,
		})
	}
	return &pair{
		clock: clock,
		a:     host("a"),
		b:     host("b"),
	}
}

// pullBoth makes each host pull from the other one.
func (p *pair) pullBoth() {
	p.b.ApplyPullResponse(p.clock.Now(), p.a.ServePull(p.b.PullRequest("a")))
	p.a.ApplyPullResponse(p.clock.Now(), p.b.ServePull(p.a.PullRequest("b")))
}

// advance advances the clock and expires records on both hosts.
func (p *pair) advance(d time.Duration) {
	p.clock.Advance(d)
	p.a.Tick()
	p.b.Tick()
}

func upstream(incarnation string) *wire.Upstream {
	return &wire.Upstream{
		Id:          "u-1",
		Incarnation: incarnation,
		Queue:       "redeem",
		Address:     "127.0.0.1:9",
	}
}

// Invariant leaving-upstream: whatever happens between the entry hosts, neither
// lists an upstream two seconds after it left or stopped renewing.
func TestDepartureTakesEffectWithinTwoSeconds(t *testing.T) {
	tests := map[string]func(p *pair){
		"leaves through its origin": func(p *pair) {
			p.a.Leave(upstream("1"))
			p.pullBoth()
		},
		"leaves through the other host while its origin still lists it": func(p *pair) {
			p.b.Leave(upstream("1"))
			p.pullBoth()
		},
		"leaves during a network partition": func(p *pair) {
			p.a.Leave(upstream("1"))
			p.advance(2 * time.Second)
		},
		"stops renewing": func(p *pair) {
			p.advance(registrar.TTL)
			p.pullBoth()
		},
		"stops renewing during a network partition": func(p *pair) {
			p.advance(2 * time.Second)
		},
		"late renewal after the departure": func(p *pair) {
			p.b.Leave(upstream("1"))
			p.pullBoth()
			if err := p.a.Announce(upstream("1")); !errors.Is(err, registrar.ErrLeft) {
				panic("a renewal after the departure was accepted")
			}
			p.pullBoth()
		},
		"outdated pull response after the expiry": func(p *pair) {
			p.advance(registrar.TTL - time.Millisecond)
			sent := p.clock.Now()
			old := p.a.ServePull(&wire.PullRequest{})
			p.advance(time.Millisecond)
			p.pullBoth()
			p.b.ApplyPullResponse(sent, old)
		},
		"outdated pull response after the departure": func(p *pair) {
			sent := p.clock.Now()
			old := p.a.ServePull(&wire.PullRequest{})
			p.advance(time.Millisecond)
			p.a.Leave(upstream("1"))
			p.pullBoth()
			p.b.ApplyPullResponse(sent, old)
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair()
			is.NoErr(p.a.Announce(upstream("1")))
			p.pullBoth()
			is.Equal(len(p.b.Upstreams("redeem")), 1)
			leave(p)
			is.Equal(len(p.a.Upstreams("redeem")), 0)
			is.Equal(len(p.b.Upstreams("redeem")), 0)
		})
	}
}

// A restarted upstream or entry host has a new incarnation and must not be mistaken
// for the one that left.
func TestRestartedUpstreamOrEntryHostIsListedAgain(t *testing.T) {
	is := is.New(t)
	p := newPair()
	is.NoErr(p.a.Announce(upstream("1")))
	p.pullBoth()
	p.a.Leave(upstream("1"))
	p.pullBoth()
	is.NoErr(p.a.Announce(upstream("2")))
	p.pullBoth()
	is.Equal(len(p.b.Upstreams("redeem")), 1)

	restarted := registrar.New(registrar.Options{
		Self: &wire.Member{
			Name:        "a",
			Incarnation: "a-2",
		},
		Clock: p.clock,
	})
	p.a = restarted
	p.advance(time.Millisecond)
	p.pullBoth()
	is.Equal(len(p.b.Upstreams("redeem")), 0)
	is.NoErr(p.a.Announce(upstream("2")))
	p.pullBoth()
	is.Equal(len(p.b.Upstreams("redeem")), 1)
}
