package balancer

import (
	"math"
	"time"
)

const (
	// binTime is the length of one bin of the history.
	binTime = 250 * time.Millisecond
	// binsKept bounds the history.
	binsKept = 1024
	// recentBins are the bins over which the present rate is taken.
	recentBins = 3
	// onsetFactor is how far above its mean a rate has to be for a peak.
	onsetFactor = 1.6
	// onsetsKept is how many peaks a rhythm is taken from.
	onsetsKept = 3
	// cycleTolerance is the part of a period by which two intervals between
	// peaks may differ and still count as a rhythm.
	cycleTolerance = 0.2
)

// Demand is the history of the work that came for one pool. The zero value is
// an empty one. It is not safe for concurrent use.
type Demand struct {
	begun time.Time
	// bins[i%binsKept] is the work of bin i, in core-seconds.
	bins [binsKept]float64
	last int
	// total is the work since begun.
	total float64
	// peak is true while the rate is above its mean.
	peak bool
	// onsets are the bins in which the last peaks began, at most three.
	onsets []int
}

// Add notes work, in core-seconds, that came at the given time.
func (d *Demand) Add(now time.Time, work float64) {
	d.advance(now)
	d.bins[d.last%binsKept] += work
	d.total += work
}

// advance opens the bins up to now.
func (d *Demand) advance(now time.Time) {
	if d.begun.IsZero() {
		d.begun = now
	}
	bin := int(now.Sub(d.begun) / binTime)
	for d.last < bin {
		d.last++
		d.bins[d.last%binsKept] = 0
		d.notePeak()
	}
}

// Rate returns the work a second of the last bins, in cores.
func (d *Demand) Rate(now time.Time) float64 {
	d.advance(now)
	sum, n := 0.0, 0.0
	// The bin that is filling counts for its part.
	for i := max(0, d.last-recentBins); i <= d.last; i++ {
		sum += d.bins[i%binsKept]
		n++
	}
	partial := float64(now.Sub(d.begun)%binTime) / float64(binTime)
	span := max(1, n-1+partial)
	return sum / (span * binTime.Seconds())
}

func (d *Demand) mean() float64 {
	return d.total / (float64(d.last+1) * binTime.Seconds())
}

// notePeak follows the rhythm of the peaks with each whole bin.
func (d *Demand) notePeak() {
	sum := 0.0
	for i := max(0, d.last-recentBins); i < d.last; i++ {
		sum += d.bins[i%binsKept]
	}
	rate := sum / (recentBins * binTime.Seconds())
	switch {
	case !d.peak && rate > onsetFactor*d.mean():
		d.peak = true
		d.onsets = append(d.onsets, d.last-recentBins+1)
		if len(d.onsets) > onsetsKept {
			d.onsets = d.onsets[1:]
		}
	case d.peak && rate < d.mean()/onsetFactor:
		d.peak = false
	}
}

// Period returns the time between the last two peaks, 0 when no rhythm is known.
func (d *Demand) Period() time.Duration {
	n := len(d.onsets)
	if n < 2 {
		return 0
	}
	last := d.onsets[n-1] - d.onsets[n-2]
	if n > 2 {
		before := d.onsets[n-2] - d.onsets[n-3]
		if math.Abs(float64(last-before)) > cycleTolerance*float64(max(last, before)) {
			return 0
		}
	}
	return time.Duration(last) * binTime
}

// Forecast returns the rate to expect at a later time, in cores: that of one
// period before, where a rhythm is known. Period is the rhythm of the fleet.
func (d *Demand) Forecast(now time.Time, ahead, period time.Duration) float64 {
	d.advance(now)
	if period <= 0 || ahead >= period {
		return 0
	}
	bins := int((period - ahead) / binTime)
	at := d.last - bins
	if at < 0 || bins >= binsKept {
		return 0
	}
	sum := 0.0
	for i := max(0, at); i < min(at+recentBins, d.last); i++ {
		sum += d.bins[i%binsKept]
	}
	return sum / (recentBins * binTime.Seconds())
}
