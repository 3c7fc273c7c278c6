package jobscheduler_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/ordersender"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// modelTick is the resolution of the model's time.
	modelTick = 5 * time.Millisecond
	// modelOrderTimeout is when an order without an answer counts as unanswered.
	modelOrderTimeout = 500 * time.Millisecond
	// modelProbeTimeout is when a probe without an answer counts as unanswered.
	modelProbeTimeout = 250 * time.Millisecond
	// modelProbeTime bounds the time from the birth of an incarnation to the first probe that
	// reaches it: one probe that was sent before it began, and the way of the next.
	modelProbeTime = modelProbeTimeout + 400*time.Millisecond
	// modelStopTime is how long a worker takes to end a run.
	modelStopTime = 200 * time.Millisecond
	// modelMaxEnds is how many ends a modelWorker lists at once. It is small, so that lists
	// often leave ends out.
	modelMaxEnds = 1
)

// modelRun is a run in progress on a modelWorker.
type modelRun struct {
	task   *jobwire.Task
	number uint64
	endsAt time.Time
	ending jobwire.Ending
	// early is true when an order to a former incarnation has begun the run before a probe
	// could reach this one, or before an order of this leader did if a former one had sent it.
	early bool
}

// modelDoneEnd is the end of a task as done, by which it must not start again once the end has
// been acknowledged within the lease of its worker.
type modelDoneEnd struct {
	worker *modelWorker
	born   time.Time
	number uint64
	// acknowledged is true once a poll has acknowledged the end.
	acknowledged bool
	// startedAgain describes the first later start; empty while there was none.
	startedAgain string
}

// modelWorker executes orders as a worker does: it obeys the highest fence, runs
// tasks until its longest lease has ended, and rejects runs that it has ended or
// stopped.
type modelWorker struct {
	id string
	// born is when this incarnation began; its clock counts from there and is slow
	// by the factor rate.
	born  time.Time
	rate  float64
	fence uint64
	// reached is true once an order to this incarnation has arrived, probed once a probe has.
	reached bool
	probed  bool
	// hardlyReachable is true once an order that was sent to this incarnation was lost or late.
	hardlyReachable bool
	// deadline is the end of the longest lease, on the worker's clock in
	// milliseconds.
	deadline int64
	runs     map[string]*modelRun
	// closed holds the highest run number by task that was stopped or has ended.
	closed  map[string]uint64
	ended   []jobscheduler.EndedTask
	lastEnd uint64
	// lastOrder is the task of the last order to start one, of orderedAt.
	lastOrder string
	orderedAt time.Time
	// formerIDs holds the ids of the incarnations before, where they had others.
	formerIDs []string
	// onEnd breaks the calls without an answer when the process ends.
	onEnd []func()
	// downUntil is when the process is back after a crash; it refuses connections
	// until then.
	downUntil time.Time
	// mode is what happens to orders until modeEndsAt.
	mode       orderFate
	modeEndsAt time.Time
}

// orderFate is what happens to an order.
type orderFate int

const (
	answered orderFate = iota
	// answerLost orders are executed, and their answer is lost.
	answerLost
	// neverExecuted orders are lost.
	neverExecuted
	// executedLate orders get no answer and are executed seconds later.
	executedLate
)

