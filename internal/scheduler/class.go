package scheduler

import (
	"math/bits"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// class groups the queued tasks of one team that are placed alike, so that a
// task that fits nowhere holds up only tasks of its own size.
type class struct {
	pool   string
	urgent bool
	size   sizeClass
}

// sizeClass is the number of doublings of each resource.
type sizeClass struct{ cores, memory, accelerators uint8 }

func sizeClassOf(a controller.Amount) sizeClass {
	return sizeClass{
		cores:        doublings(a.MilliCores),
		memory:       doublings(a.MemoryBytes),
		accelerators: doublings(a.Accelerators),
	}
}

func doublings(n int64) uint8 { return uint8(bits.Len64(uint64(max(n, 0)))) }

// classQueue is a queue of tasks in the order of acceptance. Entries of tasks
// that are no longer queued are skipped when they reach the head, so that a
// cancellation costs constant time.
type classQueue struct {
	// again holds tasks that ran before; the last one is taken first.
	again   []entry
	entries []entry
	// Invariant: entries before head have been taken.
	head int
	// blocked is set in a pass that could not place the first task.
	blocked bool
	// rotations counts the tasks set aside in this pass.
	rotations int
}

// entry refers to a task as of one change to the state queued.
type entry struct {
	task *task
	// change tells an entry of an earlier stay in the queue from the present one.
	change uint64
}

func (e entry) live() bool {
	return e.task.state == wire.TaskState_TASK_STATE_QUEUED && e.task.change == e.change
}

func (q *classQueue) push(t *task) { q.entries = append(q.entries, entryOf(t)) }

// pushFront puts a task that ran before ahead of those that have not.
func (q *classQueue) pushFront(t *task) { q.again = append(q.again, entryOf(t)) }

func entryOf(t *task) entry {
	return entry{
		task:   t,
		change: t.change,
	}
}

// peek returns the first task that is still queued, or nil.
func (q *classQueue) peek() *task {
	for len(q.again) > 0 {
		if e := q.again[len(q.again)-1]; e.live() {
			return e.task
		}
		q.drop()
	}
	for q.head < len(q.entries) {
		if e := q.entries[q.head]; e.live() {
			return e.task
		}
		q.drop()
	}
	return nil
}

// drop takes the first entry off the queue.
func (q *classQueue) drop() {
	if last := len(q.again) - 1; last >= 0 {
		q.again[last] = entry{}
		q.again = q.again[:last]
		return
	}
	q.entries[q.head] = entry{}
	q.head++
	if q.head > 64 && q.head > len(q.entries)/2 {
		n := copy(q.entries, q.entries[q.head:])
		clear(q.entries[n:])
		q.entries = q.entries[:n]
		q.head = 0
	}
}

// rotate puts the first task behind the others.
func (q *classQueue) rotate() {
	t := q.peek()
	q.drop()
	q.push(t)
	q.rotations++
}
