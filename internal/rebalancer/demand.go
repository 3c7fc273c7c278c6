package rebalancer

import "time"

const (
	// binWidth is the time that one bin of the history covers.
	binWidth = 250 * time.Millisecond
	// historyBins is the length of the ring buffer that holds the history.
	historyBins = 1024
	// shortWindowBins is the number of complete bins in the window that detects the
	// onset of a peak, and longWindowBins in the window for a steady rate.
	shortWindowBins = 2
	longWindowBins  = 4
	// peakStartRatio and peakEndRatio are the fractions of the highest rate at which
	// a peak starts and ends. The hysteresis prevents noise from ending a peak.
	peakStartRatio = 0.5
	peakEndRatio   = 0.25
	// clipFactor limits the work that counts for one arrival to this multiple of
	// the mean: the work of an unusually large job is spread over its run time and
	// needs no more hosts at once.
	clipFactor = 8.0
	// meanSmoothing is the weight of a new arrival in the exponential moving
	// average of the work of one arrival.
	meanSmoothing = 0.02
	// minPeakGap is the time without a peak after which the next one is another. Arrivals of
	// uneven size pause within a peak, and two onsets of one peak would look like a period.
	minPeakGap = 3 * time.Second
	// peakRateDecay is the factor applied to the highest rate at each new peak, so
	// that the rate follows a decreasing load.
	peakRateDecay = 0.8
)

// Demand is the history of the work that arrived for one pool, in host-seconds:
// 1 keeps one host busy for a second, so rates are in hosts. The zero value is an
// empty history. It is not safe for concurrent use.
type Demand struct {
	// MinPeakRate is the minimum rate that counts as a peak, in hosts.
	MinPeakRate float64

	// start is the time of the first use, at which bin 0 begins.
	start time.Time
	// bins is a ring buffer: bins[i%historyBins] is the work of bin i.
	bins [historyBins]float64
	// lastBin is the index of the current, incomplete bin.
	lastBin int
	// meanWork is the moving average of the work of one arrival.
	meanWork float64
	// highestRate is the highest rate of the last peaks, decayed with each peak.
	highestRate float64
	peakCount   int
	inPeak      bool
	// peakEnd is when the last peak ended.
	peakEnd time.Time
	// onset is that of the latest peak; previousOnset is the onset of the peak before.
	onset, previousOnset time.Time
}

// Add records work that arrived at the given time.
func (d *Demand) Add(now time.Time, work float64) {
	d.advance(now)
	if d.meanWork == 0 {
		d.meanWork = work
	}
	work = min(work, clipFactor*d.meanWork)
	d.meanWork += meanSmoothing * (work - d.meanWork)
	d.bins[d.lastBin%historyBins] += work
}

// advance completes the bins before now and starts the current one.
func (d *Demand) advance(now time.Time) {
	if d.start.IsZero() {
		d.start = now
	}
	bin := int(now.Sub(d.start) / binWidth)
	for d.lastBin < bin {
		d.trackPeak()
		d.lastBin++
		d.bins[d.lastBin%historyBins] = 0
	}
}

// meanRate returns the mean rate over the last n complete bins.
func (d *Demand) meanRate(n int) float64 {
	sum := 0.0
	for i := max(0, d.lastBin-n); i < d.lastBin; i++ {
		sum += d.bins[i%historyBins]
	}
	return sum / (float64(n) * binWidth.Seconds())
}

// Rate returns the present rate in hosts, the higher of the means over the short
// and the long window. It rises quickly and falls slowly, since too few hosts
// cost more than too many.
func (d *Demand) Rate(now time.Time) float64 {
	d.advance(now)
	return max(d.meanRate(shortWindowBins), d.meanRate(longWindowBins))
}

// trackPeak detects the start and end of peaks. It is called once per completed
// bin.
func (d *Demand) trackPeak() {
	rate := max(d.meanRate(shortWindowBins), d.meanRate(longWindowBins))
	at := d.start.Add(time.Duration(d.lastBin) * binWidth)
	switch {
	case !d.inPeak && rate >= d.MinPeakRate && rate > peakStartRatio*d.highestRate:
		d.inPeak = true
		if d.peakCount == 0 || at.Sub(d.peakEnd) >= minPeakGap {
			d.peakCount++
			d.previousOnset, d.onset = d.onset, at
		}
		d.highestRate = max(rate, peakRateDecay*d.highestRate)
	case d.inPeak && rate < peakEndRatio*d.highestRate:
		d.inPeak, d.peakEnd = false, at
	case d.inPeak:
		d.highestRate = max(d.highestRate, rate)
	}
}

// Forecast is a forecast of the next peak.
type Forecast struct {
	// Known is false during a peak and while too little is known for a forecast;
	// the other fields are zero then.
	Known bool
	// Next is the expected onset of the next peak.
	Next time.Time
	// Rate is the expected highest rate of the peak, in hosts.
	Rate float64
}

// Onset returns the onset of the latest peak; false when there was none.
func (d *Demand) Onset() (time.Time, bool) { return d.onset, d.peakCount > 0 }

// Forecast returns a forecast of the next peak, one period after the last onset.
// Once the pool has had two peaks, the period is the time between their onsets.
// Before that it is the given one: the time in which the peak visits all pools in
// turn, 0 when unknown.
func (d *Demand) Forecast(now time.Time, period time.Duration) Forecast {
	d.advance(now)
	if d.inPeak || d.peakCount == 0 {
		return Forecast{}
	}
	if d.peakCount > 1 {
		period = d.onset.Sub(d.previousOnset)
	}
	if period <= 0 {
		return Forecast{}
	}
	return Forecast{
		Known: true,
		Next:  d.onset.Add(period),
		Rate:  d.highestRate,
	}
}

// MeanOnsetInterval returns the mean time between the onsets of peaks of different
// pools, given the latest onset of each; 0 for fewer than two.
func MeanOnsetInterval(onsets []time.Time) time.Duration {
	if len(onsets) < 2 {
		return 0
	}
	first, last := onsets[0], onsets[0]
	for _, t := range onsets {
		if t.Before(first) {
			first = t
		}
		if t.After(last) {
			last = t
		}
	}
	return last.Sub(first) / time.Duration(len(onsets)-1)
}
