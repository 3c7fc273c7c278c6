package scheduler

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/heathermux/heathermux/internal/controller"
)

// index finds a worker with enough room. It groups the workers of a pool by
// the class of their free resources, so that a search reads one entry for
// each class that occurs, however many workers there are.
type index struct {
	buckets map[freeClass]*bucket
	// Invariant: the buckets in ascending order of their class.
	order []*bucket
	// size is the number of workers when the pass began.
	size int
}

// freeClass is the free amount of each resource in steps of a quarter of its
// binary order of magnitude; accelerators are counted one by one.
type freeClass struct{ cores, memory, accelerators uint16 }

type bucket struct {
	class   freeClass
	workers []*worker
}

// bucketTries bounds the workers of one class that are looked at. Workers of a
// class differ by less than a quarter, so one that fits is mostly among them.
const bucketTries = 8

func newIndex() *index {
	return &index{
		buckets: make(map[freeClass]*bucket),
	}
}

func freeClassOf(a controller.Amount) freeClass {
	return freeClass{
		cores:        quarters(a.MilliCores),
		memory:       quarters(a.MemoryBytes),
		accelerators: uint16(max(a.Accelerators, 0)),
	}
}

// quarters returns four times the binary logarithm, rounded down, with linear
// steps between powers of two. It never falls as n rises.
func quarters(n int64) uint16 {
	if n <= 0 {
		return 0
	}
	if n < 4 {
		return uint16(n)
	}
	log := bits.Len64(uint64(n)) - 1
	return uint16(4*(log-1) + int(n>>(log-2))&3)
}

func (x *index) add(w *worker) {
	class := freeClassOf(w.free())
	b := x.buckets[class]
	if b == nil {
		b = &bucket{
			class: class,
		}
		x.buckets[class] = b
		at, _ := slices.BinarySearchFunc(x.order, class, func(b *bucket, c freeClass) int { return b.class.compare(c) })
		x.order = slices.Insert(x.order, at, b)
	}
	b.workers = append(b.workers, w)
}

func (c freeClass) compare(other freeClass) int {
	return cmp.Or(
		cmp.Compare(c.accelerators, other.accelerators),
		cmp.Compare(c.cores, other.cores),
		cmp.Compare(c.memory, other.memory),
	)
}

// take removes and returns the worker of the smallest class that has room for
// the size and on which the task has not failed. The caller adds it again
// after the assignment.
func (x *index) take(t *task, size controller.Amount) *worker {
	need := freeClassOf(size)
	for _, b := range x.order {
		c := b.class
		if c.cores < need.cores || c.memory < need.memory || c.accelerators < need.accelerators {
			continue
		}
		tries := max(len(b.workers)-bucketTries, 0)
		for i := len(b.workers) - 1; i >= tries; i-- {
			w := b.workers[i]
			if size.FitsIn(w.free()) && !t.failedOnWorker(w.name) {
				b.workers = slices.Delete(b.workers, i, i+1)
				return w
			}
		}
	}
	return nil
}

// takeLargest removes and returns a worker of the largest class that is large
// enough for the size when it is empty.
func (x *index) takeLargest(t *task, size controller.Amount) *worker {
	for _, b := range slices.Backward(x.order) {
		for i, w := range b.workers {
			if size.FitsIn(w.capacity) && !t.failedOnWorker(w.name) {
				b.workers = slices.Delete(b.workers, i, i+1)
				return w
			}
		}
	}
	return nil
}
