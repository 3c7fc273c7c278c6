package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/follower"
)

const (
	// WorkerLease is how long a worker may go on after the sending of a poll
	// that was answered. It outlasts the change to a new scheduler.
	WorkerLease = 15 * time.Second

	// WorkerLeaseBound is the longest time by the scheduler's clock that a
	// worker may go on after the answer to its poll.
	WorkerLeaseBound = WorkerLease + WorkerLease/follower.ClockDrift

	// PollInterval is the time between two polls of a worker.
	PollInterval = 500 * time.Millisecond

	// StartWindow is how long after the sending of a poll its start orders
	// may be carried out. It bounds how late a task may start after its data
	// centre was taken out of service.
	StartWindow = 2 * time.Second

	// silentAfter is the time without a poll after which a worker gets no
	// tasks and loses those that it was not told of. Four polls are missed by then.
	silentAfter = 4 * PollInterval

	// UsageLag is how long after its start the reported use of a task is too
	// young to be taken for what it will use.
	UsageLag = 2 * time.Second

	// RampLength is the time over which load returns after a data centre was
	// put back into service.
	RampLength = 30 * time.Second

	// Retention is how long the status of an ended task can be asked for.
	Retention = 10 * time.Minute

	// MaxQueued bounds the queued tasks of one team, because each holds memory.
	MaxQueued = 200_000

	// maxPlacements bounds the tasks placed in one pass, so that it stays under
	// 100 ms; the next pass goes on. Filling 6,600 empty workers with 129,000
	// tasks in one pass took 407 ms.
	maxPlacements = 16_000

	// reserveBelow is the part of its fair share below which a team gets a
	// worker reserved for a task that fits nowhere, and reserveFraction the
	// largest part of a pool that is reserved, as a divisor.
	reserveBelow    = 0.9
	reserveFraction = 8

	// FailedWorkers is the number of different workers on which a task has to
	// fail before it is stopped.
	FailedWorkers = 3

	// quarantineAfter is the number of failures in a row after which a worker
	// is quarantined, if its tasks' kinds do not fail elsewhere too.
	quarantineAfter = 5

	// quarantineShortest and quarantineLongest bound the time of a
	// quarantine; it doubles each time that the trial after it fails.
	quarantineShortest = time.Minute
	quarantineLongest  = 16 * time.Minute

	// quarantineFraction is the largest part of a pool in quarantine, as a
	// divisor: beyond it the fault is more likely in what all workers share.
	quarantineFraction = 3

	// retryAfter is what a submitter is told when the refusal will pass.
	retryAfter = time.Second
)
