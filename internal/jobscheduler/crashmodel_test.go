package jobscheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

const (
	// After modelCrashes crashes under one task, maxModelStarts further starts of it are
	// too many. Starts within modelContactTime of a change of leader don't count.
	modelCrashes     = 3
	maxModelStarts   = 3
	modelContactTime = 3 * time.Second
	// crashModelWorkers is the number of workers of a model with crashes.
	crashModelWorkers = 9
	// minModelDownTime and maxModelDownTime bound how long a crashed worker is down.
	minModelDownTime = 2500 * time.Millisecond
	maxModelDownTime = 4 * time.Second
)

// crash ends the process of a worker because it has started a deadly task. It is back
// after some seconds, in most cases as another worker at the same address. The starts
// after the third crash count, but for those soon after a change of leader.
func (m *model) crash(w *modelWorker, name string) {
	m.crashes[name]++
	m.note("%s crashes %s with %d runs", name, w.id, len(w.runs))
	if m.crashes[name] > modelCrashes && m.now.Sub(m.leaderSince) > modelContactTime {
		m.startsAfter[name]++
	}
	if m.startsAfter[name] >= maxModelStarts && m.crashed == "" {
		m.crashed = fmt.Sprintf("after %v: %s has crashed %d workers\n%s", m.now.Sub(m.start), name, m.crashes[name], m.historyOf(name+" ", "leader"))
	}
	m.restart(w, m.between(minModelDownTime, maxModelDownTime), m.rng.IntN(4) > 0)
}

// restart ends the process of a worker and starts it after the given time.
func (m *model) restart(w *modelWorker, down time.Duration, newID bool) {
	former := w.id
	if m.silentWhileDown {
		w.onEnd = nil
	}
	m.startWorker(w)
	w.downUntil = m.now.Add(down)
	m.after(down, func() {
		w.born = m.now
		if newID && w.id == former {
			w.formerIDs = append(w.formerIDs, former)
			w.id = fmt.Sprintf("%s-%d", w.id[:2], len(w.formerIDs))
		}
		m.register(w)
	})
}

// unansweredStart returns the outcome of a start that a worker has not answered.
func (m *model) unansweredStart(w *modelWorker) jobscheduler.StartAnswer {
	if m.refuses(w) {
		return jobscheduler.StartDisconnected
	}
	return jobscheduler.StartUnknown
}

// noteCrash counts the end of a worker for the tasks that it runs, or for the one that it
// has just been ordered to start.
func (m *model) noteCrash(w *modelWorker) {
	for name := range w.runs {
		m.crashesUnder[name]++
	}
	if len(w.runs) == 0 && m.now.Sub(w.orderedAt) < modelOrderTimeout {
		m.crashesUnder[w.lastOrder]++
	}
}

// crashSome crashes workers at random times, whatever runs there.
func (m *model) crashSome() {
	w := m.workers[m.rng.IntN(len(m.workers))]
	if !m.down(w) {
		m.note("%s crashes by itself with %d runs", w.id, len(w.runs))
		m.restart(w, m.between(minModelDownTime, maxModelDownTime), m.rng.IntN(2) > 0)
	}
	m.after(m.between(4*time.Second, 15*time.Second), m.crashSome)
}

