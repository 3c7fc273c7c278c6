package balancer

import "time"

const (
	// binTime is the length of one bin of the history.
	binTime = 250 * time.Millisecond
	// binsKept bounds the history.
	binsKept = 1024
	// shortBins are the whole bins over which the onset of a peak is seen, and
	// longBins those over which a steady rate is taken.
	shortBins = 2
	longBins  = 4
	// onsetShare and endShare are the parts of the highest rate at which a peak
	// begins and ends; the gap keeps noise from ending it.
	onsetShare = 0.5
	endShare   = 0.25
	// clipFactor bounds what one arrival counts for, in means: a job of unusual
	// size is spread over its own run time and asks for no more hosts at once.
	clipFactor = 8.0
	// meanWeight is the weight of a new arrival in the mean.
	meanWeight = 0.02
	// maxDecay is the part of the highest rate that is kept with each peak, so
	// that it follows a load that falls.
	maxDecay = 0.8
)

// Demand is the history of the work that came for one pool, in hosts: work of
// 1 is what keeps one host busy for a second. The zero value is an empty one.
// It is not safe for concurrent use.
type Demand struct {
	// Least is the rate below which nothing counts as a peak.
	Least float64

	begun time.Time
	// bins[i%binsKept] is the work of bin i.
	bins [binsKept]float64
	last int
	// mean is the moving mean of one arrival.
	mean float64
	// highest is the highest rate of the last peaks.
	highest float64
	peaks   int
	inPeak  bool
	// onset and end are of the newest peak; former is the onset before.
	onset, end, former time.Time
}

// Add notes work that came at the given time.
func (d *Demand) Add(now time.Time, work float64) {
	d.advance(now)
	if d.mean == 0 {
		d.mean = work
	}
	work = min(work, clipFactor*d.mean)
	d.mean += meanWeight * (work - d.mean)
	d.bins[d.last%binsKept] += work
}

// advance opens the bins up to now.
func (d *Demand) advance(now time.Time) {
	if d.begun.IsZero() {
		d.begun = now
	}
	bin := int(now.Sub(d.begun) / binTime)
	for d.last < bin {
		d.notePeak()
		d.last++
		d.bins[d.last%binsKept] = 0
	}
}

// rate returns the mean rate of the last n whole bins.
func (d *Demand) rate(n int) float64 {
	sum := 0.0
	for i := max(0, d.last-n); i < d.last; i++ {
		sum += d.bins[i%binsKept]
	}
	return sum / (float64(n) * binTime.Seconds())
}

// Rate returns the present rate. It rises quickly and falls slowly, since too
// few hosts cost more than too many.
func (d *Demand) Rate(now time.Time) float64 {
	d.advance(now)
	return max(d.rate(shortBins), d.rate(longBins))
}

// notePeak follows the peaks with each bin that is whole.
func (d *Demand) notePeak() {
	rate := max(d.rate(shortBins), d.rate(longBins))
	at := d.begun.Add(time.Duration(d.last) * binTime)
	switch {
	case !d.inPeak && rate >= d.Least && rate > onsetShare*d.highest:
		d.inPeak = true
		d.peaks++
		d.former, d.onset = d.onset, at
		d.highest = max(rate, maxDecay*d.highest)
	case d.inPeak && rate < endShare*d.highest:
		d.inPeak = false
		d.end = at
	case d.inPeak:
		d.highest = max(d.highest, rate)
	}
}

// Outlook is what the history says of the next peak.
type Outlook struct {
	// Known is false before the first peak has ended.
	Known bool
	// Next is when the next peak is expected.
	Next time.Time
	// Rate is the highest rate to expect.
	Rate float64
}

// Onset returns when the newest peak began; false when there was none.
func (d *Demand) Onset() (time.Time, bool) { return d.onset, d.peaks > 0 }

// Outlook returns what to expect. Peaks go from pool to pool by turns; the
// period is the time in which all pools had theirs, 0 when it is not known.
func (d *Demand) Outlook(now time.Time, period time.Duration) Outlook {
	d.advance(now)
	if d.inPeak || d.peaks == 0 {
		return Outlook{}
	}
	if d.peaks > 1 {
		period = d.onset.Sub(d.former)
	}
	if period <= 0 {
		return Outlook{}
	}
	return Outlook{
		Known: true,
		Next:  d.onset.Add(period),
		Rate:  d.highest,
	}
}

// Interval returns the mean time from one pool's peak to the next pool's, 0
// when fewer than two pools had a peak.
func Interval(onsets []time.Time) time.Duration {
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
