package planner

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// drainConfirmDelay is how long a scheduler must have known of a drain before
	// its report that the host is empty is accepted. It is longer than a
	// scheduling pass that began before the drain was known, and longer than a
	// worker may still act on older start orders.
	drainConfirmDelay = 3 * time.Second

	// unknownHostConfirmDelay is the same delay for a host that its scheduler does
	// not know. It is longer than the worker lease of 15 s, after which nothing
	// runs on the host.
	unknownHostConfirmDelay = 20 * time.Second
)

// drainTracker tracks hosts from the start of a drain to the confirmation that they
// are empty, within one leader's term.
type drainTracker struct {
	// acknowledged holds the first sign that the scheduler knows of each drain, by host.
	acknowledged map[string]acknowledgedDrain
}

// acknowledgedDrain is a drain that the host's scheduler knows of. A new host
// revision or scheduler epoch makes it invalid.
type acknowledgedDrain struct {
	revision uint64
	epoch    uint64
	since    time.Time
}

// confirmEmptyCommands returns a ConfirmEmpty command for each draining host that
// is known to be empty.
func (d *drainTracker) confirmEmptyCommands(f fleet) []*wire.Command {
	var commands []*wire.Command
	for _, h := range f.hosts {
		if h.GetState() != wire.HostState_HOST_STATE_DRAINING {
			delete(d.acknowledged, h.GetName())
			continue
		}
		if d.isEmpty(f.in.Now, h) {
			commands = append(commands, &wire.Command{
				Change: &wire.Command_ConfirmEmpty{
					ConfirmEmpty: &wire.ConfirmEmpty{
						Host:        h.GetName(),
						PoolEpoch:   h.GetPoolEpoch(),
						Incarnation: h.use.GetIncarnation(),
					},
				},
			})
		}
	}
	return commands
}

// isEmpty reports whether the host's scheduler has known of the drain long
// enough and reports that nothing runs there. A change of the scheduler or of the
// drain restarts the wait.
func (d *drainTracker) isEmpty(now time.Time, h host) bool {
	if h.report.Use == nil || h.report.AppliedRevision < h.GetRevision() {
		return false
	}
	current := acknowledgedDrain{
		revision: h.GetRevision(),
		epoch:    h.report.Use.GetEpoch(),
		since:    now,
	}
	first, ok := d.acknowledged[h.GetName()]
	if !ok || first.revision != current.revision || first.epoch != current.epoch {
		d.acknowledged[h.GetName()] = current
		return false
	}
	wait := h.report.At.Sub(first.since)
	if h.use == nil {
		return wait >= unknownHostConfirmDelay
	}
	return h.idle() && wait >= drainConfirmDelay
}
