package admitter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/admitter"
	"github.com/heathermux/heathermux/pkg/timer"
)

// fixture is an Admitter on a fake clock. Its limits are fields that tests may
// change; all teams have the same allotment.
type fixture struct {
	clock *timer.Fake
	*admitter.Admitter
	rate, concurrency, capacity int64
}

func newFixture(capacity, rate, concurrency int64) *fixture {
	f := &fixture{
		clock:       timer.NewFake(time.Unix(0, 0)),
		rate:        rate,
		concurrency: concurrency,
		capacity:    capacity,
	}
	f.Admitter = admitter.New(admitter.Config{
		Clock:          f.clock,
		Allotment:      func(string) (int64, int64) { return f.rate, f.concurrency },
		Capacity:       func(string) int64 { return f.capacity },
		MaxWaiting:     20,
		MaxTeamWaiting: 15,
	})
	return f
}

func (f *fixture) admit(team string, weight int64, deadline time.Duration) (admitter.Permit, *admitter.Refusal) {
	return f.Admit(context.Background(), admitter.Request{
		Queue:    "q",
		Team:     team,
		Weight:   weight,
		Deadline: f.clock.Now().Add(deadline),
	})
}

// awaitQueued blocks until exactly the given number of requests wait.
func (f *fixture) awaitQueued(n int64) {
	for {
		var queued int64
		for _, d := range f.Demands() {
			queued += d.GetQueued()
		}
		if queued == n {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// A request that can't be served in time must be refused immediately and with the
// right reason: a caller that waits until its deadline has no time left to try
// elsewhere.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		modify      func(f *fixture)
		serviceTime time.Duration
		want        admitter.Refusal
	}{
		"no upstream": {
			modify: func(f *fixture) { f.capacity = 0 },
			want:   refusal(admitter.NoCapacity, time.Second),
		},
		"no allotment": {
			modify: func(f *fixture) { f.concurrency = 0 },
			want:   refusal(admitter.NoAllotment, time.Second),
		},
		"request rate exceeded": {
			modify: func(f *fixture) { f.rate = 4 },
			want:   refusal(admitter.OverRate, 250*time.Millisecond),
		},
		"service time exceeds the deadline": {
			modify:      func(*fixture) {},
			serviceTime: 2 * time.Second,
			want:        refusal(admitter.TooLate, time.Second),
		},
		"wait for capacity exceeds the deadline": {
			modify:      func(f *fixture) { f.capacity = 1 },
			serviceTime: 600 * time.Millisecond,
			want:        refusal(admitter.TooLate, time.Second),
		},
		"wait for the team's concurrency exceeds the deadline": {
			modify:      func(f *fixture) { f.concurrency = 1 },
			serviceTime: 600 * time.Millisecond,
			want:        refusal(admitter.TooLate, time.Second),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(10, 100, 10)
			test.modify(f)
			if test.serviceTime > 0 {
				p, _ := f.admit("a", 1, time.Minute)
				p.Done(test.serviceTime)
			}
			first, got := f.admit("a", 1, time.Minute)
			if got == nil {
				_, got = f.admit("a", 1, time.Second)
				first.Done(0)
			}
			is.True(got != nil)
			is.Equal(*got, test.want)
		})
	}
}

func refusal(r admitter.Reason, retryAfter time.Duration) admitter.Refusal {
	return admitter.Refusal{
		Reason:     r,
		RetryAfter: retryAfter,
	}
}

// Waiting teams must be served in proportion to their weights, and none beyond
// its concurrency limit.
func TestSharesAndConcurrency(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 1000, 2)
	// Team "hold" takes two permits, its concurrency limit; the third permit
	// belongs to no team.
	first, _ := f.admit("hold", 1, time.Hour)
	second, _ := f.admit("hold", 1, time.Hour)
	third, _ := f.admit("", 1, time.Hour)
	type grant struct {
		team   string
		permit admitter.Permit
	}
	grants := make(chan grant, 17)
	admitAsync := func(team string, weight int64) {
		go func() {
			p, refusal := f.admit(team, weight, time.Hour)
			if refusal != nil {
				t.Error(refusal.Reason)
			}
			grants <- grant{
				team:   team,
				permit: p,
			}
		}()
	}
	for i := range int64(8) {
		admitAsync("light", 1)
		admitAsync("heavy", 3)
		f.awaitQueued(2*i + 2)
	}
	admitAsync("hold", 50)
	f.awaitQueued(17)
	third.Done(0)
	count := make(map[string]int)
	for range 8 {
		g := <-grants
		count[g.team]++
		g.permit.Done(0)
	}
	is.Equal(count["hold"], 0)
	is.True(count["heavy"] >= 5)
	first.Done(0)
	second.Done(0)
	for range 9 {
		(<-grants).permit.Done(0)
	}
	f.awaitQueued(0)
}

