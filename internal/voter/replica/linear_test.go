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

// caller makes conflicting changes to one data centre, each based on a revision
// that was seen before, and resends each until it has a result.
type caller struct {
	cmd    *wire.Command
	sentAt time.Time
	called time.Time
	result *wire.Result
}

// register is the state of the linearizability model: the revision of the data
// centre and the operation that last changed it.
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
			// Nothing else is changed meanwhile, so only these changes raise the revision.
			revision: s.revision + 1,
			winner:   cmd.GetOperationId(),
		}
	},
}

// TestLinearizable guards against results that no sequential order of the changes
// explains: two accepted changes from the same revision, a conflict that names a
// change that was not accepted, or a resend that gets a different result.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newFormedCluster(t, seed, 3)
			c.client.stopped = true
			c.awaitRecovery()
			// The client has made other changes before; the model starts from their revision.
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

// compete runs concurrent callers while one random fault follows the other, and
// returns the history of their calls.
func (c *cluster) compete(base uint64, callers int, d time.Duration) []porcupine.Operation {
	faultNames := []string{"restart", "torn write", "silent partition in", "silent partition out", "silent partition both ways", "freeze", "delay", "duplicate", "reorder"}
	all := make([]caller, callers)
	var history []porcupine.Operation
	seen, sequence := base, 0
	var next time.Time
	for end := c.now.Add(d); c.now.Before(end); c.step() {
		if !c.now.Before(next) {
			next = c.now.Add(2 * time.Second)
			faults[faultNames[c.rng.IntN(len(faultNames))]](c, c.hosts[c.names[c.rng.IntN(3)]])
		}
		for i := range all {
			if r := all[i].result; r != nil {
				history = append(history, all[i].operation(i, c.now.UnixNano()))
				seen = max(seen, r.GetRevision())
				all[i] = caller{}
			}
			if all[i].cmd == nil {
				sequence++
				all[i].cmd, all[i].called = c.competingChange(sequence, seen, base), c.now
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

// competingChange returns a change based on the newest revision seen, or in one of
// four cases on an older one.
func (c *cluster) competingChange(sequence int, seen, base uint64) *wire.Command {
	cmd := change(fmt.Sprint("competing-", sequence))
	cmd.GetDefineDataCentre().DataCentre.Name = "contended"
	if cmd.ExpectedRevision = seen; seen > base && c.rng.IntN(4) == 0 {
		cmd.ExpectedRevision--
	}
	if cmd.ExpectedRevision == base {
		cmd.ExpectedRevision = 0
	}
	return cmd
}

// send proposes the change on a random host, which may be one that has lost its
// leadership without knowing it.
func (cl *caller) send(c *cluster) {
	h := c.hosts[c.names[c.rng.IntN(3)]]
	if c.now.Sub(cl.sentAt) < 300*time.Millisecond || h.replica == nil || h.frozenUntil.After(c.now) {
		return
	}
	target, cmd := h.replica, cl.cmd
	sent := target.Propose(c.now, cmd, false, func(r *wire.Result, err error) {
		if err == nil && !h.crashed && h.replica == target && cl.cmd == cmd && cl.result == nil {
			cl.result = r
		}
	})
	if sent {
		cl.sentAt = c.now
	}
}
