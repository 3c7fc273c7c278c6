package planner

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// drainDelay is how long a scheduler must have known that a host drains
	// before its report of an empty host counts. It exceeds a scheduling pass
	// that began before, and the time in which a worker may still act on older
	// start orders.
	drainDelay = 3 * time.Second

	// silentDelay is the same for a host that its scheduler does not know. It
	// exceeds the worker lease of 15 s, after which nothing runs there.
	silentDelay = 20 * time.Second
)

// drains follows hosts from the start of a drain to the confirmation that they
// are empty. It keeps what it learned in one term.
type drains struct {
	// known is when the scheduler was first seen to know of each drain, by host.
	known map[string]knownDrain
}

type knownDrain struct {
	revision uint64
	epoch    uint64
	since    time.Time
}

// confirm returns a command for each draining host that is proved empty.
func (d *drains) confirm(f fleet) []*wire.Command {
	var commands []*wire.Command
	for _, h := range f.hosts {
		if h.GetState() != wire.HostState_HOST_STATE_DRAINING {
			delete(d.known, h.GetName())
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
// enough and reports that nothing runs there. A change of the scheduler or of
// the drain starts the wait anew.
func (d *drains) isEmpty(now time.Time, h host) bool {
	if h.report.Use == nil || h.report.Confirmed < h.GetRevision() {
		return false
	}
	present := knownDrain{
		revision: h.GetRevision(),
		epoch:    h.report.Use.GetEpoch(),
		since:    now,
	}
	known, ok := d.known[h.GetName()]
	if !ok || known.revision != present.revision || known.epoch != present.epoch {
		d.known[h.GetName()] = present
		return false
	}
	wait := h.report.At.Sub(known.since)
	if h.use == nil {
		return wait >= silentDelay
	}
	return h.idle() && wait >= drainDelay
}
