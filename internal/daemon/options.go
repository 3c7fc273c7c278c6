// Package daemon assembles the components of heathermux into the process of one
// entry host and controls its start and graceful shutdown.
package daemon

import (
	"io"
	"log/slog"
	"net"

	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/persister"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Options configures a Daemon. Settings and Logger are required.
type Options struct {
	// Settings are the validated settings of this entry host.
	Settings loader.Settings
	// Logger receives the logs of all components.
	Logger *slog.Logger
	// Clock is the time source of all components; nil means the system clock.
	Clock timer.Clock
	// HTTPListener and PeerListener are listeners to use instead of the addresses in the settings.
	HTTPListener, PeerListener net.Listener
	// Bootstrap is the initial control state to use instead of the deployment
	// file in the settings.
	Bootstrap *wire.Snapshot
	// FS is the file system of the data folder; nil means that of the operating
	// system.
	FS persister.FS
	// Traces receives the spans of the trace exporter "stdout"; nil means
	// os.Stdout.
	Traces io.Writer
}

func (o Options) self(incarnation string) *wire.Member {
	return &wire.Member{
		Name:        o.Settings.Name,
		Incarnation: incarnation,
		DataCentre:  o.Settings.DataCentre,
		PeerAddress: o.Settings.PeerAddress,
	}
}

// members returns all entry hosts of the settings, without incarnations.
func members(s loader.Settings) []*wire.Member {
	list := make([]*wire.Member, 0, len(s.Peers))
	for _, p := range s.Peers {
		list = append(list, &wire.Member{
			Name:        p.Name,
			DataCentre:  p.DataCentre,
			PeerAddress: p.PeerAddress,
		})
	}
	return list
}

// voters returns the entry hosts that the settings name as voters.
func voters(s loader.Settings) []*wire.Member {
	var list []*wire.Member
	for _, m := range members(s) {
		for _, name := range s.Voters {
			if m.GetName() == name {
				list = append(list, m)
			}
		}
	}
	return list
}

// deployment returns the initial control state, or nil if none is configured.
func (o Options) deployment() (*wire.Snapshot, error) {
	if o.Bootstrap != nil || o.Settings.Bootstrap == "" {
		return o.Bootstrap, nil
	}
	d, problems := loader.ReadDeployment(o.Settings.Bootstrap)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return d.Snapshot(), nil
}