// model plays a scheduler against workers whose orders are lost, delayed or
// executed seconds after the scheduler has given up on them.
type model struct {
	*harness

	rng     *rand.Rand
	start   time.Time
	workers []*modelWorker
	events  []modelEvent
	jobs    int
	// faults is the share of orders that are not answered.
	faults float64
	// reachLater is true when orders that a worker executes without an answer also reach its
	// next incarnation.
	reachLater bool
	// silentWhileDown is true when a worker that is down leaves orders unanswered; else it
	// refuses connections.
	silentWhileDown bool
	// oneLeader is true when no leader but the first gives orders.
	oneLeader bool
	// failures is the share of runs that fail.
	failures float64
	// lasting is true when tasks run until they are stopped.
	lasting bool
	// onStop is called when a worker begins to stop a run; nil when nothing is to be
	// checked then.
	onStop func(w *modelWorker, name string)
	// deadly reports whether a task crashes each worker that starts it; nil when none
	// does.
	deadly func(name string) bool
	// crashes counts the workers that each deadly task has crashed.
	crashes map[string]int
	// crashesUnder counts the crashes of workers that ran this task.
	crashesUnder map[string]int
	// startsAfter counts the starts of each deadly task after modelCrashes of them.
	startsAfter map[string]int
	// leaderSince is when the last term began.
	leaderSince time.Time
	// crashed describes the first task that has crashed too many; empty while there
	// was none.
	crashed string
	// twice describes the first double run; empty while there was none.
	twice string
	// earlyTwice counts the double runs of which one was early. With reachLater they are not
	// reported in twice: no fencing token had arrived that could exclude them.
	earlyTwice int
	// obeyedFormer describes the first order to a former incarnation that a worker has obeyed
	// although an order to its present one had arrived; empty while there was none.
	obeyedFormer string
	// doneEnds holds the ends as done that a worker has reached within its lease, by task; nil
	// when a start after such an end is not looked for.
	doneEnds map[string]*modelDoneEnd
	// history holds what happened, for the message of a failure: the order in which
	// the scheduler walks its maps differs between runs of one seed.
	history []string
}

// note adds a line to the history.
func (m *model) note(format string, a ...any) {
	m.history = append(m.history, fmt.Sprintf("%9v ", m.now.Sub(m.start))+fmt.Sprintf(format, a...))
}

