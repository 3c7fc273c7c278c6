package announcer

import (
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// endStates maps the JSON names of end states.
var endStates = map[string]wire.TaskState{
	"succeeded": wire.TaskState_TASK_STATE_SUCCEEDED,
	"failed":    wire.TaskState_TASK_STATE_FAILED,
	"cancelled": wire.TaskState_TASK_STATE_CANCELLED,
	"stopped":   wire.TaskState_TASK_STATE_STOPPED,
	"unknown":   wire.TaskState_TASK_STATE_UNKNOWN,
}

// endStateName returns the JSON name of an end state, "unknown" for any other
// state.
func endStateName(state wire.TaskState) string {
	for name, s := range endStates {
		if s == state {
			return name
		}
	}
	return "unknown"
}

// Wire converts the poll to its protobuf message.
func (p Poll) Wire() *wire.WorkerPoll {
	w := &wire.WorkerPoll{
		Worker:      p.Worker,
		Incarnation: p.Incarnation,
		DataCentre:  p.DataCentre,
		Rack:        p.Rack,
		Capacity:    p.Capacity.wire(),
		PoolEpoch:   p.PoolEpoch,
		Epoch:       p.Epoch,
		Leaving:     p.Leaving,
		Sequence:    p.Sequence,
		DescribedTo: p.DescribedTo,
	}
	for _, r := range p.Running {
		running := &wire.RunningTask{
			Task:     r.Task,
			Epoch:    r.Epoch,
			Used:     r.Used.wire(),
			RunNanos: int64(r.RunFor),
		}
		if r.Detail != nil {
			running.Detail = r.Detail.wire()
		}
		w.Running = append(w.Running, running)
	}
	for _, e := range p.Ended {
		w.Ended = append(w.Ended, &wire.EndedTask{
			Task:         e.Task,
			State:        endStates[e.State],
			Reason:       e.Reason,
			Peak:         e.Peak.wire(),
			RunNanos:     int64(e.RunFor),
			Checkpointed: e.Checkpointed,
		})
	}
	return w
}

// PollOf converts a protobuf message to its JSON form.
func PollOf(w *wire.WorkerPoll) Poll {
	p := Poll{
		Worker:      w.GetWorker(),
		Incarnation: w.GetIncarnation(),
		DataCentre:  w.GetDataCentre(),
		Rack:        w.GetRack(),
		Capacity:    resourcesOf(w.GetCapacity()),
		PoolEpoch:   w.GetPoolEpoch(),
		Epoch:       w.GetEpoch(),
		Leaving:     w.GetLeaving(),
		Sequence:    w.GetSequence(),
		DescribedTo: w.GetDescribedTo(),
	}
	for _, r := range w.GetRunning() {
		running := Running{
			Task:   r.GetTask(),
			Epoch:  r.GetEpoch(),
			Used:   resourcesOf(r.GetUsed()),
			RunFor: time.Duration(r.GetRunNanos()),
		}
		if r.GetDetail() != nil {
			detail := taskOf(r.GetDetail())
			running.Detail = &detail
		}
		p.Running = append(p.Running, running)
	}
	for _, e := range w.GetEnded() {
		p.Ended = append(p.Ended, Ended{
			Task:         e.GetTask(),
			State:        endStateName(e.GetState()),
			Reason:       e.GetReason(),
			Peak:         resourcesOf(e.GetPeak()),
			RunFor:       time.Duration(e.GetRunNanos()),
			Checkpointed: e.GetCheckpointed(),
		})
	}
	return p
}

func (t Task) wire() *wire.Task {
	return &wire.Task{
		Id:             t.ID,
		Team:           t.Team,
		Queue:          t.Queue,
		Size:           t.Size.wire(),
		DeadlineNanos:  int64(t.Deadline),
		RunTimeNanos:   int64(t.RunTime),
		Idempotent:     t.Idempotent,
		Urgent:         t.Urgent,
		Payload:        t.Payload,
		IdempotencyKey: t.IdempotencyKey,
	}
}

func taskOf(w *wire.Task) Task {
	return Task{
		ID:             w.GetId(),
		Team:           w.GetTeam(),
		Queue:          w.GetQueue(),
		Size:           resourcesOf(w.GetSize()),
		Deadline:       time.Duration(w.GetDeadlineNanos()),
		RunTime:        time.Duration(w.GetRunTimeNanos()),
		Idempotent:     w.GetIdempotent(),
		Urgent:         w.GetUrgent(),
		Payload:        w.GetPayload(),
		IdempotencyKey: w.GetIdempotencyKey(),
	}
}

// OrdersOf converts a protobuf message to its JSON form.
func OrdersOf(w *wire.WorkerOrders) Orders {
	o := Orders{
		Epoch:        w.GetEpoch(),
		Lease:        time.Duration(w.GetLeaseNanos()),
		Stop:         w.GetStop(),
		Checkpoint:   w.GetCheckpoint(),
		Throttle:     w.GetThrottle(),
		Acknowledged: w.GetAcknowledged(),
		Pool:         w.GetPool(),
		PoolEpoch:    w.GetPoolEpoch(),
		Session:      w.GetSession(),
	}
	for _, t := range w.GetStart() {
		o.Start = append(o.Start, taskOf(t))
	}
	return o
}

// Wire converts the orders to their protobuf message.
func (o Orders) Wire() *wire.WorkerOrders {
	w := &wire.WorkerOrders{
		Epoch:        o.Epoch,
		LeaseNanos:   int64(o.Lease),
		Stop:         o.Stop,
		Checkpoint:   o.Checkpoint,
		Throttle:     o.Throttle,
		Acknowledged: o.Acknowledged,
		Pool:         o.Pool,
		PoolEpoch:    o.PoolEpoch,
		Session:      o.Session,
	}
	for _, t := range o.Start {
		w.Start = append(w.Start, t.wire())
	}
	return w
}
