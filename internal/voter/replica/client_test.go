package replica_test

import (
	"fmt"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// client makes one change at a time and resends it until it is acknowledged.
type client struct {
	stopped  bool
	sequence int
	op       string
	sentAt   time.Time
	// acked maps acknowledged operations to their revisions.
	acked map[string]uint64
	// inForceAt maps revisions to the time from which they are in force;
	// highestInForce is the highest revision whose time has come.
	inForceAt      map[uint64]time.Time
	highestInForce uint64
	result         *wire.Result
}

func (cl *client) step(c *cluster) {
	if cl.acked == nil {
		cl.acked, cl.inForceAt = make(map[string]uint64), make(map[uint64]time.Time)
	}
	if cl.result != nil {
		cl.acked[cl.op] = cl.result.GetRevision()
		cl.inForceAt[cl.result.GetRevision()] = time.Unix(0, cl.result.GetInForceAtUnixNanos())
		cl.result, cl.op = nil, ""
	}
	if cl.op == "" && !cl.stopped {
		cl.sequence++
		cl.op = fmt.Sprintf("op-%04d", cl.sequence)
		cl.sentAt = time.Time{}
	}
	if cl.op != "" && c.now.Sub(cl.sentAt) > 700*time.Millisecond {
		cl.send(c)
	}
}

// send proposes the current change on every host that considers itself the leader.
func (cl *client) send(c *cluster) {
	for _, name := range c.names {
		h := c.hosts[name]
		if h.replica == nil || h.frozenUntil.After(c.now) {
			continue
		}
		if _, self := h.replica.Leader(); !self {
			continue
		}
		cl.sentAt = c.now
		op, target := cl.op, h.replica
		target.Propose(c.now, change(op), cl.sequence%8 == 0, func(r *wire.Result, err error) {
			if err == nil && !h.crashed && h.replica == target && op == cl.op && cl.result == nil {
				cl.result = r
			}
		})
	}
}

// inForce returns the highest revision that is in force at the given time. It
// never decreases.
func (cl *client) inForce(now time.Time) uint64 {
	for rev, at := range cl.inForceAt {
		if !at.After(now) {
			cl.highestInForce = max(cl.highestInForce, rev)
			delete(cl.inForceAt, rev)
		}
	}
	return cl.highestInForce
}

// change returns a command that defines a data centre named after the operation,
// so that the state shows which operation led to which revision.
func change(op string) *wire.Command {
	return &wire.Command{
		OperationId: op,
		Change: &wire.Command_DefineDataCentre{
			DefineDataCentre: &wire.DefineDataCentre{
				DataCentre: &wire.DataCentre{
					Name: op,
				},
			},
		},
	}
}
