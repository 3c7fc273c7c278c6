package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps the runs of all minions. It is
// safe for concurrent use.
type record struct {
	began time.Time

	mu  sync.Mutex
	out io.Writer
	// runs holds all runs in the order of their starts.
	runs []*taskRun
	// overlaps holds the pairs of runs of one task that were at work at the same time.
	overlaps []string
}

// taskRun is one run of a task on a minion.
type taskRun struct {
	task   string
	run    uint64
	minion string
	zone   string
	began  time.Time
	// ended is zero while the run is at work.
	ended time.Time
	how   string
	// tookNote is true once the end has been taken note of, with no lapse of the lease
	// between the two.
	tookNote bool
}

func newRecord(out io.Writer) *record {
	return &record{
		began: time.Now(),
		out:   out,
	}
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes one line; r.mu is held.
func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// started notes the start of a run, and an overlap with another run of the task.
func (r *record) started(run *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.began = time.Now()
	for _, other := range r.runs {
		if other.task == run.task && other.ended.IsZero() {
			overlap := fmt.Sprintf("task %s: run %d on %s begins while run %d is at work on %s", run.task, run.run, run.minion, other.run, other.minion)
			r.overlaps = append(r.overlaps, overlap)
			r.write("TWO RUNS AT ONCE: %s", overlap)
		}
	}
	r.runs = append(r.runs, run)
	r.write("run starts: task %s run %d on %s in %s", run.task, run.run, run.minion, run.zone)
}

// ended notes the end of a run.
func (r *record) ended(run *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.ended, run.how = time.Now(), how
	r.write("run ends %s: task %s run %d on %s", how, run.task, run.run, run.minion)
}

// tookNote notes that the end of a run was taken note of.
func (r *record) tookNote(run *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.tookNote = true
}

// startsAfterDone returns how many runs have begun after another run of their task had
// ended `done`, where that end was taken note of.
func (r *record) startsAfterDone() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	done := make(map[string]*taskRun)
	n := 0
	for _, run := range r.runs {
		if run.how == "done" && run.tookNote && done[run.task] == nil {
			done[run.task] = run
		}
	}
	for _, run := range r.runs {
		if first := done[run.task]; first != nil && first != run && run.began.After(first.ended) {
			n++
			r.write("START AFTER DONE: task %s run %d on %s begins %v after run %d has ended done on %s", run.task, run.run, run.minion,
				run.began.Sub(first.ended), first.run, first.minion)
		}
	}
	return n
}

// startsOf returns how many runs of a task have begun.
func (r *record) startsOf(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, run := range r.runs {
		if run.task == task {
			n++
		}
	}
	return n
}

// atWork returns the runs that are at work.
func (r *record) atWork() []taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []taskRun
	for _, run := range r.runs {
		if run.ended.IsZero() {
			list = append(list, *run)
		}
	}
	return list
}

// startsIn returns how many runs have begun in a zone after a time.
func (r *record) startsIn(zone string, after time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, run := range r.runs {
		if run.zone == zone && run.began.After(after) {
			n++
		}
	}
	return n
}

// overlapCount returns how many overlaps were seen.
func (r *record) overlapCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.overlaps)
}
