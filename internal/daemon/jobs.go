package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/invoker"
	"github.com/heathermux/heathermux/internal/jobconfigurer"
	"github.com/heathermux/heathermux/internal/jobcontroller"
	"github.com/heathermux/heathermux/internal/jobgateway"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/ordersender"
)

const (
	// jobWorkerLease is how long a job worker may run tasks without contact with
	// the leader: long enough for an election and the first polls of a new leader.
	jobWorkerLease = 3 * time.Second
	// jobWorkerMaxLease is the longest lease that job workers accept; see
	// docs/jobs.md.
	jobWorkerMaxLease = 10 * time.Second
	// jobWorkerHeartbeat is the time between two announcements of a job worker.
	jobWorkerHeartbeat = 500 * time.Millisecond
	// delegationMinWorkers is the number of job workers from which on the leader
	// delegates the delivery of its orders to other entry hosts.
	delegationMinWorkers = 100
)

// jobs holds the components of this host that accept and run jobs. The state machine,
// the controller and the configurer are nil on a host that isn't a voter.
type jobs struct {
	stateMachine *jobkeeper.StateMachine
	gateway      *jobgateway.Gateway
	local        *ordersender.LocalSender
	relay        *ordersender.Relay
	controller   *jobcontroller.Controller
	configurer   *jobconfigurer.Configurer
}

// openJobs creates the job components; the controller and the configurer only on a
// voter.
func (d *Daemon) openJobs(context.Context) error {
	caller := newJobClient(d)
	d.jobs.gateway = jobgateway.New(jobgateway.Options{
		Hosts:  d.opts.Settings.Voters,
		Caller: caller,
		Clock:  d.clock,
		Logger: d.opts.Logger,
	})
	d.jobs.local = ordersender.NewLocalSender(invoker.New(), d.clock, d.opts.Logger)
	d.jobs.relay = ordersender.NewRelay(ordersender.RelayOptions{
		Local:      d.jobs.local,
		DataCentre: d.self.GetDataCentre(),
		Clock:      d.clock,
		Logger:     d.opts.Logger,
	})
	if d.voter == nil {
		return nil
	}
	d.jobs.controller = jobcontroller.New(jobcontroller.Options{
		Log:          d.voter,
		StateMachine: d.jobs.stateMachine,
		Sender: ordersender.Options{
			Local:        d.jobs.local,
			Caller:       caller,
			Hosts:        caller.hosts,
			DelegateFrom: delegationMinWorkers,
			Name:         d.self.GetName(),
			Clock:        d.clock,
			Logger:       d.opts.Logger,
		},
		Provider:   noProvider{},
		Adviser:    noAdviser{},
		Clock:      d.clock,
		Logger:     d.opts.Logger,
		Registerer: d.meter.Registerer(),
		Settings: jobscheduler.Settings{
			Lease:              jobWorkerLease,
			MaxLease:           jobWorkerMaxLease,
			Heartbeat:          jobWorkerHeartbeat,
			ProviderOrderDelay: jobWorkerLease,
			RecordBatchStarts:  true,
		},
	})
	d.jobs.configurer = jobconfigurer.New(jobconfigurer.Options{
		State:   d.leaderState,
		InForce: d.jobs.activeConfiguration,
		Control: d.jobs.controller,
		Clock:   d.clock,
		Logger:  d.opts.Logger,
	})
	return nil
}

// leaderState returns the control state, and whether this host's lease is live;
// without a live lease the state may be outdated.
func (d *Daemon) leaderState() (controller.State, bool) {
	view := d.follower.View()
	return view.State, view.Live(d.clock.Now())
}

// activeConfiguration returns the present job configuration and a function that
// reports whether a data centre is evacuated.
func (j *jobs) activeConfiguration() (cfg *jobwire.Configuration, isOut func(dataCentre string) bool) {
	outOfService := make(map[string]bool)
	j.stateMachine.View(func(s *jobkeeper.State) {
		cfg = s.Configuration
		for name := range s.Evacuated {
			outOfService[name] = true
		}
	})
	return cfg, func(dataCentre string) bool { return outOfService[dataCentre] }
}

// runJobs starts the controller and the configurer, which run until ctx ends.
func (d *Daemon) runJobs(ctx context.Context) {
	if d.jobs.controller == nil {
		return
	}
	d.spawn(func() { d.jobs.controller.Run(ctx) })
	d.spawn(func() { d.jobs.configurer.Run(ctx) })
}

func (j *jobs) close() {
	if j.relay != nil {
		j.relay.Close()
		j.local.Close()
	}
}

// jobClient calls the job services of other entry hosts over the network, and the
// job controller of this host directly.
type jobClient struct {
	daemon    *Daemon
	addresses map[string]string
}

func newJobClient(d *Daemon) *jobClient {
	c := &jobClient{
		daemon:    d,
		addresses: make(map[string]string),
	}
	for _, m := range members(d.opts.Settings) {
		c.addresses[m.GetName()] = m.GetPeerAddress()
	}
	return c
}

// hosts returns the names of all entry hosts in the settings.
func (c *jobClient) hosts() []string {
	names := make([]string, 0, len(c.addresses))
	for _, m := range members(c.daemon.opts.Settings) {
		names = append(names, m.GetName())
	}
	return names
}

// Call implements jobgateway.Caller and ordersender.Caller. It fails if the settings
// contain no entry host of that name.
func (c *jobClient) Call(ctx context.Context, host, method string, request, response proto.Message) error {
	if host == c.daemon.self.GetName() && c.daemon.jobs.controller != nil {
		switch req := request.(type) {
		case *jobwire.JobRequest:
			proto.Merge(response, c.daemon.jobs.controller.Job(ctx, req))
			return nil
		case *jobwire.ControlRequest:
			proto.Merge(response, c.daemon.jobs.controller.Control(ctx, req))
			return nil
		}
	}
	address, ok := c.addresses[host]
	if !ok {
		return errors.Errorf("daemon: no entry host is named %q", host)
	}
	return c.daemon.client.Call(ctx, address, method, request, response)
}

// noProvider is the jobcontroller.Provider of a deployment without a host provider. It
// lists no hosts and rejects every order to move or maintain one.
type noProvider struct{}

// Hosts implements jobcontroller.Provider.
func (noProvider) Hosts(context.Context) ([]jobscheduler.Host, error) {
	return []jobscheduler.Host{}, nil
}

// Maintain implements jobcontroller.Provider.
func (noProvider) Maintain(context.Context, uint64, jobscheduler.Maintain) jobscheduler.HostAnswer {
	return jobscheduler.HostOrderInvalid
}

// Move implements jobcontroller.Provider.
func (noProvider) Move(context.Context, uint64, jobscheduler.MoveHost) jobscheduler.HostAnswer {
	return jobscheduler.HostOrderInvalid
}

// noAdviser is the jobcontroller.Adviser of a deployment without a placement adviser.
type noAdviser struct{}

// errNoAdviser is returned for a queue that asks for placement advice nevertheless.
var errNoAdviser = errors.New("daemon: there is no placement adviser")

// Advise implements jobcontroller.Adviser.
func (noAdviser) Advise(context.Context, jobscheduler.Advise) (map[string]string, time.Duration, error) {
	return nil, 0, errNoAdviser
}
