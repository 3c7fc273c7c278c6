package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// taskKind is a kind of tasks that take about as long as each other, or as declared.
type taskKind struct {
	queue string
	image string
}

// runTime returns the expected run time of a task: learned from the tasks of its kind, or
// declared for a step whose tasks do not end by themselves.
func (s *Scheduler) runTime(queue string, spec *jobwire.Step) time.Duration {
	declared := jobkeeper.DeclaredRunTime(spec)
	if spec.GetLasting() {
		return declared
	}
	return s.runTimes.Predict(taskKind{
		queue: queue,
		image: spec.GetImage(),
	}, declared)
}

// runTimesOf returns runTime for the steps of a queue.
func (s *Scheduler) runTimesOf(queue string) func(*jobwire.Step) time.Duration {
	return func(spec *jobwire.Step) time.Duration { return s.runTime(queue, spec) }
}

// learnRunTime learns from a run that has ended well. One that has resumed from a
// checkpoint, or ran far from its data, says nothing about the others.
func (s *Scheduler) learnRunTime(r *run) {
	if r == nil || r.step == nil || r.step.spec.GetLasting() || r.step.spec.GetGang() {
		return
	}
	if rack := r.step.spec.GetDataRack(); rack != "" && rack != r.worker.info.GetRack() {
		return
	}
	job := r.step.occurrence.job.saved
	if job.Task(r.key.task()).Checkpoint != "" {
		return
	}
	begunAt := r.confirmedAt
	if begunAt.IsZero() {
		begunAt = r.orderedAt
	}
	s.runTimes.Observe(taskKind{
		queue: job.Spec.GetQueue(),
		image: r.step.spec.GetImage(),
	}, jobkeeper.DeclaredRunTime(r.step.spec), s.now.Sub(begunAt))
}

// forgetRunTimes forgets the run times of queues that are no longer configured.
func (s *Scheduler) forgetRunTimes() {
	s.runTimes.Retain(func(k taskKind) bool { return s.queues[k.queue] != nil })
}
