package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/allocator"
	"github.com/heathermux/heathermux/internal/certifier"
	"github.com/heathermux/heathermux/internal/deltaencoder"
	"github.com/heathermux/heathermux/internal/dispatcher"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/ingress"
	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobserver"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/internal/meter"
	"github.com/heathermux/heathermux/internal/recorder"
	"github.com/heathermux/heathermux/internal/registrar"
	"github.com/heathermux/heathermux/internal/supervisor"
	"github.com/heathermux/heathermux/internal/tracer"
	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// tickInterval is the interval of the periodic work of directory and dispatcher.
const tickInterval = 100 * time.Millisecond

// Daemon is the process of one entry host. Create one with New and start it with
// Run, which returns when its context has ended and the graceful shutdown is
// complete, or when a server fails.
type Daemon struct {
	opts  Options
	self  *wire.Member
	clock timer.Clock

	tracer     *tracer.Provider
	meter      *meter.Meter
	client     *messenger.Client
	calls      *peerClient
	transport  *transport
	voter      *voter.Voter
	follower   *follower.Follower
	control    *controlClient
	directory  *registrar.Registrar
	recorder   *recorder.Recorder
	dispatcher *dispatcher.Dispatcher
	ingress    *ingress.Ingress
	supervisor *supervisor.Supervisor
	jobs       jobs
	peers      *messenger.Server
	http       *http.Server
	listener   net.Listener

	ready      atomic.Bool
	goroutines sync.WaitGroup
}

// New creates a Daemon and opens its files and listeners. It serves nothing
// before Run.
func New(ctx context.Context, opts Options) (*Daemon, error) {
	if opts.Clock == nil {
		opts.Clock = timer.System()
	}
	if opts.Traces == nil {
		opts.Traces = os.Stdout
	}
	d := &Daemon{
		opts:  opts,
		self:  opts.self(uuid.NewString()),
		clock: opts.Clock,
		meter: meter.New(opts.Clock),
	}
	for _, step := range []func(context.Context) error{
		d.openTracer,
		d.openClient,
		d.openVoter,
		d.openComponents,
		d.openJobs,
		d.openIngress,
		d.openPeers,
		d.openHTTP,
	} {
		if err := step(ctx); err != nil {
			d.closeAll()
			return nil, errors.Wrap(err, "daemon")
		}
	}
	d.registerGauges()
	return d, nil
}

func (d *Daemon) openTracer(ctx context.Context) error {
	var err error
	d.tracer, err = tracer.New(ctx, tracer.Options{
		Exporter:   d.opts.Settings.Trace.Exporter,
		Endpoint:   d.opts.Settings.Trace.Endpoint,
		EntryHost:  d.opts.Settings.Name,
		DataCentre: d.opts.Settings.DataCentre,
		Output:     d.opts.Traces,
	})
	return err
}

func (d *Daemon) certifier(c *loader.Certificate) (*certifier.Certifier, error) {
	if c == nil {
		return nil, nil
	}
	return certifier.New(certifier.Options{
		Certificate: c.Certificate,
		Key:         c.Key,
		CA:          c.CA,
		Clock:       d.clock,
		Logger:      d.opts.Logger,
	})
}

func (d *Daemon) openClient(context.Context) error {
	certificates, err := d.certifier(d.opts.Settings.TLS.Peers)
	if err != nil {
		return err
	}
	var cfg func() *tls.Config
	if certificates != nil {
		cfg = certificates.Client
	}
	d.client = messenger.NewClient(messenger.ClientOptions{
		TLS:    cfg,
		Tracer: d.tracer,
	})
	d.calls = &peerClient{
		client: d.client,
	}
	return nil
}

func (d *Daemon) openVoter(context.Context) error {
	s := d.opts.Settings
	if !s.IsVoter() {
		return nil
	}
	d.transport = newTransport(d.calls, voters(s))
	d.jobs.stateMachine = jobkeeper.New(d.clock)
	var err error
	d.voter, err = voter.Open(voter.Options{
		Name:         s.Name,
		Peers:        s.Voters,
		Dir:          s.DataFolder,
		FS:           d.opts.FS,
		Clock:        d.clock,
		Transport:    d.transport,
		Logger:       d.opts.Logger,
		StateMachine: d.jobs.stateMachine,

		RequestAllotter: allocator.New(),
	})
	return err
}

