package soaker

import (
	"syscall"
	"time"
)

const (
	// maxFaultInterval bounds the random time between the starts of two faults.
	maxFaultInterval = 1200 * time.Millisecond
	// maxFaultDuration bounds the random duration of a fault. It is longer than
	// maxFaultInterval, so that faults overlap.
	maxFaultDuration = 4 * time.Second
)

// fault is a kind of fault to inject. Its begin function starts the fault and
// returns a function that ends it.
type fault struct {
	name  string
	begin func(s *soak) (end func())
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
			return s.stopProcess(s.randomProcess(), func(p *process) {
				p.signal(syscall.SIGTERM)
				<-p.exited
			})
		},
	},
	{
		name: "freeze",
		begin: func(s *soak) func() {
			p := s.randomProcess()
			if p.disrupted {
				return func() {}
			}
			p.disrupted = true
			p.signal(syscall.SIGSTOP)
			return func() {
				p.disrupted = false
				p.signal(syscall.SIGCONT)
			}
		},
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

// impairRandomProxy sets the impairment of a random proxy and returns a function
// that clears it. It does nothing if the proxy is impaired already, whose end would
// otherwise come with that of the first.
func (s *soak) impairRandomProxy(impairment Impairment) func() {
	p := s.proxies[s.random.IntN(len(s.proxies))]
	if !p.impairment.CompareAndSwap(int32(NoImpairment), int32(impairment)) {
		return func() {}
	}
	return func() { p.impairment.Store(int32(NoImpairment)) }
}

// activeFault is a fault in progress with the time at which it is to end.
type activeFault struct {
	endsAt time.Time
	end    func()
}

// injectFaults starts random faults at random intervals for the length of the run;
// they may overlap. All faults have ended when it returns.
func (s *soak) injectFaults() {
	var active []activeFault
	for deadline := time.Now().Add(s.opts.Length); time.Now().Before(deadline); {
		f := faults[s.random.IntN(len(faults))]
		duration := time.Duration(s.random.Int64N(int64(maxFaultDuration)))
		s.opts.Logger.Info("soak: fault", "kind", f.name, "length", duration)
		s.faultCount++
		active = append(active, activeFault{
			endsAt: time.Now().Add(duration),
			end:    f.begin(s),
		})
		nextFault := time.Now().Add(time.Duration(s.random.Int64N(int64(maxFaultInterval))))
		for time.Now().Before(nextFault) {
			time.Sleep(20 * time.Millisecond)
			active = endExpired(active, time.Now())
		}
	}
	endExpired(active, time.Now().Add(maxFaultDuration))
}

// endExpired ends the faults whose time is over at now and returns the others.
func endExpired(active []activeFault, now time.Time) []activeFault {
	var remaining []activeFault
	for _, f := range active {
		if f.endsAt.After(now) {
			remaining = append(remaining, f)
			continue
		}
		f.end()
	}
	return remaining
}

// clearImpairments removes the impairments of all proxies.
func (s *soak) clearImpairments() {
	for _, p := range s.proxies {
		p.impairment.Store(int32(NoImpairment))
	}
}
