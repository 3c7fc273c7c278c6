package retrier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/pkg/retrier"
)

// A retry of a request that may have run, or after the deadline, breaks
// at-most-once or wastes capacity.
func TestDecide(t *testing.T) {
	now := time.Unix(0, 0)
	base := retrier.Attempt{
		Result:   retrier.NotRun,
		Number:   1,
		Deadline: now.Add(time.Second),
		Estimate: 100 * time.Millisecond,
	}
	tests := map[retrier.Decision]map[string]func(a *retrier.Attempt){
		retrier.Done: {
			"answered": func(a *retrier.Attempt) { a.Result = retrier.Answered },
		},
		retrier.Retry: {
			"not run":                  func(*retrier.Attempt) {},
			"may have run, idempotent": func(a *retrier.Attempt) { a.Result, a.Idempotent = retrier.MayHaveRun, true },
		},
		retrier.GiveUp: {
			"may have run":              func(a *retrier.Attempt) { a.Result = retrier.MayHaveRun },
			"last attempt":              func(a *retrier.Attempt) { a.Number = retrier.DefaultAttempts },
			"no time for another":       func(a *retrier.Attempt) { a.Estimate = time.Second },
			"the deadline has passed":   func(a *retrier.Attempt) { a.Deadline = now },
			"an outcome that is unsaid": func(a *retrier.Attempt) { a.Result = 0 },
		},
	}
	for want, changes := range tests {
		for name, change := range changes {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				a := base
				change(&a)
				p := retrier.Policy{
					Budget: retrier.NewBudget(now, retrier.Options{}),
				}
				is.Equal(p.Decide(now, a), want)
			})
		}
	}
}

// Retries that multiply the load of a failing pool keep it from recovering.
// Each session is a minute of 1,000 requests a second, of which the given part
// of attempts fails.
func TestAmplification(t *testing.T) {
	for _, failing := range []float64{0.001, 0.1, 0.3333, 0.9, 1} {
		t.Run(fmt.Sprint(failing), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(7, 11))
			now := time.Unix(0, 0)
			p := retrier.Policy{
				Budget: retrier.NewBudget(now, retrier.Options{}),
			}
			const requests = 60_000
			attempts := 0
			for range requests {
				now = now.Add(time.Millisecond)
				for n := 1; ; n++ {
					attempts++
					a := retrier.Attempt{
						Result:     retrier.Answered,
						Idempotent: true,
						Number:     n,
						Deadline:   now.Add(time.Second),
					}
					if rng.Float64() < failing {
						a.Result = retrier.MayHaveRun
					}
					if p.Decide(now, a) != retrier.Retry {
						break
					}
				}
			}
			amplification := float64(attempts) / requests
			t.Logf("amplification %.4f", amplification)
			is.True(amplification <= 1.1)
		})
	}
}
