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

func fleet(near, far int) *source {
	s := &source{
		generation: 1,
	}
	for i := range near + far {
		dc := "dc-1"
		if i >= near {
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

// picks takes n choices and counts them by upstream.
func picks(r *router.Router[router.FreeSlots], n int) (map[string]int, []router.Choice) {
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

// Work that leaves the data centre early costs a round trip; work that does
// not leave when all slots are taken waits without need.
func TestNearestFirst(t *testing.T) {
	is := is.New(t)
	r := newRouter(timer.NewFake(time.Unix(100, 0)), fleet(4, 4))
	count, _ := picks(r, 16)
	for i := range 4 {
		is.True(count[fmt.Sprintf("u-%d", i)] >= 2)
	}
	count, _ = picks(r, 32)
	far := 0
	for i := 4; i < 8; i++ {
		far += count[fmt.Sprintf("u-%d", i)]
	}
	is.True(far >= 14)
	is.Equal(r.Capacity("q"), int64(64))
}

// More requests than connections would wait inside the transport.
func TestConnectionsAreTheLimit(t *testing.T) {
	is := is.New(t)
	r := newRouter(timer.NewFake(time.Unix(100, 0)), fleet(1, 1))
	_, choices := picks(r, 200)
	is.Equal(len(choices), 128)
	choices[0].Release()
	_, ok := r.Pick("q")
	is.True(ok)
}

// A leaving upstream must get no new work, and a request that waits for a
// connection to it must learn of it.
func TestLeavingUpstream(t *testing.T) {
	is := is.New(t)
	s := fleet(2, 0)
	r := newRouter(timer.NewFake(time.Unix(100, 0)), s)
	before, choices := picks(r, 4)
	s.upstreams = s.upstreams[1:]
	s.generation++
	for _, c := range choices {
		is.Equal(r.Live(c), c.Upstream().GetId() == "u-1")
	}
	is.Equal(r.Capacity("q"), int64(8+before["u-0"]))
	count, _ := picks(r, 20)
	is.Equal(count["u-0"], 0)
	is.Equal(count["u-1"], 20)
}

// A bad upstream must be avoided, but never so many that the rest is overrun,
// and a returning one must not get a full load at once.
func TestEjection(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(100, 0))
	r := newRouter(clock, fleet(6, 0))
	fail := func(bad func(id string) bool) {
		for range 200 {
			_, choices := picks(r, 6)
			for _, c := range choices {
				c.Done(!bad(c.Upstream().GetId()))
			}
		}
	}
	fail(func(id string) bool { return id == "u-0" })
	count, choices := picks(r, 40)
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

// A retry on the same host or rack is likely to meet the same fault.
func TestPickOther(t *testing.T) {
	is := is.New(t)
	r := newRouter(timer.NewFake(time.Unix(100, 0)), fleet(4, 2))
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

// Counts that are lost under concurrency would use up the slots for good.
func TestConcurrentPicks(t *testing.T) {
	is := is.New(t)
	r := router.New(router.Config[router.FreeSlots]{
		Clock:  timer.System(),
		Source: fleet(2, 2),
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
	_, choices := picks(r, 1000)
	is.Equal(len(choices), 4*64)
}

// The policies must differ where upstreams differ in size.
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

// A selection is made for each request; it must not allocate.
func BenchmarkPick(b *testing.B) {
	r := router.New(router.Config[router.FreeSlots]{
		Clock:      timer.System(),
		DataCentre: "dc-1",
		Source:     fleet(6, 6),
	})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, _ := r.Pick("q")
			c.Done(true)
		}
	})
}
