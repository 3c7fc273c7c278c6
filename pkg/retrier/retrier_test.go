package retrier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/pkg/retrier"
)

// Guards against retries of requests that may have run, which would break
// at-most-once execution, and against retries after the deadline, which would
// waste capacity.
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
			"may have run": func(a *retrier.Attempt) { a.Result = retrier.MayHaveRun },
			"two upstreams have broken the connection": func(a *retrier.Attempt) { a.Interrupted = retrier.MaxInterrupted },

			"last attempt":            func(a *retrier.Attempt) { a.Number = retrier.DefaultMaxAttempts },
			"no time for a retry":     func(a *retrier.Attempt) { a.Estimate = time.Second },
			"the deadline has passed": func(a *retrier.Attempt) { a.Deadline = now },
			"result that is not set":  func(a *retrier.Attempt) { a.Result = 0 },
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

// Guards against retries that multiply the load of a failing pool and so keep it
// from recovering. Each case simulates a minute with 1,000 requests per second,
// in which the given part of the attempts fails.
func TestAmplification(t *testing.T) {
	for _, failureRate := range []float64{0.001, 0.1, 0.3333, 0.9, 1} {
		t.Run(fmt.Sprint(failureRate), func(t *testing.T) {
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
				for number := 1; ; number++ {
					attempts++
					a := retrier.Attempt{
						Result:     retrier.Answered,
						Idempotent: true,
						Number:     number,
						Deadline:   now.Add(time.Second),
					}
					if rng.Float64() < failureRate {
						a.Result = retrier.MayHaveRun
					}
					if p.Decide(now, a) != retrier.Retry {
						break
					}
				}
			}
			amplification := float64(attempts) / requests
			t.Logf("attempts per request: %.4f", amplification)
			is.True(amplification <= 1.1)
		})
	}
}