func (d *Daemon) openComponents(context.Context) error {
	s := d.opts.Settings
	d.directory = registrar.New(registrar.Options{
		Self:   d.self,
		Clock:  d.clock,
		Logger: d.opts.Logger,
	})
	d.recorder = recorder.New(recorder.Options{
		Self:       d.self,
		Clock:      d.clock,
		Peers:      registryClient{d.calls},
		Logger:     d.opts.Logger,
		MemoryCap:  int64(s.Idempotency.MemoryCap),
		Retention:  s.Idempotency.Retention,
		HoldsLease: func() bool { return d.follower.View().Live(d.clock.Now()) },
	})
	d.dispatcher = dispatcher.New(dispatcher.Options{
		Self:   d.self,
		Clock:  d.clock,
		View:   func() follower.View { return d.follower.View() },
		Peers:  taskClient{d.calls},
		Logger: d.opts.Logger,

		MaxTasks: s.Limits.Tasks,
	})
	d.follower = follower.New(follower.Options{
		Self:   d.self,
		Voters: voters(s),
		Clock:  d.clock,
		Source: &localSource{
			self:   d.self,
			voter:  d.voter,
			remote: deltaencoder.NewSender(d.calls),
		},
		Logger:   d.opts.Logger,
		Demands:  d.teamDemands,
		Report:   func() *wire.SchedulerReport { return deltaencoder.Summary(d.dispatcher.Report()) },
		OnChange: d.viewChanged,
	})
	d.control = &controlClient{
		self:     d.self,
		voters:   voters(s),
		voter:    d.voter,
		calls:    d.calls,
		follower: d.follower,
	}
	return d.openSupervisor()
}

func (d *Daemon) openSupervisor() error {
	if d.voter == nil {
		return nil
	}
	bootstrap, err := d.opts.deployment()
	if err != nil {
		return err
	}
	d.supervisor = supervisor.New(supervisor.Options{
		Control:   d.voter,
		Clock:     d.clock,
		Logger:    d.opts.Logger,
		Bootstrap: bootstrap,
		Deciders: []supervisor.Decider{
			supervisor.NewAllotmentDecider(),
			supervisor.NewCapacityDecider(),
		},
	})
	return nil
}

// viewChanged passes a new view of entry hosts to the registry of idempotency keys.
func (d *Daemon) viewChanged(v follower.View) {
	d.recorder.SetView(v.State.View(), v.State.PreviousView())
}

func (d *Daemon) openIngress(context.Context) error {
	var err error
	d.ingress, err = ingress.New(ingress.Config{
		Self:       d.self,
		View:       d.follower.View,
		Clock:      d.clock,
		Logger:     d.opts.Logger,
		Tracer:     d.tracer,
		Registry:   d.recorder,
		Directory:  d.directory,
		Tasks:      d.dispatcher,
		Jobs:       d.jobs.gateway,
		Allotments: d.follower,
		Limits:     d.limits(),
	})
	return err
}

func (d *Daemon) openPeers(context.Context) error {
	listener := d.opts.PeerListener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", d.opts.Settings.PeerAddress); err != nil {
			return errors.Wrap(err, "peer-address")
		}
	}
	certificates, err := d.certifier(d.opts.Settings.TLS.Peers)
	if err != nil {
		return err
	}
	var cfg *tls.Config
	if certificates != nil {
		cfg = certificates.Server()
	}
	d.peers = messenger.NewServer(messenger.ServerOptions{
		Listener: listener,
		TLS:      cfg,
		Tracer:   d.tracer,
	})
	for name, service := range map[string]any{
		"Replication": &replicationService{
			voter: d.voter,
		},
		"Control": newControlService(d.voter),
		"Directory": &directoryService{
			directory: d.directory,
		},
		"Registry": &registryService{
			recorder: d.recorder,
		},
		"Tasks": &taskService{
			dispatcher: d.dispatcher,
		},
	} {
		if err := d.peers.Register(name, service); err != nil {
			return err
		}
	}
	return jobserver.Register(d.peers, d.jobs.controller, d.jobs.relay)
}

// teamDemands returns the load of each team together with the part of its limits
// that is allotted to this host. Teams without load are included, because a new
// leader confirms only allotments that are reported.
func (d *Daemon) teamDemands() []*wire.TeamDemand {
	load := make(map[string]*wire.TeamDemand)
	for _, demand := range d.ingress.Demands() {
		load[demand.GetTeam()] = demand
	}
	view := d.follower.View()
	live := view.Live(d.clock.Now())
	var list []*wire.TeamDemand
	for _, ref := range view.State.Teams() {
		demand, ok := load[ref.Team.GetName()]
		if !ok {
			demand = &wire.TeamDemand{
				Team: ref.Team.GetName(),
			}
		}
		if live {
			demand.HeldRate, demand.HeldConcurrency = d.follower.Allotment(ref.Team.GetName())
		}
		list = append(list, demand)
	}
	return list
}

// limits returns the limits of the ingress on requests and tasks from the settings.
func (d *Daemon) limits() ingress.Limits {
	s := d.opts.Settings
	return ingress.Limits{
		Header:          int(s.Limits.Header),
		Body:            int64(s.Limits.Body),
		TaskPayload:     int(s.Limits.TaskPayload),
		DefaultDeadline: s.RequestDeadline,
		MaxWaiting:      s.Limits.Queue,
		MaxTeamWaiting:  s.Limits.QueuePerTeam,
	}
}
