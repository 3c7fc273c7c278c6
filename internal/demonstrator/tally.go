package demonstrator

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally has the results of requests as the callers saw them.
type tally struct {
	mu sync.Mutex
	// Invariant: answered + refused + unknown is the number of finished operations.
	answered, refused, unknown int
	// mismatchedResponses counts responses that belong to another operation.
	mismatchedResponses int
	// resends counts requests that were sent again for the same operation.
	resends int
	latency *hdrhistogram.Histogram
	// notRun lists the operations whose final refusal states "not-run".
	notRun []string
	// refusals counts final refusals by detail.
	refusals map[string]int
	// operations lists all operations with an idempotency key.
	operations []string
}

// Latencies are recorded in microseconds from 1 µs to 60 s with three significant
// digits.
const (
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

func newTally() *tally {
	return &tally{
		latency:  hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits),
		refusals: make(map[string]int),
	}
}

// outcome is the final result of one operation as the caller saw it.
type outcome struct {
	operation string
	keyed     bool
	answered  bool
	// bodyMatches is true if the response belongs to this operation.
	bodyMatches bool
	// run is the member "run" of a refusal.
	run      string
	detail   string
	resends  int
	duration time.Duration
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resends += o.resends
	if o.keyed {
		t.operations = append(t.operations, o.operation)
	}
	if o.answered {
		t.answered++
		if !o.bodyMatches {
			t.mismatchedResponses++
		}
		_ = t.latency.RecordValue(min(o.duration.Microseconds(), maxLatencyMicros))
		return
	}
	t.refusals[fmt.Sprintf("%s: %s", o.run, o.detail)]++
	if o.run == "not-run" {
		t.refused++
		t.notRun = append(t.notRun, o.operation)
		return
	}
	t.unknown++
}
