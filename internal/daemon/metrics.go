package daemon

import (
	"github.com/heathermux/heathermux/internal/wire"
)

// gauge is a metric whose value is computed on each scrape.
type gauge struct {
	name, help string
	value      func() float64
}

// registerGauges registers the gauges of the daemon with the meter.
func (d *Daemon) registerGauges() {
	for _, g := range append(d.controlGauges(), d.fleetGauges()...) {
		d.meter.Gauge(g.name, g.help, g.value)
	}
}

// controlGauges returns the gauges of the control state, the lease and the
// idempotency keys on this host.
func (d *Daemon) controlGauges() []gauge {
	return []gauge{
		{
			name:  "control_revision",
			help:  "Revision of the control state on this host.",
			value: func() float64 { return float64(d.follower.View().State.Revision()) },
		},
		{
			name:  "authority_lease_seconds",
			help:  "Rest of the authority lease; 0 or less without one.",
			value: func() float64 { return d.follower.View().LeaseUntil.Sub(d.clock.Now()).Seconds() },
		},
		{
			name:  "leader",
			help:  "1 on the host that leads the control state.",
			value: func() float64 { return boolToFloat(d.isLeader()) },
		},
		{
			name:  "ready",
			help:  "1 while the load balancer may send new connections.",
			value: func() float64 { return boolToFloat(d.ready.Load()) },
		},
		{
			name:  "view_members",
			help:  "Entry hosts in the agreed view.",
			value: func() float64 { return float64(len(d.follower.View().State.View().GetMembers())) },
		},
		{
			name:  "registry_entries",
			help:  "Idempotency keys held on this host.",
			value: func() float64 { return float64(d.recorder.Stats().Entries) },
		},
		{
			name:  "registry_bytes",
			help:  "Approximate memory of the idempotency keys held on this host.",
			value: func() float64 { return float64(d.recorder.Stats().Bytes) },
		},
		{
			name: "registry_slots_not_ready",
			help: "Slots of idempotency keys that this host owns and that refuse new keys.",
			value: func() float64 {
				stats := d.recorder.Stats()
				return float64(stats.Owned - stats.Ready)
			},
		},
	}
}

// fleetGauges returns the gauges of upstreams, data centres and hosts as this host
// knows them.
func (d *Daemon) fleetGauges() []gauge {
	return []gauge{
		{
			name:  "directory_generation",
			help:  "Changes of the directory of upstreams.",
			value: func() float64 { return float64(d.directory.Generation()) },
		},
		{
			name:  "queues_without_upstream",
			help:  "Queues of requests that no upstream serves.",
			value: func() float64 { return float64(d.unservedQueues()) },
		},
		{
			name:  "data_centres_out",
			help:  "Data centres that are out of service.",
			value: func() float64 { return float64(d.outOfServiceDataCentres()) },
		},
		{
			name:  "hosts_unavailable",
			help:  "Hosts that drain or are under maintenance.",
			value: func() float64 { return float64(d.unavailableHosts()) },
		},
		{
			name:  "maintenance_grants",
			help:  "Hosts with a maintenance grant.",
			value: func() float64 { return float64(len(d.follower.View().State.Grants())) },
		},
	}
}

func (d *Daemon) isLeader() bool {
	if d.voter == nil {
		return false
	}
	_, self := d.voter.Leader()
	return self
}

func (d *Daemon) unservedQueues() int {
	n := 0
	for _, q := range d.follower.View().State.Queues() {
		if q.GetKind() == wire.QueueKind_QUEUE_KIND_REQUESTS && len(d.directory.Upstreams(q.GetName())) == 0 {
			n++
		}
	}
	return n
}

func (d *Daemon) outOfServiceDataCentres() int {
	n := 0
	for _, c := range d.follower.View().State.DataCentres() {
		if c.GetState() == wire.ServiceState_SERVICE_STATE_OUT {
			n++
		}
	}
	return n
}

func (d *Daemon) unavailableHosts() int64 {
	state := d.follower.View().State
	n := int64(0)
	for _, p := range state.Pools() {
		n += state.Unavailable(p.GetName())
	}
	return n
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
