package announcer

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// JobWorker is the announcement of a job worker in its JSON form. In contrast to a
// worker that polls, it takes its orders as calls of the leader.
type JobWorker struct {
	// ID identifies the worker; it stays the same across restarts.
	ID string `json:"id"`
	// Born is the start time of the worker in Unix milliseconds; it identifies the
	// incarnation.
	Born int64 `json:"born"`
	// Pool is the pool whose jobs it runs.
	Pool string `json:"pool"`
	// Address is where it serves orders, an IP address with a port.
	Address    string    `json:"address"`
	DataCentre string    `json:"data-centre"`
	Rack       string    `json:"rack,omitempty"`
	Labels     []string  `json:"labels,omitempty"`
	Capacity   Resources `json:"capacity"`
	// Draining asks that no more tasks are started on the worker. Once set, it
	// stays set.
	Draining bool `json:"draining,omitempty"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// ClockMillis is the worker's clock, on which its leases end.
	ClockMillis int64 `json:"clock-millis"`
}

// Check returns what is wrong with the announcement, or nil.
func (w JobWorker) Check() error {
	address, err := netip.ParseAddrPort(w.Address)
	switch {
	case w.ID == "":
		return errors.New("id is empty")
	case w.Born <= 0:
		return errors.New("born must be a time in Unix milliseconds")
	case w.Pool == "" || w.DataCentre == "":
		return errors.New("pool or data-centre is empty")
	case err != nil || address.Port() == 0:
		return errors.Errorf("address %q must be an IP address with a port, such as 10.0.0.7:9000", w.Address)
	case w.Capacity.MilliCores <= 0 || w.Capacity.MemoryBytes < 0 || w.Capacity.Accelerators < 0:
		return errors.New("capacity must have milli-cores above 0 and nothing below 0")
	case w.ClockMillis <= 0:
		return errors.New("clock-millis must be the worker's clock")
	}
	return nil
}

// report converts the announcement to its protobuf message.
func (w JobWorker) report() *jobwire.WorkerReport {
	return &jobwire.WorkerReport{
		Worker: &jobwire.Worker{
			Id:         w.ID,
			Born:       w.Born,
			Pool:       w.Pool,
			Address:    w.Address,
			DataCentre: w.DataCentre,
			Rack:       w.Rack,
			Labels:     w.Labels,
			Draining:   w.Draining,
			Capacity: &wire.Resources{
				MilliCores:   w.Capacity.MilliCores,
				MemoryBytes:  w.Capacity.MemoryBytes,
				Accelerators: w.Capacity.Accelerators,
			},
		},
		Sequence:    w.Sequence,
		ClockMillis: w.ClockMillis,
	}
}

// AnnounceJobWorker adds or renews a job worker.
func (c *Client) AnnounceJobWorker(ctx context.Context, w JobWorker) error {
	_, err := c.post(ctx, "/v1/job-workers", w, nil)
	return err
}

// LeaveJobWorker withdraws the announcement of a job worker, which ends this
// incarnation.
func (c *Client) LeaveJobWorker(ctx context.Context, w JobWorker) error {
	_, err := c.post(ctx, "/v1/job-workers/"+w.ID+"/leave", w, nil)
	return err
}
