package router_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/router"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

type source struct {
	generation uint64
	upstreams  []*wire.Upstream
}

func (s *source) Upstreams(string) []*wire.Upstream { return s.upstreams }
func (s *source) Generation() uint64                { return s.generation }

// newSource returns a source with the given numbers of upstreams in the local and
// in another data centre, two to a rack.
func newSource(local, remote int) *source {
	s := &source{
		generation: 1,
	}
	for i := range local + remote {
		dc := "dc-1"
		if i >= local {
			dc = "dc-2"
		}
		s.upstreams = append(s.upstreams, &wire.Upstream{
			Id:          fmt.Sprintf("u-%d", i),
			Address:     fmt.Sprintf("127.0.0.1:%d", 9000+i),
			DataCentre:  dc,
			Rack:        fmt.Sprintf("r-%d", i/2),
			Slots:       8,
			Connections: 64,
		})
	}
	return s
}

func newRouter(clock timer.Clock, s *source) *router.Router[router.FreeSlots] {
	rng := rand.New(rand.NewPCG(1, 2))
	return router.New(router.Config[router.FreeSlots]{
		Clock:      clock,
		DataCentre: "dc-1",
		Source:     s,
		IntN:       rng.IntN,
	})
}

// pickN calls Pick n times. It returns the choices and their number by upstream.
func pickN(r *router.Router[router.FreeSlots], n int) (map[string]int, []router.Choice) {
	count := make(map[string]int)
	var choices []router.Choice
	for range n {
		if c, ok := r.Pick("q"); ok {
			count[c.Upstream().GetId()]++
			choices = append(choices, c)
		}
	}
	return count, choices
}

// A request sent to another data centre while there are local slots costs a round
// trip; one that stays when all local slots are in use waits needlessly.
func TestNearestFirst(t *testing.T) {
	is := is.New(t)
	r := newRouter(timer.NewFake(time.Unix(100, 0)), newSource(4, 4))
	count, _ := pickN(r, 16)
	for i := range 4 {
		is.True(count[fmt.Sprintf("u-%d", i)] >= 2)
	}
	count, _ = pickN(r, 32)
	remote := 0
	for i := 4; i < 8; i++ {
		remote += count[fmt.Sprintf("u-%d", i)]
	}
	is.True(remote >= 14)
	is.Equal(r.Capacity("q"), int64(64))
}

// Guards against requests that queue in the HTTP transport, because more are sent
// to an upstream than it has connections.
func TestConnectionsAreTheLimit(t *testing.T) {
	is := is.New(t)
	r := newRouter(timer.NewFake(time.Unix(100, 0)), newSource(1, 1))
	_, choices := pickN(r, 200)
	is.Equal(len(choices), 128)
	choices[0].Release()
	_, ok := r.Pick("q")
	is.True(ok)
}

// A removed upstream must get no new requests, and a request that waits for a
// connection to it must be told that it was removed.
func TestLeavingUpstream(t *testing.T) {
	is := is.New(t)
	s := newSource(2, 0)
	r := newRouter(timer.NewFake(time.Unix(100, 0)), s)
	before, choices := pickN(r, 4)
	s.upstreams = s.upstreams[1:]
	s.generation++
	for _, c := range choices {
		is.Equal(r.Live(c), c.Upstream().GetId() == "u-1")
	}
	is.Equal(r.Capacity("q"), int64(8+before["u-0"]))
	count, _ := pickN(r, 20)
	is.Equal(count["u-0"], 0)
	is.Equal(count["u-1"], 20)
}