// historyOf returns the lines of the history that contain one of the texts.
func (m *model) historyOf(texts ...string) string {
	var lines []string
	for _, line := range m.history {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

type modelEvent struct {
	at time.Time
	do func()
}

func (m *model) after(d time.Duration, f func()) {
	m.events = append(m.events, modelEvent{
		at: m.now.Add(d),
		do: f,
	})
}

// between returns a random duration.
func (m *model) between(from, to time.Duration) time.Duration {
	return from + time.Duration(m.rng.Int64N(int64(to-from)))
}

func taskText(t *jobwire.Task) string {
	return fmt.Sprintf("%s.%d.%d", t.GetJob(), t.GetStep(), t.GetIndex())
}

// tick advances the model by modelTick.
func (m *model) tick() {
	m.now = m.now.Add(modelTick)
	var due []modelEvent
	m.events = slices.DeleteFunc(m.events, func(e modelEvent) bool {
		if e.at.After(m.now) {
			return false
		}
		due = append(due, e)
		return true
	})
	slices.SortStableFunc(due, func(a, b modelEvent) int { return a.at.Compare(b.at) })
	for _, w := range m.workers {
		m.progress(w)
	}
	for _, e := range due {
		e.do()
	}
}

// progress ends the runs of a worker that are done, stopped or without a lease.
func (m *model) progress(w *modelWorker) {
	names := make([]string, 0, len(w.runs))
	for name := range w.runs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		r := w.runs[name]
		if m.clockOf(w) > w.deadline {
			r.ending = jobwire.Ending_ENDING_LAPSED
		} else if m.now.Before(r.endsAt) {
			continue
		}
		delete(w.runs, name)
		m.note("%s run %d ends on %s: %v", name, r.number, w.id, r.ending)
		w.closed[name] = max(w.closed[name], r.number)
		w.lastEnd++
		w.ended = append(w.ended, endedTask(w.lastEnd, r.task, r.number, r.ending))
		if r.ending == jobwire.Ending_ENDING_DONE && m.doneEnds != nil {
			m.doneEnds[name] = &modelDoneEnd{
				worker: w,
				born:   w.born,
				number: w.lastEnd,
			}
		}
	}
	if m.clockOf(w) > w.deadline {
		maps.DeleteFunc(m.doneEnds, func(_ string, d *modelDoneEnd) bool { return d.worker == w && !d.acknowledged })
	}
}

// noteStartAfterEnd notes the start of a task that may have ended as done.
func (m *model) noteStartAfterEnd(name string, run uint64, on *modelWorker) {
	if d, ok := m.doneEnds[name]; ok && d.startedAgain == "" {
		d.startedAgain = fmt.Sprintf("after %v: run %d starts on %s", m.now.Sub(m.start), run, on.id)
		m.checkDoneEnd(name, d)
	}
}

// noteAcknowledged notes that the ends of a worker up to a number have been acknowledged.
func (m *model) noteAcknowledged(w *modelWorker, upTo uint64) {
	for name, d := range m.doneEnds {
		if d.worker == w && d.born == w.born && d.number <= upTo {
			d.acknowledged = true
			m.checkDoneEnd(name, d)
		}
	}
}

func (m *model) checkDoneEnd(name string, d *modelDoneEnd) {
	if d.acknowledged && d.startedAgain != "" && m.twice == "" {
		m.twice = fmt.Sprintf("%s is done, and that was acknowledged: %s\n%s", name, d.startedAgain, m.historyOf(name+" ", "leader"))
	}
}

// fate decides what happens to an order to a worker. Probes begin no mode: how often workers
// are disturbed must not depend on how often they are probed.
func (m *model) fate(w *modelWorker, probe bool) orderFate {
	if !probe && m.now.After(w.modeEndsAt) && m.rng.Float64() < m.faults/20 {
		w.mode = orderFate(m.rng.IntN(4))
		w.modeEndsAt = m.now.Add(m.between(time.Second/2, 6*time.Second))
	}
	if m.now.Before(w.modeEndsAt) {
		return w.mode
	}
	if m.rng.Float64() < m.faults {
		return orderFate(1 + m.rng.IntN(3))
	}
	return answered
}

// send executes an order now or later and reports its answer, or that there was
// none, to the scheduler of the term in which it was sent.
// A later incarnation of the worker executes the order, too. It then reports restarted
// where the answer names the incarnation; restarted is nil where it does not. An order for which
// there was no connection is reported as notSent; that is nil where it is not told from others.
func (m *model) send(target jobscheduler.Target, probe bool, timeout time.Duration, execute func() func(), unanswered, undelivered, restarted, gone, notSent func()) {
	w := m.worker(target.ID)
	sched := m.sched
	report := func(f func()) {
		if m.sched == sched {
			m.withScheduler(f)
		}
	}
	born := w.born
	fate := m.fate(w, probe)
	delay := m.between(time.Millisecond, 20*time.Millisecond)
	if fate != answered {
		w.hardlyReachable = true
	}
	if m.refuses(w) {
		// A process that has ended refuses connections at once, whatever the network loses.
		m.after(delay, func() { report(undelivered) })
		return
	}
	switch fate {
	case answered:
		m.after(delay, func() {
			switch {
			case m.refuses(w):
				report(undelivered)
				return
			case m.down(w) || w.born != born:
				report(unanswered)
				return
			case w.id != target.ID:
				report(gone)
				return
			}
			answer := execute()
			switch {
			case w.born != born:
				// The order has crashed the worker.
				report(unanswered)
				return
			case w.born.UnixMilli() != target.Born && restarted != nil:
				answer = restarted
			}
			m.after(m.between(time.Millisecond, 30*time.Millisecond), func() { report(answer) })
		})
		return
	case answerLost:
		m.after(delay, func() { executeIf(m.reaches(w, target.ID, born), execute) })
	case executedLate:
		m.after(m.between(2*time.Second, 12*time.Second), func() { executeIf(m.reaches(w, target.ID, born), execute) })
	default:
		if notSent != nil && delay%2 == 0 {
			unanswered = notSent
		}
	}
	finished := false
	finish := func() {
		if !finished {
			finished = true
			report(unanswered)
		}
	}
	m.after(timeout+m.between(0, 300*time.Millisecond), finish)
	w.onEnd = append(w.onEnd, func() { m.after(delay, finish) })
}

// reaches reports whether an order to a worker arrives: at the incarnation that was up
// when it was sent, or with reachLater at a later one under its id.
func (m *model) reaches(w *modelWorker, id string, born time.Time) bool {
	return (m.reachLater || w.born == born) && w.id == id && !m.down(w)
}

// down reports whether the process of a worker has ended and is not back.
func (m *model) down(w *modelWorker) bool { return !m.now.After(w.downUntil) }

// refuses reports whether a worker refuses connections.
func (m *model) refuses(w *modelWorker) bool { return m.down(w) && !m.silentWhileDown }

// clockOf returns a worker's clock in milliseconds.
func (m *model) clockOf(w *modelWorker) int64 {
	return 1000 + int64(m.now.Sub(w.born).Seconds()*w.rate*1000)
}

// executeIf executes an order unless its worker has restarted.
func executeIf(alive bool, execute func() func()) {
	if alive {
		execute()
	}
}

func (m *model) extend(w *modelWorker, deadline int64) {
	w.deadline = max(w.deadline, min(deadline, m.clockOf(w)+maxLease.Milliseconds()))
}

// early reports whether a worker has neither been reached nor had a probe the time to.
func (m *model) early(w *modelWorker) bool {
	return m.reachLater && !w.reached && !w.probed && (w.hardlyReachable || m.now.Sub(w.born) <= modelProbeTime)
}

// accept reports whether a worker obeys an order with the given fencing token.
func (m *model) accept(w *modelWorker, fence uint64, target jobscheduler.Target, probe bool) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	own := target.Born == w.born.UnixMilli()
	if !own && !probe && w.reached && m.obeyedFormer == "" {
		m.obeyedFormer = fmt.Sprintf("after %v: %s obeys an order to its incarnation of %d\n%s", m.now.Sub(m.start), w.id, target.Born, m.historyOf(w.id+" ", "leader"))
	}
	w.reached = w.reached || own
	w.probed = w.probed || probe
	return true
}

