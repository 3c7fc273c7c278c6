// Package demonstrator runs a whole deployment in one process on loopback:
// entry hosts, emulated upstreams and workers, callers, submitters and
// operators. It checks what must always hold and prints a table.
package demonstrator

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/examples"
	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/operator"
)

// serviceTime and taskTime are the mean times of a request and of a task, and
// jobTaskTime is that of a task of a job.
const (
	serviceTime = 5 * time.Millisecond
	taskTime    = 300 * time.Millisecond
	jobTaskTime = 150 * time.Millisecond
)

// Options sets up a run. All fields are needed.
type Options struct {
	// Seconds is the length of the load.
	Seconds int
	// Deployment is "qhapaq" or "khomas".
	Deployment string
	// Output takes the table and Progress the progress.
	Output, Progress io.Writer
	// Logger takes the logs of all entry hosts.
	Logger *slog.Logger
}

// Run runs the demo. It returns an error when a check failed.
func Run(ctx context.Context, opts Options) error {
	s, err := newScenario(ctx, opts)
	if err != nil {
		return err
	}
	r, err := s.run(ctx)
	if err != nil {
		return err
	}
	r.write(opts.Output)
	return r.check()
}

// scenario is a deployment with all that works with it.
type scenario struct {
	opts       Options
	deployment loader.Deployment
	// keys are the submitters' keys by team.
	keys      map[string]string
	fleet     *fleet
	hosts     *emulator.Hosts
	ledger    *emulator.Ledger
	starts    *emulator.Starts
	jobRuns   *jobRuns
	operators *operators
}

func newScenario(ctx context.Context, opts Options) (*scenario, error) {
	path, data, ok := examples.Deployment(opts.Deployment)
	if !ok {
		return nil, errors.Errorf("demonstrator: deployment %q is not known", opts.Deployment)
	}
	d, problems := loader.ParseDeployment(path, data)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	s := &scenario{
		opts:   opts,
		keys:   make(map[string]string),
		ledger: &emulator.Ledger{},
		starts: &emulator.Starts{},
		jobRuns: &jobRuns{
			live: make(map[string]int),
			done: make(map[string]int),
		},
	}
	operatorKey := s.grantKeys(&d)
	s.deployment = d
	var err error
	if s.fleet, err = startFleet(ctx, d, operatorKey, opts.Logger); err != nil {
		return nil, err
	}
	s.hosts, err = emulator.NewHosts(emulator.HostsOptions{
		Deployment: d,
		EntryHosts: s.fleet.urls,
		Service:    serviceTime,
		RunTime:    taskTime,
		Ledger:     s.ledger,
		Starts:     s.starts,
		JobTime:    jobTaskTime,
		JobLedger:  s.jobRuns,
	})
	if err != nil {
		s.close()
		return nil, err
	}
	s.operators = newOperators(s.fleet.hosts[0].url, operatorKey)
	return s, nil
}

// grantKeys replaces the keys of the deployment by new random ones and returns
// the operator's key.
func (s *scenario) grantKeys(d *loader.Deployment) string {
	operatorKey := operator.NewKey()
	d.Keys = []loader.Key{
		{
			ID:     "operator",
			Role:   "operator",
			SHA256: operator.HashKey(operatorKey),
		},
	}
	for _, c := range d.Contracts {
		for _, t := range c.Teams {
			s.keys[t.Name] = operator.NewKey()
			d.Keys = append(d.Keys, loader.Key{
				ID:     t.Name,
				Role:   "submitter",
				Team:   t.Name,
				SHA256: operator.HashKey(s.keys[t.Name]),
			})
		}
	}
	return operatorKey
}

// close ends everything that still runs; upstreams and workers first, so that
// the planned stop of the entry hosts has nothing to wait for.
func (s *scenario) close() {
	if s.hosts != nil {
		s.hosts.Kill()
	}
	if s.operators != nil {
		s.operators.close()
	}
	_ = s.fleet.stop()
}

// run drives the load and the operators' changes.
func (s *scenario) run(ctx context.Context) (*report, error) {
	defer s.close()
	length := time.Duration(s.opts.Seconds) * time.Second
	load, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	r := &report{
		deployment: s.deployment,
		tally:      newTally(),
		submitted:  newSubmissions(),
		jobs:       newJobCounts(),
		jobRuns:    s.jobRuns,
		begin:      time.Now(),
		end:        time.Now().Add(length),
	}
	showProgress(load, s.opts.Progress, length)
	ended := make(chan struct{}, 3)
	go func() {
		newCallers(s.deployment, s.keys, s.fleet, r.tally).run(load)
		ended <- struct{}{}
	}()
	go func() {
		newSubmitters(s.deployment, s.keys, s.fleet, r.submitted).run(load)
		ended <- struct{}{}
	}()
	go func() {
		newJobSubmitters(s.deployment, s.keys, s.fleet, r.jobs).run(load)
		ended <- struct{}{}
	}()
	r.zone, r.zoneErr = s.changeZone(load, length)
	r.key, r.keyErr = s.withdrawKey(load)
	<-ended
	<-ended
	<-ended
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "demonstrator: interrupted")
	}
	r.stopErr = s.fleet.stop()
	r.starts = s.starts.All()
	r.count(s.ledger)
	return r, nil
}
