package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// lasting plays long-running jobs in a pool of nine workers: one of them crashes, and when its
// tasks run elsewhere, a rack of four loses power for some seconds.
func lasting(r *rig, trouble bool, _ uint64) error {
	if err := r.startServing(); err != nil {
		return err
	}
	var jobs []*job
	var group sync.WaitGroup
	for n := range lastingJobs {
		j := &job{
			ID:    fmt.Sprintf("%016x", 0x2000+n),
			Spec:  "lasts",
			route: "q0",
			Steps: []*step{
				{
					Count:      8,
					CPU:        2000,
					MemMB:      2000,
					EstimateMS: 700,
					Lasting:    true,
					PerServer:  1,
					MayMiss:    1,
				},
			},
		}
		jobs = append(jobs, j)
		group.Go(func() { r.submit(n, j) })
	}
	group.Wait()
	time.Sleep(3 * time.Second)
	if trouble {
		for range 4 {
			r.crashFullest(func(w *worker) int { return w.newRuns(7 * time.Second) })
			time.Sleep(3500 * time.Millisecond)
		}
	}
	r.hub.note("all disruptions are over")
	time.Sleep(40 * time.Second)
	r.checkLasting(jobs)
	return nil
}

// spareMachines is the number of machines of the spare pool.
const spareMachines = 8

// lastingJobs is the number of long-running jobs, with eight tasks each.
const lastingJobs = 20

// crashFullest crashes the worker of p0 for which the figure is highest; it is back after a second.
func (r *rig) crashFullest(figure func(w *worker) int) {
	w := slices.MaxFunc(r.workers, func(a, b *worker) int { return figure(a) - figure(b) })
	l := w.current()
	if l == nil {
		return
	}
	w.crash()
	time.AfterFunc(time.Second, func() {
		if err := w.start(l.id); err != nil {
			r.hub.note("could not start %s again: %v", l.id, err)
		}
	})
}

// newRuns returns the number of runs that have begun within the given time.
func (w *worker) newRuns(within time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	if w.life != nil {
		for _, r := range w.life.runs {
			if time.Since(r.began) < within {
				n++
			}
		}
	}
	return n
}

// load returns the number of runs.
func (w *worker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil {
		return 0
	}
	return len(w.life.runs)
}

// checkLasting checks that all tasks of long-running jobs run.
func (r *rig) checkLasting(jobs []*job) {
	r.hub.mu.Lock()
	defer r.hub.mu.Unlock()
	for _, j := range jobs {
		for i := range j.Steps[0].Count {
			task := fmt.Sprintf("%s.0.0.%d", j.ID, i)
			if j.accepted && len(r.hub.active[task]) == 0 {
				r.hub.breakf("LOST: %s does not run; its last run has ended %.1f s ago", task, time.Since(r.hub.lastEnd[task]).Seconds())
			}
		}
	}
}
