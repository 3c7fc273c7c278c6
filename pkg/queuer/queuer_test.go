package queuer_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/pkg/queuer"
)

// TestMain fixes the seed of rapid, so that every run checks the same sessions.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "20"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	m.Run()
}

// Accounts that always wait must be served by weight to within one item: an
// account that is further ahead takes another one's share. Others come, go,
// are held and have items removed in the meantime.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queuer.New[string](queuer.Options{})
		weights := rapid.SliceOfN(rapid.Int64Range(1, 50), 2, 6).Draw(t, "weights")
		push := func(i int) {
			q.Push(queuer.Entry[string]{
				Account: fmt.Sprint(i),
				Weight:  weights[i],
				Value:   fmt.Sprint(i),
			})
		}
		served := make(map[string]int64)
		for i := range weights {
			push(i)
			push(i)
		}
		for range rapid.IntRange(1, 300).Draw(t, "pops") {
			disturb(t, q, weights[0])
			got, ok := q.Pop()
			if !ok {
				t.Fatal("nothing was served although accounts wait")
			}
			if got.Value == "visitor" {
				continue
			}
			served[got.Value]++
			var i int
			fmt.Sscan(got.Value, &i)
			push(i)
			for a, wa := range weights {
				for b, wb := range weights {
					ahead := served[fmt.Sprint(a)]*wb - served[fmt.Sprint(b)]*wa
					if ahead > wb {
						t.Fatalf("account %d (weight %d) is ahead of %d (weight %d): %v", a, wa, b, wb, served)
					}
				}
			}
		}
	})
}

func disturb(t *rapid.T, q *queuer.Queue[string], weight int64) {
	name := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "visitor")
	switch rapid.IntRange(0, 5).Draw(t, "disturbance") {
	case 0:
		q.Push(queuer.Entry[string]{
			Account: name,
			Weight:  3,
			Value:   "visitor",
		})
	case 1:
		it, _ := q.Push(queuer.Entry[string]{
			Account: "0",
			Weight:  weight,
			Value:   "removed",
		})
		q.Remove(it)
	case 2:
		q.Hold(name)
	case 3:
		q.Unhold(name)
	}
}

// An account must gain nothing by idling first, by having been held, or by
// emptying its place before each of its items.
func TestReturningAccount(t *testing.T) {
	tests := map[string]struct {
		away int
		held bool
	}{
		"after a long idle time": {away: 100},
		"one item at a time":     {},
		"after a hold": {
			away: 100,
			held: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := queuer.New[string](queuer.Options{})
			for range 200 {
				q.Push(queuer.Entry[string]{
					Account: "steady",
					Weight:  4,
				})
			}
			if test.held {
				for range 50 {
					q.Push(queuer.Entry[string]{
						Account: "returning",
					})
				}
				q.Hold("returning")
			}
			for range test.away {
				q.Pop()
			}
			q.Unhold("returning")
			returning := 0
			for range 50 {
				if q.AccountLen("returning") == 0 {
					q.Push(queuer.Entry[string]{
						Account: "returning",
					})
				}
				if got, _ := q.Pop(); got.Account == "returning" {
					returning++
				}
			}
			is.True(returning >= 9 && returning <= 11)
		})
	}
}

// A bound that is not kept lets one account fill the memory of an entry host;
// a wrong expiry keeps callers waiting who have given up.
func TestBoundsAndExpiry(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	q := queuer.New[int](queuer.Options{
		MaxAccount: 2,
		MaxTotal:   3,
	})
	push := func(account string, value int) (*queuer.Item[int], queuer.Outcome) {
		return q.Push(queuer.Entry[int]{
			Account:  account,
			Deadline: start.Add(time.Duration(value) * time.Second),
			Value:    value,
		})
	}
	first, outcome := push("a", 3)
	is.Equal(outcome, queuer.Queued)
	push("a", 1)
	_, outcome = push("a", 9)
	is.Equal(outcome, queuer.AccountFull)
	push("b", 2)
	_, outcome = push("c", 9)
	is.Equal(outcome, queuer.Full)

	q.Hold("b")
	expired := q.Expire(start.Add(2 * time.Second))
	is.Equal(len(expired), 2)
	is.Equal([]int{expired[0].Value, expired[1].Value}, []int{1, 2})
	is.True(q.Remove(first))
	is.True(!q.Remove(first))
	_, ok := q.Pop()
	is.True(!ok)
	is.Equal(q.Len(), 0)
}

// An estimate that is too low keeps requests waiting that can't be served in
// time; one that is too high refuses requests that could be.
func TestAhead(t *testing.T) {
	is := is.New(t)
	q := queuer.New[int](queuer.Options{})
	is.Equal(q.Ahead("a", 3), 0)
	for i := range 12 {
		q.Push(queuer.Entry[int]{
			Account: []string{"a", "b", "b"}[i%3],
			Weight:  []int64{3, 1, 1}[i%3],
		})
	}
	is.Equal(q.Ahead("a", 3), 4+1)
	is.Equal(q.Ahead("b", 1), 8+4)
	is.Equal(q.Ahead("c", 2), 2)
	for range 12 {
		q.Pop()
	}
	is.Equal(q.Ahead("a", 3), 0)
}

// The cost of a pop must not grow with the number of items or held accounts.
func BenchmarkPushPop(b *testing.B) {
	for _, accounts := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			q := queuer.New[int](queuer.Options{})
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint(i)
				q.Push(queuer.Entry[int]{
					Account: names[i],
					Weight:  int64(i%7 + 1),
				})
			}
			for i := 0; b.Loop(); i++ {
				got, _ := q.Pop()
				q.Push(queuer.Entry[int]{
					Account: got.Account,
					Weight:  int64(i%7 + 1),
				})
			}
		})
	}
}
