// Package announcer is the HTTP interface through which upstreams and workers
// announce themselves to any entry host, renew, leave and report, and the
// client for it.
package announcer

import (
	"net"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/wire"
)

// Upstream is the announcement of one upstream in its JSON form. It has to be
// sent again every RenewInterval.
type Upstream struct {
	// ID names the upstream; it is unique in the fleet.
	ID string `json:"id"`
	// Incarnation changes with each start of the upstream.
	Incarnation string `json:"incarnation"`
	// Queue is the request queue that the upstream serves.
	Queue string `json:"queue"`
	// Address is where it serves requests, as ip:port.
	Address string `json:"address"`
	// DataCentre is the data centre that it runs in.
	DataCentre string `json:"data-centre"`
	// Rack is the rack that it runs in.
	Rack string `json:"rack,omitempty"`
	// Slots is how many requests it processes concurrently.
	Slots int64 `json:"slots"`
	// Connections is how many connections it accepts from one entry host.
	Connections int64 `json:"connections"`
}

// Check returns what is wrong with the announcement, or nil.
func (u Upstream) Check() error {
	switch {
	case u.ID == "":
		return errors.New("id is missing")
	case u.Incarnation == "":
		return errors.New("incarnation is missing")
	case u.Queue == "":
		return errors.New("queue is missing")
	case u.DataCentre == "":
		return errors.New("data-centre is missing")
	case u.Slots < 1:
		return errors.New("slots is below 1")
	case u.Connections < 1:
		return errors.New("connections is below 1")
	}
	host, _, err := net.SplitHostPort(u.Address)
	if err != nil || net.ParseIP(host) == nil {
		return errors.Errorf("address %q is not an IP address with a port", u.Address)
	}
	return nil
}

// Wire converts the announcement to its protobuf message.
func (u Upstream) Wire() *wire.Upstream {
	return &wire.Upstream{
		Id:          u.ID,
		Incarnation: u.Incarnation,
		Queue:       u.Queue,
		Address:     u.Address,
		DataCentre:  u.DataCentre,
		Rack:        u.Rack,
		Slots:       u.Slots,
		Connections: u.Connections,
	}
}
