package jobscheduler

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// firstLooksAtOnce bounds the workers that a new leader asks at once, for each
	// host that carries orders. Each first look takes a new connection; those of a
	// whole fleet together would keep the leader from its heartbeats until it is
	// deposed.
	firstLooksAtOnce = 32
	// promptAnswer is how long a first look counts as one of them; a worker that
	// has not answered by then may be dead and must not hold up the others.
	promptAnswer = 100 * time.Millisecond
)

// far is a time for what waits for an event.
const far = 365 * 24 * time.Hour

// LookAnswer is what a worker has told.
type LookAnswer struct {
	// Failed is true when there was no answer.
	Failed bool
	// Refused is true when nothing listens at the worker's address.
	Refused bool
	// Gone is true when another life of a worker answered.
	Gone bool
	// Fenced is true when a later leader gives orders there.
	Fenced bool
	// Clock is the worker's clock in milliseconds.
	Clock int64
	// SentAt is when the question was sent.
	SentAt  time.Time
	Running []RunningTask
	Ended   []EndedTask
}

// RunningTask is a run that is at work on a worker.
type RunningTask struct {
	Task       *jobwire.Task
	Run        uint64
	Checkpoint string
	// Percent is the share of its work that is done; of a lasting task the
	// share at which it works.
	Percent int
	// Figure is the tail of a task that serves, in milliseconds, else the
	// processors in use in thousandths.
	Figure int64
}

// EndedTask is an end that is not taken note of yet.
type EndedTask struct {
	// Number rises by one with each end of one life of a worker.
	Number uint64
	End    *jobwire.End
}

// LookAnswered takes the outcome of a Look.
func (s *Scheduler) LookAnswered(a Look, answer LookAnswer) {
	if w, ok := s.departing[life{
		id:   a.Target.ID,
		born: a.Target.Born,
	}]; ok {
		s.departed(w, answer)
		return
	}
	w, ok := s.workers[a.Target.ID]
	if !ok || w.info.GetBorn() != a.Target.Born {
		return
	}
	w.looking = false
	switch {
	case answer.Gone:
		s.leave(w)
		return
	case answer.Refused && w.leaving:
		s.leave(w)
		return
	case answer.Failed:
		s.lookFailed(w)
		return
	}
	w.setClock(answer.Clock, s.now)
	w.answered, w.failing = s.now, false
	s.noteEnds(w, answer.Ended)
	s.reconcile(w, answer)
	if !w.adopted {
		w.adopted = true
		// What it runs may be under a lease of the former leader.
		if end := s.since.Add(s.formerLease()); end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
		delete(s.unknown, w.info.GetId())
		s.markPool(w.info.GetPool())
	}
	if w.info.GetLapsed() {
		s.noteLapsed(w, false)
	}
	s.planLook(w)
}

func (s *Scheduler) lookFailed(w *worker) {
	if !w.failing && w.adopted {
		s.logger.Info("scheduler: worker does not answer", "worker", w.info.GetId(),
			"runs", len(w.runs), "lease-left", w.leaseEnd.Sub(s.now))
	}
	w.failing = true
	w.lookAt = s.now.Add(failedLookPause)
	if w.info.GetLapsed() {
		// A heartbeat brings the next look forward.
		w.lookAt = s.now.Add(far)
	}
}

// planLook sets the time of the next look. Ends are taken note of before it,
// since the worker lists them again until then.
func (s *Scheduler) planLook(w *worker) {
	if len(w.runs) > 0 {
		w.lookAt = s.now.Add(s.lookPause())
		return
	}
	w.lookAt = s.now.Add(far)
}

// lookPause returns the least time between two looks at a worker. It grows with
// the fleet, so that the looks of all workers take a bounded part of the leader.
func (s *Scheduler) lookPause() time.Duration {
	return max(lookPause, time.Duration(len(s.workers))*lookShare)
}

// noteEnds frees the runs that have ended and asks for their ends to be recorded.
func (s *Scheduler) noteEnds(w *worker, ended []EndedTask) {
	record := Record{
		Target: w.target(),
		UpTo:   w.seen,
	}
	for _, e := range ended {
		if e.Number <= w.seen {
			continue
		}
		record.UpTo = max(record.UpTo, e.Number)
		record.Ends = append(record.Ends, e.End)
		s.noteEnd(w, e.End)
	}
	if len(record.Ends) == 0 {
		return
	}
	w.recording = true
	s.emit(record)
}

func (s *Scheduler) noteEnd(w *worker, end *jobwire.End) {
	r := w.runs[runKey{
		taskKey: keyOf(end.GetTask()),
		number:  end.GetRun(),
	}]
	switch end.GetEnding() {
	case jobwire.Ending_ENDING_DONE:
		s.counters.Done++
		s.noteSuccess(w)
	case jobwire.Ending_ENDING_FAILED:
		s.counters.Failed++
		if r != nil && r.step != nil {
			r.step.avoid[r.key.index] = w.info.GetId()
		}
		s.noteFailure(w)
	case jobwire.Ending_ENDING_LAPSED:
		s.counters.Lapses++
	}
	if r != nil {
		s.dropRun(r)
	}
	if end.GetEnding() != jobwire.Ending_ENDING_DONE {
		s.logger.Info("scheduler: run ended", "task", nameOf(keyOf(end.GetTask())), "run", end.GetRun(),
			"worker", w.info.GetId(), "ending", end.GetEnding().String(), "known", r != nil)
	}
	// Whether the task waits again is known once its ends are recorded.
	s.unrecorded[keyOf(end.GetTask())]++
	if st := s.findTask(keyOf(end.GetTask())); st != nil {
		st.unqueue(end.GetTask().GetIndex())
	}
}

