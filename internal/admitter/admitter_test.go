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

type bench struct {
	clock *timer.Fake
	*admitter.Admitter
	rate, concurrency, capacity int64
}

func newBench(capacity, rate, concurrency int64) *bench {
	b := &bench{
		clock:       timer.NewFake(time.Unix(0, 0)),
		rate:        rate,
		concurrency: concurrency,
		capacity:    capacity,
	}
	b.Admitter = admitter.New(admitter.Config{
		Clock:          b.clock,
		Allotment:      func(string) (int64, int64) { return b.rate, b.concurrency },
		Capacity:       func(string) int64 { return b.capacity },
		MaxWaiting:     20,
		MaxTeamWaiting: 15,
	})
	return b
}

func (b *bench) admit(team string, weight int64, deadline time.Duration) (admitter.Permit, *admitter.Refusal) {
	return b.Admit(context.Background(), admitter.Request{
		Queue:    "q",
		Team:     team,
		Weight:   weight,
		Deadline: b.clock.Now().Add(deadline),
	})
}

// waiting blocks until the given number of requests wait.
func (b *bench) waiting(n int64) {
	for {
		var queued int64
		for _, d := range b.Demands() {
			queued += d.GetQueued()
		}
		if queued == n {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// A request that can't be served must be refused at once and for the right
// reason: a caller that is kept waiting until its deadline can't go elsewhere.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		change  func(b *bench)
		service time.Duration
		want    admitter.Refusal
	}{
		"no upstream": {
			change: func(b *bench) { b.capacity = 0 },
			want:   refusal(admitter.NoCapacity, time.Second),
		},
		"no allotment": {
			change: func(b *bench) { b.concurrency = 0 },
			want:   refusal(admitter.NoAllotment, time.Second),
		},
		"over the rate": {
			change: func(b *bench) { b.rate = 4 },
			want:   refusal(admitter.OverRate, 250*time.Millisecond),
		},
		"longer service than the deadline": {
			change:  func(*bench) {},
			service: 2 * time.Second,
			want:    refusal(admitter.TooLate, time.Second),
		},
		"longer wait than the deadline": {
			change:  func(b *bench) { b.capacity = 1 },
			service: 600 * time.Millisecond,
			want:    refusal(admitter.TooLate, time.Second),
		},
		"longer wait for the team's concurrency": {
			change:  func(b *bench) { b.concurrency = 1 },
			service: 600 * time.Millisecond,
			want:    refusal(admitter.TooLate, time.Second),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(10, 100, 10)
			test.change(b)
			if test.service > 0 {
				p, _ := b.admit("a", 1, time.Minute)
				p.Done(test.service)
			}
			first, got := b.admit("a", 1, time.Minute)
			if got == nil {
				_, got = b.admit("a", 1, time.Second)
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

// Teams that wait must be served by weight, and none above its concurrency.
func TestSharesAndConcurrency(t *testing.T) {
	is := is.New(t)
	b := newBench(3, 1000, 2)
	// Two permits are the concurrency of the first team; the third is open.
	first, _ := b.admit("hold", 1, time.Hour)
	second, _ := b.admit("hold", 1, time.Hour)
	third, _ := b.admit("", 1, time.Hour)
	type grant struct {
		team   string
		permit admitter.Permit
	}
	grants := make(chan grant, 17)
	wait := func(team string, weight int64) {
		go func() {
			p, refusal := b.admit(team, weight, time.Hour)
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
		wait("light", 1)
		wait("heavy", 3)
		b.waiting(2*i + 2)
	}
	wait("hold", 50)
	b.waiting(17)
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
	b.waiting(0)
}

// A caller that waits must be answered when its time is over or it has gone,
// and must leave nothing behind.
func TestWaitingEnds(t *testing.T) {
	is := is.New(t)
	b := newBench(1, 1000, 10)
	p, _ := b.admit("a", 1, time.Minute)
	p.Done(100 * time.Millisecond)
	p, _ = b.admit("a", 1, time.Minute)

	refusals := make(chan *admitter.Refusal)
	go func() {
		_, refusal := b.admit("a", 1, time.Second)
		refusals <- refusal
	}()
	b.waiting(1)
	b.clock.Advance(900 * time.Millisecond)
	is.Equal((<-refusals).Reason, admitter.TooLate)

	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, refusal := b.Admit(ctx, admitter.Request{
			Queue:    "q",
			Team:     "a",
			Deadline: b.clock.Now().Add(time.Hour),
		})
		refusals <- refusal
	}()
	b.waiting(1)
	cancel()
	is.Equal((<-refusals).Reason, admitter.Cancelled)
	b.waiting(0)
	p.Done(0)
	_, refusal := b.admit("a", 1, time.Minute)
	is.True(refusal == nil)
	is.Equal(b.Demands()[0].GetInFlight(), int64(1))
}

// A waiting request must start when the allotment or the capacity rises,
// although no other request ends.
func TestWake(t *testing.T) {
	is := is.New(t)
	b := newBench(2, 1000, 1)
	permits := make(chan admitter.Permit)
	for range 3 {
		go func() {
			p, _ := b.admit("a", 1, time.Hour)
			permits <- p
		}()
	}
	<-permits
	b.waiting(2)
	b.concurrency = 10
	b.Wake()
	<-permits
	b.waiting(1)
	b.capacity = 10
	b.Wake()
	<-permits
	is.Equal(b.Demands()[0].GetInFlight(), int64(3))
}

// A queue without bounds lets one team use up the memory of an entry host.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	b := newBench(1, 1000, 1)
	p, _ := b.admit("a", 1, time.Hour)
	var wg sync.WaitGroup
	for i := range int64(15) {
		wg.Go(func() {
			p, _ := b.admit("a", 1, time.Hour)
			p.Done(0)
		})
		b.waiting(i + 1)
	}
	_, refusal := b.admit("a", 1, time.Hour)
	is.Equal(refusal.Reason, admitter.QueueFull)
	p.Done(0)
	wg.Wait()
}

// A planned stop that ends early interrupts requests; one that admits new work
// never ends.
func TestDrain(t *testing.T) {
	is := is.New(t)
	b := newBench(1, 1000, 1)
	is.True(b.Enter())
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	is.True(b.Drain(ctx) != nil)
	is.True(!b.Enter())
	b.Leave()
	is.NoErr(b.Drain(context.Background()))
}

// The leader allots by demand: a team that was refused must be seen.
func TestDemands(t *testing.T) {
	is := is.New(t)
	b := newBench(10, 20, 3)
	for range 8 {
		b.admit("a", 1, time.Hour)
		if b.concurrency == 3 {
			b.concurrency = 0
		}
	}
	b.clock.Advance(400 * time.Millisecond)
	got := b.Demands()
	is.Equal(len(got), 1)
	is.Equal(got[0].GetRate(), int64(20))
	is.Equal(got[0].GetInFlight(), int64(1))
	is.Equal(got[0].GetHeldRate(), int64(20))
}

// Admission is on the path of every request; waiting must not be its cost when
// there is room.
func BenchmarkAdmit(b *testing.B) {
	bench := newBench(1<<20, 1<<40, 1<<20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p, _ := bench.admit("a", 1, time.Hour)
			p.Done(time.Millisecond)
		}
	})
}
