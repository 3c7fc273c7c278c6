package soaker

import (
	"strings"
	"syscall"
	"time"
)

const (
	// maxFaultInterval bounds the random time between the starts of two faults.
	maxFaultInterval = 1200 * time.Millisecond
	// maxFaultDuration bounds the random duration of a fault. It is longer than
	// maxFaultInterval, so that faults overlap.
	maxFaultDuration = 4 * time.Second
	// slowPeriod and slowShare are how often a slow process stands still, and for what
	// share of the time in percent.
	slowPeriod = 50 * time.Millisecond
	slowShare  = 80
)

// fault is a kind of fault to inject. Its begin function starts the fault and
// returns a function that ends it.
type fault struct {
	name  string
	begin func(s *soak) (end func())
	// maxDuration bounds the random duration; 0 stands for maxFaultDuration.
	maxDuration time.Duration
}

// faults holds the kinds of faults, from which the seeded generator draws. The
// loss of a disk isn't among them: the system tolerates one at a time, so a disk
// may be wiped only after the group has repaired the previous loss.
var faults = []fault{
	{
		name:  "kill",
		begin: func(s *soak) func() { return s.stopProcess(s.randomProcess(), (*process).kill) },
	},
	{
		name: "kill all cores",
		begin: func(s *soak) func() {
			var ends []func()
			for _, p := range s.processes[:cores] {
				ends = append(ends, s.stopProcess(p, (*process).kill))
			}
			return func() {
				for _, end := range ends {
					end()
				}
			}
		},
	},
	{
		name: "terminate",
		begin: func(s *soak) func() {
			return s.stopProcess(s.randomProcess(), func(p *process) { p.terminate(grace) })
		},
	},
	{
		name:  "freeze",
		begin: func(s *soak) func() { return s.freezeProcess(s.randomProcess()) },
	},
	{
		name:        "freeze leader",
		begin:       func(s *soak) func() { return s.freezeProcess(s.leader()) },
		maxDuration: maxLeaderPause,
	},
	{
		name:  "slow",
		begin: func(s *soak) func() { return s.slowProcess(s.randomProcess()) },
	},
	{
		name:  "hand over",
		begin: func(s *soak) func() { return s.handOver() },
	},
	{
		name: "exchange seeds",
		begin: func(s *soak) func() {
			s.exchangeSeeds(s.randomProcess())
			return func() {}
		},
	},
	{
		name: "junk",
		begin: func(s *soak) func() {
			s.sendJunk()
			return func() {}
		},
	},
	{
		name:        "crash workers, silent",
		begin:       func(s *soak) func() { return s.crashWorkers(true, false) },
		maxDuration: maxWorkersDownTime,
	},
	{
		// The answer to an order comes from the next incarnation.
		name:        "crash workers, briefly",
		begin:       func(s *soak) func() { return s.crashWorkers(true, false) },
		maxDuration: maxBriefDownTime,
	},
	{
		name:        "crash workers, refused",
		begin:       func(s *soak) func() { return s.crashWorkers(false, false) },
		maxDuration: maxWorkersDownTime,
	},
	{
		name:        "crash workers, silent, and disturb leader",
		begin:       func(s *soak) func() { return s.crashWorkers(true, true) },
		maxDuration: maxWorkersDownTime,
	},
	{
		name:        "crash workers, refused, and disturb leader",
		begin:       func(s *soak) func() { return s.crashWorkers(false, true) },
		maxDuration: maxWorkersDownTime,
	},
	{
		name:  "delay",
		begin: func(s *soak) func() { return s.impairRandomProxy(Delayed) },
	},
	{
		name:  "silence",
		begin: func(s *soak) func() { return s.impairRandomProxy(Blocked) },
	},
	{
		name:  "one way",
		begin: func(s *soak) func() { return s.impairRandomProxy(ResponsesBlocked) },
	},
	{
		name:  "late orders",
		begin: func(s *soak) func() { return s.impairRandomProxy(RequestsLate) },
	},
	{
		name:  "lost answers",
		begin: func(s *soak) func() { return s.impairRandomProxy(ResponsesLost) },
	},
	{
		name:  "truncated answers",
		begin: func(s *soak) func() { return s.impairRandomProxy(ResponsesTruncated) },
	},
	{
		name:  "garbled answers",
		begin: func(s *soak) func() { return s.impairRandomProxy(ResponsesGarbled) },
	},
	{
		name:  "truncated orders",
		begin: func(s *soak) func() { return s.impairRandomProxy(RequestsTruncated) },
	},
	{
		name: "resize",
		begin: func(s *soak) func() {
			s.workers[s.random.IntN(len(s.workers))].shrink()
			return func() {}
		},
	},
	{
		name: "reset",
		begin: func(s *soak) func() {
			s.proxies[s.random.IntN(len(s.proxies))].reset()
			return func() {}
		},
	},
}

