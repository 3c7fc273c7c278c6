package emulator

import (
	"fmt"
	"time"

	"github.com/heathermux/heathermux/internal/announcer"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// upstreamsPerQueue and upstreamSlots match what the users run today.
	upstreamsPerQueue = 10
	upstreamSlots     = 8
	// jobWorkersPerPool is the number of job workers started for each queue of
	// jobs.
	jobWorkersPerPool = 3
)

// HostsOptions configures the emulated hosts of one deployment. All fields are
// required, but JobTime and JobLedger only if the deployment has queues of jobs;
// JobLedger may be nil.
type HostsOptions struct {
	// Deployment defines the queues, data centres and hosts to emulate.
	Deployment loader.Deployment
	// EntryHosts returns the URLs of the entry hosts, those nearest to a data
	// centre first.
	EntryHosts func(dataCentre string) []string
	// Service is the mean service time of a request, RunTime the mean run time of
	// a task.
	Service, RunTime time.Duration
	// Ledger counts the executions of requests; Starts records the starts of tasks.
	Ledger *Ledger
	Starts *Starts
	// JobTime is the run time of each task of a job. JobLedger is notified of the
	// runs of these tasks.
	JobTime   time.Duration
	JobLedger JobLedger
}

// Hosts holds the emulated upstreams, workers and job workers of one deployment.
type Hosts struct {
	upstreams  []*Upstream
	workers    []*Worker
	jobWorkers []*JobWorker
}

// NewHosts starts ten upstreams for each queue of requests and three job workers
// for each queue of jobs, assigned to the data centres round-robin, and one worker
// for each host of the deployment. After an error it stops what it has started.
func NewHosts(opts HostsOptions) (*Hosts, error) {
	h := &Hosts{}
	for _, q := range opts.Deployment.Queues {
		if q.Kind == "jobs" {
			if err := h.addJobWorkers(opts, q); err != nil {
				h.Kill()
				return nil, err
			}
		}
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

func (h *Hosts) addJobWorkers(opts HostsOptions, q loader.Queue) error {
	for i := range jobWorkersPerPool {
		dataCentre := opts.Deployment.DataCentres[i%len(opts.Deployment.DataCentres)].Name
		w, err := NewJobWorker(JobWorkerOptions{
			ID:         fmt.Sprintf("j-%s-%d", q.Name, i+1),
			Pool:       q.Pool,
			DataCentre: dataCentre,
			Capacity: announcer.Resources{
				MilliCores:  16_000,
				MemoryBytes: 32 << 30,
			},
			TaskTime:   opts.JobTime,
			EntryHosts: opts.EntryHosts(dataCentre),
			Ledger:     opts.JobLedger,
		})
		if err != nil {
			return err
		}
		h.jobWorkers = append(h.jobWorkers, w)
	}
	return nil
}

// Kill stops all emulated hosts abruptly; the entry hosts are not notified.
func (h *Hosts) Kill() {
	for _, w := range h.workers {
		w.Kill()
	}
	for _, w := range h.jobWorkers {
		w.Kill()
	}
	for _, u := range h.upstreams {
		u.Kill()
	}
}