// Recorded notes that the ends of a Record are in the log.
func (s *Scheduler) Recorded(a Record) {
	for _, end := range a.Ends {
		key := keyOf(end.GetTask())
		if s.unrecorded[key]--; s.unrecorded[key] <= 0 {
			delete(s.unrecorded, key)
		}
		s.requeue(key)
	}
	w, found := s.workers[a.Target.ID]
	if !found || w.info.GetBorn() != a.Target.Born {
		return
	}
	w.recording = false
	w.seen = max(w.seen, a.UpTo)
	// One more look takes note of the ends on the worker.
	w.lookAt = s.now
}

// reconcile compares what the worker runs with what it was told to run.
func (s *Scheduler) reconcile(w *worker, answer LookAnswer) {
	listed := make(map[runKey]bool, len(answer.Running))
	for _, t := range answer.Running {
		key := runKey{
			taskKey: keyOf(t.Task),
			number:  t.Run,
		}
		listed[key] = true
		r, ok := w.runs[key]
		if !ok {
			r = s.meet(w, key)
		}
		s.noteRunning(r, t)
	}
	for key, r := range w.runs {
		if !listed[key] && !r.confirmed.IsZero() && r.confirmed.Before(answer.SentAt) {
			s.loseRun(r, "the worker does not list it")
		}
	}
}

func (s *Scheduler) noteRunning(r *run, t RunningTask) {
	if t.Checkpoint != "" {
		r.checkpoint = t.Checkpoint
	}
	r.figure, r.progress = t.Figure, t.Percent
	if r.state == starting {
		r.state, r.confirmed = running, s.now
	}
	if r.state == stopping && s.now.Sub(r.stopSent) > stopPause {
		s.stop(r)
	}
}

// meet takes over a run that a former leader or a late order has started, or
// stops it when its task needs no run.
func (s *Scheduler) meet(w *worker, key runKey) *run {
	st := s.findTask(key.taskKey)
	wanted := st != nil && s.live[key.taskKey] == 0 && s.unknown[w.info.GetId()] == w &&
		!st.occurrence.job.record.Task(key.task()).Done
	if st != nil {
		st.numbers[key.index] = max(st.numbers[key.index], key.number)
	}
	r := s.addRun(w, st, key, running)
	r.confirmed = s.now
	if !wanted {
		s.logger.Info("scheduler: worker runs what it should not; it is stopped",
			"task", nameOf(key.taskKey), "run", key.number, "worker", w.info.GetId())
		s.stop(r)
	}
	return r
}

// noteLapsed changes the mark that no run of this worker can be unknown.
func (s *Scheduler) noteLapsed(w *worker, lapsed bool) {
	entry := proto.CloneOf(w.info)
	entry.Lapsed = lapsed
	s.emit(NoteWorker{
		Worker: entry,
	})
}

// tickWorkers sends the looks that are due, takes runs back from workers whose
// leases have ended, and gives up the wait for unknown workers.
func (s *Scheduler) tickWorkers(contact time.Time) {
	first := s.firstLooks()
	for _, w := range s.workers {
		s.tickLease(w)
		if w.looking || w.recording || s.now.Before(w.lookAt) {
			continue
		}
		if !w.adopted {
			if first >= firstLooksAtOnce*s.carriers {
				continue
			}
			first++
		}
		s.look(w, contact)
	}
	if s.now.Sub(s.since) > s.formerLease() {
		for _, w := range s.unknown {
			s.noteLapsed(w, true)
		}
		clear(s.unknown)
	}
	if len(s.unknown) == 0 && !s.opened {
		s.opened = true
		s.markAll()
		s.logger.Info("scheduler: all runs are known", "term", s.term, "workers", len(s.workers), "jobs", len(s.jobs),
			"waited", s.now.Sub(s.since))
	}
}

// formerLease returns the time since the beginning of this term after which
// nothing runs under a lease of a former leader: such leases count from its last
// confirmation, which was before the term.
func (s *Scheduler) formerLease() time.Duration {
	return time.Duration(float64(s.settings.Lease)*clockSlack) + 2*leaseMargin
}

// firstLooks returns how many workers are being asked for the first time and may
// answer any moment.
func (s *Scheduler) firstLooks() int {
	n := 0
	for _, w := range s.workers {
		if w.looking && !w.adopted && s.now.Sub(w.lookSent) < promptAnswer {
			n++
		}
	}
	return n
}

// tickLease takes runs back from a silent worker whose leases have ended.
func (s *Scheduler) tickLease(w *worker) {
	if w.failing && len(w.runs) > 0 && s.now.After(w.leaseEnd) {
		s.loseAll(w, "the lease has ended")
		s.noteLapsed(w, true)
	}
}

func (s *Scheduler) look(w *worker, contact time.Time) {
	look := Look{
		Target: w.target(),
		Seen:   w.seen,
	}
	// A look that is not answered may be carried out all the same, so a silent
	// worker gets no further lease: its runs are taken back when the last ends.
	if len(w.runs) > 0 && w.adopted && !w.failing {
		look.Wait = lookWait
		look.Deadline = w.deadline(contact, s.settings.Lease)
		if look.Deadline > 0 {
			w.grant(look.Deadline)
		}
	}
	w.looking, w.lookSent = true, s.now
	s.emit(look)
}

// nameOf returns the name of a task for logs.
func nameOf(k taskKey) string {
	return k.Job + "." + strconv.Itoa(int(k.Occurrence)) + "." + strconv.Itoa(int(k.Step)) + "." + strconv.Itoa(int(k.index))
}