// writeCrashes applies the log writes about crashes; it returns false for other actions.
func (m *model) writeCrashes(action jobscheduler.Action) bool {
	sched := m.sched
	write := func(cmd *jobwire.Command, recorded func()) {
		m.after(m.between(5*time.Millisecond, 200*time.Millisecond), func() {
			if m.sched == sched {
				m.apply(cmd)
				m.withScheduler(recorded)
			}
		})
	}
	switch a := action.(type) {
	case jobscheduler.RecordCrashes:
		for _, c := range a.Crashes {
			m.note("%s run %d crash is being recorded, alone: %v, prompt: %v", taskText(c.GetTask()), c.GetRun(), c.GetAlone(), c.GetPrompt())
		}
		write(&jobwire.Command{
			Change: &jobwire.Command_Crashes{
				Crashes: &jobwire.TaskCrashes{
					Crashes: a.Crashes,
				},
			},
		}, func() { sched.CrashesRecorded(a) })
	case jobscheduler.RecordPlacement:
		m.note("%s run %d is being placed on %s, alone: %v", taskText(a.Task), a.Run, a.Target.ID, a.Alone)
		write(&jobwire.Command{
			Change: &jobwire.Command_Placements{
				Placements: &jobwire.Placements{
					Placements: []*jobwire.Placement{
						{
							Task:      a.Task,
							Run:       a.Run,
							Worker:    a.Target.ID,
							Born:      a.Target.Born,
							Alone:     a.Alone,
							Prompt:    a.Prompt,
							Bystander: a.Bystander,
							Suspects:  a.Suspects,
							Begun:     a.Begun,
							Others:    a.Others,
							LivedMs:   a.Lived.Milliseconds(),
						},
					},
				},
			},
		}, func() { sched.PlacementRecorded(a) })
	case jobscheduler.RecordSurvival:
		write(&jobwire.Command{
			Change: &jobwire.Command_SurvivedRuns{
				SurvivedRuns: &jobwire.SurvivedRuns{
					Runs: []*jobwire.SurvivedRun{
						{
							Task: a.Task,
							Run:  a.Run,
						},
					},
				},
			},
		}, func() {})
	default:
		return false
	}
	return true
}

// isDeadly makes the first task of each sixteenth job deadly.
func isDeadly(name string) bool {
	var n int
	if _, err := fmt.Sscanf(name, "job%d.0.0", &n); err != nil {
		return false
	}
	return n%16 == 3 && strings.HasSuffix(name, ".0.0")
}

// crashedUnder returns the highest number of workers that have crashed while they ran one
// task of a job.
func (m *model) crashedUnder(job string) int { return mostOf(m.crashesUnder, job) }

// mostOf returns the highest count of a task of a job.
func mostOf(counts map[string]int, job string) int {
	most := 0
	for name, n := range counts {
		if strings.HasPrefix(name, job+".") {
			most = max(most, n)
		}
	}
	return most
}

// failedJobs returns the jobs that have failed, by whether they have a deadly task.
func (m *model) failedJobs() (deadly, harmless []string) {
	m.machine.View(func(s *jobkeeper.State) {
		for id, j := range s.Jobs {
			switch {
			case j.EndState != jobwire.JobState_JOB_STATE_FAILED:
			case isDeadly(id + ".0.0"):
				deadly = append(deadly, id)
			default:
				harmless = append(harmless, id)
			}
		}
	})
	return deadly, harmless
}

// A task that crashes each worker that starts it is given up after a few of them. No other
// task is, unless two workers crash while they run it. That holds whatever happens to the
// workers: crashes under a neighbour or by themselves, silence, late orders, and new
// leaders.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := newModelWith(t, seed, crashModelWorkers)
			m.failures = 0
			m.deadly = isDeadly
			if seed%2 == 1 {
				m.after(5*time.Second, m.crashSome)
			}
			if twice := m.play(80 * time.Second); twice != "" {
				t.Error(twice)
			}
			if m.crashed != "" {
				t.Error(m.crashed)
			}
			deadly, harmless := m.failedJobs()
			for _, id := range harmless {
				if m.crashedUnder(id) < 2 {
					t.Errorf("%s has no deadly task and was given up\n%s", id, m.historyOf(id+"."))
				}
			}
			if done := m.completed(); done < m.jobs/4 {
				t.Errorf("only %d of %d jobs completed", done, m.jobs)
			}
			if len(deadly) == 0 {
				t.Errorf("no job with a deadly task was given up; %d tasks have crashed workers\n%s", len(m.crashes), m.historyOf(".0.0 ", "leader", "crashes"))
			}
		})
	}
}
