// Package estimator estimates the resource use and the run time of tasks from
// completed tasks of the same kind, because declared values are far off.
package estimator

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
)

// MinSamples is the number of completed tasks after which learned values replace
// declared ones. With fewer, the initially assumed deviation dominates the
// estimate: for equal tasks it adds 63% after 5 samples and 15% after 10.
const MinSamples = 10

// Key identifies a kind of task. Tasks of one kind are expected to have similar
// resource use and run times.
type Key struct {
	Team  string
	Queue string
}

// Sample is the measured resource use of one completed task.
type Sample struct {
	// Peak is the highest use of each resource.
	Peak controller.Amount
	// Run is the run time.
	Run time.Duration
}

// Estimate is the expected resource use and run time of a task.
type Estimate struct {
	// Size is the expected peak use of each resource.
	Size controller.Amount
	// Run is the expected run time; 0 when it is unknown.
	Run time.Duration
	// Learned is true when the values come from completed tasks, and false when
	// they are the declared ones.
	Learned bool
}

// Table holds the statistics of each kind of task. The zero value is an empty
// table. It is not safe for concurrent use.
type Table struct {
	kinds map[Key]*kind
}

// kind holds the statistics of one kind of task.
type kind struct {
	samples                              int
	cores, memory, accelerators, runtime tracker
}

// Learn adds the sample of a completed task to the statistics of its kind.
func (t *Table) Learn(key Key, s Sample) {
	if t.kinds == nil {
		t.kinds = make(map[Key]*kind)
	}
	k := t.kinds[key]
	if k == nil {
		k = &kind{}
		t.kinds[key] = k
	}
	k.samples++
	k.cores.add(float64(s.Peak.MilliCores))
	k.memory.add(float64(s.Peak.MemoryBytes))
	k.accelerators.add(float64(s.Peak.Accelerators))
	k.runtime.add(float64(s.Run))
}

// Estimate returns an estimate from the samples of the kind, or the declared size
// and run time while there are fewer than MinSamples.
func (t *Table) Estimate(key Key, declared controller.Amount, run time.Duration) Estimate {
	k := t.kinds[key]
	if k == nil || k.samples < MinSamples {
		return Estimate{
			Size: declared,
			Run:  run,
		}
	}
	return Estimate{
		Size: controller.Amount{
			MilliCores:   k.cores.upperBound(),
			MemoryBytes:  k.memory.upperBound(),
			Accelerators: estimateAccelerators(k.accelerators, declared.Accelerators),
		},
		Run:     time.Duration(k.runtime.upperBound()),
		Learned: true,
	}
}

// estimateAccelerators returns the declared number of accelerators, at least 1,
// if tasks of the kind use any, and 0 otherwise. The learned number isn't used: a
// task addresses accelerators by index, so it can't run with fewer than declared.
func estimateAccelerators(t tracker, declared int64) int64 {
	if t.upperBound() == 0 {
		return 0
	}
	return max(declared, 1)
}
