// Package isolator decides how a task is started after workers have crashed while
// they ran it: like any other, alone on a worker, or not any more. A task that crashes
// its workers takes the runs beside it along, so each of these is under suspicion at
// first. A run alone on a worker tells them apart.
package isolator

import (
	"slices"
	"time"
)

// Treatment is how a task is started.
type Treatment int

// The treatments of a task.
const (
	// Normal tasks are started without further conditions.
	Normal Treatment = iota
	// Watched tasks are started beside others, and the log names the worker before, so
	// that a new leader knows under which task it has crashed.
	Watched
	// Isolated tasks run alone on a worker, which the log names before.
	Isolated
	// GivenUp tasks are not started again.
	GivenUp
)

const (
	// isolateAfter is the number of crashes after which a task runs alone. The first
	// one puts all tasks of a worker under suspicion; few of them are there when
	// another one crashes.
	isolateAfter = 2
	// isolateBystanderAfter is that number with the crashes that another task has more
	// likely caused.
	isolateBystanderAfter = 3
	// minCrashes is the number of crashes that a task needs at least to be given up, and
	// minBegunCrashes that of crashes with a run that had most likely begun.
	minCrashes      = 3
	minBegunCrashes = 2
	// maxAlone is the number of crashes with the task alone on the worker after which it
	// is given up, and maxPromptAlone that number if one of them was prompt: a worker
	// that crashes by itself seldom does so just after a start.
	maxAlone       = 3
	maxPromptAlone = 2
	// maxCrashes is the number of crashes after which a task that has run alone once is
	// given up, also if its runs may not have begun, and maxCrashesTwiceAlone that number
	// if it has run alone twice.
	maxCrashes           = 5
	maxCrashesTwiceAlone = 4
	// startTime is how long after its start a task that crashes workers as they start it has
	// done so. survivalTime is how long a run must last for its task to have nothing to do
	// with the crash of the worker.
	startTime    = 500 * time.Millisecond
	survivalTime = 8 * time.Second
	// maxLikelyCrashes is the number of crashes which the task has most likely caused
	// after which it is given up, if nothing else explains one of them.
	maxLikelyCrashes = 2
)

// FewSuspects is the number of runs that may have crashed a worker up to which each of
// their tasks runs alone next. Another crash would take all runs of another worker along,
// and a few runs alone cost less.
const FewSuspects = 2

// Circumstances tell how likely a run has crashed its worker.
type Circumstances struct {
	// Alone is true when the worker had no other run.
	Alone bool
	// Prompt is true when the worker broke the connection just after the start.
	Prompt bool
	// Bystander is true when another run of the worker, which was just started, is more
	// likely the cause.
	Bystander bool
	// Suspects is the number of runs of the worker that are no bystanders; 0 when it is
	// not known.
	Suspects int32
	// Begun is true when the worker has most likely begun the run. An order that it has
	// not answered may never have reached it, or may be executed later.
	Begun bool
	// Others is the number of other workers, without a run of the task's job, that ended at
	// the same time; not all are counted.
	Others int32
	// Lived is how long after the start of the run the worker is known to have lived.
	Lived time.Duration
}

// worth is what a crash under a task says about it.
type worth int

const (
	// worthless crashes have another cause: the same event has ended other workers, or the
	// task has run for long.
	worthless worth = iota
	// weak crashes came some time after the start. A task that crashes its workers slowly
	// shows as several of them in a row; one or two happen to any task.
	weak
	// full crashes came just after the start, or may have: when is not known.
	full
)

// worth returns what the crash says about the task. What came just after the start counts
// whatever other workers did: several tasks that crash their workers often start at once.
func (c Circumstances) worth() worth {
	switch {
	case c.Prompt:
		return full
	case c.Others > 0, c.Lived >= survivalTime:
		return worthless
	case c.Lived >= startTime:
		return weak
	}
	return full
}

// conclusive reports whether the run has crashed its worker unless that crashed by
// itself just after the start.
func (c Circumstances) conclusive() bool {
	return c.Begun && c.Alone && c.oneOfFew() && c.Suspects == 1
}

// oneOfFew reports whether the run is one of a few that may have crashed the worker.
func (c Circumstances) oneOfFew() bool {
	return c.Prompt && !c.Bystander && c.Suspects > 0 && c.Suspects <= FewSuspects
}

