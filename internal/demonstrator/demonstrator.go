// Package demonstrator runs a whole deployment in one process on loopback:
// entry hosts, emulated upstreams and workers, and clients that send requests,
// tasks, jobs and operators' changes. It checks the system's invariants, such as
// that no operation runs twice, and prints a summary table.
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

// Mean execution times of a request, of a task, and of a task that belongs to a
// job.
const (
	serviceTime = 5 * time.Millisecond
	taskTime    = 300 * time.Millisecond
	jobTaskTime = 150 * time.Millisecond
)

// changesTimeout bounds the operators' changes, in addition to the time of the load.
const changesTimeout = 15 * time.Second

// Options configures a run. All fields are required.
type Options struct {
	// Seconds is how long load is generated.
	Seconds int
	// Deployment is "qhapaq" or "khomas".
	Deployment string
	// Output receives the summary table, Progress the progress bar.
	Output, Progress io.Writer
	// Logger receives the logs of all entry hosts.
	Logger *slog.Logger
}

// Run starts the deployment, applies load for the given time and prints the
// table. It returns an error if the run or one of its checks failed.
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

// scenario holds the entry hosts of one run and everything that connects to them.
type scenario struct {
	opts       Options
	deployment loader.Deployment
	// keys maps team names to the teams' submitter keys.
	keys      map[string]string
	fleet     *fleet
	hosts     *emulator.Hosts
	ledger    *emulator.Ledger
	starts    *emulator.Starts
	jobRuns   *jobRuns
	operators *operatorClient
}

func newScenario(ctx context.Context, opts Options) (*scenario, error) {
	path, data, ok := examples.Deployment(opts.Deployment)
	if !ok {
		return nil, errors.Errorf("demonstrator: unknown deployment %q, want \"qhapaq\" or \"khomas\"", opts.Deployment)
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
			running:   make(map[string]int),
			completed: make(map[string]int),
		},
	}
	operatorKey := s.replaceKeys(&d)
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
	s.operators = newOperatorClient(s.fleet.hosts[0].url, operatorKey)
	return s, nil
}

// replaceKeys replaces the deployment's keys with new random ones, one for each
// team and one for the operator, and returns the operator's key.
func (s *scenario) replaceKeys(d *loader.Deployment) string {
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

// close stops everything that is still running. Upstreams and workers stop
// first, so that the graceful shutdown of the entry hosts has no work to wait for.
func (s *scenario) close() {
	if s.hosts != nil {
		s.hosts.Kill()
	}
	if s.operators != nil {
		s.operators.close()
	}
	_ = s.fleet.stop()
}

// run generates the load, makes the operators' changes while it lasts, and then
// stops the entry hosts and collects the results.
func (s *scenario) run(ctx context.Context) (*report, error) {
	defer s.close()
	length := time.Duration(s.opts.Seconds) * time.Second
	load, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	r := &report{
		deployment: s.deployment,
		tally:      newTally(),
		submitted:  newSubmissionCounts(),
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
	// The changes are not bounded by the load: each takes two seconds to be in force,
	// and on a busy machine a run of a few seconds would end before them.
	changes, cancelChanges := context.WithTimeout(ctx, length+changesTimeout)
	defer cancelChanges()
	r.zone, r.zoneErr = s.changeZone(changes, length)
	r.key, r.keyErr = s.withdrawKey(changes)
	<-ended
	<-ended
	<-ended
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "demonstrator: run interrupted, no report")
	}
	r.stopErr = s.fleet.stop()
	r.starts = s.starts.All()
	r.countViolations(s.ledger)
	return r, nil
}
