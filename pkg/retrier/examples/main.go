// Command examples shows that only idempotent requests are retried if they may
// have run.
package main

import (
	"fmt"
	"time"

	"github.com/heathermux/heathermux/pkg/retrier"
)

func main() {
	now := time.Now()
	policy := retrier.Policy{
		Budget: retrier.NewBudget(now, retrier.Options{}),
	}
	for _, idempotent := range []bool{false, true} {
		decision := policy.Decide(now, retrier.Attempt{
			Result:     retrier.MayHaveRun,
			Idempotent: idempotent,
			Number:     1,
			Deadline:   now.Add(time.Second),
			Estimate:   20 * time.Millisecond,
		})
		fmt.Printf("idempotent %t: retry %t\n", idempotent, decision == retrier.Retry)
	}
}
