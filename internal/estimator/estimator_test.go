package estimator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/estimator"
)

// Guards against estimates that stay at the declared size although tasks of the
// kind use far less or far more, and against estimates from too few samples.
func TestLearnedReplacesDeclared(t *testing.T) {
	tests := map[string]struct {
		samples  int
		peak     int64
		from, to int64
	}{
		"no samples": {
			from: 8000,
			to:   8000,
		},
		"too few samples": {
			samples: estimator.MinSamples - 1,
			peak:    1000,
			from:    8000,
			to:      8000,
		},
		"declared too large": {
			samples: 40,
			peak:    1000,
			from:    1000,
			to:      1100,
		},
		"declared too small": {
			samples: 40,
			peak:    30000,
			from:    30000,
			to:      33000,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table estimator.Table
			key := estimator.Key{
				Team: "markets",
			}
			for range test.samples {
				table.Learn(key, estimator.Sample{
					Peak: controller.Amount{
						MilliCores: test.peak,
					},
					Run: time.Second,
				})
			}
			got := table.Estimate(key, controller.Amount{
				MilliCores: 8000,
			}, time.Minute).Size.MilliCores
			is.True(got >= test.from && got <= test.to)
		})
	}
}
