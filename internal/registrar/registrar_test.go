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

// pair is two entry hosts that share a fake clock.
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

// sync lets each host pull from the other one.
func (p *pair) sync() {
	p.b.Pulled(p.clock.Now(), p.a.ServePull(p.b.PullRequest("a")))
	p.a.Pulled(p.clock.Now(), p.b.ServePull(p.a.PullRequest("b")))
}

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

// leaving-upstream: whatever happens between the entry hosts, two seconds
// after an upstream has left or stopped renewing nobody may choose it.
func TestDepartureBindsWithinTwoSeconds(t *testing.T) {
	tests := map[string]func(p *pair){
		"leaves through its origin": func(p *pair) {
			p.a.Leave(upstream("1"))
			p.sync()
		},
		"leaves through the other host while its origin still holds it": func(p *pair) {
			p.b.Leave(upstream("1"))
			p.sync()
		},
		"leaves during a silent partition": func(p *pair) {
			p.a.Leave(upstream("1"))
			p.advance(2 * time.Second)
		},
		"stops renewing": func(p *pair) {
			p.advance(registrar.TTL)
			p.sync()
		},
		"stops renewing during a silent partition": func(p *pair) {
			p.advance(2 * time.Second)
		},
		"a late renewal after the departure": func(p *pair) {
			p.b.Leave(upstream("1"))
			p.sync()
			if err := p.a.Announce(upstream("1")); !errors.Is(err, registrar.ErrLeft) {
				panic("a renewal after the departure was accepted")
			}
			p.sync()
		},
		"an old pull answer after the expiry": func(p *pair) {
			p.advance(registrar.TTL - time.Millisecond)
			sent := p.clock.Now()
			old := p.a.ServePull(&wire.PullRequest{})
			p.advance(time.Millisecond)
			p.sync()
			p.b.Pulled(sent, old)
		},
		"an old pull answer after the departure": func(p *pair) {
			sent := p.clock.Now()
			old := p.a.ServePull(&wire.PullRequest{})
			p.advance(time.Millisecond)
			p.a.Leave(upstream("1"))
			p.sync()
			p.b.Pulled(sent, old)
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair()
			is.NoErr(p.a.Announce(upstream("1")))
			p.sync()
			is.Equal(len(p.b.Upstreams("redeem")), 1)
			leave(p)
			is.Equal(len(p.a.Upstreams("redeem")), 0)
			is.Equal(len(p.b.Upstreams("redeem")), 0)
		})
	}
}

// A restarted upstream or entry host must not be taken for the one that left.
func TestReturns(t *testing.T) {
	is := is.New(t)
	p := newPair()
	is.NoErr(p.a.Announce(upstream("1")))
	p.sync()
	p.a.Leave(upstream("1"))
	p.sync()
	is.NoErr(p.a.Announce(upstream("2")))
	p.sync()
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
	p.sync()
	is.Equal(len(p.b.Upstreams("redeem")), 0)
	is.NoErr(p.a.Announce(upstream("2")))
	p.sync()
	is.Equal(len(p.b.Upstreams("redeem")), 1)
}
