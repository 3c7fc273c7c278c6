package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// Action is something for the caller to do. Its outcome is reported back by
// the method that the action's type names.
type Action any

// Target names one life of a worker and how to reach it.
type Target struct {
	ID      string
	Born    int64
	Address string
	// DataCentre is where the worker runs; empty when it is not known.
	DataCentre string
}

// Start orders a worker to run a task; the outcome goes to StartAnswered.
type Start struct {
	Target     Target
	Task       *jobwire.Task
	Run        uint64
	Payload    string
	Checkpoint string
	// Ticket is of the placement adviser; empty when none is needed.
	Ticket string
	// Deadline is on the worker's clock in milliseconds.
	Deadline int64
}

// Stop orders a worker to end a run; the outcome goes to StopAnswered.
type Stop struct {
	Target Target
	Task   *jobwire.Task
	Run    uint64
}

// Look asks a worker what runs and what has ended, and extends its lease; the
// outcome goes to LookAnswered.
type Look struct {
	Target Target
	// Deadline is on the worker's clock in milliseconds; 0 extends no lease.
	Deadline int64
	// Seen is the last end that is taken note of.
	Seen uint64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Pace sets the share at which a task works; a lost one is sent again later.
type Pace struct {
	Target  Target
	Task    *jobwire.Task
	Run     uint64
	Percent int
}

// Record asks for ends to be written to the log; the outcome goes to Recorded.
type Record struct {
	Target Target
	Ends   []*jobwire.End
	// UpTo is the number of the last end on the worker.
	UpTo uint64
}

// NoteWorker asks for a changed entry of a worker to be written to the log.
type NoteWorker struct {
	Worker *jobwire.Worker
}

// Forget asks for the removal of a worker's entry from the log.
type Forget struct {
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

// StepKey names one occurrence of a step of a job.
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
