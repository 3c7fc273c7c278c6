package replica_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/wire"
)

// caller makes competing changes of one object, each from a revision that it
// has seen, and resends each until it has an answer.
type caller struct {
	cmd    *wire.Command
	sentAt time.Time
	called time.Time
	result *wire.Result
}

// register is the model: the revision of the object and who made it.
type register struct {
	revision uint64
	winner   string
}

var model = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, cmd, r := state.(register), input.(*wire.Command), output.(*wire.Result)
		expected := cmd.GetExpectedRevision()
		if s.winner == "" && expected == 0 {
			expected = s.revision
		}
		if expected != s.revision {
			return r == nil || (r.GetOutcome() == wire.Outcome_OUTCOME_CONFLICT && r.GetWinner() == s.winner), s
		}
		if r != nil && r.GetOutcome() != wire.Outcome_OUTCOME_ACCEPTED {
			return false, s
		}
		if r != nil && r.GetRevision() != s.revision+1 {
			return false, s
		}
		return true, register{
			// Only changes of this object raise the revision.
			revision: s.revision + 1,
			winner:   cmd.GetOperationId(),
		}
	},
}

// TestLinearizable guards against answers that no order of the changes
// explains: two winners under one revision, a conflict with a change that
// lost, or a result that a resend gets anew.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := formed(t, seed, 3)
			c.client.stopped = true
			c.settle()
			// The client has made other objects; their revisions are the base.
			base := c.leader().replica.State().Revision()
			history := c.compete(base, 5, 12*time.Second)
			accepted := 0
			for _, op := range history {
				if r := op.Output.(*wire.Result); r.GetOutcome() == wire.Outcome_OUTCOME_ACCEPTED {
					accepted++
				}
			}
			is.True(accepted > 10)
			m := model
			m.Init = func() any {
				return register{
					revision: base,
				}
			}
			is.True(porcupine.CheckOperations(m, history))
		})
	}
}

// compete runs callers under one random fault after the other.
func (c *cluster) compete(base uint64, callers int, d time.Duration) []porcupine.Operation {
	faults := []string{"restart", "torn write", "silent partition in", "silent partition out", "silent partition both ways", "freeze", "delay", "duplicate", "reorder"}
	all := make([]caller, callers)
	var history []porcupine.Operation
	seen, n := base, 0
	var next time.Time
	for end := c.now.Add(d); c.now.Before(end); c.step() {
		if !c.now.Before(next) {
			next = c.now.Add(2 * time.Second)
			columns[faults[c.r.IntN(len(faults))]](c, c.hosts[c.names[c.r.IntN(3)]])
		}
		for i := range all {
			if r := all[i].result; r != nil {
				history = append(history, all[i].operation(i, c.now.UnixNano()))
				seen = max(seen, r.GetRevision())
				all[i] = caller{}
			}
			if all[i].cmd == nil {
				n++
				all[i].cmd, all[i].called = c.contend(n, seen, base), c.now
			}
			all[i].send(c)
		}
	}
	for i := range all {
		history = append(history, all[i].operation(i, math.MaxInt64))
	}
	return history
}

func (cl *caller) operation(id int, returned int64) porcupine.Operation {
	return porcupine.Operation{
		ClientId: id,
		Input:    cl.cmd,
		Call:     cl.called.UnixNano(),
		Output:   cl.result,
		Return:   returned,
	}
}

// contend makes a change from the newest revision seen, or now and then from
// an older one.
func (c *cluster) contend(n int, seen, base uint64) *wire.Command {
	cmd := change(fmt.Sprint("competing-", n))
	cmd.GetDefineDataCentre().DataCentre.Name = "contended"
	if cmd.ExpectedRevision = seen; seen > base && c.r.IntN(4) == 0 {
		cmd.ExpectedRevision--
	}
	if cmd.ExpectedRevision == base {
		cmd.ExpectedRevision = 0
	}
	return cmd
}

// send proposes at a random host, also at one that has lost its lead unknowingly.
func (cl *caller) send(c *cluster) {
	h := c.hosts[c.names[c.r.IntN(3)]]
	if c.now.Sub(cl.sentAt) < 300*time.Millisecond || h.replica == nil || h.frozenUntil.After(c.now) {
		return
	}
	served, cmd := h.replica, cl.cmd
	sent := served.Propose(c.now, cmd, false, func(r *wire.Result, err error) {
		if err == nil && !h.dead && h.replica == served && cl.cmd == cmd && cl.result == nil {
			cl.result = r
		}
	})
	if sent {
		cl.sentAt = c.now
	}
}
