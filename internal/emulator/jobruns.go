package emulator

import (
	"context"
	"slices"
	"sync"
	"time"
)

// runStep is how often runs and leases of a JobRuns are looked at.
const runStep = 5 * time.Millisecond

// JobLedger learns what a worker of jobs does. Its methods may be called from
// any number of goroutines.
type JobLedger interface {
	Started(task string, run uint64)
	Ended(task string, run uint64, how JobEnding)
	// Noted follows an end that was taken note of.
	Noted(task string, run uint64, how JobEnding)
}

// noLedger learns nothing.
type noLedger struct{}

// Started implements JobLedger.
func (noLedger) Started(string, uint64) {}

// Ended implements JobLedger.
func (noLedger) Ended(string, uint64, JobEnding) {}

// Noted implements JobLedger.
func (noLedger) Noted(string, uint64, JobEnding) {}

// JobEnding is how a run has ended.
type JobEnding int

// The endings of a run.
const (
	JobDone JobEnding = iota
	JobStopped
	// JobLapsed means that the lease had ended.
	JobLapsed
	// JobGone means that the worker had ended.
	JobGone
)

// JobAnswer is what a worker says to an order.
type JobAnswer int

// The answers to an order.
const (
	JobAccepted JobAnswer = iota
	// JobFenced means that a later leader has given orders.
	JobFenced
	// JobOld means that a run at least as new was there.
	JobOld
	// JobLate means that the lease of the order had ended.
	JobLate
)

// JobRun is a run that is at work.
type JobRun struct {
	Task string
	Run  uint64
}

// JobEnd is an end that is not taken note of yet.
type JobEnd struct {
	// Number rises by one with each end.
	Number uint64
	Task   string
	Run    uint64
	How    JobEnding
	// lapsed is true once a lease has ended after it: such an end does not bind.
	lapsed bool
}

// JobRuns holds the runs of one stand-in worker of jobs, whose tasks only take
// time. It is safe for concurrent use; make one with NewJobRuns.
type JobRuns struct {
	taskTime time.Duration
	ledger   JobLedger
	born     int64

	mu       sync.Mutex
	fence    uint64
	deadline int64
	running  map[string]*jobWork
	// highest holds the highest run of each task that was stopped or has ended.
	highest map[string]uint64
	ended   []JobEnd
	count   uint64
}

type jobWork struct {
	run uint64
	end time.Time
}

// NewJobRuns returns a worker's runs, none at first; call Run to let them end.
// The ledger may be nil.
func NewJobRuns(taskTime time.Duration, ledger JobLedger) *JobRuns {
	if ledger == nil {
		ledger = noLedger{}
	}
	return &JobRuns{
		taskTime: taskTime,
		ledger:   ledger,
		born:     time.Now().UnixMilli(),
		running:  make(map[string]*jobWork),
		highest:  make(map[string]uint64),
	}
}

// Born tells the lives of workers under one id apart.
func (j *JobRuns) Born() int64 { return j.born }

// Clock returns the worker's clock in milliseconds.
func (j *JobRuns) Clock() int64 { return time.Now().UnixMilli() }

// Run lets runs end and leases lapse until ctx ends; then all runs are gone.
func (j *JobRuns) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(runStep)
		j.step()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, w := range j.running {
		j.ledger.Ended(task, w.run, JobGone)
	}
	clear(j.running)
}

func (j *JobRuns) step() {
	j.mu.Lock()
	defer j.mu.Unlock()
	lapsed := j.deadline <= j.Clock()
	for i := range j.ended {
		j.ended[i].lapsed = j.ended[i].lapsed || lapsed
	}
	for task, w := range j.running {
		switch {
		case lapsed:
			j.finish(task, JobLapsed)
		case time.Now().After(w.end):
			j.finish(task, JobDone)
		}
	}
}

// finish ends a run; j.mu is held.
func (j *JobRuns) finish(task string, how JobEnding) {
	w := j.running[task]
	delete(j.running, task)
	j.highest[task] = max(j.highest[task], w.run)
	j.count++
	j.ended = append(j.ended, JobEnd{
		Number: j.count,
		Task:   task,
		Run:    w.run,
		How:    how,
	})
	j.ledger.Ended(task, w.run, how)
}

// obey takes the fence and the lease of an order; false when the fence is low.
// j.mu is held.
func (j *JobRuns) obey(fence uint64, deadline int64) bool {
	if fence < j.fence {
		return false
	}
	j.fence = fence
	j.deadline = max(j.deadline, deadline)
	return true
}

// Start begins a run of a task.
func (j *JobRuns) Start(fence uint64, deadline int64, task string, run uint64) JobAnswer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.obey(fence, deadline) {
		return JobFenced
	}
	w, there := j.running[task]
	switch {
	case there && w.run == run:
		return JobAccepted
	case deadline <= j.Clock():
		return JobLate
	case there || run <= j.highest[task]:
		return JobOld
	}
	j.running[task] = &jobWork{
		run: run,
		end: time.Now().Add(j.taskTime),
	}
	j.ledger.Started(task, run)
	return JobAccepted
}

// Stop ends the run of a task unless it is a newer one.
func (j *JobRuns) Stop(fence uint64, task string, run uint64) JobAnswer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.obey(fence, 0) {
		return JobFenced
	}
	if w, ok := j.running[task]; ok && w.run <= run {
		j.finish(task, JobStopped)
	}
	j.highest[task] = max(j.highest[task], run)
	return JobAccepted
}

// Look extends the lease, forgets the ends up to seen, and waits for another
// one until the time is over.
func (j *JobRuns) Look(fence uint64, deadline int64, seen uint64, wait time.Duration) ([]JobRun, []JobEnd, JobAnswer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.obey(fence, deadline) {
		return nil, nil, JobFenced
	}
	for len(j.ended) > 0 && j.ended[0].Number <= seen {
		e := j.ended[0]
		j.ended = j.ended[1:]
		if !e.lapsed {
			j.ledger.Noted(e.Task, e.Run, e.How)
		}
	}
	until := time.Now().Add(wait)
	for len(j.ended) == 0 && time.Now().Before(until) {
		j.mu.Unlock()
		time.Sleep(runStep)
		j.mu.Lock()
	}
	runs := make([]JobRun, 0, len(j.running))
	for task, w := range j.running {
		runs = append(runs, JobRun{
			Task: task,
			Run:  w.run,
		})
	}
	return runs, slices.Clone(j.ended), JobAccepted
}
