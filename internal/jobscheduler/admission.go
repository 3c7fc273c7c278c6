package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// paceBins and paceBin are over how long the pace of a pool is taken.
	paceBins = 8
	paceBin  = 250 * time.Millisecond
	// leastRetry and mostRetry bound what a refused caller is told.
	leastRetry = time.Second
	mostRetry  = 10 * time.Second
)

// pace is the work that a pool has started lately, in host-seconds. The zero
// value has started nothing.
type pace struct {
	bins [paceBins]float64
	last int64
}

func (p *pace) advance(now time.Time) {
	bin := now.UnixNano() / int64(paceBin)
	for n := 0; p.last < bin && n < paceBins; n++ {
		p.last++
		p.bins[p.last%paceBins] = 0
	}
	p.last = bin
}

func (p *pace) add(now time.Time, work float64) {
	p.advance(now)
	p.bins[p.last%paceBins] += work
}

// rate returns the work a second.
func (p *pace) rate(now time.Time) float64 {
	p.advance(now)
	sum := 0.0
	for _, work := range p.bins {
		sum += work
	}
	return sum / (paceBins * paceBin.Seconds())
}

// Refuse reports whether a new job surely earns nothing, and when its caller
// should come back. It answers a load far beyond what a pool does for longer
// than its jobs can wait: what is accepted then only delays what can be done.
// A job is refused if the smaller and the begun jobs before it take longer than
// it may wait to be in time, and all jobs that wait take longer than it may be
// late.
func (s *Scheduler) Refuse(q *jobwire.Queue, spec *jobwire.Job) (time.Duration, bool) {
	p := s.pool(q.GetPool())
	rate := p.pace.rate(s.now)
	if rate <= 0 || s.now.Sub(s.since) < paceBins*paceBin || spec.GetRepeatCount() > 0 {
		return 0, false
	}
	for _, st := range spec.GetSteps() {
		if st.GetLasting() {
			return 0, false
		}
	}
	_, chain := tails(spec.GetSteps())
	objective := time.Duration(q.GetStretch()*float64(chain)) + time.Duration(q.GetTargetNanos())
	ahead, all := s.waitingWork(p, s.workOf(p, spec))
	drain := func(work float64) time.Duration { return time.Duration(work / rate * float64(time.Second)) }
	wait := drain(all) - lateFactor*objective
	if drain(ahead) <= objective-chain || wait <= 0 {
		return 0, false
	}
	return min(max(wait, leastRetry), mostRetry), true
}

// waitingWork returns the work of a pool that waits, in host-seconds: that of
// begun jobs and of those in time that are no larger than size, and that of all
// which are not too late.
func (s *Scheduler) waitingWork(p *pool, size float64) (ahead, all float64) {
	for _, j := range p.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.spec.GetLasting() || len(st.pending) == 0 {
					continue
				}
				r := s.rank(st, false)
				if r.class == classTooLate {
					continue
				}
				work := st.share * float64(len(st.pending)) * time.Duration(st.spec.GetEstimateNanos()).Seconds()
				all += work
				if r.class == classBegun || (r.class == classInTime && j.size <= size) {
					ahead += work
				}
			}
		}
	}
	return ahead, all
}
