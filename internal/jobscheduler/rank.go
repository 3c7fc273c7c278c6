package jobscheduler

import (
	"cmp"
	"slices"
	"time"
)

// waiting returns the steps of a pool that have tasks to start, most urgent first.
func (s *Scheduler) waiting(p *pool, workers int) []*step {
	var list []*step
	for _, j := range p.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.ready && len(st.pending) > 0 {
					list = append(list, st)
				}
			}
		}
	}
	crowded := s.crowded(list, workers)
	ranks := make(map[*step]rank, len(list))
	for _, st := range list {
		ranks[st] = s.rank(st, crowded)
	}
	slices.SortFunc(list, func(a, b *step) int { return ranks[a].compare(ranks[b]) })
	return list
}

// rank orders steps for starting.
type rank struct {
	class    int
	priority int32
	// slack is how long the step may wait, or the work left of one that is late.
	slack time.Duration
	id    string
	step  int32
}

// The classes of a rank, most urgent first: lasting tasks serve their users all
// the time; a job that has begun is finished before another one begins; what is
// late already gives way to what can still be in time; what is too late to earn
// anything comes last.
const (
	classLasting = iota
	classBegun
	classInTime
	classLate
	classTooLate
)

const (
	// lateFactor is how many times its objective a job may take to earn
	// anything.
	lateFactor = 3
	// crowdedTime is the time that the waiting work would keep all hosts of a
	// pool busy from which on the pool is crowded.
	crowdedTime = 400 * time.Millisecond
)

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.priority, o.priority),
		cmp.Compare(r.slack, o.slack), cmp.Compare(r.id, o.id), cmp.Compare(r.step, o.step))
}

// rank places a step among those that wait. In a crowded pool not all jobs can
// be in time; the one with the least slack first would make nearly all of them
// late, so there the smaller jobs come first.
func (s *Scheduler) rank(st *step, crowded bool) rank {
	o := st.occurrence
	r := rank{
		class:    classInTime,
		priority: s.queues[o.job.record.Spec.GetQueue()].GetPriority(),
		id:       o.job.id,
		step:     st.number,
	}
	left := o.job.tail[st.number]
	r.slack = o.objective.Sub(s.wall) - left
	switch {
	case st.spec.GetLasting():
		r.class = classLasting
	case r.slack < 0:
		r.class = classLate
		r.slack += (lateFactor - 1) * o.objective.Sub(o.due)
		if r.slack < 0 {
			r.class, r.slack = classTooLate, left
		}
	case o.begun:
		r.class = classBegun
	case crowded:
		r.slack = time.Duration(o.job.size * float64(time.Second))
	}
	return r
}

// crowded reports whether the waiting work of a pool exceeds what its hosts can
// do soon.
func (s *Scheduler) crowded(list []*step, workers int) bool {
	waiting := 0.0
	for _, st := range list {
		if !st.spec.GetLasting() {
			waiting += st.share * float64(len(st.pending)) * time.Duration(st.spec.GetEstimateNanos()).Seconds()
		}
	}
	return waiting > crowdedTime.Seconds()*float64(workers)
}
