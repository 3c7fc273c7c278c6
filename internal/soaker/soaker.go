// Package soaker is a fault-injection test of the real programs. It runs them as
// separate processes on loopback, injects faults from outside, and checks the
// guarantees for jobs from what submitters and workers observe. The seed determines
// a run, except for the timing of the processes.
package soaker

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/platform/standin"
)

const (
	roleCore  = "core"
	roleFront = "front"

	internalPort = 7300
	controlPort  = 7400
	frontPort    = 7401
	readyPort    = 7402
	workerPort   = 7403

	cores   = 3
	fronts  = 2
	workers = 7

	// taskTime is the run time of most tasks, longTaskTime that of the tasks of the first
	// step of one job in longInterval. The latter outlast the leases that workers hold.
	taskTime     = 300 * time.Millisecond
	longTaskTime = 4 * time.Second
	longInterval = 10
	// startupTimeout bounds the time from the start of all processes until the
	// configuration is acknowledged.
	startupTimeout = 15 * time.Second
	// completionTimeout bounds the time in which all accepted jobs must complete once
	// the faults have ended. It covers the expiry of leases, elections and the
	// backlog of jobs.
	completionTimeout = 40 * time.Second
)

// Options configures a run.
type Options struct {
	// Seed determines the faults; an even seed also has the leader's orders carried
	// by other core machines.
	Seed uint64
	// Length is the time during which faults are injected.
	Length time.Duration
	// Only, if not empty, is part of the names of the faults that are injected.
	Only string
	// Program is the path of the program under test.
	Program string
	// Dir is for settings, data and logs; it must be empty.
	Dir    string
	Logger *slog.Logger
}

// machine is an emulated machine of the system under test, with its own loopback
// address.
type machine struct{ name, role, zone, ip string }

func (m machine) control() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }
func (m machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// Report is the result of a run.
type Report struct {
	// Accepted, Refused and Unknown count the jobs by the outcome of their
	// submission; Completed counts the accepted jobs that were completed.
	Accepted, Completed, Refused, Unknown int
	// GivenUp counts the accepted jobs with a deadly task, which have failed; Suspected
	// counts the others that have failed after several workers crashed that ran them.
	GivenUp, Suspected int
	// Faults counts the injected faults.
	Faults int
	// Violations describes the violated guarantees; the run passes if it is empty.
	Violations []string
}

// soak is the state of one run.
type soak struct {
	opts        Options
	random      *rand.Rand
	machines    []machine
	processes   []*process
	workers     []*worker
	proxies     []*proxy
	checker     *runChecker
	client      *http.Client
	submissions submissions
	faultCount  int
	active      []activeFault
	// workersDown is true while several workers are down that crashed together.
	workersDown bool
	// deadAddress is a control address at which no machine is.
	deadAddress      string
	providerListener net.Listener
}

// Run executes one run. An error means that the system could not be set up; failed
// checks are in the report.
func Run(opts Options) (Report, error) {
	s := &soak{
		opts:    opts,
		random:  rand.New(rand.NewPCG(opts.Seed, 7)),
		checker: newRunChecker(),
		client: &http.Client{
			Timeout: 4 * time.Second,
		},
	}
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	if err := s.configure(); err != nil {
		return Report{}, err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.submitJobs(stop)
	}()
	s.injectFaults()
	s.clearImpairments()
	close(stop)
	<-done
	s.awaitCompletion()
	return s.report(), nil
}

// start starts all processes, workers and proxies. The loopback subnet is derived
// from the process id, so that runs in parallel rarely share addresses.
func (s *soak) start() error {
	subnet := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+(os.Getpid()/200)%200)
	var err error
	if s.providerListener, err = net.Listen("tcp", subnet+".250:0"); err != nil {
		return errors.Wrap(err, "soaker: listen for the emulated cloud provider")
	}
	go standin.ServeProvider(s.providerListener)
	s.deadAddress = fmt.Sprintf("%s.99:%d", subnet, controlPort)
	for i := range cores {
		s.machines = append(s.machines, machine{
			name: fmt.Sprint("core-", i),
			role: roleCore,
			zone: fmt.Sprint("z", i),
			ip:   fmt.Sprintf("%s.%d", subnet, 1+i),
		})
	}
	for i := range fronts {
		s.machines = append(s.machines, machine{
			name: fmt.Sprint("front-", i),
			role: roleFront,
			zone: fmt.Sprint("z", i),
			ip:   fmt.Sprintf("%s.%d", subnet, 11+i),
		})
	}
	var controls []string
	for _, m := range s.machines[:cores] {
		controls = append(controls, m.control())
	}
	for _, m := range s.machines {
		p := &process{
			name:     m.name,
			role:     m.role,
			ip:       m.ip,
			dir:      s.opts.Dir,
			program:  s.opts.Program,
			settings: settingsText(m, controls, s.opts.Dir, s.providerListener.Addr().String()),

			exitedByItself: s.exitedByItself,
		}
		if s.opts.Seed%2 == 0 {
			// With an even seed, other core machines carry the leader's orders.
			p.arguments = []string{"--delegate-from", "1"}
		}
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	for i := range workers {
		if err := s.startWorker(i, subnet, controls); err != nil {
			return err
		}
	}
	return nil
}

// exitedByItself records a process that has ended without being told to.
func (s *soak) exitedByItself(p *process, state *os.ProcessState) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.addViolationf("process %s exited by itself: %v", p.name, state)
}

func (s *soak) close() {
	for _, p := range s.processes {
		if p.cmd != nil && p.exited != nil {
			p.kill()
		}
	}
	for _, w := range s.workers {
		w.close()
	}
	for _, p := range s.proxies {
		p.close()
	}
	if s.providerListener != nil {
		_ = s.providerListener.Close()
	}
}

func (s *soak) report() Report {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	r := s.submissions.report(s.checker)
	r.Violations = append(r.Violations, s.checker.violations...)
	r.Faults = s.faultCount
	return r
}