// Crash is the crash of a worker during a run of a task.
type Crash struct {
	Run uint64
	Circumstances
}

// Placement tells on which worker a run of a task is or is about to be.
type Placement struct {
	Run uint64
	// Worker and Born identify the incarnation of the worker.
	Worker string
	Born   int64
	// Circumstances are those of a Crash, should the worker have crashed.
	Circumstances
}

// Record holds the crashes under one task and its last known placement. It is
// immutable; nil stands for a task of which neither is known.
type Record struct {
	// Invariant: sorted by Run, with one entry for each.
	crashes   []Crash
	placement Placement
}

// NewRecord returns a record with the given crashes and placement.
func NewRecord(crashes []Crash, placement Placement) *Record {
	var r *Record
	for _, c := range crashes {
		r = r.WithCrash(c)
	}
	return r.WithPlacement(placement)
}

// WithCrash returns a record that also has the crash. A crash during a run that is
// known already changes nothing, nor does one that says nothing about the task.
func (r *Record) WithCrash(c Crash) *Record {
	at, found := slices.BinarySearchFunc(r.Crashes(), c.Run, func(known Crash, run uint64) int {
		switch {
		case known.Run < run:
			return -1
		case known.Run > run:
			return 1
		}
		return 0
	})
	if found || c.worth() == worthless {
		return r
	}
	return &Record{
		crashes:   slices.Insert(slices.Clone(r.Crashes()), at, c),
		placement: r.Placement(),
	}
}

// WithPlacement returns a record with another placement.
func (r *Record) WithPlacement(p Placement) *Record {
	return &Record{
		crashes:   r.Crashes(),
		placement: p,
	}
}

// WithoutPlacement returns a record without the placement; nil if no crash is known
// either.
func (r *Record) WithoutPlacement() *Record {
	if len(r.Crashes()) == 0 {
		return nil
	}
	return r.WithPlacement(Placement{})
}

// WithoutCrashesBefore returns a record without the crashes before a run; nil if none
// is left.
func (r *Record) WithoutCrashesBefore(run uint64) *Record {
	var later []Crash
	for _, c := range r.Crashes() {
		if c.Run >= run {
			later = append(later, c)
		}
	}
	if len(later) == 0 {
		return nil
	}
	return &Record{
		crashes:   later,
		placement: r.Placement(),
	}
}

// Crashes returns the crashes in the order of the runs. The caller must not change
// them.
func (r *Record) Crashes() []Crash {
	if r == nil {
		return nil
	}
	return r.crashes
}

// Conclusive reports whether the task has certainly crashed a worker. One crash is not
// enough for that: workers that crash by themselves have often just started a task.
func (r *Record) Conclusive() bool {
	return len(r.Crashes()) > 1 && slices.ContainsFunc(r.Crashes(), func(c Crash) bool { return c.conclusive() })
}

// Placement returns the last known placement; its Run is 0 when there is none.
func (r *Record) Placement() Placement {
	if r == nil {
		return Placement{}
	}
	return r.placement
}

// Treatment returns how the task is started next.
func (r *Record) Treatment() Treatment {
	if r == nil {
		return Normal
	}
	certain, alone, everAlone, prompt, bystander, begun, oneOfFew, likely := 0, 0, 0, 0, 0, 0, 0, 0
	conclusive := false
	for _, c := range r.crashes {
		if c.Alone {
			everAlone++
		}
		if c.Bystander {
			bystander++
		}
		if c.worth() == weak {
			continue
		}
		certain++
		if c.Alone {
			alone++
		}
		if c.Alone && c.Prompt {
			prompt++
		}
		if c.Begun {
			begun++
		}
		if c.oneOfFew() {
			oneOfFew++
		}
		if c.oneOfFew() && c.Begun {
			likely++
		}
		conclusive = conclusive || c.conclusive()
	}
	switch n := len(r.crashes); {
	case certain >= minCrashes && begun >= minBegunCrashes && (alone >= maxAlone || alone >= maxPromptAlone && prompt > 0),
		n >= maxCrashes && everAlone > 0,
		certain >= maxCrashesTwiceAlone && alone > 1,
		likely >= maxLikelyCrashes && conclusive:
		return GivenUp
	case n-bystander >= isolateAfter, n >= isolateBystanderAfter, oneOfFew > 0:
		return Isolated
	case n > 0:
		return Watched
	}
	return Normal
}
