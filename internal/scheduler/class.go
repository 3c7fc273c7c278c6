package scheduler

import (
	"math/bits"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/wire"
)

// taskClass groups the queued tasks of one team by pool, urgency and approximate
// size. Each class has its own queue, so that a task that fits on no worker holds
// up only tasks of a similar size.
type taskClass struct {
	pool   string
	urgent bool
	size   sizeClass
}

// sizeClass is the bit length, i.e. the binary order of magnitude, of each resource.
type sizeClass struct{ cores, memory, accelerators uint8 }

func sizeClassOf(a controller.Amount) sizeClass {
	return sizeClass{
		cores:        bitLen(a.MilliCores),
		memory:       bitLen(a.MemoryBytes),
		accelerators: bitLen(a.Accelerators),
	}
}

func bitLen(n int64) uint8 { return uint8(bits.Len64(uint64(max(n, 0)))) }

// classQueue is a queue of tasks in the order in which they were queued, after
// those that ran before. Entries of tasks that are no longer queued are skipped
// when they reach the head, so that a cancellation takes constant time.
type classQueue struct {
	// requeued is a stack of the tasks that ran before or were offered to
	// another data centre; it is emptied before entries.
	requeued []entry
	entries  []entry
	// Invariant: entries before head have been removed.
	head int
	// blocked excludes the queue from the rest of the pass, because its first
	// task could not be placed or its pool is out of service.
	blocked bool
	// rotations counts the tasks moved to the back in this pass.
	rotations int
}

// entry refers to a task as of the change that queued it.
type entry struct {
	task *task
	// change is the task's change number when it was queued; an entry with an
	// older number is stale.
	change uint64
}

func (e entry) live() bool {
	return e.task.state == wire.TaskState_TASK_STATE_QUEUED && e.task.lastChange == e.change
}

func (q *classQueue) push(t *task) { q.entries = append(q.entries, entryOf(t)) }

// pushFront puts a task ahead of all others of its class.
func (q *classQueue) pushFront(t *task) { q.requeued = append(q.requeued, entryOf(t)) }

func entryOf(t *task) entry {
	return entry{
		task:   t,
		change: t.lastChange,
	}
}

// peek returns the first task that is still queued, or nil.
func (q *classQueue) peek() *task {
	for len(q.requeued) > 0 {
		if e := q.requeued[len(q.requeued)-1]; e.live() {
			return e.task
		}
		q.popFront()
	}
	for q.head < len(q.entries) {
		if e := q.entries[q.head]; e.live() {
			return e.task
		}
		q.popFront()
	}
	return nil
}

// popFront removes the first entry.
func (q *classQueue) popFront() {
	if last := len(q.requeued) - 1; last >= 0 {
		q.requeued[last] = entry{}
		q.requeued = q.requeued[:last]
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

// rotate moves the first task to the back.
func (q *classQueue) rotate() {
	t := q.peek()
	q.popFront()
	q.push(t)
	q.rotations++
}
