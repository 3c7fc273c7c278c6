package jobgateway

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// An evacuation order has no version. A host that was frozen or cut off reads it long after
// its caller has given it up and sent others, and it would undo those. Therefore an order is
// bound to the revision of the data centre that the leader has while the caller still waits:
// the order expires with the next one, however long it stays on its way from here.

const (
	// oldOrderTime is how long after a pause of the process orders count as possibly old:
	// until all that was sent to it meanwhile has been read.
	oldOrderTime = time.Second
	// evacuationReadTimeout limits the read of the revision. With the shortest pause that is
	// noticed it is less than the second after which a caller gives an order up.
	evacuationReadTimeout = 400 * time.Millisecond
	// hangUpTime is how long an order waits for news that its caller has hung up. The end of
	// the connection arrives right after an order that was held up in the network.
	hangUpTime = 10 * time.Millisecond
)

// PauseDetector tells whether this process has stood still.
type PauseDetector interface {
	PausedWithin(age time.Duration) bool
}

// Evacuate forwards an order to start or finish the evacuation of a data centre. The context
// must end when the caller hangs up. The outcome is OUTCOME_UNAVAILABLE if the order may be
// old; a caller that still wants it sends it again.
func (g *Gateway) Evacuate(ctx context.Context, order *jobwire.Evacuation) *jobwire.ControlResponse {
	if g.opts.Pauses.PausedWithin(oldOrderTime) {
		return g.refuseOldOrder(order, "this host has stood still, so the order may be old")
	}
	read := g.readEvacuation(ctx, order.GetDataCentre())
	if read.GetOutcome() != jobwire.Outcome_OUTCOME_OK {
		return read
	}
	g.sleep(ctx, hangUpTime)
	switch {
	case ctx.Err() != nil:
		return g.refuseOldOrder(order, "the caller has hung up or its time is over")
	case g.opts.Pauses.PausedWithin(oldOrderTime):
		return g.refuseOldOrder(order, "this host has stood still, so the order may be old")
	}
	order = proto.CloneOf(order)
	order.ExpectedRevision = proto.Uint64(read.GetEvacuationRevision())
	return g.Control(ctx, &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_Evacuate{
			Evacuate: order,
		},
	})
}

// readEvacuation asks the leader for the revision of a data centre.
func (g *Gateway) readEvacuation(ctx context.Context, dataCentre string) *jobwire.ControlResponse {
	ctx, cancel := context.WithTimeout(ctx, evacuationReadTimeout)
	defer cancel()
	return g.Control(ctx, &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_ReadEvacuation{
			ReadEvacuation: &jobwire.ReadEvacuation{
				DataCentre: dataCentre,
			},
		},
	})
}

func (g *Gateway) refuseOldOrder(order *jobwire.Evacuation, reason string) *jobwire.ControlResponse {
	g.opts.Logger.Info("gateway: evacuation order not passed on", "data-centre", order.GetDataCentre(), "finish", order.GetFinish(), "reason", reason)
	return &jobwire.ControlResponse{
		Outcome: jobwire.Outcome_OUTCOME_UNAVAILABLE,
		Reason:  reason,
	}
}
