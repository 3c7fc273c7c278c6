package scheduler

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/heathermux/heathermux/internal/controller"
)

// workerIndex finds a worker with enough free resources. It groups the workers of
// a pool into buckets by their free resources, so that the cost of a search grows
// with the number of buckets and not with the number of workers.
type workerIndex struct {
	buckets map[freeClass]*bucket
	// Invariant: the buckets in ascending order of their class.
	sortedBuckets []*bucket
	// workerCount is the number of workers when the pass began.
	workerCount int
}

// freeClass is the free amount of each resource, rounded down to four steps for
// each power of two; accelerators are counted exactly.
type freeClass struct{ cores, memory, accelerators uint16 }

type bucket struct {
	class   freeClass
	workers []*worker
}

// maxCandidatesPerBucket bounds the workers of one bucket that a search looks at.
// Workers of a bucket differ by less than a quarter, so one that fits is usually
// among them.
const maxCandidatesPerBucket = 8

func newWorkerIndex() *workerIndex {
	return &workerIndex{
		buckets: make(map[freeClass]*bucket),
	}
}

func freeClassOf(a controller.Amount) freeClass {
	return freeClass{
		cores:        quarterLog2(a.MilliCores),
		memory:       quarterLog2(a.MemoryBytes),
		accelerators: uint16(max(a.Accelerators, 0)),
	}
}

// quarterLog2 returns the binary logarithm in units of a quarter, rounded down, with
// linear interpolation between powers of two. It is monotonic in n.
func quarterLog2(n int64) uint16 {
	if n <= 0 {
		return 0
	}
	if n < 4 {
		return uint16(n)
	}
	log := bits.Len64(uint64(n)) - 1
	return uint16(4*(log-1) + int(n>>(log-2))&3)
}

func (x *workerIndex) add(w *worker) {
	class := freeClassOf(w.free())
	b := x.buckets[class]
	if b == nil {
		b = &bucket{
			class: class,
		}
		x.buckets[class] = b
		at, _ := slices.BinarySearchFunc(x.sortedBuckets, class, func(b *bucket, c freeClass) int { return b.class.compare(c) })
		x.sortedBuckets = slices.Insert(x.sortedBuckets, at, b)
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

// take removes and returns a worker from the lowest bucket that has one with room
// for the size on which the task has not failed. The caller adds the worker again
// after the assignment.
func (x *workerIndex) take(t *task, size controller.Amount) *worker {
	need := freeClassOf(size)
	for _, b := range x.sortedBuckets {
		c := b.class
		if c.cores < need.cores || c.memory < need.memory || c.accelerators < need.accelerators {
			continue
		}
		lowest := max(len(b.workers)-maxCandidatesPerBucket, 0)
		for i := len(b.workers) - 1; i >= lowest; i-- {
			w := b.workers[i]
			if size.FitsIn(w.free()) && !t.failedOnWorker(w.name) {
				b.workers = slices.Delete(b.workers, i, i+1)
				return w
			}
		}
	}
	return nil
}

// takeLargest removes and returns a worker from the highest bucket that has one
// whose whole capacity is large enough for the size, free or not, and on which the
// task has not failed.
func (x *workerIndex) takeLargest(t *task, size controller.Amount) *worker {
	for _, b := range slices.Backward(x.sortedBuckets) {
		for i, w := range b.workers {
			if size.FitsIn(w.capacity) && !t.failedOnWorker(w.name) {
				b.workers = slices.Delete(b.workers, i, i+1)
				return w
			}
		}
	}
	return nil
}
