package soaker

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/platform/standin"
)

const (
	// deadlyInterval makes one job in that many deadly: its first task crashes each
	// worker that starts it.
	deadlyInterval = 50
	// maxCrashes is the most workers that one task may crash.
	maxCrashes = 5
	// workerDownTime is how long a worker is down after a crash by a task.
	workerDownTime = 2 * time.Second
	// shrunkMilliCores is the capacity of a worker that has become smaller.
	shrunkMilliCores = 1000
	// capacitySlack is how long after that tasks may still start beyond it: its heartbeat
	// may be held up by a fault, and the leader may change.
	capacitySlack = 3*maxFaultDuration + standin.HeartbeatInterval
)

// worker is the place of an emulated worker: one that has crashed is followed there by
// another, or by itself under the id that it had.
type worker struct {
	soak    *soak
	options standin.Options
	proxy   *proxy

	mu      sync.Mutex
	current *standin.Worker
	// down is true from a crash until the next start.
	down bool
	// starts counts the starts, to tell the incarnations apart in reports.
	starts int
	// crashes counts the crashes by tasks, and is part of the id of the worker.
	crashes int
	// shrunkAt is when the capacity was reduced last; zero while it is whole.
	shrunkAt time.Time
	closed   bool
}

// startWorker starts an emulated worker behind a proxy, whose address it announces.
func (s *soak) startWorker(i int, subnet string, controls []string) error {
	listen := fmt.Sprintf("%s.%d:%d", subnet, 101+i, workerPort)
	announce := fmt.Sprintf("%s.%d:%d", subnet, 151+i, workerPort)
	w := &worker{
		soak: s,
		down: true,
	}
	w.options = standin.Options{
		ID:               fmt.Sprint("worker-", i),
		Pool:             "pool",
		Zone:             fmt.Sprint("z", i%cores),
		Listen:           listen,
		Announce:         announce,
		ControlAddresses: controls,
		TaskTime:         timeOf,
		OnStart:          w.started,
	}
	var err error
	if w.proxy, err = newProxy(announce, listen, s.opts.Seed+uint64(i)); err != nil {
		return errors.Wrap(err, "soaker: start proxy of a worker")
	}
	s.proxies = append(s.proxies, w.proxy)
	if err := w.start(); err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	return nil
}

func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.current.Close()
}

// timeOf returns how long a task runs.
func timeOf(task string) time.Duration {
	job, rest, _ := strings.Cut(task, ".")
	n, err := strconv.ParseUint(job, 16, 64)
	if err == nil && n%longInterval == 0 && strings.HasPrefix(rest, "0.0.") {
		return longTaskTime
	}
	return taskTime
}

// isDeadly reports whether a task crashes its workers.
func isDeadly(task string) bool {
	job, rest, _ := strings.Cut(task, ".")
	n, err := strconv.ParseUint(job, 16, 64)
	return err == nil && n%deadlyInterval == deadlyInterval/2 && rest == "0.0.0"
}

// started checks a start and crashes the worker if the task is deadly.
func (w *worker) started(task string) {
	w.mu.Lock()
	over := !w.shrunkAt.IsZero() && time.Since(w.shrunkAt) > capacitySlack && w.current.Active()*milliCoresPerTask > shrunkMilliCores
	w.mu.Unlock()
	c := w.soak.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	if over {
		c.addViolationf("task %s started beyond the capacity of %s", task, w.options.Announce)
	}
	if !isDeadly(task) {
		return
	}
	if c.crashes[task]++; c.crashes[task] > maxCrashes {
		c.addTaskViolationf(task, "task %s has crashed %d workers", task, c.crashes[task])
	}
	go w.crashAndReplace()
}

// crashAndReplace ends the worker and starts another one at its address later.
func (w *worker) crashAndReplace() {
	if w.crash() == nil {
		return
	}
	time.Sleep(workerDownTime)
	w.mu.Lock()
	w.crashes++
	w.mu.Unlock()
	w.restart()
}

// crash ends the worker and returns it, or nil if it is down already.
func (w *worker) crash() *standin.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.down {
		return nil
	}
	w.down = true
	w.current.Close()
	return w.current
}

// restart starts the worker after a crash, under its id unless a task has crashed it.
func (w *worker) restart() {
	if err := w.start(); err != nil {
		w.soak.checker.mu.Lock()
		defer w.soak.checker.mu.Unlock()
		w.soak.checker.addViolationf("worker did not restart after a crash: %v", err)
	}
}

// start starts the next incarnation, which knows nothing of the one before.
func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	options := w.options
	if w.crashes > 0 {
		options.ID = fmt.Sprintf("%s-%d", w.options.ID, w.crashes)
	}
	w.starts++
	options.Ledger = &ledger{
		checker: w.soak.checker,
		worker:  fmt.Sprintf("%s, start %d", options.ID, w.starts),
	}
	next, err := standin.Start(options)
	if err != nil {
		return err
	}
	w.current, w.down, w.shrunkAt = next, false, time.Time{}
	return nil
}

// shrink reduces the capacity of the worker for the rest of the run, or restores it.
func (w *worker) shrink() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	if w.shrunkAt.IsZero() {
		w.shrunkAt = time.Now()
		w.current.Resize(shrunkMilliCores)
		return
	}
	w.shrunkAt = time.Time{}
	w.current.Resize(standin.DefaultMilliCores)
}