func (m *model) startRun(w *modelWorker, fence uint64, a jobscheduler.Start) jobscheduler.StartAnswer {
	if !m.accept(w, fence, a.Target, false) {
		return jobscheduler.StartFenced
	}
	m.extend(w, a.Deadline)
	name := taskText(a.Task)
	if r, ok := w.runs[name]; ok && r.number == a.Run {
		return jobscheduler.StartAccepted
	}
	if a.Run <= w.closed[name] {
		return jobscheduler.StartOutdated
	}
	if m.clockOf(w) > w.deadline {
		return jobscheduler.StartLeaseExpired
	}
	early := m.early(w) || m.reachLater && !w.reached && fence>>16 < m.term
	for _, other := range m.workers {
		r, ok := other.runs[name]
		if ok && (early || r.early) {
			m.earlyTwice++
			continue
		}
		if ok && m.twice == "" {
			m.twice = fmt.Sprintf("after %v: run %d of %s starts on %s while run %d is at work on %s\n%s", m.now.Sub(m.start), a.Run, name, w.id, r.number, other.id,
				m.historyOf(name+" ", "leader"))
		}
	}
	ending := jobwire.Ending_ENDING_DONE
	if m.rng.Float64() < m.failures {
		ending = jobwire.Ending_ENDING_FAILED
	}
	m.note("%s run %d begins on %s", name, a.Run, w.id)
	if !early {
		m.noteStartAfterEnd(name, a.Run, w)
	}
	r := &modelRun{
		task:   a.Task,
		number: a.Run,
		endsAt: m.now.Add(m.between(100*time.Millisecond, 4*time.Second)),
		ending: ending,
		early:  early,
	}
	if m.lasting {
		r.endsAt = m.now.Add(time.Hour)
	}
	w.runs[name] = r
	if m.deadly != nil && m.deadly(name) {
		m.crash(w, name)
	}
	return jobscheduler.StartAccepted
}

func (m *model) stopRun(w *modelWorker, fence uint64, a jobscheduler.Stop) bool {
	if !m.accept(w, fence, a.Target, false) {
		return false
	}
	name := taskText(a.Task)
	if r, ok := w.runs[name]; ok && r.number == a.Run {
		if m.onStop != nil && r.ending != jobwire.Ending_ENDING_STOPPED {
			m.onStop(w, name)
		}
		r.ending = jobwire.Ending_ENDING_STOPPED
		if at := m.now.Add(modelStopTime); at.Before(r.endsAt) {
			r.endsAt = at
		}
		return true
	}
	w.closed[name] = max(w.closed[name], a.Run)
	return true
}

func (m *model) poll(w *modelWorker, fence uint64, a jobscheduler.Poll) jobscheduler.PollAnswer {
	if !m.accept(w, fence, a.Target, a.Probe) {
		return jobscheduler.PollAnswer{
			Fenced: true,
			Failed: true,
		}
	}
	m.extend(w, a.Deadline)
	m.noteAcknowledged(w, a.LastRecordedEnd)
	w.ended = slices.DeleteFunc(w.ended, func(e jobscheduler.EndedTask) bool { return e.Number <= a.LastRecordedEnd })
	answer := jobscheduler.PollAnswer{
		Clock: m.clockOf(w),
		Ended: slices.Clone(w.ended[:min(len(w.ended), modelMaxEnds)]),
	}
	answer.MoreEnds = len(answer.Ended) == modelMaxEnds
	for _, r := range w.runs {
		answer.Running = append(answer.Running, runningTask(r.task, r.number))
	}
	slices.SortFunc(answer.Running, func(a, b jobscheduler.RunningTask) int { return cmp.Compare(taskText(a.Task), taskText(b.Task)) })
	return answer
}

