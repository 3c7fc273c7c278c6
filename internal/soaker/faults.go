package soaker

import (
	"syscall"
	"time"
)

const (
	// faultGap is the most time between the beginnings of two faults.
	faultGap = 1200 * time.Millisecond
	// faultTime is the most time that one lasts; faults overlap.
	faultTime = 4 * time.Second
)

// fault begins a trouble and returns what ends it.
type fault struct {
	name  string
	begin func(s *soak) (end func())
}

// faults are drawn by the seed. One disk may be lost at a time, so a wipe waits
// until the group has repaired the former one.
var faults = []fault{
	{
		name:  "kill",
		begin: func(s *soak) func() { return s.stopProcess(s.anyProcess(), (*process).kill) },
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
			return s.stopProcess(s.anyProcess(), func(p *process) {
				p.signal(syscall.SIGTERM)
				<-p.exited
			})
		},
	},
	{
		name: "freeze",
		begin: func(s *soak) func() {
			p := s.anyProcess()
			if p.frozen {
				return func() {}
			}
			p.frozen = true
			p.signal(syscall.SIGSTOP)
			return func() {
				p.frozen = false
				p.signal(syscall.SIGCONT)
			}
		},
	},
	{
		name:  "delay",
		begin: func(s *soak) func() { return s.troubled(Delay) },
	},
	{
		name:  "silence",
		begin: func(s *soak) func() { return s.troubled(Silence) },
	},
	{
		name:  "one way",
		begin: func(s *soak) func() { return s.troubled(OneWay) },
	},
	{
		name: "reset",
		begin: func(s *soak) func() {
			s.proxies[s.r.IntN(len(s.proxies))].reset()
			return func() {}
		},
	},
}

func (s *soak) anyProcess() *process { return s.processes[s.r.IntN(len(s.processes))] }

// stopProcess ends a process and returns what starts it again; a frozen one is
// left alone.
func (s *soak) stopProcess(p *process, stop func(p *process)) func() {
	if p.frozen {
		return func() {}
	}
	// A frozen or stopped process is no target of a second signal.
	p.frozen = true
	stop(p)
	return func() {
		p.frozen = false
		if err := p.start(); err != nil {
			s.ledger.mu.Lock()
			s.ledger.breakf("process does not start again: %v", err)
			s.ledger.mu.Unlock()
		}
	}
}

// troubled puts a proxy into a trouble and returns what ends it.
func (s *soak) troubled(t Trouble) func() {
	p := s.proxies[s.r.IntN(len(s.proxies))]
	p.trouble.Store(int32(t))
	return func() { p.trouble.Store(int32(None)) }
}

type lasting struct {
	until time.Time
	end   func()
}

// injectAll begins faults in series until the time is over; they overlap.
func (s *soak) injectAll() {
	var open []lasting
	for over := time.Now().Add(s.opts.Length); time.Now().Before(over); {
		f := faults[s.r.IntN(len(faults))]
		length := time.Duration(s.r.Int64N(int64(faultTime)))
		s.opts.Logger.Info("soak: fault", "kind", f.name, "length", length)
		s.faults++
		open = append(open, lasting{
			until: time.Now().Add(length),
			end:   f.begin(s),
		})
		wait := time.Now().Add(time.Duration(s.r.Int64N(int64(faultGap))))
		for time.Now().Before(wait) {
			time.Sleep(20 * time.Millisecond)
			open = endDue(open, time.Now())
		}
	}
	endDue(open, time.Now().Add(faultTime))
}

// endDue ends the faults whose time is over and returns the others.
func endDue(open []lasting, now time.Time) []lasting {
	var rest []lasting
	for _, l := range open {
		if l.until.After(now) {
			rest = append(rest, l)
			continue
		}
		l.end()
	}
	return rest
}

// heal ends all troubles of the proxies.
func (s *soak) heal() {
	for _, p := range s.proxies {
		p.trouble.Store(int32(None))
	}
}