// A failing upstream must be ejected, but never so many that the remaining ones
// are overloaded, and a returning one must not get its full load at once.
func TestEjection(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(100, 0))
	r := newRouter(clock, newSource(6, 0))
	fail := func(failing func(id string) bool) {
		for range 200 {
			_, choices := pickN(r, 6)
			for _, c := range choices {
				c.Done(!failing(c.Upstream().GetId()))
			}
		}
	}
	fail(func(id string) bool { return id == "u-0" })
	count, choices := pickN(r, 40)
	is.Equal(count["u-0"], 0)
	is.Equal(r.Capacity("q"), int64(40))
	for _, c := range choices {
		c.Release()
	}
	clock.Advance(2 * time.Second)
	is.Equal(r.Capacity("q"), int64(41))
	clock.Advance(4 * time.Second)
	is.Equal(r.Capacity("q"), int64(44))
	clock.Advance(time.Minute)
	fail(func(string) bool { return true })
	is.Equal(r.Capacity("q"), int64(32))
}

// Each ejection in a row doubles its time. An upstream that has served well since must
// be ejected for the first time's duration again, also days later.
func TestEjectionTimeIsResetBySuccess(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(100, 0))
	r := newRouter(clock, newSource(6, 0))
	all := r.Capacity("q")
	serve := func(works bool) {
		for range 10 {
			_, choices := pickN(r, 6*8) // all slots, also those of a slow start
			for _, c := range choices {
				c.Done(works || c.Upstream().GetId() != "u-0")
			}
		}
	}
	ejectedFor := func() time.Duration {
		serve(false)
		for d := time.Duration(0); ; d += 100 * time.Millisecond {
			count, choices := pickN(r, 6*8)
			for _, c := range choices {
				c.Release()
			}
			if count["u-0"] > 0 {
				return d
			}
			clock.Advance(100 * time.Millisecond)
		}
	}
	first := ejectedFor()
	is.Equal(ejectedFor(), 2*first)
	clock.Advance(time.Minute)
	is.Equal(r.Capacity("q"), all)
	serve(true)
	is.Equal(ejectedFor(), first)
}

// A retry on the same upstream or rack is likely to fail for the same reason.
func TestPickOther(t *testing.T) {
	is := is.New(t)
	r := newRouter(timer.NewFake(time.Unix(100, 0)), newSource(4, 2))
	first, _ := r.Pick("q")
	tried := []router.Choice{first}
	racks := map[string]bool{first.Upstream().GetRack(): true}
	for range 2 {
		c, ok := r.PickOther("q", tried)
		is.True(ok)
		is.True(!racks[c.Upstream().GetRack()])
		racks[c.Upstream().GetRack()] = true
		tried = append(tried, c)
	}
	for range 3 {
		c, ok := r.PickOther("q", tried)
		is.True(ok)
		tried = append(tried, c)
	}
	_, ok := r.PickOther("q", tried)
	is.True(!ok)
}

// Guards against updates of the in-flight counters that are lost under
// concurrency: these would occupy slots permanently.
func TestConcurrentPicks(t *testing.T) {
	is := is.New(t)
	r := router.New(router.Config[router.FreeSlots]{
		Clock:  timer.System(),
		Source: newSource(2, 2),
	})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 1000 {
				if c, ok := r.Pick("q"); ok {
					c.Done(i%100 > 0)
				}
			}
		})
	}
	wg.Wait()
	_, choices := pickN(r, 1000)
	is.Equal(len(choices), 4*64)
}

// The policies must make different choices between upstreams of different size.
func TestPolicies(t *testing.T) {
	is := is.New(t)
	small := router.Candidate{
		Slots:       4,
		Outstanding: 1,
	}
	large := router.Candidate{
		Slots:       16,
		Outstanding: 8,
	}
	is.True(router.FreeSlots{}.Better(large, small))
	is.True(router.LeastLoaded{}.Better(small, large))
}

// Pick is called for each request and must not allocate.
func BenchmarkPick(b *testing.B) {
	r := router.New(router.Config[router.FreeSlots]{
		Clock:      timer.System(),
		DataCentre: "dc-1",
		Source:     newSource(6, 6),
	})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, _ := r.Pick("q")
			c.Done(true)
		}
	})
}
