package soaker

import (
	"fmt"
	"strings"
	"sync"

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
	}
}

// addViolationf records a violated guarantee; c.mu must be held.
func (c *runChecker) addViolationf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Started implements emulator.JobLedger.
func (c *runChecker) Started(task string, run uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	c.startedJobs[job] = true
	c.eventCount++
	c.lastStart[task] = c.eventCount
	if c.activeRuns[task]++; c.activeRuns[task] > 1 {
		c.addViolationf("task %s run %d started while another run was active", task, run)
	}
	if c.doneAcknowledged[task] {
		c.addViolationf("task %s run %d started after an acknowledged completion", task, run)
	}
}

// Ended implements emulator.JobLedger.
func (c *runChecker) Ended(task string, _ uint64, how emulator.JobEnding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeRuns[task]--
	if how == emulator.JobDone {
		c.eventCount++
		c.lastDone[task] = c.eventCount
	}
}

// Noted implements emulator.JobLedger.
func (c *runChecker) Noted(task string, run uint64, how emulator.JobEnding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how != emulator.JobDone {
		return
	}
	c.doneAcknowledged[task] = true
	if c.lastStart[task] > c.lastDone[task] {
		c.addViolationf("task %s started again after its completion, but the completion of run %d was then acknowledged", task, run)
	}
}
