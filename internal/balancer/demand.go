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

// Outlook returns what to expect. Peaks go from pool to pool by turns: without
// a rhythm of its own yet, a pool is expected to peak again when the given
// number of pools had a turn as long as its own.
func (d *Demand) Outlook(now time.Time, pools int) Outlook {
	d.advance(now)
	if d.inPeak || d.peaks == 0 {
		return Outlook{}
	}
	period := d.end.Sub(d.onset) * time.Duration(max(pools, 1))
	if d.peaks > 1 {
		period = d.onset.Sub(d.former)
	}
	return Outlook{
		Known: true,
		Next:  d.onset.Add(period),
		Rate:  d.highest,
	}
}
