package jobkeeper

import (
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// arrivalsKeptFor is how long arrivals are remembered: several turns of a
	// peak that goes from pool to pool.
	arrivalsKeptFor = 2 * time.Minute
	// arrivalsKept bounds them.
	arrivalsKept = 1 << 15
)

// Arrival is the acceptance of a job with short tasks.
type Arrival struct {
	At    time.Time
	Queue string
	// Work is what the short tasks of one occurrence reserve, times the seconds
	// that they take.
	Work controller.Amount
}

// WorkOf returns the work of the short tasks of one occurrence of a job.
func WorkOf(spec *jobwire.Job) controller.Amount {
	var sum controller.Amount
	for _, s := range spec.GetSteps() {
		if s.GetLasting() || s.GetFills() {
			continue
		}
		each := controller.AmountOf(s.GetEach())
		seconds := float64(s.GetTasks()) * time.Duration(s.GetEstimateNanos()).Seconds()
		sum = sum.Plus(controller.Amount{
			MilliCores:   int64(float64(each.MilliCores) * seconds),
			MemoryBytes:  int64(float64(each.MemoryBytes) * seconds),
			Accelerators: int64(float64(each.Accelerators) * seconds),
		})
	}
	return sum
}

// noteArrival remembers a job, so that the next leader knows the load that came
// before its term.
func (s *State) noteArrival(spec *jobwire.Job) {
	work := WorkOf(spec)
	if work == (controller.Amount{}) {
		return
	}
	at := time.Unix(0, spec.GetAcceptedAtUnixNanos())
	s.Arrivals = append(s.Arrivals, Arrival{
		At:    at,
		Queue: spec.GetQueue(),
		Work:  work,
	})
	if len(s.Arrivals) > arrivalsKept || at.Sub(s.Arrivals[0].At) > 2*arrivalsKeptFor {
		old := max(len(s.Arrivals)-arrivalsKept/2, 0)
		for old < len(s.Arrivals) && at.Sub(s.Arrivals[old].At) > arrivalsKeptFor {
			old++
		}
		s.Arrivals = slices.Clone(s.Arrivals[old:])
	}
}
