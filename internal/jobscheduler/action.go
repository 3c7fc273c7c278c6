package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// Action is an order or a request for the caller to carry out. Its outcome goes
// to the Scheduler method that the doc comment of its type names.
type Action any

// Target identifies one incarnation of a worker and how to reach it.
type Target struct {
	ID      string
	Born    int64
	Address string
	// DataCentre is where the worker runs; empty when unknown.
	DataCentre string
	// Epoch is higher than that of all orders to earlier incarnations under the id that can still be
	// executed, and of all starts that got no answer. Invariant: within a term it
	// rises with each later incarnation and never falls for one incarnation.
	Epoch uint64
}

// Start orders a worker to run a task; the outcome goes to StartAnswered.
type Start struct {
	Target     Target
	Task       *jobwire.Task
	Run        uint64
	Payload    string
	Checkpoint string
	// Ticket is the permission of the placement adviser; empty when none is
	// needed.
	Ticket string
	// Deadline is the end of the lease, on the worker's clock in milliseconds.
	Deadline int64
	// NewConnection asks for a connection that is made for the order, or has just carried
	// an answer. An order on an older one may be lost unnoticed with a silent worker.
	NewConnection bool
	// ToRecord is true until the log names the worker of the run, if it has to be there before
	// the order is sent; see StartRecorded.
	ToRecord bool
}

// Stop orders a worker to end a run; the outcome goes to StopAnswered.
type Stop struct {
	Target Target
	Task   *jobwire.Task
	Run    uint64
}

// Poll polls a worker for its runs and their ends, and extends its lease; the
// outcome goes to PollAnswered.
type Poll struct {
	Target Target
	// Deadline is the end of the lease, on the worker's clock in milliseconds; 0
	// extends no lease.
	Deadline int64
	// LastRecordedEnd is the number of the last recorded end; the worker drops
	// the ends up to it. It is 0 if the worker has dropped them.
	LastRecordedEnd uint64
	// Wait is how long the worker may hold the poll open until a run ends.
	Wait time.Duration
	// Probe is true if only the fencing token has to reach the worker: the answer says nothing
	// about its runs.
	Probe bool
}

// RecordEnds requests a log write of ends; the outcome goes to EndsRecorded.
type RecordEnds struct {
	Target Target
	Ends   []*jobwire.End
	// UpTo is the number of the last of these ends on the worker.
	UpTo uint64
}

// ConfineJob requests a log entry that sets the data centres in which the tasks of a
// job may run; the outcome goes to JobConfined.
type ConfineJob struct {
	Job         string
	DataCentres []string
}

// RecordBegun requests a log write of runs whose starts were recorded and have been
// executed. Nothing waits for it, but it has to be written at last.
type RecordBegun struct {
	Runs []*jobwire.BegunRun
}

// MarkLapsed requests a log entry that sets or clears the lapsed mark of a worker;
// the outcome goes to LapsedMarked.
type MarkLapsed struct {
	ID     string
	Born   int64
	Lapsed bool
}

// RemoveWorker requests a log entry that removes the worker from the replicated
// state.
type RemoveWorker struct {
	ID   string
	Born int64
}

// Advise asks the placement adviser which workers may run a step; the outcome
// goes to Advised.
type Advise struct {
	Step    StepKey
	Workers []string
	// Timeout bounds the call.
	Timeout time.Duration
}

// StepKey identifies a step in one occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence int32
	Step       int32
}

type taskKey struct {
	StepKey
	index int32
}

func keyOf(t *jobwire.Task) taskKey {
	return taskKey{
		StepKey: StepKey{
			Job:        t.GetJob(),
			Occurrence: t.GetOccurrence(),
			Step:       t.GetStep(),
		},
		index: t.GetIndex(),
	}
}

func (k taskKey) task() *jobwire.Task {
	return &jobwire.Task{
		Job:        k.Job,
		Occurrence: k.Occurrence,
		Step:       k.Step,
		Index:      k.index,
	}
}
