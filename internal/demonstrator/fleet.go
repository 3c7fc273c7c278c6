package demonstrator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/daemon"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/persister"
)

const (
	// entryHosts is the number of entry hosts that each current user runs.
	entryHosts = 6

	// voterCount is the number of voters, which are the first entry hosts and
	// are in different data centres.
	voterCount = 3

	// startTimeout is how long every entry host may take to report a complete
	// fleet.
	startTimeout = 20 * time.Second
)

// entryHost is one running daemon of the fleet.
type entryHost struct {
	name       string
	dataCentre string
	url        string
	cancel     context.CancelFunc
	done       chan error
}

// fleet is the set of entry hosts of one deployment and their data folder.
type fleet struct {
	hosts    []*entryHost
	folder   string
	stopOnce sync.Once
}

// hostListeners has the listeners of one entry host: http for clients and
// workers, peers for the other entry hosts.
type hostListeners struct {
	name, dataCentre string
	http, peers      net.Listener
}

// startFleet starts the entry hosts, assigned to the data centres in turn, and
// waits until the fleet is ready. The key is an operator's; it is used to read
// the status.
func startFleet(ctx context.Context, d loader.Deployment, key string, logger *slog.Logger) (*fleet, error) {
	folder, err := os.MkdirTemp("", "heathermux-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "demonstrator: create data folder")
	}
	f := &fleet{
		folder: folder,
	}
	listeners, err := listenAll(d)
	if err != nil {
		f.stop()
		return nil, err
	}
	for i := range listeners {
		if err := f.start(ctx, hostSettings(listeners, i, folder), listeners[i], d.Snapshot(), logger); err != nil {
			f.stop()
			return nil, err
		}
	}
	if err := f.awaitReady(ctx, key); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// listenAll opens the listeners of all entry hosts before any of them starts, so
// that the settings of each can name the addresses of all.
func listenAll(d loader.Deployment) ([]hostListeners, error) {
	listeners := make([]hostListeners, entryHosts)
	for i := range listeners {
		listeners[i].name = fmt.Sprintf("e-%d", i+1)
		listeners[i].dataCentre = d.DataCentres[i%len(d.DataCentres)].Name
		for _, l := range []*net.Listener{&listeners[i].http, &listeners[i].peers} {
			var err error
			if *l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				return nil, errors.Wrap(err, "demonstrator: listen on loopback")
			}
		}
	}
	return listeners, nil
}

// hostSettings returns the settings of the entry host with index i. Only voters
// get a data folder.
func hostSettings(listeners []hostListeners, i int, folder string) loader.Settings {
	s := loader.DefaultSettings()
	s.Name = listeners[i].name
	s.DataCentre = listeners[i].dataCentre
	s.HTTPAddress = listeners[i].http.Addr().String()
	s.PeerAddress = listeners[i].peers.Addr().String()
	for j, p := range listeners {
		if j < voterCount {
			s.Voters = append(s.Voters, p.name)
		}
		s.Peers = append(s.Peers, loader.Peer{
			Name:        p.name,
			PeerAddress: p.peers.Addr().String(),
			DataCentre:  p.dataCentre,
		})
	}
	if s.IsVoter() {
		s.DataFolder = filepath.Join(folder, s.Name)
	}
	return s
}

// start runs one entry host in the background until stop is called; the end of
// ctx doesn't stop it.
func (f *fleet) start(ctx context.Context, s loader.Settings, p hostListeners, snap *wire.Snapshot, logger *slog.Logger) error {
	d, err := daemon.New(ctx, daemon.Options{
		Settings:     s,
		Logger:       logger.With("host", s.Name),
		HTTPListener: p.http,
		PeerListener: p.peers,
		Bootstrap:    snap,
		// The voters share one disk here: when it stalls, all of them stop together,
		// which no failure of one host does, and all leases end.
		FS: persister.Unsynced(persister.OSFS()),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h := &entryHost{
		name:       s.Name,
		dataCentre: s.DataCentre,
		url:        "http://" + s.HTTPAddress,
		cancel:     cancel,
		done:       make(chan error, 1),
	}
	go func() { h.done <- d.Run(ctx) }()
	f.hosts = append(f.hosts, h)
	return nil
}

// fleetStatus has the members of GET /v1/status that show whether the fleet is
// ready.
type fleetStatus struct {
	Leader     string     `json:"leader"`
	EntryHost  string     `json:"entry-host"`
	EntryHosts []struct{} `json:"entry-hosts"`
	// SilentSchedulers lists the data centres whose scheduler has not reported
	// recently. Only the leader fills it in.
	SilentSchedulers []string `json:"silent-schedulers"`
	TeamLimits       []struct {
		Allotments []struct{} `json:"allotments"`
	} `json:"team-limits"`
	Zones []struct {
		Scheduler string `json:"scheduler"`
	} `json:"zones"`
}

// ready reports whether the view contains all entry hosts, every data centre has
// a scheduler, and the leader has divided the team limits among the schedulers.
// A scheduler first reports two seconds after its assignment, when any previous
// scheduler must have stopped.
func (s fleetStatus) ready() bool {
	for _, t := range s.TeamLimits {
		if len(t.Allotments) < len(s.Zones) {
			return false
		}
	}
	if s.EntryHost == s.Leader && len(s.SilentSchedulers) > 0 {
		return false
	}
	for _, z := range s.Zones {
		if z.Scheduler == "" {
			return false
		}
	}
	return len(s.EntryHosts) == entryHosts && len(s.Zones) > 0
}

// awaitReady polls every entry host until its status shows a ready fleet.
func (f *fleet) awaitReady(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := resty.New().SetTimeout(time.Second).SetAuthToken(key)
	defer client.GetClient().CloseIdleConnections()
	for _, h := range f.hosts {
		for {
			var status fleetStatus
			response, err := client.R().SetContext(ctx).SetResult(&status).Get(h.url + "/v1/status?teams=true")
			if err == nil && response.IsSuccess() && status.ready() {
				break
			}
			if ctx.Err() != nil {
				return errors.Errorf("demonstrator: entry host %s was not ready within %s", h.name, startTimeout)
			}
			sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

// urls returns the URLs of all entry hosts, those in the data centre first.
func (f *fleet) urls(dataCentre string) []string {
	var local, remote []string
	for _, h := range f.hosts {
		if h.dataCentre == dataCentre {
			local = append(local, h.url)
		} else {
			remote = append(remote, h.url)
		}
	}
	return append(local, remote...)
}

// stop shuts all entry hosts down gracefully and removes their files. It returns
// the first shutdown error; later calls do nothing and return nil.
func (f *fleet) stop() error {
	var firstErr error
	f.stopOnce.Do(func() {
		for _, h := range f.hosts {
			h.cancel()
		}
		for _, h := range f.hosts {
			if err := <-h.done; err != nil && firstErr == nil {
				firstErr = err
			}
		}
		_ = os.RemoveAll(f.folder)
	})
	return firstErr
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
