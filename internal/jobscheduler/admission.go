package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/sharer"
)

const (
	// startRateBins and startRateBinWidth set the window, 2 s, of a pool's start rate.
	startRateBins     = 8
	startRateBinWidth = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that a refused caller is told.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// startRate measures the work that a pool has started in the last startRateBins
// bins, in host-seconds. The zero value has no work.
type startRate struct {
	bins    [startRateBins]float64
	lastBin int64
}

func (p *startRate) advance(now time.Time) {
	bin := now.UnixNano() / int64(startRateBinWidth)
	for n := 0; p.lastBin < bin && n < startRateBins; n++ {
		p.lastBin++
		p.bins[p.lastBin%startRateBins] = 0
	}
	p.lastBin = bin
}

func (p *startRate) add(now time.Time, work float64) {
	p.advance(now)
	p.bins[p.lastBin%startRateBins] += work
}

// rate returns the average over the window in host-seconds per second.
func (p *startRate) rate(now time.Time) float64 {
	p.advance(now)
	sum := 0.0
	for _, work := range p.bins {
		sum += work
	}
	return sum / (startRateBins * startRateBinWidth.Seconds())
}

// Refuse reports whether a new job would certainly earn no credit, and after what
// delay its caller should retry. It protects against a load far beyond what a
// pool can do for longer than its jobs can wait: a job accepted then only delays
// those that can still be in time. A job is refused if the work ahead of it takes
// longer than its slack, and all waiting work takes longer than
// creditTargetFactor times its target. The work ahead is that of started jobs, and
// of jobs in time that are no larger. Both count the work of the job's account alone,
// and the account's share of what the pool starts, so that the flood of one account
// refuses no job of another.
func (s *Scheduler) Refuse(q *jobwire.Queue, account string, spec *jobwire.Job) (time.Duration, bool) {
	p := s.pool(q.GetPool())
	rate := p.startRate.rate(s.now)
	if rate <= 0 || s.now.Sub(s.termStart) < startRateBins*startRateBinWidth || spec.GetRepeatCount() > 0 {
		return 0, false
	}
	for _, st := range spec.GetSteps() {
		if st.GetLasting() {
			return 0, false
		}
	}
	_, criticalPath := criticalPaths(spec.GetSteps(), s.runTimesOf(q.GetName()))
	target := targetTime(jobkeeper.QueueTerms(q), criticalPath)
	longest := creditTargetFactor * target
	if s.backlogOf(p).total <= rate*longest.Seconds() {
		return 0, false
	}
	work := s.waitingWork(p, account, s.jobHostSeconds(p, q.GetName(), spec))
	// startable returns how much of the account's work the pool starts within d.
	startable := func(d time.Duration) float64 {
		return sharer.Allot(rate*max(d, 0).Seconds(), work.claims)[account]
	}
	all := work.claims[account].Waiting
	if work.ahead <= startable(target-criticalPath) || all <= startable(longest) {
		return 0, false
	}
	wait := time.Duration(all/startable(longest)*float64(longest)) - longest
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	s.counters.Refused++
	s.logRefusal(p, account, work, startable(longest), wait)
	return wait, true
}

// refusalsLogInterval is the minimum time between two log lines on refusals of a pool.
const refusalsLogInterval = 500 * time.Millisecond

// logRefusal logs the figures behind a refusal.
func (s *Scheduler) logRefusal(p *pool, account string, work waitingWork, startable float64, wait time.Duration) {
	if s.now.Sub(p.refusalLoggedAt) < refusalsLogInterval {
		return
	}
	p.refusalLoggedAt = s.now
	s.logger.Info("scheduler: job refused; the waiting work of its account takes too long", "pool", p.name, "account", account,
		"weight", work.claims[account].Weight, "waiting", work.claims[account].Waiting, "ahead", work.ahead, "startable", startable,
		"accounts", len(work.claims), "retry-after", wait)
}

// waitingWork is the waiting batch work of a pool in host-seconds, of jobs that are not too
// late.
type waitingWork struct {
	// claims holds what waits, by account.
	claims map[string]sharer.Claim
	// ahead is the work of one account's started jobs, and of its jobs in time that are no
	// larger than a certain size.
	ahead float64
}

// waitingStep is what counts of a waiting step.
type waitingStep struct {
	account string
	class   int
	// work is that of the waiting tasks, jobSize that of the whole job, in host-seconds.
	work, jobSize float64
}

// backlogValidity is how long the waiting steps of a pool are taken from the last look at
// them. At a peak jobs arrive faster than that, and each look takes the leader's time.
const backlogValidity = 20 * time.Millisecond

// backlog is the waiting batch work of a pool at a time.
type backlog struct {
	at    time.Time
	steps []waitingStep
	// total is the sum of the work of the steps.
	total float64
}

// backlogOf returns the waiting work of a pool, of jobs that are not too late.
func (s *Scheduler) backlogOf(p *pool) *backlog {
	b := &p.backlog
	if !b.at.IsZero() && s.now.Sub(b.at) < backlogValidity {
		return b
	}
	b.at, b.steps, b.total = s.now, b.steps[:0], 0
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
				w := waitingStep{
					account: st.account(),
					class:   r.class,
					work:    st.waitingHosts() * st.runTime.Seconds(),
					jobSize: j.workHostSeconds,
				}
				b.steps = append(b.steps, w)
				b.total += w.work
			}
		}
	}
	return b
}

// waitingWork returns the waiting work of a pool. Its figure ahead is that of an account,
// for a job of a size in host-seconds.
func (s *Scheduler) waitingWork(p *pool, account string, size float64) waitingWork {
	work := waitingWork{
		claims: map[string]sharer.Claim{
			account: {},
		},
	}
	for _, w := range s.backlogOf(p).steps {
		c := work.claims[w.account]
		c.Waiting += w.work
		work.claims[w.account] = c
		if w.account == account && (w.class == classStarted || (w.class == classInTime && w.jobSize <= size)) {
			work.ahead += w.work
		}
	}
	s.addWeights(work.claims)
	return work
}

// addWeights adds the configured weights to claims.
func (s *Scheduler) addWeights(claims map[string]sharer.Claim) {
	for _, a := range s.state.Configuration.GetAccounts() {
		if c, ok := claims[a.GetName()]; ok {
			c.Weight = a.GetWeight()
			claims[a.GetName()] = c
		}
	}
}
