package soaker

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/heathermux/heathermux/platform/standin"
)

const (
	// maxCrashedWorkers bounds the number of workers that crash at the same moment; the
	// others may run their tasks.
	maxCrashedWorkers = 4
	// maxWorkersDownTime bounds how long several workers are down together. It is longer
	// than the leases that they hold.
	maxWorkersDownTime = 6 * time.Second
	// maxBriefDownTime bounds how long they are down if their callers are to wait for them.
	maxBriefDownTime = 700 * time.Millisecond
	// maxRestartStagger bounds the time between the restarts of two of these workers.
	maxRestartStagger = 20 * time.Millisecond
	// maxLeaderPause bounds how long a leader is disturbed. It is longer than its lease.
	maxLeaderPause = 6 * time.Second
	// maxLeaderOffset bounds the time between a restart of workers and a disturbance of the
	// leader.
	maxLeaderOffset = 80 * time.Millisecond
)

// crashedWorker is a worker that is down, with what ends the state of its proxy.
type crashedWorker struct {
	worker *worker
	// last is the incarnation that has crashed.
	last      *standin.Worker
	reconnect func()
}

// crashWorkers crashes several workers at the same moment. If silent, their connections
// stay open, and what is sent to them meanwhile is delivered after their restart; if not,
// connections are refused. They start again under the ids that they had, almost at the
// same time. If disturb is set, the leader is frozen or killed just before or after that.
func (s *soak) crashWorkers(silent, disturb bool) func() {
	if s.workersDown {
		// Most of the pool would be down all the time.
		return func() {}
	}
	s.workersDown = true
	var crashed []crashedWorker
	count := 2 + s.random.IntN(maxCrashedWorkers-1)
	for _, i := range s.random.Perm(len(s.workers))[:count] {
		w := s.workers[i]
		reconnect := w.disconnect(silent)
		if reconnect != nil {
			crashed = append(crashed, crashedWorker{
				worker:    w,
				reconnect: reconnect,
			})
		}
	}
	var group sync.WaitGroup
	for i := range crashed {
		group.Go(func() { crashed[i].last = crashed[i].worker.crash() })
	}
	group.Wait()
	return func() {
		s.workersDown = false
		offset := time.Duration(s.random.Int64N(int64(maxLeaderOffset)))
		before := disturb && s.random.IntN(2) == 0
		if before {
			s.disturbLeader()
			time.Sleep(offset)
		}
		for _, c := range crashed {
			stagger := time.Duration(s.random.Int64N(int64(maxRestartStagger)))
			repeat := s.random.IntN(2) == 0
			group.Go(func() { c.restart(stagger, repeat) })
		}
		if disturb && !before {
			time.Sleep(offset)
			s.disturbLeader()
		}
		group.Wait()
	}
}

// restart starts the worker again after a time, and may repeat the last heartbeat of the
// incarnation before.
func (c crashedWorker) restart(after time.Duration, repeatHeartbeat bool) {
	time.Sleep(after)
	if c.last == nil {
		// A task had crashed the worker, which is replaced in its own time.
		c.reconnect()
		return
	}
	c.worker.restart()
	c.reconnect()
	if repeatHeartbeat {
		c.last.RepeatHeartbeat()
	}
}

// disconnect lets the proxy of a worker go silent or refuse connections, and returns a
// function that ends this. It returns nil if the proxy is impaired.
func (w *worker) disconnect(silent bool) func() {
	if silent {
		return w.proxy.impair(Blocked)
	}
	// Other impairments leave a proxy alone that is blocked.
	restore := w.proxy.impair(Blocked)
	if restore == nil {
		return nil
	}
	w.proxy.refuse()
	return func() {
		restore()
		if err := w.proxy.listen(); err != nil {
			w.soak.checker.mu.Lock()
			defer w.soak.checker.mu.Unlock()
			w.soak.checker.addViolationf("proxy did not listen again after a fault: %v", err)
		}
	}
}

// disturbLeader freezes the leader or kills it, at times for longer than its lease.
func (s *soak) disturbLeader() {
	p := s.leader()
	length := time.Duration(s.random.Int64N(int64(maxLeaderPause)))
	if s.random.IntN(2) == 0 {
		s.schedule(length, s.freezeProcess(p))
		return
	}
	s.schedule(length, s.stopProcess(p, (*process).kill))
}

// handOver lets the leader hand over to the others while one of these is frozen.
func (s *soak) handOver() func() {
	leader := s.leader()
	other := s.processes[s.random.IntN(cores)]
	var thaw func()
	if other != leader {
		thaw = s.freezeProcess(other)
	}
	start := s.stopProcess(leader, func(p *process) { p.terminate(grace) })
	return func() {
		start()
		if thaw != nil {
			thaw()
		}
	}
}

// freezeProcess freezes a process and returns a function that continues it. It does
// nothing if the process is frozen or stopped already.
func (s *soak) freezeProcess(p *process) func() {
	if p.disrupted {
		return func() {}
	}
	p.disrupted = true
	p.signal(syscall.SIGSTOP)
	return func() {
		p.disrupted = false
		p.signal(syscall.SIGCONT)
	}
}

// leader returns the core process that has begun the latest term according to the logs,
// and any core process before the first term.
func (s *soak) leader() *process {
	latest, leader := 0, s.processes[s.random.IntN(cores)]
	for _, p := range s.processes[:cores] {
		if term := lastTerm(filepath.Join(p.dir, p.name+".log")); term > latest {
			latest, leader = term, p
		}
	}
	return leader
}

// lastTerm returns the last term that a process has led according to its log, 0 if none.
func lastTerm(path string) int {
	// A log that can't be read yet names no term.
	log, _ := os.ReadFile(path)
	start := bytes.LastIndex(log, []byte(`"msg":"conductor: leads a new term`))
	if start < 0 {
		return 0
	}
	line, _, _ := bytes.Cut(log[start:], []byte("\n"))
	var entry struct {
		Term int `json:"term"`
	}
	if json.Unmarshal(append([]byte("{"), line...), &entry) != nil {
		return 0
	}
	return entry.Term
}
