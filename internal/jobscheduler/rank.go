package jobscheduler

import (
	"cmp"
	"slices"
	"time"
)

// waitingSteps returns the steps of a pool that have tasks to start, by rank.
func (s *Scheduler) waitingSteps(p *pool, workerCount int) []*step {
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
	overloaded := s.overloaded(list, workerCount)
	ranks := make(map[*step]rank, len(list))
	for _, st := range list {
		ranks[st] = s.rank(st, overloaded)
	}
	byRank := func(a, b *step) int { return ranks[a].compare(ranks[b]) }
	slices.SortFunc(list, byRank)
	if overloaded && s.demoteBeyondShare(p, list, ranks, workerCount) {
		slices.SortFunc(list, byRank)
	}
	return list
}

// rank is the sort key of steps for starting; the smallest starts first.
type rank struct {
	class    int
	priority int32
	// slack is how long the step may wait and still be in time; for a late step,
	// how long until it earns no credit; for one that is too late, the work left.
	// In an overloaded pool it is the size of the job for steps in time whose
	// occurrence has not started.
	slack time.Duration
	id    string
	step  int32
}

// The classes of a rank, most urgent first: long-running tasks serve users all
// the time; a job that has started is finished before another one starts; one of an
// account beyond its share gets what the others leave; a late step gives way to those that can still be in time; one that is too late to earn
// any credit comes last.
const (
	classLongRunning = iota
	classStarted
	classInTime
	classBeyondShare
	classLate
	classTooLate
)

const (
	// creditTargetFactor is how many times its target duration a job may take and
	// still earn some credit.
	creditTargetFactor = 3
	// overloadBacklogTime is the backlog, as the time that it would keep all
	// hosts of a pool busy, above which the pool counts as overloaded.
	overloadBacklogTime = 400 * time.Millisecond
)

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.priority, o.priority),
		cmp.Compare(r.slack, o.slack), cmp.Compare(r.id, o.id), cmp.Compare(r.step, o.step))
}

// rank returns the rank of a step. In an overloaded pool not all jobs can be in
// time, and starting those with the least slack first would make nearly all of
// them late, so there the smaller jobs start first.
func (s *Scheduler) rank(st *step, overloaded bool) rank {
	o := st.occurrence
	r := rank{
		class:    classInTime,
		priority: s.queues[o.job.saved.Spec.GetQueue()].GetPriority(),
		id:       o.job.id,
		step:     st.number,
	}
	remaining := o.job.criticalPathFrom[st.number]
	r.slack = o.targetEnd.Sub(s.wall) - remaining
	switch {
	case st.spec.GetLasting():
		r.class = classLongRunning
	case r.slack < 0:
		r.class = classLate
		r.slack += (creditTargetFactor - 1) * o.targetEnd.Sub(o.dueAt)
		if r.slack < 0 {
			r.class, r.slack = classTooLate, remaining
		}
	case o.started:
		r.class = classStarted
	case overloaded:
		r.slack = time.Duration(o.job.workHostSeconds * float64(time.Second))
	}
	return r
}

// overloaded reports whether the backlog of batch tasks of a pool exceeds what
// its hosts can do within overloadBacklogTime.
func (s *Scheduler) overloaded(list []*step, workerCount int) bool {
	hostSeconds := 0.0
	for _, st := range list {
		if !st.spec.GetLasting() {
			hostSeconds += st.hostShare * float64(len(st.pending)) * st.runTime.Seconds()
		}
	}
	return hostSeconds > overloadBacklogTime.Seconds()*float64(workerCount)
}
