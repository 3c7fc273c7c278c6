// Package calibrator predicts the run times of tasks from what submitters declare and from
// how long tasks of the same kind took, because declarations are far off.
//
// Load: tasks whose declared run times are wrong by most of themselves, in either direction.
// An order by slack is no better than its estimates there.
package calibrator

import (
	"math"
	"time"
)

const (
	// memory is the number of samples after which the weight of one has fallen to a third,
	// so that a kind whose work changes is learned anew.
	memory = 500
	// declaredWeight is the number of samples that the declaration itself counts for.
	declaredWeight = 12
	// maxSlope bounds how much more a prediction changes than the declaration.
	maxSlope = 2
	// minMeanShare is the least prediction, as a part of the mean run time.
	minMeanShare = 0.1
	// maxMeanFactor limits a sample to that multiple of the mean, once there are
	// declaredWeight samples: single stragglers say little about the others.
	maxMeanFactor = 5
	// maxKinds bounds the memory of a table.
	maxKinds = 4096
)

// Table holds what was learned about each kind of task. The zero value is an empty table. It
// is not safe for concurrent use.
type Table[K comparable] struct {
	kinds map[K]*line
}

// line holds the decayed sums of the samples of a kind, in seconds.
type line struct {
	weight                      float64
	declared, measured          float64
	declaredSquared, crossTerms float64
}

// Observe adds the run time of a task that has ended well.
func (t *Table[K]) Observe(kind K, declared, measured time.Duration) {
	if declared <= 0 || measured <= 0 {
		return
	}
	if t.kinds == nil {
		t.kinds = make(map[K]*line)
	}
	l, ok := t.kinds[kind]
	if !ok {
		if len(t.kinds) >= maxKinds {
			return
		}
		l = &line{}
		t.kinds[kind] = l
	}
	l.add(declared.Seconds(), measured.Seconds())
}

func (l *line) add(declared, measured float64) {
	if l.weight >= declaredWeight {
		measured = math.Min(measured, maxMeanFactor*l.measured/l.weight)
	}
	const decay = 1 - 1.0/memory
	l.weight = l.weight*decay + 1
	l.declared = l.declared*decay + declared
	l.measured = l.measured*decay + measured
	l.declaredSquared = l.declaredSquared*decay + declared*declared
	l.crossTerms = l.crossTerms*decay + declared*measured
}

// Predict returns the expected run time of a task of a kind: the declared one while nothing
// is known of the kind.
func (t *Table[K]) Predict(kind K, declared time.Duration) time.Duration {
	l, ok := t.kinds[kind]
	if !ok || declared <= 0 {
		return declared
	}
	seconds := (l.weight*l.at(declared.Seconds()) + declaredWeight*declared.Seconds()) / (l.weight + declaredWeight)
	return time.Duration(seconds * float64(time.Second))
}

// at returns the value of the fitted line.
func (l *line) at(declared float64) float64 {
	meanDeclared, meanMeasured := l.declared/l.weight, l.measured/l.weight
	variance := l.declaredSquared/l.weight - meanDeclared*meanDeclared
	slope := 0.0
	if variance > 1e-9 {
		slope = (l.crossTerms/l.weight - meanDeclared*meanMeasured) / variance
		slope = math.Max(0, math.Min(slope, maxSlope))
	}
	return math.Max(meanMeasured+slope*(declared-meanDeclared), minMeanShare*meanMeasured)
}

// Retain forgets the kinds for which keep returns false.
func (t *Table[K]) Retain(keep func(K) bool) {
	for kind := range t.kinds {
		if !keep(kind) {
			delete(t.kinds, kind)
		}
	}
}
