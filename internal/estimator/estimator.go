// Package estimator learns what tasks really use and how long they run,
// because declared sizes and run times are far off.
package estimator

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
)

// MinSamples is the number of ended tasks after which learned values replace
// declared ones. Until then the assumed spread is still a large part of the
// estimate: for equal tasks it adds 63% after 5 samples and 15% after 10.
const MinSamples = 10

// Key names a kind of task; tasks of one kind are expected to be alike.
type Key struct {
	Team  string
	Queue string
}

// Sample is what one ended task used.
type Sample struct {
	// Peak is the most that it used at once.
	Peak controller.Amount
	// Run is how long it ran.
	Run time.Duration
}

// Estimate is what a task is expected to need.
type Estimate struct {
	Size controller.Amount
	// Run is 0 when nothing is known.
	Run time.Duration
	// Learned reports whether the values come from ended tasks.
	Learned bool
}

// Table holds the learned values of each kind. The zero value knows nothing.
// It must not be used by several goroutines at once.
type Table struct {
	kinds map[Key]*kind
}

type kind struct {
	samples                              int
	cores, memory, accelerators, runtime tracker
}

// Learn takes in one ended task.
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

// Estimate returns the learned values of the kind, or the declared ones while
// too little is known.
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
			MilliCores:   k.cores.upper(),
			MemoryBytes:  k.memory.upper(),
			Accelerators: wholeUnits(k.accelerators, declared.Accelerators),
		},
		Run:     time.Duration(k.runtime.upper()),
		Learned: true,
	}
}

// wholeUnits keeps the declared number of accelerators where any are used: a
// task addresses them by number, so a fraction or a lower count can't run.
func wholeUnits(t tracker, declared int64) int64 {
	if t.upper() == 0 {
		return 0
	}
	return max(declared, 1)
}