// A waiting request must end when it can no longer meet its deadline or its
// context is cancelled, and must then no longer count as waiting or running.
func TestWaitingEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1000, 10)
	p, _ := f.admit("a", 1, time.Minute)
	p.Done(100 * time.Millisecond)
	p, _ = f.admit("a", 1, time.Minute)

	refusals := make(chan *admitter.Refusal)
	go func() {
		_, refusal := f.admit("a", 1, time.Second)
		refusals <- refusal
	}()
	f.awaitQueued(1)
	f.clock.Advance(900 * time.Millisecond)
	late := <-refusals
	is.Equal(late.Reason, admitter.TooLate)
	is.True(late.RetryAfter >= time.Second) // a shorter one is not sent, or rounded to 0

	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, refusal := f.Admit(ctx, admitter.Request{
			Queue:    "q",
			Team:     "a",
			Deadline: f.clock.Now().Add(time.Hour),
		})
		refusals <- refusal
	}()
	f.awaitQueued(1)
	cancel()
	is.Equal((<-refusals).Reason, admitter.Cancelled)
	f.awaitQueued(0)
	p.Done(0)
	_, refusal := f.admit("a", 1, time.Minute)
	is.True(refusal == nil)
	is.Equal(f.Demands()[0].GetInFlight(), int64(1))
}

// A waiting request must start when the allotment or the capacity rises, even if
// no other request ends.
func TestWake(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 1000, 1)
	permits := make(chan admitter.Permit)
	for range 3 {
		go func() {
			p, _ := f.admit("a", 1, time.Hour)
			permits <- p
		}()
	}
	<-permits
	f.awaitQueued(2)
	f.concurrency = 10
	f.Wake()
	<-permits
	f.awaitQueued(1)
	f.capacity = 10
	f.Wake()
	<-permits
	is.Equal(f.Demands()[0].GetInFlight(), int64(3))
}

// With an unbounded queue one team could exhaust the memory of an entry host.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1000, 1)
	p, _ := f.admit("a", 1, time.Hour)
	var wg sync.WaitGroup
	for i := range int64(15) {
		wg.Go(func() {
			p, _ := f.admit("a", 1, time.Hour)
			p.Done(0)
		})
		f.awaitQueued(i + 1)
	}
	_, refusal := f.admit("a", 1, time.Hour)
	is.Equal(refusal.Reason, admitter.QueueFull)
	p.Done(0)
	wg.Wait()
}

// A graceful shutdown that returns too early interrupts requests; one that admits
// new requests may never end.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1000, 1)
	is.True(f.Enter())
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	is.True(f.Drain(ctx) != nil)
	is.True(!f.Enter())
	f.Leave()
	is.NoErr(f.Drain(context.Background()))
}

// The leader allots limits by demand, so refused requests must be part of the
// demand.
func TestDemands(t *testing.T) {
	is := is.New(t)
	f := newFixture(10, 20, 3)
	for range 8 {
		f.admit("a", 1, time.Hour)
		if f.concurrency == 3 {
			f.concurrency = 0
		}
	}
	f.clock.Advance(400 * time.Millisecond)
	got := f.Demands()
	is.Equal(len(got), 1)
	is.Equal(got[0].GetRate(), int64(20))
	is.Equal(got[0].GetInFlight(), int64(1))
	is.Equal(got[0].GetHeldRate(), int64(20))
}

// Admit is called for each request. This measures its cost while there is free
// capacity and no request has to wait.
func BenchmarkAdmit(b *testing.B) {
	f := newFixture(1<<20, 1<<40, 1<<20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p, _ := f.admit("a", 1, time.Hour)
			p.Done(time.Millisecond)
		}
	})
}
