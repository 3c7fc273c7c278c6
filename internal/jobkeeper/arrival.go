package jobkeeper

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// arrivalRetention covers several periods of a load whose peak moves from
	// pool to pool.
	arrivalRetention = 2 * time.Minute
	// maxArrivals bounds the memory that recorded arrivals take.
	maxArrivals = 1 << 15
)

// Arrival records that a job with short tasks was accepted. Short tasks are
// those of steps that neither run until cancelled nor only use idle capacity.
type Arrival struct {
	// At is the time of acceptance, by the clock of the accepting leader.
	At    time.Time
	Queue string
	// Work is the sum over the short tasks of one occurrence of the resources
	// that each reserves, multiplied by its estimated run time in seconds.
	Work controller.Amount
}

// WorkOf returns the resource-seconds that the short tasks of one occurrence of
// a job need, with the run time of a task of each step as given.
func WorkOf(spec *jobwire.Job, runTime func(*jobwire.Step) time.Duration) controller.Amount {
	var sum controller.Amount
	for _, s := range spec.GetSteps() {
		if s.GetLasting() || s.GetFills() {
			continue
		}
		perTask := controller.AmountOf(s.GetEach())
		seconds := float64(s.GetTasks()) * runTime(s).Seconds()
		sum = sum.Plus(controller.Amount{
			MilliCores:   int64(float64(perTask.MilliCores) * seconds),
			MemoryBytes:  int64(float64(perTask.MemoryBytes) * seconds),
			Accelerators: int64(float64(perTask.Accelerators) * seconds),
		})
	}
	return sum
}

// DeclaredRunTime returns the run time of a task of the step as its submitter states it.
func DeclaredRunTime(s *jobwire.Step) time.Duration { return time.Duration(s.GetEstimateNanos()) }

// addArrival appends the arrival of a job, so that the next leader knows the
// load from before its term. It removes expired arrivals in batches: when the
// list is full or its oldest entry is twice as old as needed.
func (s *State) addArrival(spec *jobwire.Job) {
	work := WorkOf(spec, DeclaredRunTime)
	if work == (controller.Amount{}) {
		return
	}
	acceptedAt := time.Unix(0, spec.GetAcceptedAtUnixNanos())
	s.Arrivals = append(s.Arrivals, Arrival{
		At:    acceptedAt,
		Queue: spec.GetQueue(),
		Work:  work,
	})
	if len(s.Arrivals) > maxArrivals || acceptedAt.Sub(s.Arrivals[0].At) > 2*arrivalRetention {
		keepFrom := max(len(s.Arrivals)-maxArrivals/2, 0)
		for keepFrom < len(s.Arrivals) && acceptedAt.Sub(s.Arrivals[keepFrom].At) > arrivalRetention {
			keepFrom++
		}
		s.Arrivals = slices.Clone(s.Arrivals[keepFrom:])
	}
}
