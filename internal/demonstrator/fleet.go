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
)

const (
	// entryHosts is the number of entry hosts of each user today.
	entryHosts = 6

	// voterCount is the number of voters; they are in different data centres.
	voterCount = 3

	// startTimeout bounds the time until every entry host is ready and holds
	// an authority lease.
	startTimeout = 20 * time.Second
)

// entryHost is one daemon of the fleet.
type entryHost struct {
	name       string
	dataCentre string
	url        string
	cancel     context.CancelFunc
	done       chan error
}

// fleet is the entry hosts of one deployment.
type fleet struct {
	hosts  []*entryHost
	folder string
	stops  sync.Once
}

// place is where one entry host listens.
type place struct {
	name, dataCentre string
	http, peers      net.Listener
}

// startFleet starts the entry hosts, spread over the data centres in turn, and
// waits until the fleet is whole. The key is an operator's.
func startFleet(ctx context.Context, d loader.Deployment, key string, logger *slog.Logger) (*fleet, error) {
	folder, err := os.MkdirTemp("", "heathermux-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "demonstrator: data folder")
	}
	f := &fleet{
		folder: folder,
	}
	places, err := listenAll(d)
	if err != nil {
		f.stop()
		return nil, err
	}
	for i := range places {
		if err := f.start(ctx, settingsOf(places, i, folder), places[i], d.Snapshot(), logger); err != nil {
			f.stop()
			return nil, err
		}
	}
	if err := f.await(ctx, key); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func listenAll(d loader.Deployment) ([]place, error) {
	places := make([]place, entryHosts)
	for i := range places {
		places[i].name = fmt.Sprintf("e-%d", i+1)
		places[i].dataCentre = d.DataCentres[i%len(d.DataCentres)].Name
		for _, l := range []*net.Listener{&places[i].http, &places[i].peers} {
			var err error
			if *l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				return nil, errors.Wrap(err, "demonstrator: listen")
			}
		}
	}
	return places, nil
}

func settingsOf(places []place, i int, folder string) loader.Settings {
	s := loader.DefaultSettings()
	s.Name = places[i].name
	s.DataCentre = places[i].dataCentre
	s.HTTPAddress = places[i].http.Addr().String()
	s.PeerAddress = places[i].peers.Addr().String()
	for j, p := range places {
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

func (f *fleet) start(ctx context.Context, s loader.Settings, p place, snap *wire.Snapshot, logger *slog.Logger) error {
	d, err := daemon.New(ctx, daemon.Options{
		Settings:     s,
		Logger:       logger.With("host", s.Name),
		HTTPListener: p.http,
		PeerListener: p.peers,
		Bootstrap:    snap,
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

// fleetStatus is the part of a status that tells whether the fleet is whole.
type fleetStatus struct {
	Leader     string     `json:"leader"`
	EntryHost  string     `json:"entry-host"`
	EntryHosts []struct{} `json:"entry-hosts"`
	// SilentSchedulers is known to the leader only.
	SilentSchedulers []string `json:"silent-schedulers"`
	TeamLimits       []struct {
		Allotments []struct{} `json:"allotments"`
	} `json:"team-limits"`
	Zones []struct {
		Scheduler string `json:"scheduler"`
	} `json:"zones"`
}

// whole reports whether all entry hosts are in the view, every data centre has
// a scheduler, and the leader has divided the limits among them. A scheduler
// reports only once former ones must have stopped, two seconds after its assignment.
func (s fleetStatus) whole() bool {
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

// await waits until every entry host knows of the whole fleet.
func (f *fleet) await(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := resty.New().SetTimeout(time.Second).SetAuthToken(key)
	defer client.GetClient().CloseIdleConnections()
	for _, h := range f.hosts {
		for {
			var status fleetStatus
			response, err := client.R().SetContext(ctx).SetResult(&status).Get(h.url + "/v1/status?teams=true")
			if err == nil && response.IsSuccess() && status.whole() {
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

// urls returns the entry hosts, those of the data centre first.
func (f *fleet) urls(dataCentre string) []string {
	var near, far []string
	for _, h := range f.hosts {
		if h.dataCentre == dataCentre {
			near = append(near, h.url)
		} else {
			far = append(far, h.url)
		}
	}
	return append(near, far...)
}

// stop stops all entry hosts in order and removes their files. It returns the
// first error of a planned stop.
func (f *fleet) stop() error {
	var first error
	f.stops.Do(func() {
		for _, h := range f.hosts {
			h.cancel()
		}
		for _, h := range f.hosts {
			if err := <-h.done; err != nil && first == nil {
				first = err
			}
		}
		_ = os.RemoveAll(f.folder)
	})
	return first
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
