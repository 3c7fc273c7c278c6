package soaker

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/heathermux/heathermux/internal/emulator"
)

// runChecker checks the runs on all workers: a task has at most one active run at a
// time, and doesn't run again once its completion was acknowledged. It is safe for
// concurrent use.
type runChecker struct {
	mu sync.Mutex
	// activeRuns counts the active runs of each task.
	activeRuns map[string]int
	// doneAcknowledged holds the tasks with a completed run that the leader has
	// acknowledged.
	doneAcknowledged map[string]bool
	// startedJobs holds the jobs of which at least one task has started.
	startedJobs map[string]bool
	// eventCount counts the starts and completions of runs, to order them. lastStart
	// and lastDone hold, for each task, its value at the latest start and completion.
	eventCount int
	lastStart  map[string]int
	lastDone   map[string]int
	// crashes counts the workers that each deadly task has crashed.
	crashes map[string]int
	// lostRuns holds, for each job, the most runs of one of its tasks that were lost with
	// crashed workers; lostTaskRuns counts them for each task.
	lostRuns, lostTaskRuns map[string]int
	// history holds, for each task, a line for each start, end and acknowledged end.
	history map[string][]string
	// violations describes the guarantees that were violated.
	violations []string
}

func newRunChecker() *runChecker {
	return &runChecker{
		activeRuns:       make(map[string]int),
		doneAcknowledged: make(map[string]bool),
		startedJobs:      make(map[string]bool),

		lastStart: make(map[string]int),
		lastDone:  make(map[string]int),
		crashes:   make(map[string]int),
		history:   make(map[string][]string),

		lostRuns:     make(map[string]int),
		lostTaskRuns: make(map[string]int),
	}
}

// addViolationf records a violated guarantee; c.mu must be held.
func (c *runChecker) addViolationf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// addTaskViolationf records a guarantee that was violated for a task, with what happened
// to the task before; c.mu must be held.
func (c *runChecker) addTaskViolationf(task, format string, args ...any) {
	c.addViolationf("%s", strings.Join(append([]string{fmt.Sprintf(format, args...)}, c.history[task]...), "\n    "))
}

// note appends an event to the history of a task; c.mu must be held.
func (c *runChecker) note(worker, task string, run uint64, event string) {
	c.history[task] = append(c.history[task],
		fmt.Sprintf("%s run %d on %s: %s", time.Now().UTC().Format("15:04:05.000"), run, worker, event))
}

// ledger is the emulator.JobLedger of one incarnation of a worker.
type ledger struct {
	checker *runChecker
	worker  string
}

// Started implements emulator.JobLedger.
func (l *ledger) Started(task string, run uint64) { l.checker.started(l.worker, task, run) }

// Ended implements emulator.JobLedger.
func (l *ledger) Ended(task string, run uint64, how emulator.JobEnding) {
	l.checker.ended(l.worker, task, run, how)
}

// Noted implements emulator.JobLedger.
func (l *ledger) Noted(task string, run uint64, how emulator.JobEnding) {
	l.checker.acknowledged(l.worker, task, run, how)
}

func (c *runChecker) started(worker, task string, run uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(worker, task, run, "starts")
	job, _, _ := strings.Cut(task, ".")
	c.startedJobs[job] = true
	c.eventCount++
	c.lastStart[task] = c.eventCount
	if c.activeRuns[task]++; c.activeRuns[task] > 1 {
		c.addTaskViolationf(task, "task %s run %d started while another run was active", task, run)
	}
	if c.doneAcknowledged[task] {
		c.addTaskViolationf(task, "task %s run %d started after an acknowledged completion", task, run)
	}
}

func (c *runChecker) ended(worker, task string, run uint64, how emulator.JobEnding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(worker, task, run, endingNames[how])
	c.activeRuns[task]--
	if how == emulator.JobWorkerKilled {
		job, _, _ := strings.Cut(task, ".")
		c.lostTaskRuns[task]++
		c.lostRuns[job] = max(c.lostRuns[job], c.lostTaskRuns[task])
	}
	if how == emulator.JobDone {
		c.eventCount++
		c.lastDone[task] = c.eventCount
	}
}

// endingNames maps the ends of runs to how the history of a task states them.
var endingNames = map[emulator.JobEnding]string{
	emulator.JobDone:         "done",
	emulator.JobStopped:      "stopped",
	emulator.JobLapsed:       "lapsed",
	emulator.JobWorkerKilled: "gone with its worker",
}

func (c *runChecker) acknowledged(worker, task string, run uint64, how emulator.JobEnding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(worker, task, run, "end acknowledged")
	if how != emulator.JobDone {
		return
	}
	c.doneAcknowledged[task] = true
	if c.lastStart[task] > c.lastDone[task] {
		c.addTaskViolationf(task, "task %s started again after its completion, but the completion of run %d was then acknowledged", task, run)
	}
}
