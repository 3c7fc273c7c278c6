package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A look that is not answered may still be carried out, so that one which
// extends the lease of a silent worker would keep its tasks from ever being
// taken back.
func TestTasksOfSilentWorkerAreTakenBack(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.submit("job", tasks(1, 1000))
	w.lead()
	w.open()
	w.is.Equal(len(w.accept()), 1)
	w.addWorker("b")
	for range 60 {
		w.pass(100 * time.Millisecond)
		for _, look := range takeAll[jobscheduler.Look](w) {
			answer := jobscheduler.LookAnswer{
				Failed: look.Target.ID == "a",
				Clock:  w.clock(),
				SentAt: w.now,
			}
			w.report(func() { w.sched.LookAnswered(look, answer) })
		}
	}
	w.is.Equal(describe(takeAll[jobscheduler.Start](w)), "job.0.0@b ")
}

// Lasting tasks leave a worker that drains while it still serves, so that they
// are away for as short a time as possible.
func TestLastingTasksLeaveDrainingWorker(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	step := tasks(1, 1000)
	step.Lasting = true
	w.submit("job", step)
	w.lead()
	w.open()
	w.is.Equal(len(w.accept()), 1)
	w.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:       "a",
				Born:     1,
				Pool:     "p",
				Address:  "a:1",
				Draining: true,
			},
		},
	})
	w.pass(time.Millisecond)
	w.is.Equal(len(takeAll[jobscheduler.Stop](w)), 1)
}

// Ends of two runs of one task may be on their way to the log at once: that of
// a lost run whose worker is back, and the one that was done meanwhile. The task
// must not start again before both are recorded.
func TestOlderEndDoesNotRestartDoneTask(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	w.submit("job", tasks(2, 1000))
	w.lead()
	w.open()
	first := w.accept()[0]
	w.addWorker("b")
	var second []jobscheduler.Start
	for range 60 {
		w.pass(100 * time.Millisecond)
		for _, look := range takeAll[jobscheduler.Look](w) {
			answer := jobscheduler.LookAnswer{
				Failed: look.Target.ID == "a",
				Clock:  w.clock(),
				SentAt: w.now.Add(-time.Hour),
			}
			w.report(func() { w.sched.LookAnswered(look, answer) })
		}
		second = append(second, w.accept()...)
	}
	w.is.Equal(len(second), 2)
	// A heartbeat of the silent worker brings the next look forward.
	w.addWorker("a")
	w.report(func() { w.sched.WorkerHeard("a", 1, w.clock()) })
	w.pass(time.Second)
	w.answerLooks(map[string]jobscheduler.LookAnswer{
		"a": {
			Ended: []jobscheduler.EndedTask{ended(1, first.Task, first.Run, jobwire.Ending_ENDING_LAPSED)},
		},
		"b": {
			Ended: []jobscheduler.EndedTask{
				ended(1, second[0].Task, second[0].Run, jobwire.Ending_ENDING_DONE),
				ended(2, second[1].Task, second[1].Run, jobwire.Ending_ENDING_DONE),
			},
		},
	})
	records := takeAll[jobscheduler.Record](w)
	w.pass(0)
	records = append(records, takeAll[jobscheduler.Record](w)...)
	w.is.Equal(len(records), 2)
	for _, r := range records {
		if r.Target.ID == "a" {
			w.actions = append(w.actions, r)
		}
	}
	w.record()
	w.pass(time.Millisecond)
	w.is.Equal(describe(takeAll[jobscheduler.Start](w)), "")
}

// A worker that is gone may have listed an end in an answer that is still on its
// way; its tasks must not start again before that answer has come or failed.
func TestEndListedByDepartingWorkerCounts(t *testing.T) {
	departures := map[string]func(w *world){
		"forgotten": func(w *world) {
			w.apply(&jobwire.Command{
				Change: &jobwire.Command_ForgetWorker{
					ForgetWorker: &jobwire.ForgetWorker{
						Id:   "a",
						Born: 1,
					},
				},
			})
		},
		"started again": func(w *world) {
			w.apply(&jobwire.Command{
				Change: &jobwire.Command_Worker{
					Worker: &jobwire.Worker{
						Id:   "a",
						Born: 2,
						Pool: "p",
					},
				},
			})
		},
	}
	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.addWorker("a")
			w.submit("job", tasks(2, 1000))
			w.lead()
			w.open()
			starts := w.accept()
			w.is.Equal(len(starts), 2)
			w.addWorker("b")
			w.pass(time.Second)
			var look jobscheduler.Look
			for _, l := range takeAll[jobscheduler.Look](w) {
				if l.Target.ID == "a" {
					look = l
					continue
				}
				w.report(func() {
					w.sched.LookAnswered(l, jobscheduler.LookAnswer{
						Clock: w.clock(),
					})
				})
			}
			depart(w)
			w.pass(time.Millisecond)
			w.is.Equal(describe(takeAll[jobscheduler.Start](w)), "")
			w.report(func() {
				w.sched.LookAnswered(look, jobscheduler.LookAnswer{
					Clock: w.clock(),
					Ended: []jobscheduler.EndedTask{ended(1, starts[0].Task, starts[0].Run, jobwire.Ending_ENDING_DONE)},
				})
			})
			w.pass(time.Millisecond)
			w.record()
			w.pass(time.Millisecond)
			again := takeAll[jobscheduler.Start](w)
			w.is.Equal(len(again), 1)
			w.is.Equal(again[0].Task.GetIndex(), starts[1].Task.GetIndex())
		})
	}
}

// A worker that names tasks which the job does not have must not stop the
// leader, and what it runs under such a name is stopped.
func TestTaskThatDoesNotExist(t *testing.T) {
	cases := map[string]*jobwire.Task{
		"index too high": task("job", 0, 1000),
		"negative index": task("job", 0, -1),
		"step too high":  task("job", 9, 0),
		"negative step":  task("job", -1, 0),
		"occurrence": {
			Job:        "job",
			Occurrence: 7,
		},
		"negative occurrence": {
			Job:        "job",
			Occurrence: -7,
		},
		"other job": task("none", 0, 0),
	}
	for name, named := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.addWorker("a")
			w.submit("job", tasks(2, 1000))
			w.lead()
			w.pass(0)
			w.answerLooks(map[string]jobscheduler.LookAnswer{
				"a": {
					Running: []jobscheduler.RunningTask{runningTask(named, 3)},
					Ended:   []jobscheduler.EndedTask{ended(1, named, 2, jobwire.Ending_ENDING_FAILED)},
				},
			})
			w.record()
			w.pass(time.Millisecond)
			stops := takeAll[jobscheduler.Stop](w)
			w.is.Equal(len(stops), 1)
			w.is.Equal(len(takeAll[jobscheduler.Start](w)), 2)
		})
	}
}
