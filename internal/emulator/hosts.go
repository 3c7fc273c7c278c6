package emulator

import (
	"fmt"
	"time"

	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// upstreamsPerQueue and upstreamSlots are those of the users today.
	upstreamsPerQueue = 10
	upstreamSlots     = 8
)

// HostsOptions sets up the stand-ins of one deployment. All fields are needed.
type HostsOptions struct {
	// Deployment names queues, data centres and hosts.
	Deployment loader.Deployment
	// EntryHosts returns the URLs of the entry hosts, those nearest to a data
	// centre first.
	EntryHosts func(dataCentre string) []string
	// Service and RunTime are the mean times of a request and of a task.
	Service, RunTime time.Duration
	// Ledger counts the runs of requests, Starts the starts of tasks.
	Ledger *Ledger
	Starts *Starts
}

// Hosts are the upstreams and workers of one deployment.
type Hosts struct {
	upstreams []*Upstream
	workers   []*Worker
}

// NewHosts starts ten upstreams for each queue of requests, spread over the
// data centres in turn, and a worker for each host.
func NewHosts(opts HostsOptions) (*Hosts, error) {
	h := &Hosts{}
	for _, q := range opts.Deployment.Queues {
		if q.Kind != "requests" {
			continue
		}
		for i := range upstreamsPerQueue {
			if err := h.addUpstream(opts, q.Name, i); err != nil {
				h.Kill()
				return nil, err
			}
		}
	}
	for _, host := range opts.Deployment.Snapshot().GetHosts() {
		h.workers = append(h.workers, NewWorker(WorkerOptions{
			Name:       host.GetName(),
			DataCentre: host.GetDataCentre(),
			Rack:       host.GetRack(),
			Capacity:   host.GetCapacity(),
			RunTime:    opts.RunTime,
			EntryHosts: opts.EntryHosts(host.GetDataCentre()),
			Starts:     opts.Starts,
			Clock:      timer.System(),
			Seed:       uint64(len(h.workers)),
		}))
	}
	return h, nil
}

func (h *Hosts) addUpstream(opts HostsOptions, queue string, i int) error {
	const perRack = 4
	dataCentre := opts.Deployment.DataCentres[i%len(opts.Deployment.DataCentres)].Name
	u, err := NewUpstream(UpstreamOptions{
		ID:         fmt.Sprintf("u-%s-%d", queue, i+1),
		Queue:      queue,
		DataCentre: dataCentre,
		Rack:       fmt.Sprintf("%s-r%d", dataCentre, i/perRack+1),
		Slots:      upstreamSlots,
		Service:    opts.Service,
		EntryHosts: opts.EntryHosts(dataCentre),
		Ledger:     opts.Ledger,
		Clock:      timer.System(),
		Seed:       uint64(len(h.upstreams)),
	})
	if err != nil {
		return err
	}
	h.upstreams = append(h.upstreams, u)
	return nil
}

// Kill stops all stand-ins at once, without a word to the entry hosts.
func (h *Hosts) Kill() {
	for _, w := range h.workers {
		w.Kill()
	}
	for _, u := range h.upstreams {
		u.Kill()
	}
}