// carryOut sends the orders of a pass and applies its log writes.
func (m *model) carryOut() {
	actions := m.actions
	m.actions = nil
	term := m.term
	sched := m.sched
	for _, action := range actions {
		if m.writeCrashes(action) {
			continue
		}
		switch a := action.(type) {
		case jobscheduler.Start:
			if a.ToRecord {
				m.recordStart(a)
			} else {
				m.sendStart(a)
			}
		case jobscheduler.RecordBegun:
			m.after(m.between(5*time.Millisecond, 500*time.Millisecond), func() {
				if m.sched != sched {
					return
				}
				m.apply(&jobwire.Command{
					Change: &jobwire.Command_RecordedStarts{
						RecordedStarts: &jobwire.RecordedStarts{
							Begun: a.Runs,
						},
					},
				})
			})
		case jobscheduler.Stop:
			w := m.worker(a.Target.ID)
			m.note("%s run %d stop ordered on %s", taskText(a.Task), a.Run, w.id)
			unconfirmed := func() { sched.StopAnswered(a, false, 0) }
			m.send(a.Target, false, modelOrderTimeout, func() func() {
				confirmed, clock := m.stopRun(w, ordersender.FencingToken(term, a.Target), a), m.clockOf(w)
				return func() {
					m.note("%s run %d stop answered by %s: %v", taskText(a.Task), a.Run, w.id, confirmed)
					sched.StopAnswered(a, confirmed, clock)
				}
			}, unconfirmed, unconfirmed, nil, unconfirmed, nil)
		case jobscheduler.Poll:
			w := m.worker(a.Target.ID)
			sentAt := m.now
			timeout := modelOrderTimeout
			if a.Probe {
				timeout = modelProbeTimeout
			}
			m.send(a.Target, a.Probe, timeout+a.Wait, func() func() {
				answer := m.poll(w, ordersender.FencingToken(term, a.Target), a)
				answer.SentAt = sentAt
				for _, r := range answer.Running {
					m.note("%s run %d listed by %s", taskText(r.Task), r.Run, w.id)
				}
				return func() { sched.PollAnswered(a, answer) }
			}, func() {
				sched.PollAnswered(a, jobscheduler.PollAnswer{
					Failed:       true,
					Disconnected: m.refuses(w),
				})
			}, func() {
				sched.PollAnswered(a, jobscheduler.PollAnswer{
					Failed:       true,
					Refused:      true,
					Disconnected: true,
				})
			}, func() {
				sched.PollAnswered(a, jobscheduler.PollAnswer{
					Restarted: true,
				})
			}, func() {
				sched.PollAnswered(a, jobscheduler.PollAnswer{
					Gone: true,
				})
			}, nil)
		case jobscheduler.RecordEnds:
			m.after(20*time.Millisecond, func() {
				if m.sched != sched {
					return
				}
				m.apply(&jobwire.Command{
					Change: &jobwire.Command_Ends{
						Ends: &jobwire.Ends{
							Ends: a.Ends,
						},
					},
				})
				m.withScheduler(func() { sched.EndsRecorded(a) })
			})
		case jobscheduler.ConfineJob:
			m.after(m.between(20*time.Millisecond, time.Second), func() {
				if m.sched != sched {
					return
				}
				m.note("%s. is confined to %v", a.Job, a.DataCentres)
				m.confine(a.Job, a.DataCentres...)
				m.withScheduler(func() { sched.JobConfined(a) })
			})
		case jobscheduler.MarkLapsed:
			m.after(m.between(20*time.Millisecond, 3*time.Second), func() {
				// What a former leader had appended is applied before the next one
				// begins, or never.
				if m.sched != sched {
					return
				}
				m.apply(&jobwire.Command{
					Change: &jobwire.Command_LapsedMarks{
						LapsedMarks: &jobwire.LapsedMarks{
							Marks: []*jobwire.LapsedMark{
								{
									Id:     a.ID,
									Born:   a.Born,
									Lapsed: a.Lapsed,
								},
							},
						},
					},
				})
				m.withScheduler(func() { sched.LapsedMarked(a) })
			})
		}
	}
}

