package jobgateway_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobgateway"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/pausedetector"
	"github.com/heathermux/heathermux/pkg/timer"
)

// evacuationLeader is a leader that answers evacuation orders and reads of revisions.
type evacuationLeader struct {
	revision uint64
	// onRead is called before a read is answered; nil for nothing.
	onRead func()
	// orders holds the revisions that the executed orders were bound to.
	orders []uint64
}

// Call implements jobgateway.Caller.
func (l *evacuationLeader) Call(_ context.Context, _, _ string, request, response proto.Message) error {
	req, resp := request.(*jobwire.ControlRequest), response.(*jobwire.ControlResponse)
	resp.Outcome = jobwire.Outcome_OUTCOME_OK
	switch call := req.GetCall().(type) {
	case *jobwire.ControlRequest_ReadEvacuation:
		if l.onRead != nil {
			l.onRead()
		}
		resp.EvacuationRevision = l.revision
	case *jobwire.ControlRequest_Evacuate:
		l.orders = append(l.orders, call.Evacuate.GetExpectedRevision())
	}
	return nil
}

// A host that has stood still reads orders whose callers have long sent others elsewhere, and
// a host that was cut off reads them together with the end of the connection. Such an order
// must not be passed on; any other is bound to the revision that the leader has.
func TestEvacuationOrderIsPassedOnOnlyWhileItsCallerWaits(t *testing.T) {
	for name, test := range map[string]struct {
		paused bool
		// pausesInRead and hangsUpInRead tell what happens while the revision is read.
		pausesInRead  bool
		hangsUpInRead bool
		passedOn      bool
	}{
		"a caller that waits": {
			passedOn: true,
		},
		"this host stood still before": {
			paused: true,
		},
		"this host stands still meanwhile": {
			pausesInRead: true,
		},
		"the caller hangs up meanwhile": {
			hangsUpInRead: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, hangUp := context.WithCancel(t.Context())
			defer hangUp()
			clock := timer.NewFake(time.Unix(1000, 0))
			leader := &evacuationLeader{
				revision: 7,
				onRead: func() {
					if test.pausesInRead {
						clock.Advance(4 * time.Second)
					}
					if test.hangsUpInRead {
						hangUp()
					}
				},
			}
			g := jobgateway.New(jobgateway.Options{
				Hosts:  []string{"leader"},
				Caller: leader,
				Clock:  timer.System(),
				Logger: slog.New(slog.DiscardHandler),
				Pauses: pausedetector.New(clock, slog.New(slog.DiscardHandler)),
			})
			if test.paused {
				clock.Advance(4 * time.Second)
			}
			resp := g.Evacuate(ctx, &jobwire.Evacuation{
				DataCentre: "dc",
				Finish:     true,
			})
			if test.passedOn {
				is.Equal(resp.GetOutcome(), jobwire.Outcome_OUTCOME_OK)
				is.Equal(leader.orders, []uint64{7})
				return
			}
			is.Equal(resp.GetOutcome(), jobwire.Outcome_OUTCOME_UNAVAILABLE)
			is.Equal(len(leader.orders), 0)
		})
	}
}
