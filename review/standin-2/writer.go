package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// writerSequence is where the numbers of the other writer's heartbeats begin.
const writerSequence = 100_000

// writer is another writer of heartbeats: what it writes for a worker has no slots, and a version
// of another type, so that it names no worker to use.
type writer struct {
	rig    *rig
	client *http.Client
	sent   int
}

func newWriter(r *rig) *writer {
	return &writer{
		rig: r,
		client: &http.Client{
			Timeout: time.Second,
		},
	}
}

// write sends one heartbeat for the life that the worker has, with the given state and clock.
func (o *writer) write(w *worker, state string, clock func(l *life) int64) {
	if l := w.current(); l != nil {
		o.send(w, l, state, clock(l), l.born)
	}
}

// send sends one heartbeat under the id of a life of a worker.
func (o *writer) send(w *worker, l *life, state string, clock, born int64) {
	o.sent++
	body, _ := json.Marshal(map[string]any{
		"service":        w.pool,
		"address":        w.address,
		"zone":           w.zone,
		"version":        3,
		"state":          state,
		"capacity":       map[string]int64{"cpu": 64000, "mem_mb": 131072, "gpu": 0},
		"labels":         []string{"a", w.rack},
		"server_time_ms": clock,
		"born":           born,
		"seq":            writerSequence + o.sent,
	})
	status := post(o.client, fmt.Sprintf("http://%s/-/Instances.Heartbeat/%s", w.controls[o.sent%len(w.controls)], l.id), body)
	o.rig.hub.note("another writer sends for %s: %d %s", l.id, status, body)
}

func ownClock(l *life) int64 { return l.clock(time.Now()) }

// everyWorker returns all workers, also those on machines that were moved.
func (r *rig) everyWorker() []*worker {
	return append(append([]*worker{}, r.workers...), r.cloud.workers()...)
}

// odd plays a writer that sends one heartbeat for each worker, a second after it has begun, by
// which the worker drains. The workers go on and report that they are ready.
func odd(r *rig, trouble bool, _ uint64) error {
	if err := r.startServing(); err != nil {
		return err
	}
	lasts := batchJob(0x9000, 1)
	lasts.Steps[0].Count, lasts.Steps[0].CPU, lasts.Steps[0].Lasting = 5, 2000, true
	if !r.submit(0, lasts) {
		return errNoStart
	}
	time.Sleep(2 * time.Second)
	other, written := newWriter(r), make(map[*life]bool)
	var jobs []*job
	for n := range 60 {
		for _, w := range r.everyWorker() {
			l := w.current()
			if trouble && l != nil && !written[l] && time.Since(l.began) > time.Second {
				written[l] = true
				other.write(w, "draining", ownClock)
			}
		}
		if n%4 == 0 {
			j := batchJob(0x9100+n, 1)
			jobs = append(jobs, j)
			r.submit(n, j)
		}
		time.Sleep(250 * time.Millisecond)
	}
	r.hub.note("nothing more is sent")
	r.awaitJobs(append(jobs, lasts), 30*time.Second)
	return nil
}

// born plays a writer that sends one heartbeat for a worker with a task, with the time of its own
// start in place of the worker's.
func born(r *rig, trouble bool, _ uint64) error {
	if err := r.startServing(); err != nil {
		return err
	}
	j := batchJob(0xb000, 8)
	if !r.submit(0, j) {
		return errNoStart
	}
	w := r.awaitRunner(j.ID+".0.0.0", 5*time.Second)
	if w == nil {
		return errNoStart
	}
	time.Sleep(time.Second)
	if trouble {
		began := time.Now().Add(-500 * time.Millisecond)
		newWriter(r).send(w, w.current(), "ready", time.Since(began).Milliseconds(), began.UnixMilli())
	}
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if j.state = r.state(0, j); j.state == "completed" {
			break
		}
	}
	r.hub.note("job %s is shown as %s", j.ID, j.state)
	time.Sleep(time.Second)
	return nil
}

// cutTime is how long the worker of clocks is cut off.
const cutTime = 5500 * time.Millisecond

// clocks plays a writer that sends heartbeats for one worker with the clock of its machine in place
// of the worker's. Then the worker is cut off, and runs on.
func clocks(r *rig, trouble bool, _ uint64) error {
	if err := r.startServing(); err != nil {
		return err
	}
	j := batchJob(0xa000, 12)
	if !r.submit(0, j) {
		return errNoStart
	}
	w := r.awaitRunner(j.ID+".0.0.0", 5*time.Second)
	if w == nil {
		return errNoStart
	}
	other := newWriter(r)
	const uptime = 40 * 24 * time.Hour
	for n := range 3 {
		time.Sleep(heartbeatInterval)
		if trouble {
			other.write(w, "ready", func(l *life) int64 { return l.clock(time.Now()) + uptime.Milliseconds() })
		}
		r.submit(n, batchJob(0xa001+n, 2))
	}
	time.Sleep(50 * time.Millisecond)
	w.mu.Lock()
	w.silentUntil = time.Now().Add(cutTime)
	w.mu.Unlock()
	r.hub.note("worker %s is cut off for %v", w.id, cutTime)
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if j.state = r.state(0, j); j.state == "completed" {
			break
		}
	}
	r.hub.note("job %s is shown as %s", j.ID, j.state)
	return nil
}
