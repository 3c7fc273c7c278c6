package scheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/follower"
)

const (
	// WorkerLease is how long a worker may keep running tasks, counted from when
	// it sent the last poll that got a response. It is longer than a change of
	// scheduler takes.
	WorkerLease = 15 * time.Second

	// WorkerLeaseBound is the longest time, on the scheduler's clock, that a
	// worker may keep running tasks after the response to its poll. It allows for
	// clock drift.
	WorkerLeaseBound = WorkerLease + WorkerLease/follower.ClockDriftDivisor

	// PollInterval is the time between two polls of a worker.
	PollInterval = 500 * time.Millisecond

	// StartWindow is how long after sending a poll a worker may carry out the
	// start orders of the response. It bounds how late a task may start after
	// its data centre was taken out of service.
	StartWindow = 2 * time.Second

	// silentWorkerTimeout is the time without a poll, four poll intervals, after
	// which a worker gets no tasks and those whose start was not sent to it are
	// requeued.
	silentWorkerTimeout = 4 * PollInterval

	// UsageLag is how long after the start of a task its reported usage is
	// ignored, because it does not show yet what the task will use.
	UsageLag = 2 * time.Second

	// RampLength is the time over which the load of a data centre may rise to its
	// full capacity after it was put back into service.
	RampLength = 30 * time.Second

	// Retention is how long the status of an ended task is kept.
	Retention = 10 * time.Minute

	// MaxQueuedPerTeam bounds the memory that the queued tasks of one team take.
	MaxQueuedPerTeam = 200_000

	// maxPlacementsPerPass keeps a pass under 100 ms; the next pass continues.
	// Filling 6,600 empty workers with 129,000 tasks in one pass took 407 ms.
	maxPlacementsPerPass = 16_000

	// reserveShareThreshold is the fraction of its fair share below which a team
	// gets a worker reserved for a task that fits on none. maxReservedDivisor
	// bounds the reserved workers to an eighth of a pool, or to one worker if
	// that is more.
	reserveShareThreshold = 0.9
	maxReservedDivisor    = 8

	// MaxFailedWorkers is the number of different workers on which a task may
	// fail; it is stopped when it has failed on that many.
	MaxFailedWorkers = 3

	// quarantineFailures is the number of failures in a row after which a worker
	// is quarantined. Failures of kinds that fail everywhere do not count.
	quarantineFailures = 5

	// minQuarantine and maxQuarantine bound the duration of a quarantine, which
	// doubles each time that the worker fails on probation.
	minQuarantine = time.Minute
	maxQuarantine = 16 * time.Minute

	// maxQuarantinedDivisor bounds the workers in quarantine or on probation to a
	// third of a pool. If more fail, the fault is more likely in something that
	// all workers share.
	maxQuarantinedDivisor = 3

	// retryAfter is the time after which a submitter should retry when the reason
	// of the refusal is temporary.
	retryAfter = time.Second
)
