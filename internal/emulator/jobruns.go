package emulator

import (
	"context"
	"slices"
	"sync"
	"time"
)

// checkInterval is how often a JobRuns checks for finished runs, an expired lease
// and new ends.
const checkInterval = 5 * time.Millisecond

// JobLedger is notified of the runs on job workers. Its methods must be safe for
// concurrent use. A JobRuns calls them with its lock held, so they must not call
// back into it.
type JobLedger interface {
	// Started is called when a run begins.
	Started(task string, run uint64)
	// Ended is called when a run is over.
	Ended(task string, run uint64, how JobEnding)
	// Noted is called when the leader acknowledges an end that was reported under
	// a valid lease.
	Noted(task string, run uint64, how JobEnding)
}

// discardLedger is a JobLedger that ignores all notifications.
type discardLedger struct{}

// Started implements JobLedger.
func (discardLedger) Started(string, uint64) {}

// Ended implements JobLedger.
func (discardLedger) Ended(string, uint64, JobEnding) {}

// Noted implements JobLedger.
func (discardLedger) Noted(string, uint64, JobEnding) {}

// JobEnding is the reason why a run ended.
type JobEnding int

// The reasons why a run ends.
const (
	// JobDone means that the task ran to completion.
	JobDone JobEnding = iota
	// JobStopped means that the leader ordered the stop.
	JobStopped
	// JobLapsed means that the worker's lease expired.
	JobLapsed
	// JobWorkerKilled means that the worker was killed. It is never reported to the
	// leader.
	JobWorkerKilled
)

// JobAnswer is a worker's answer to an order of the leader.
type JobAnswer int

// The answers to an order; all but JobAccepted are refusals.
const (
	// JobAccepted means that the order was carried out.
	JobAccepted JobAnswer = iota
	// JobFenced means that the worker has accepted an order with a higher fencing
	// token, that is from a later leader, or to a later incarnation of the worker.
	JobFenced
	// JobOld means that another run of the task is active, or that one with the
	// same or a higher number has ended or was stopped.
	JobOld
	// JobLate means that the lease in the order had expired on arrival.
	JobLate
)

// JobRun identifies an active run.
type JobRun struct {
	Task string
	Run  uint64
}

// JobEnd is the end of a run that the leader has not acknowledged yet.
type JobEnd struct {
	// Number is one for the first end of a worker and rises by one with each.
	Number uint64
	Task   string
	Run    uint64
	How    JobEnding
	// leaseExpired is true once the lease has expired after the end. Such an
	// end is not binding: the leader may have started the task elsewhere.
	leaseExpired bool
}

// JobRuns holds the runs of one emulated job worker, whose tasks do nothing for a
// time. It is safe for concurrent use; create one with NewJobRuns.
type JobRuns struct {
	taskTime func(task string) time.Duration
	ledger   JobLedger
	born     time.Time

	mu sync.Mutex
	// killed is set once Run has dropped the remaining runs; none starts after that.
	killed        bool
	fence         uint64
	leaseDeadline int64
	running       map[string]*activeRun
	// highestRun holds, for each task, the highest run that has ended or was ordered
	// to stop; no run up to it is started.
	highestRun    map[string]uint64
	pendingEnds   []JobEnd
	lastEndNumber uint64
}

type activeRun struct {
	run    uint64
	endsAt time.Time
}

// NewJobRuns returns a JobRuns without runs; taskTime returns the run time of a task. Runs end and leases expire only while
// Run is executing. The ledger may be nil.
func NewJobRuns(taskTime func(task string) time.Duration, ledger JobLedger) *JobRuns {
	if ledger == nil {
		ledger = discardLedger{}
	}
	return &JobRuns{
		taskTime:   taskTime,
		ledger:     ledger,
		born:       time.Now(),
		running:    make(map[string]*activeRun),
		highestRun: make(map[string]uint64),
	}
}

// Born returns the creation time in Unix milliseconds. It distinguishes successive
// incarnations of a worker with the same id.
func (j *JobRuns) Born() int64 { return j.born.UnixMilli() }

// Clock returns the time on the worker's own clock in milliseconds. It starts anew with
// each incarnation, so a deadline for an earlier one is far in the future of the next.
func (j *JobRuns) Clock() int64 { return 1 + time.Since(j.born).Milliseconds() }

// Active returns the number of runs in progress.
func (j *JobRuns) Active() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.running)
}

