package announcer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/wire"
)

// Resources is an amount of worker capacity in its JSON form.
type Resources struct {
	// MilliCores is the processor time in thousandths of a core.
	MilliCores  int64 `json:"milli-cores"`
	MemoryBytes int64 `json:"memory-bytes"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

func resourcesOf(r *wire.Resources) Resources {
	return Resources{
		MilliCores:   r.GetMilliCores(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
	}
}

func (r Resources) wire() *wire.Resources {
	return &wire.Resources{
		MilliCores:   r.MilliCores,
		MemoryBytes:  r.MemoryBytes,
		Accelerators: r.Accelerators,
	}
}

// Poll announces a worker, renews its lease and reports on its tasks.
type Poll struct {
	// Worker is the name of the host that the worker runs on.
	Worker string `json:"worker"`
	// Incarnation changes with each start of the worker.
	Incarnation string `json:"incarnation"`
	// DataCentre is the data centre that it runs in.
	DataCentre string `json:"data-centre"`
	// Rack is the rack that it runs in.
	Rack string `json:"rack,omitempty"`
	// Capacity is what all tasks together may use.
	Capacity Resources `json:"capacity"`
	// PoolEpoch is the pool epoch of the last orders.
	PoolEpoch uint64 `json:"pool-epoch"`
	// Epoch is the highest scheduler epoch that the worker has seen.
	Epoch uint64 `json:"epoch"`
	// Running lists the running tasks.
	Running []Running `json:"running,omitempty"`
	// Ended lists the ended tasks that the scheduler has not acknowledged yet.
	Ended []Ended `json:"ended,omitempty"`
	// Sequence increases with each poll of an incarnation.
	Sequence uint64 `json:"sequence"`
	// DescribedTo is the session of the orders that answered the previous poll. The
	// scheduler of that session knows the running tasks, so they are sent without
	// detail.
	DescribedTo string `json:"described-to,omitempty"`
	// Leaving asks that no more tasks are started on the worker.
	Leaving bool `json:"leaving,omitempty"`
}

// Running is a running task in a poll.
type Running struct {
	Task   string        `json:"task"`
	Epoch  uint64        `json:"epoch"`
	Used   Resources     `json:"used"`
	RunFor time.Duration `json:"run-nanos"`
	Detail *Task         `json:"detail,omitempty"`
}

// Ended is an ended task in a poll.
type Ended struct {
	Task string `json:"task"`
	// State is "succeeded", "failed", "cancelled", "stopped" or "unknown".
	State        string        `json:"state"`
	Reason       string        `json:"reason,omitempty"`
	Peak         Resources     `json:"peak"`
	RunFor       time.Duration `json:"run-nanos"`
	Checkpointed bool          `json:"checkpointed,omitempty"`
}

// Task is a task to start.
type Task struct {
	ID             string        `json:"id"`
	Team           string        `json:"team"`
	Queue          string        `json:"queue"`
	Size           Resources     `json:"size"`
	Deadline       time.Duration `json:"deadline-nanos"`
	RunTime        time.Duration `json:"run-time-nanos,omitempty"`
	Idempotent     bool          `json:"idempotent,omitempty"`
	Urgent         bool          `json:"urgent,omitempty"`
	Payload        []byte        `json:"payload,omitempty"`
	IdempotencyKey string        `json:"idempotency-key,omitempty"`
}

// Orders is the answer to a poll.
type Orders struct {
	Epoch        uint64        `json:"epoch"`
	Lease        time.Duration `json:"lease-nanos"`
	Start        []Task        `json:"start,omitempty"`
	Stop         []string      `json:"stop,omitempty"`
	Checkpoint   []string      `json:"checkpoint,omitempty"`
	Throttle     []string      `json:"throttle,omitempty"`
	Acknowledged []string      `json:"acknowledged,omitempty"`
	// Pool is the pool of the host, and PoolEpoch the epoch of that assignment.
	Pool      string `json:"pool,omitempty"`
	PoolEpoch uint64 `json:"pool-epoch,omitempty"`
	// Session identifies what the scheduler holds in memory; it changes with its
	// process and its epoch.
	Session string `json:"session,omitempty"`
}

// Check returns what is wrong with the poll, or nil.
func (p Poll) Check() error {
	switch {
	case p.Worker == "":
		return errors.New("worker is missing")
	case p.Incarnation == "":
		return errors.New("incarnation is missing")
	case p.DataCentre == "":
		return errors.New("data-centre is missing")
	case p.Capacity.MilliCores < 1 || p.Capacity.MemoryBytes < 1:
		return errors.New("capacity has no milli-cores or no memory-bytes")
	}
	for _, e := range p.Ended {
		if _, ok := endStates[e.State]; !ok {
			return errors.Errorf("task %q: state %q is not succeeded, failed, cancelled, stopped or unknown", e.Task, e.State)
		}
	}
	return nil
}
