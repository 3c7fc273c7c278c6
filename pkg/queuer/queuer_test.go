package queuer_test

import (
	"errors"
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/pkg/queuer"
)

// TestMain fixes the seed of rapid, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "20"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	m.Run()
}

// Guards against unfair service: accounts that always have items waiting must be
// served in proportion to their weights to within one item. Meanwhile other
// accounts become active and idle, are put on hold and have items removed.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queuer.New[string](queuer.Options{})
		weights := rapid.SliceOfN(rapid.Int64Range(1, 50), 2, 6).Draw(t, "weights")
		served := make(map[string]int64)
		for i := range weights {
			push(q, fmt.Sprint(i), weights[i], 2)
		}
		for range rapid.IntRange(1, 300).Draw(t, "pops") {
			randomOperation(t, q, weights[0])
			got, ok := q.Pop()
			if !ok {
				t.Fatal("Pop returned no item although accounts have items waiting")
			}
			i, err := strconv.Atoi(got.Account)
			if err != nil {
				// An account of randomOperation.
				continue
			}
			served[got.Account]++
			push(q, got.Account, weights[i], 1)
			for a, wa := range weights {
				for b, wb := range weights {
					ahead := served[fmt.Sprint(a)]*wb - served[fmt.Sprint(b)]*wa
					if ahead > wb {
						t.Fatalf("account %d (weight %d) is more than one item ahead of account %d (weight %d); items served: %v", a, wa, b, wb, served)
					}
				}
			}
		}
	})
}

func randomOperation(t *rapid.T, q *queuer.Queue[string], weight int64) {
	name := rapid.SampledFrom([]string{"transient1", "transient2"}).Draw(t, "transient account")
	switch rapid.IntRange(0, 5).Draw(t, "operation") {
	case 0:
		push(q, name, 3, 1)
	case 1:
		item, _ := q.Push(queuer.Entry[string]{
			Account: "0",
			Weight:  weight,
		})
		q.Remove(item)
	case 2:
		q.Hold(name)
	case 3:
		q.Unhold(name)
	}
}

// Guards against accounts that get more than their share after having been idle
// or on hold, or because they push each item only after the previous one left.
func TestReturningAccount(t *testing.T) {
	for name, absence := range map[string]func(q *queuer.Queue[string]){
		"one item at a time": func(*queuer.Queue[string]) {},
		"after an idle time": func(q *queuer.Queue[string]) { serve(q, 100) },
		"after a hold": func(q *queuer.Queue[string]) {
			push(q, "returning", 1, 50)
			q.Hold("returning")
			serve(q, 100)
			q.Unhold("returning")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := queuer.New[string](queuer.Options{})
			push(q, "steady", 4, 200)
			absence(q)
			returning := 0
			for range 50 {
				if q.AccountLen("returning") == 0 {
					push(q, "returning", 1, 1)
				}
				returning += serve(q, 1)
			}
			is.True(returning >= 9 && returning <= 11)
		})
	}
}

func push(q *queuer.Queue[string], account string, weight int64, n int) {
	for range n {
		q.Push(queuer.Entry[string]{
			Account: account,
			Weight:  weight,
		})
	}
}

// serve pops n items and returns how many belong to the account "returning".
func serve(q *queuer.Queue[string], n int) (returning int) {
	for range n {
		if got, _ := q.Pop(); got.Account == "returning" {
			returning++
		}
	}
	return returning
}

// Guards against exceeded limits, with which one account could fill the memory of
// an entry host, and against items that stay queued after their deadline.
func TestBoundsAndExpiry(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	q := queuer.New[int](queuer.Options{
		MaxPerAccount: 2,
		MaxTotal:      3,
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

// Guards against wrong estimates: with a low one, requests wait that can't be
// served in time; with a high one, requests are refused that could be served.
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

// Measures whether the cost of a push and a pop stays low as the number of
// accounts grows.
func BenchmarkPushPop(b *testing.B) {
	for _, accounts := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			q := queuer.New[string](queuer.Options{})
			for i := range accounts {
				push(q, fmt.Sprint(i), int64(i%7+1), 1)
			}
			for i := 0; b.Loop(); i++ {
				got, _ := q.Pop()
				push(q, got.Account, int64(i%7+1), 1)
			}
		})
	}
}
