package replica_test

import (
	"fmt"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// client makes one change after the other and resends each until it is
// acknowledged.
type client struct {
	stopped bool
	n       int
	op      string
	sentAt  time.Time
	// acked maps acknowledged operations to their revision.
	acked map[string]uint64
	// force maps revisions to the time from which they are in force; highest
	// is the last one whose time has come.
	force   map[uint64]time.Time
	highest uint64
	answer  *wire.Result
}

func (cl *client) step(c *cluster) {
	if cl.acked == nil {
		cl.acked, cl.force = make(map[string]uint64), make(map[uint64]time.Time)
	}
	if cl.answer != nil {
		cl.acked[cl.op] = cl.answer.GetRevision()
		cl.force[cl.answer.GetRevision()] = time.Unix(0, cl.answer.GetInForceAtUnixNanos())
		cl.answer, cl.op = nil, ""
	}
	if cl.op == "" && !cl.stopped {
		cl.n++
		cl.op = fmt.Sprintf("op-%04d", cl.n)
		cl.sentAt = time.Time{}
	}
	if cl.op != "" && c.now.Sub(cl.sentAt) > 700*time.Millisecond {
		cl.send(c)
	}
}

// send proposes the present change wherever a host believes that it leads.
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
		op, served := cl.op, h.replica
		served.Propose(c.now, change(op), cl.n%8 == 0, func(r *wire.Result, err error) {
			if err == nil && !h.dead && h.replica == served && op == cl.op && cl.answer == nil {
				cl.answer = r
			}
		})
	}
}

// inForce returns the highest revision that is in force at the given time,
// which never goes back.
func (cl *client) inForce(now time.Time) uint64 {
	for rev, at := range cl.force {
		if !at.After(now) {
			cl.highest = max(cl.highest, rev)
			delete(cl.force, rev)
		}
	}
	return cl.highest
}

// change defines a data centre that is named after the operation, so that the
// state shows which operation led to which revision.
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
