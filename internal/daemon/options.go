// Package daemon joins the parts of heathermux into the process of one entry host.
package daemon

import (
	"io"
	"log/slog"
	"net"

	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Options sets up a Daemon. Settings and Logger are needed.
type Options struct {
	// Settings are the checked settings of this entry host.
	Settings loader.Settings
	// Logger takes the logs of all parts.
	Logger *slog.Logger
	// Clock times everything; nil means the clock of the machine.
	Clock timer.Clock
	// HTTP and Peers are listeners to use instead of the addresses in the settings.
	HTTP, Peers net.Listener
	// Bootstrap is used instead of the deployment file in the settings.
	Bootstrap *wire.Snapshot
	// Traces takes the spans of the exporter "stdout".
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

// deployment returns the state to start from, or nil.
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
