// Package soaker runs the real programs as separate processes on loopback,
// injects faults from outside them, and checks the promises of jobs from what
// submitters and workers see. A run is decided by its seed, but for the timing
// of the processes.
package soaker

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
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
	workers = 5

	// taskTime is how long a task runs.
	taskTime = 300 * time.Millisecond
	// readyTime bounds the first start of the system.
	readyTime = 15 * time.Second
	// settleTime bounds the time in which all accepted jobs end once no fault
	// lasts: leases, elections and the backlog.
	settleTime = 40 * time.Second
)

// Options decide a run.
type Options struct {
	Seed    uint64
	Length  time.Duration
	Program string
	// Dir takes settings, data and logs; it must be empty.
	Dir    string
	Logger *slog.Logger
}

// machine is one loopback address with its role.
type machine struct{ name, role, zone, ip string }

func (m machine) control() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }
func (m machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// Report is what a run has shown.
type Report struct {
	Accepted, Completed, Refused, Unknown int
	Faults                                int
	// Broken holds the promises that were broken; empty is a pass.
	Broken []string
}

type soak struct {
	opts      Options
	r         *rand.Rand
	machines  []machine
	processes []*process
	workers   []*standin.Worker
	proxies   []*proxy
	ledger    *ledger
	client    *http.Client
	jobs      jobs
	faults    int
	provider  net.Listener
}

// Run plays one seed.
func Run(opts Options) (Report, error) {
	s := &soak{
		opts:   opts,
		r:      rand.New(rand.NewPCG(opts.Seed, 7)),
		ledger: newLedger(),
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
		s.submitAll(stop)
	}()
	s.injectAll()
	s.heal()
	close(stop)
	<-done
	s.settle()
	return s.report(), nil
}

// start begins all processes, workers and proxies. Runs of other processes on
// this machine use other addresses, by their process id.
func (s *soak) start() error {
	net2 := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+(os.Getpid()/200)%200)
	var err error
	if s.provider, err = net.Listen("tcp", net2+".250:0"); err != nil {
		return errors.Wrap(err, "soaker: listen")
	}
	go standin.ServeProvider(s.provider)
	for i := range cores {
		s.machines = append(s.machines, machine{
			name: fmt.Sprint("core-", i),
			role: roleCore,
			zone: fmt.Sprint("z", i),
			ip:   fmt.Sprintf("%s.%d", net2, 1+i),
		})
	}
	for i := range fronts {
		s.machines = append(s.machines, machine{
			name: fmt.Sprint("front-", i),
			role: roleFront,
			zone: fmt.Sprint("z", i),
			ip:   fmt.Sprintf("%s.%d", net2, 11+i),
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
			settings: settingsText(m, controls, s.opts.Dir, s.provider.Addr().String()),
		}
		if s.opts.Seed%2 == 0 {
			// In every second seed other core machines carry the leader's orders.
			p.arguments = []string{"--delegate-from", "1"}
		}
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	for i := range workers {
		if err := s.startWorker(i, net2, controls); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) startWorker(i int, net2 string, controls []string) error {
	listen := fmt.Sprintf("%s.%d:%d", net2, 101+i, workerPort)
	announce := fmt.Sprintf("%s.%d:%d", net2, 151+i, workerPort)
	w, err := standin.Start(standin.Options{
		ID:               fmt.Sprint("worker-", i),
		Pool:             "pool",
		Zone:             fmt.Sprint("z", i%cores),
		Listen:           listen,
		Announce:         announce,
		ControlAddresses: controls,
		TaskTime:         taskTime,
		Ledger:           s.ledger,
	})
	if err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	p, err := newProxy(announce, listen)
	if err != nil {
		return errors.Wrap(err, "soaker: proxy")
	}
	s.proxies = append(s.proxies, p)
	return nil
}

func (s *soak) close() {
	for _, p := range s.processes {
		if p.cmd != nil && p.exited != nil {
			p.kill()
		}
	}
	for _, w := range s.workers {
		w.Close()
	}
	for _, p := range s.proxies {
		p.close()
	}
	if s.provider != nil {
		_ = s.provider.Close()
	}
}

func (s *soak) report() Report {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	r := s.jobs.report(s.ledger)
	r.Broken = append(r.Broken, s.ledger.broken...)
	r.Faults = s.faults
	return r
}

// wipe removes the data of a core machine.
func (s *soak) wipe(p *process) { _ = os.RemoveAll(filepath.Join(s.opts.Dir, "data-"+p.name)) }
