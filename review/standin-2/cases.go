package main

import (
	"errors"
	"fmt"
	"time"
)

// formTime is how long the system gets to accept its first configuration, from when all its
// processes are up.
const formTime = 60 * time.Second

// formation starts the system for the first time. Its core processes start within 0.3 s of each
// other; the first one is killed right after that and is back half a second later.
func formation(r *rig, trouble bool, _ uint64) error {
	r.pools = []string{"p0"}
	if err := r.cores[0].start(); err != nil {
		return err
	}
	if trouble {
		time.Sleep(200 * time.Millisecond)
		r.cores[0].kill()
	}
	time.Sleep(80 * time.Millisecond)
	for _, p := range append(append([]*process{}, r.cores[1:]...), r.fronts...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := r.cores[0].start(); err != nil {
			return err
		}
	}
	return r.checkFormed()
}

// absence starts the system for the first time. One core machine loses power right after its
// start and stays away.
func absence(r *rig, trouble bool, _ uint64) error {
	r.pools = []string{"p0"}
	for _, p := range append(append([]*process{}, r.cores...), r.fronts...) {
		if err := p.start(); err != nil {
			return err
		}
		if trouble && p == r.cores[2] {
			time.Sleep(20 * time.Millisecond)
			p.kill()
		}
	}
	return r.checkFormed()
}

// checkFormed checks that the system accepts its first configuration and serves a client.
func (r *rig) checkFormed() error {
	if !r.configure([]route{r.route("q0", "p0")}, formTime) {
		r.hub.mu.Lock()
		r.hub.breakf("Fault: no configuration was accepted and no request served in %v", formTime)
		r.hub.mu.Unlock()
		return nil
	}
	j := &job{
		ID:    fmt.Sprintf("%016x", 0x3000),
		Spec:  "one",
		route: "q0",
		Steps: []*step{
			{
				Count:      1,
				CPU:        1000,
				MemMB:      100,
				EstimateMS: 100,
				millis:     100,
			},
		},
	}
	if !r.submit(0, j) {
		r.hub.mu.Lock()
		r.hub.breakf("Fault: no request was served")
		r.hub.mu.Unlock()
	}
	return nil
}

// startServing starts a deployment with one pool of nine workers and a spare pool, and puts its
// configuration in force.
func (r *rig) startServing() error {
	r.listed = true
	if err := r.startAll(9, "p0"); err != nil {
		return err
	}
	for n := range spareMachines {
		r.cloud.add(fmt.Sprint("m-spare-", n), "spare", fmt.Sprint("z", n%3), fmt.Sprintf("r9-%d", n/4), fmt.Sprintf("%s:%d", r.ip(201+n), workerPort), nil)
	}
	r.pools = append(r.pools, "spare")
	if !r.configure([]route{r.route("q0", "p0")}, 15*time.Second) {
		return errSetUp
	}
	time.Sleep(2 * time.Second)
	return nil
}

func batchJob(id, seconds int) *job {
	return &job{
		ID:    fmt.Sprintf("%016x", id),
		Spec:  "batch",
		route: "q0",
		Steps: []*step{
			{
				Count:      1,
				CPU:        8000,
				MemMB:      4000,
				EstimateMS: seconds * 1000,
				millis:     seconds * 1000,
			},
		},
	}
}

var errNoStart = errors.New("the task did not start")

// runner returns the worker on which a task runs, or nil.
func (r *rig) runner(task string) *worker {
	for _, w := range append(append([]*worker{}, r.workers...), r.cloud.workers()...) {
		w.mu.Lock()
		has := w.life != nil && w.life.runs[task] != nil
		w.mu.Unlock()
		if has {
			return w
		}
	}
	return nil
}

// awaitRunner waits until a task runs.
func (r *rig) awaitRunner(task string, within time.Duration) *worker {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if w := r.runner(task); w != nil {
			return w
		}
	}
	return nil
}

const (
	crashCount = 5
	crashAfter = time.Second
	crashTime  = time.Second
)

// crashes plays one job with a task of twelve seconds. Workers crash, one at a time, while they
// have it; each is back a second later.
func crashes(r *rig, trouble bool, _ uint64) error {
	if err := r.startServing(); err != nil {
		return err
	}
	j := batchJob(0x4000, 12)
	if !r.submit(0, j) {
		return errNoStart
	}
	for n := range crashCount {
		w := r.awaitRunner(j.ID+".0.0.0", 12*time.Second)
		if w == nil && n == 0 {
			return errNoStart
		}
		if w == nil || !trouble {
			break
		}
		time.Sleep(crashAfter)
		id := w.current().id
		w.crash()
		time.Sleep(crashTime)
		if err := w.start(id); err != nil {
			return err
		}
	}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if j.state = r.state(0, j); j.state == "completed" || j.state == "failed" {
			break
		}
	}
	r.hub.note("job %s is shown as %s", j.ID, j.state)
	r.hub.mu.Lock()
	defer r.hub.mu.Unlock()
	if j.state != "completed" {
		r.hub.breakf("LOST: job %s is shown as %q; %d of its runs have ended failed", j.ID, j.state, r.hub.failures[j.ID+".0.0.0"])
	}
	return nil
}
