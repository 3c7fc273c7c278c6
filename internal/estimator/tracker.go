package estimator

import "math"

const (
	// gain and spreadGain weigh the newest sample, and spreads is the number
	// of mean deviations above the mean that an estimate covers. The values
	// are those of the retransmission timer in V. Jacobson, "Congestion
	// avoidance and control" (SIGCOMM 1988).
	gain       = 1.0 / 8
	spreadGain = 1.0 / 4
	spreads    = 4
)

// tracker follows the mean and the mean deviation of a changing quantity.
type tracker struct {
	started      bool
	mean, spread float64
}

func (t *tracker) add(v float64) {
	if !t.started {
		t.started = true
		t.mean = v
		t.spread = v / 2
		return
	}
	t.spread += spreadGain * (math.Abs(v-t.mean) - t.spread)
	t.mean += gain * (v - t.mean)
}

func (t *tracker) upper() int64 { return int64(math.Ceil(t.mean + spreads*t.spread)) }