// Run ends finished runs, and all runs when the lease expires, until ctx is done.
// Then it drops the remaining runs and reports them as JobWorkerKilled to the
// ledger.
func (j *JobRuns) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkInterval)
		j.endDueRuns()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.killed = true
	for task, w := range j.running {
		j.ledger.Ended(task, w.run, JobWorkerKilled)
	}
	clear(j.running)
}

// endDueRuns ends the runs whose task time is over, or all runs if the lease has
// expired.
func (j *JobRuns) endDueRuns() {
	j.mu.Lock()
	defer j.mu.Unlock()
	leaseExpired := j.leaseDeadline <= j.Clock()
	for i := range j.pendingEnds {
		j.pendingEnds[i].leaseExpired = j.pendingEnds[i].leaseExpired || leaseExpired
	}
	for task, w := range j.running {
		switch {
		case leaseExpired:
			j.endRun(task, JobLapsed)
		case time.Now().After(w.endsAt):
			j.endRun(task, JobDone)
		}
	}
}

// endRun ends a run and keeps its end for the leader. j.mu must be held.
func (j *JobRuns) endRun(task string, how JobEnding) {
	w := j.running[task]
	delete(j.running, task)
	j.highestRun[task] = max(j.highestRun[task], w.run)
	j.lastEndNumber++
	j.pendingEnds = append(j.pendingEnds, JobEnd{
		Number: j.lastEndNumber,
		Task:   task,
		Run:    w.run,
		How:    how,
	})
	j.ledger.Ended(task, w.run, how)
}

// maxJobLease is the longest lease that a job worker accepts.
const maxJobLease = 10 * time.Second

// acceptOrder adopts the fencing token of an order and extends the lease. It
// returns false if the token is lower than an earlier one. j.mu must be held.
func (j *JobRuns) acceptOrder(fence uint64, deadline int64) bool {
	if fence < j.fence {
		return false
	}
	j.fence = fence
	j.leaseDeadline = max(j.leaseDeadline, min(deadline, j.Clock()+maxJobLease.Milliseconds()))
	return true
}

// Start begins a run of a task. It is idempotent for an active run.
func (j *JobRuns) Start(fence uint64, deadline int64, task string, run uint64) JobAnswer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.acceptOrder(fence, deadline) {
		return JobFenced
	}
	w, active := j.running[task]
	switch {
	case active && w.run == run:
		return JobAccepted
	case j.killed || j.leaseDeadline <= j.Clock():
		return JobLate
	case active || run <= j.highestRun[task]:
		return JobOld
	}
	j.running[task] = &activeRun{
		run:    run,
		endsAt: time.Now().Add(j.taskTime(task)),
	}
	j.ledger.Started(task, run)
	return JobAccepted
}

// Stop ends the active run of a task unless its number is higher than run. Later
// starts of runs up to run are refused.
func (j *JobRuns) Stop(fence uint64, task string, run uint64) JobAnswer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.acceptOrder(fence, 0) {
		return JobFenced
	}
	if w, ok := j.running[task]; ok && w.run <= run {
		j.endRun(task, JobStopped)
	}
	j.highestRun[task] = max(j.highestRun[task], run)
	return JobAccepted
}

// Look extends the lease, discards the ends up to the acknowledged number, and
// waits up to wait for an end to report. It returns the active runs and all ends
// that are not acknowledged.
func (j *JobRuns) Look(fence uint64, deadline int64, acknowledged uint64, wait time.Duration) ([]JobRun, []JobEnd, JobAnswer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.acceptOrder(fence, deadline) {
		return nil, nil, JobFenced
	}
	for len(j.pendingEnds) > 0 && j.pendingEnds[0].Number <= acknowledged {
		e := j.pendingEnds[0]
		j.pendingEnds = j.pendingEnds[1:]
		if !e.leaseExpired {
			j.ledger.Noted(e.Task, e.Run, e.How)
		}
	}
	until := time.Now().Add(wait)
	for len(j.pendingEnds) == 0 && time.Now().Before(until) {
		j.mu.Unlock()
		time.Sleep(checkInterval)
		j.mu.Lock()
	}
	runs := make([]JobRun, 0, len(j.running))
	for task, w := range j.running {
		runs = append(runs, JobRun{
			Task: task,
			Run:  w.run,
		})
	}
	return runs, slices.Clone(j.pendingEnds), JobAccepted
}
