package estimator

import "math"

const (
	// gain and deviationGain are the weights of a new sample in the moving mean and
	// the moving mean deviation. deviations is the number of mean deviations that
	// the upper bound lies above the mean. The values are those of the
	// retransmission timer in V. Jacobson, "Congestion avoidance and control"
	// (SIGCOMM 1988).
	gain          = 1.0 / 8
	deviationGain = 1.0 / 4
	deviations    = 4
)

// tracker keeps the exponential moving averages of a quantity and of its absolute
// deviation from the mean. The deviation starts at half the first value.
type tracker struct {
	initialised     bool
	mean, deviation float64
}

func (t *tracker) add(v float64) {
	if !t.initialised {
		t.initialised = true
		t.mean = v
		t.deviation = v / 2
		return
	}
	t.deviation += deviationGain * (math.Abs(v-t.mean) - t.deviation)
	t.mean += gain * (v - t.mean)
}

// upperBound returns a value that most samples don't exceed, rounded up.
func (t *tracker) upperBound() int64 { return int64(math.Ceil(t.mean + deviations*t.deviation)) }
