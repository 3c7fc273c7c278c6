package jobkeeper_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// An order of the operator is held up in a frozen or cut-off host while the operator sends it,
// and newer ones, by way of others. It was bound to the revision that it was read at, and must
// not undo the newer orders when it arrives, also after a snapshot.
func TestOutdatedEvacuationOrderHasNoEffect(t *testing.T) {
	is := is.New(t)
	m := jobkeeper.New(timer.System())
	order := func(finish bool, revision uint64) bool {
		result := applyEvacuation(t, m, &jobwire.Evacuation{
			DataCentre:       "dc",
			Finish:           finish,
			ExpectedRevision: proto.Uint64(revision),
		})
		return !result.Superseded
	}
	evacuated := func() bool {
		out := false
		m.View(func(s *jobkeeper.State) { out = s.Evacuated["dc"] })
		return out
	}
	is.True(order(false, 0)) // start
	is.True(order(true, 1))  // finish, sent again elsewhere after a second
	is.True(order(false, 2)) // start anew
	is.True(!order(true, 1)) // the first copy of the finish
	is.True(evacuated())

	data, err := m.Encode()
	is.NoErr(err)
	is.NoErr(m.Restore(data))
	is.True(!order(true, 1))
	is.True(evacuated())

	// The start that was executed is acknowledged again.
	is.True(order(false, 2))
	is.True(evacuated())
	// A finish that was read before that acknowledgement is outdated.
	is.True(!order(true, 3))
	is.True(order(true, 4))
	is.True(!evacuated())
}

// An acknowledged order that changes nothing outdates an earlier one all the same.
func TestEvacuationOrderWithoutChangeOutdatesEarlierOnes(t *testing.T) {
	is := is.New(t)
	m := jobkeeper.New(timer.System())
	is.True(!applyEvacuation(t, m, &jobwire.Evacuation{
		DataCentre:       "dc",
		Finish:           true,
		ExpectedRevision: proto.Uint64(0),
	}).Superseded)
	is.True(applyEvacuation(t, m, &jobwire.Evacuation{
		DataCentre:       "dc",
		ExpectedRevision: proto.Uint64(0),
	}).Superseded)
}

func applyEvacuation(t *testing.T, m *jobkeeper.StateMachine, e *jobwire.Evacuation) jobkeeper.EvacuateResult {
	t.Helper()
	data, err := proto.Marshal(&jobwire.Command{
		Change: &jobwire.Command_Evacuate{
			Evacuate: e,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	result, ok := m.Apply(data).(jobkeeper.EvacuateResult)
	if !ok {
		t.Fatal("the order has no result")
	}
	return result
}