// recordStart writes a start to the log and sends its order after that. Some writes fail, and
// of those some are in the log nevertheless.
func (m *model) recordStart(a jobscheduler.Start) {
	sched := m.sched
	m.withScheduler(func() { sched.HoldStarts([]jobscheduler.Action{a}) })
	fails := m.rng.Float64() < 0.02
	written := !fails || m.rng.IntN(2) == 0
	delay := m.between(time.Millisecond, 30*time.Millisecond)
	if m.rng.Float64() < 0.02 {
		delay = m.between(30*time.Millisecond, 2*time.Second)
	}
	m.after(delay, func() {
		if m.sched != sched {
			return
		}
		if written {
			m.apply(recordedStart(a))
		}
		send := false
		m.withScheduler(func() {
			if send = !fails && sched.StartRecorded(a); !send {
				m.note("%s run %d start not sent to %s", taskText(a.Task), a.Run, a.Target.ID)
				sched.StartAnswered(a, jobscheduler.StartNotSent, 0)
			}
		})
		if send {
			a.ToRecord = false
			m.sendStart(a)
		}
	})
}

// sendStart sends a recorded start.
func (m *model) sendStart(a jobscheduler.Start) {
	term, sched := m.term, m.sched
	w := m.worker(a.Target.ID)
	w.lastOrder, w.orderedAt = taskText(a.Task), m.now
	m.note("%s run %d start ordered on %s until %d, clock %d", taskText(a.Task), a.Run, w.id, a.Deadline, m.clockOf(w))
	answer := func(outcome jobscheduler.StartAnswer, clock int64) func() {
		return func() {
			m.note("%s run %d start answered by %s: %d", taskText(a.Task), a.Run, w.id, outcome)
			sched.StartAnswered(a, outcome, clock)
		}
	}
	m.send(a.Target, false, modelOrderTimeout, func() func() { return answer(m.startRun(w, ordersender.FencingToken(term, a.Target), a), m.clockOf(w)) },
		func() { answer(m.unansweredStart(w), 0)() }, answer(jobscheduler.StartUndelivered, 0), nil, answer(jobscheduler.StartGone, 0), answer(jobscheduler.StartNotSent, 0))
}

func (m *model) worker(id string) *modelWorker {
	for _, w := range m.workers {
		if w.id == id || slices.Contains(w.formerIDs, id) {
			return w
		}
	}
	m.t.Fatalf("order to the unknown worker %q", id)
	return nil
}

func dataCentreOf(n int) string { return fmt.Sprint("dc", n) }

// completed returns the number of jobs that have completed.
func (m *model) completed() int {
	n := 0
	m.machine.View(func(s *jobkeeper.State) {
		for _, j := range s.Jobs {
			if j.EndState == jobwire.JobState_JOB_STATE_COMPLETED {
				n++
			}
		}
	})
	return n
}

// submitSome submits jobs at random times.
func (m *model) submitSome() {
	m.jobs++
	id := fmt.Sprintf("job%d", m.jobs)
	m.submit(id, tasks(1+m.rng.Int32N(4), 500+m.rng.Int64N(3000)))
	if home := m.rng.IntN(3); home < 2 {
		m.confine(id, dataCentreOf(home))
	}
	m.after(m.between(20*time.Millisecond, 600*time.Millisecond), m.submitSome)
}

// changeLeader begins new terms at random times.
func (m *model) changeLeader() {
	m.clockAhead = m.between(-2*time.Second, 2*time.Second)
	m.startTerm()
	m.leaderSince = m.now
	m.note("a leader begins term %d", m.term)
	m.after(m.between(6*time.Second, 25*time.Second), m.changeLeader)
}

// restartSome restarts workers at random times.
func (m *model) restartSome() {
	w := m.workers[m.rng.IntN(len(m.workers))]
	if !m.down(w) {
		m.note("%s restarts (the leader goes on)", w.id)
		m.startWorker(w)
	}
	m.after(m.between(2*time.Second, 20*time.Second), m.restartSome)
}