// randomProcess returns any process, also one that is stopped or frozen.
func (s *soak) randomProcess() *process { return s.processes[s.random.IntN(len(s.processes))] }

// stopProcess stops a process and returns a function that starts it again. It
// does nothing if the process is frozen or stopped already.
func (s *soak) stopProcess(p *process, stop func(p *process)) func() {
	if p.disrupted {
		return func() {}
	}
	// Keeps other faults from signalling the process until it runs again.
	p.disrupted = true
	stop(p)
	return func() {
		p.disrupted = false
		if err := p.start(); err != nil {
			s.checker.mu.Lock()
			s.checker.addViolationf("process did not restart after a fault: %v", err)
			s.checker.mu.Unlock()
		}
	}
}

// slowProcess lets a process stand still for a share of the time and returns a function
// that ends this. It does nothing if the process is frozen or stopped already.
func (s *soak) slowProcess(p *process) func() {
	if p.disrupted {
		return func() {}
	}
	p.disrupted = true
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		const frozen = slowPeriod * slowShare / 100
		for {
			p.signal(syscall.SIGSTOP)
			time.Sleep(frozen)
			p.signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(slowPeriod - frozen):
			}
		}
	}()
	return func() {
		close(stop)
		<-done
		p.disrupted = false
	}
}

// exchangeSeeds gives a process other seeds: some of the control addresses in another
// order, at times with one at which no machine is. The process is told of it or reads them
// at its next start.
func (s *soak) exchangeSeeds(p *process) {
	var seeds []string
	for _, i := range s.random.Perm(cores)[:1+s.random.IntN(cores)] {
		seeds = append(seeds, s.machines[i].control())
	}
	if len(seeds) < cores {
		seeds = append([]string{s.deadAddress}, seeds...)
	}
	if err := p.setSeeds(seeds); err != nil {
		s.checker.mu.Lock()
		defer s.checker.mu.Unlock()
		s.checker.addViolationf("settings were not written: %v", err)
	}
	if !p.disrupted && s.random.IntN(2) == 0 {
		p.signal(syscall.SIGHUP)
	}
}

// impairRandomProxy sets the impairment of a random proxy and returns a function
// that clears it. It does nothing if the proxy is impaired already.
func (s *soak) impairRandomProxy(impairment Impairment) func() {
	restore := s.proxies[s.random.IntN(len(s.proxies))].impair(impairment)
	if restore == nil {
		return func() {}
	}
	return restore
}

// activeFault is a fault in progress with the time at which it is to end.
type activeFault struct {
	endsAt time.Time
	end    func()
}

// schedule ends a fault after a time.
func (s *soak) schedule(after time.Duration, end func()) {
	s.active = append(s.active, activeFault{
		endsAt: time.Now().Add(after),
		end:    end,
	})
}

// injectFaults starts random faults at random intervals for the length of the run;
// they may overlap. All faults have ended when it returns.
func (s *soak) injectFaults() {
	var kinds []fault
	for _, f := range faults {
		if strings.Contains(f.name, s.opts.Only) {
			kinds = append(kinds, f)
		}
	}
	for deadline := time.Now().Add(s.opts.Length); time.Now().Before(deadline); {
		f := kinds[s.random.IntN(len(kinds))]
		maxDuration := f.maxDuration
		if maxDuration == 0 {
			maxDuration = maxFaultDuration
		}
		duration := time.Duration(s.random.Int64N(int64(maxDuration)))
		s.opts.Logger.Info("soak: fault", "kind", f.name, "length", duration)
		s.faultCount++
		s.schedule(duration, f.begin(s))
		nextFault := time.Now().Add(time.Duration(s.random.Int64N(int64(maxFaultInterval))))
		for time.Now().Before(nextFault) {
			time.Sleep(20 * time.Millisecond)
			s.endFaults(time.Now())
		}
	}
	for len(s.active) > 0 {
		time.Sleep(20 * time.Millisecond)
		s.endFaults(time.Now())
	}
}

// endFaults ends the faults whose time is over at now. The end of one may schedule others.
func (s *soak) endFaults(now time.Time) {
	active := s.active
	s.active = nil
	for _, f := range active {
		if f.endsAt.After(now) {
			s.active = append(s.active, f)
			continue
		}
		f.end()
	}
}

// clearImpairments removes the impairments of all proxies.
func (s *soak) clearImpairments() {
	for _, p := range s.proxies {
		p.impairment.Store(int32(NoImpairment))
	}
}
