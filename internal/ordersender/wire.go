package ordersender

import (
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// encodeOrder returns the message for an order, or nil for any other action.
func encodeOrder(number uint64, order jobscheduler.Action) *jobwire.Order {
	target, ok := TargetOf(order)
	if !ok {
		return nil
	}
	message := &jobwire.Order{
		Number: number,
		Target: &jobwire.Target{
			Id:      target.ID,
			Born:    target.Born,
			Address: target.Address,

			Epoch: target.Epoch,
		},
	}
	switch o := order.(type) {
	case jobscheduler.Start:
		message.Order = &jobwire.Order_Start{
			Start: &jobwire.StartOrder{
				Task:           o.Task,
				Run:            o.Run,
				Payload:        o.Payload,
				Checkpoint:     o.Checkpoint,
				Ticket:         o.Ticket,
				DeadlineMillis: o.Deadline,
				NewConnection:  o.NewConnection,
			},
		}
	case jobscheduler.Stop:
		message.Order = &jobwire.Order_Stop{
			Stop: &jobwire.StopOrder{
				Task: o.Task,
				Run:  o.Run,
			},
		}
	case jobscheduler.Poll:
		message.Order = &jobwire.Order_Look{
			Look: &jobwire.LookOrder{
				DeadlineMillis: o.Deadline,
				Seen:           o.LastRecordedEnd,
				WaitNanos:      int64(o.Wait),
				Probe:          o.Probe,
			},
		}
	}
	return message
}

// decodeOrder returns nil for an order of an unknown kind.
func decodeOrder(message *jobwire.Order) jobscheduler.Action {
	target := jobscheduler.Target{
		ID:      message.GetTarget().GetId(),
		Born:    message.GetTarget().GetBorn(),
		Address: message.GetTarget().GetAddress(),

		Epoch: message.GetTarget().GetEpoch(),
	}
	switch o := message.GetOrder().(type) {
	case *jobwire.Order_Start:
		return jobscheduler.Start{
			Target:     target,
			Task:       o.Start.GetTask(),
			Run:        o.Start.GetRun(),
			Payload:    o.Start.GetPayload(),
			Checkpoint: o.Start.GetCheckpoint(),
			Ticket:     o.Start.GetTicket(),
			Deadline:   o.Start.GetDeadlineMillis(),

			NewConnection: o.Start.GetNewConnection(),
		}
	case *jobwire.Order_Stop:
		return jobscheduler.Stop{
			Target: target,
			Task:   o.Stop.GetTask(),
			Run:    o.Stop.GetRun(),
		}
	case *jobwire.Order_Look:
		return jobscheduler.Poll{
			Target:          target,
			Deadline:        o.Look.GetDeadlineMillis(),
			LastRecordedEnd: o.Look.GetSeen(),
			Wait:            time.Duration(o.Look.GetWaitNanos()),
			Probe:           o.Look.GetProbe(),
		}
	}
	return nil
}

func encodeAnswer(number uint64, a Answer) *jobwire.OrderAnswer {
	message := &jobwire.OrderAnswer{
		Number:      number,
		Start:       int32(a.Start),
		Confirmed:   a.Confirmed,
		ClockMillis: a.Clock,
	}
	if _, ok := a.Order.(jobscheduler.Poll); !ok {
		return message
	}
	message.ClockMillis = a.Poll.Clock
	message.Look = &jobwire.LookResult{
		Failed:    a.Poll.Failed,
		Refused:   a.Poll.Refused,
		Fenced:    a.Poll.Fenced,
		Gone:      a.Poll.Gone,
		Restarted: a.Poll.Restarted,
		Cause:     a.Poll.Cause,

		Disconnected: a.Poll.Disconnected,
		MoreEnds:     a.Poll.MoreEnds,
	}
	for _, t := range a.Poll.Running {
		message.Look.Running = append(message.Look.Running, &jobwire.RunningTask{
			Task:       t.Task,
			Run:        t.Run,
			Checkpoint: t.Checkpoint,
			Percent:    int32(t.Percent),
			Figure:     t.Figure,
		})
	}
	for _, e := range a.Poll.Ended {
		message.Look.Ended = append(message.Look.Ended, &jobwire.EndedTask{
			Number: e.Number,
			End:    e.End,
		})
	}
	return message
}

// decodeAnswer returns the outcome of an order that was sent at the given time.
func decodeAnswer(order jobscheduler.Action, sentAt time.Time, message *jobwire.OrderAnswer) Answer {
	a := Answer{
		Order:     order,
		Start:     jobscheduler.StartAnswer(message.GetStart()),
		Confirmed: message.GetConfirmed(),
		Clock:     message.GetClockMillis(),
	}
	if _, ok := order.(jobscheduler.Poll); !ok {
		return a
	}
	look := message.GetLook()
	a.Poll = jobscheduler.PollAnswer{
		Failed:    look == nil || look.GetFailed(),
		Refused:   look.GetRefused(),
		Fenced:    look.GetFenced(),
		Gone:      look.GetGone(),
		Restarted: look.GetRestarted(),
		Cause:     look.GetCause(),

		Disconnected: look.GetDisconnected(),
		MoreEnds:     look.GetMoreEnds(),
		Clock:        message.GetClockMillis(),
		SentAt:       sentAt,
	}
	for _, t := range look.GetRunning() {
		a.Poll.Running = append(a.Poll.Running, jobscheduler.RunningTask{
			Task:       t.GetTask(),
			Run:        t.GetRun(),
			Checkpoint: t.GetCheckpoint(),
			Percent:    int(t.GetPercent()),
			Figure:     t.GetFigure(),
		})
	}
	for _, e := range look.GetEnded() {
		a.Poll.Ended = append(a.Poll.Ended, jobscheduler.EndedTask{
			Number: e.GetNumber(),
			End:    e.GetEnd(),
		})
	}
	return a
}