// startWorker begins an incarnation of a worker.
func (m *model) startWorker(w *modelWorker) {
	m.noteCrash(w)
	for _, breakCall := range w.onEnd {
		breakCall()
	}
	*w = modelWorker{
		id:     w.id,
		born:   m.now,
		rate:   0.98 + 0.02*m.rng.Float64(),
		runs:   make(map[string]*modelRun),
		closed: make(map[string]uint64),

		formerIDs: w.formerIDs,
	}
	m.after(m.between(0, 2*time.Second), func() { m.register(w) })
}

// register passes the heartbeat of a worker to the leader.
func (m *model) register(w *modelWorker) {
	if m.down(w) {
		return
	}
	if n := len(w.formerIDs); n > 0 {
		m.apply(&jobwire.Command{
			Change: &jobwire.Command_ForgetWorker{
				ForgetWorker: &jobwire.ForgetWorker{
					Id:   w.formerIDs[n-1],
					Born: m.bornOf(w.formerIDs[n-1]),
				},
			},
		})
	}
	m.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:         w.id,
				Born:       w.born.UnixMilli(),
				Pool:       "p",
				Address:    w.id[:2] + ":1",
				DataCentre: dataCentreOf(int(w.id[1]) % 2),
				Capacity: &wire.Resources{
					MilliCores:  8000,
					MemoryBytes: 1 << 30,
				},
			},
		},
	})
}

// play runs the model for the given time and returns the first double run, or an
// empty string.
func (m *model) play(d time.Duration) string {
	m.start = m.now
	if m.oneLeader {
		m.startTerm()
	} else {
		m.changeLeader()
	}
	m.submitSome()
	m.after(m.between(2*time.Second, 20*time.Second), m.restartSome)
	for n := 0; m.now.Sub(m.start) < d && m.twice == "" && m.crashed == ""; n++ {
		m.step(n)
	}
	return m.twice
}

// step plays the n-th tick, after some of which the workers send heartbeats and the
// scheduler makes a pass.
func (m *model) step(n int) {
	m.tick()
	if n%5 != 0 {
		return
	}
	for _, w := range m.workers {
		if n%300 == 0 {
			m.withScheduler(func() { m.sched.HeartbeatReceived(w.id, w.born.UnixMilli(), m.clockOf(w)) })
		}
	}
	m.advance(0)
	m.carryOut()
}

func newModel(t *testing.T, seed uint64) *model { return newModelWith(t, seed, 5) }

// newModelWith returns a model with a number of workers.
func newModelWith(t *testing.T, seed uint64, workers int) *model {
	m := &model{
		harness: newHarness(t),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		crashes: make(map[string]int),

		crashesUnder: make(map[string]int),
		startsAfter:  make(map[string]int),
		failures:     0.02,
	}
	m.faults = []float64{0.01, 0.05, 0.2}[seed%3]
	for i := range workers {
		w := &modelWorker{
			id: fmt.Sprint("w", i),
		}
		m.startWorker(w)
		m.register(w)
		m.workers = append(m.workers, w)
	}
	return m
}

// A task may have one run at a time, whatever happens to the orders: lost answers,
// lost orders, orders that a worker executes seconds after the leader has given up
// on them, workers that are silent for longer than their lease, and new leaders.
func TestOneRunAtATime(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := newModel(t, seed)
			if twice := m.play(60 * time.Second); twice != "" {
				t.Error(twice)
			}
			if done := m.completed(); done < m.jobs/4 {
				t.Errorf("only %d of %d jobs completed: the model hardly starts tasks", done, m.jobs)
			}
		})
	}
}

// A task that is done may not start again once its end has been acknowledged, although workers
// list their ends in parts, each leader has another time of day, and starts to a former
// incarnation of a worker are executed by the next one. Not looked for are starts there before a
// probe could reach it, and those of a former leader before an order of the present one did.
func TestDoneTaskIsNotStartedAgain(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := newModel(t, seed)
			m.doneEnds = make(map[string]*modelDoneEnd)
			m.reachLater = true
			if twice := m.play(60 * time.Second); twice != "" {
				t.Error(twice)
			}
		})
	}
}
