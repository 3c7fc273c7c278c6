package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// startWave asks for the maintenance of the host of worker a.
func startWave(w *world) {
	w.apply(&jobwire.Command{
		Change: &jobwire.Command_Wave{
			Wave: &jobwire.Wave{
				Id:               "1",
				Hosts:            []string{"host-a"},
				Ceiling:          1,
				DurationNanos:    int64(20 * time.Second),
				StartedUnixNanos: w.now.UnixNano(),
			},
		},
	})
}

// listHosts answers all listings that wait.
func listHosts(w *world) {
	for range takeAll[jobscheduler.ListHosts](w) {
		w.report(func() {
			w.sched.HostsListed(w.now, []jobscheduler.Host{
				{
					Name:   "host-a",
					Pool:   "p",
					State:  jobscheduler.HostUp,
					Worker: "a",
				},
				{
					Name:   "host-b",
					Pool:   "p",
					State:  jobscheduler.HostUp,
					Worker: "b",
				},
			})
		})
	}
}

// A task that was told to stop is away as soon as its order is sent; counting
// only the others let a host with two tasks of a step go down at once.
func TestMaintenanceCountsTasksThatAreStopping(t *testing.T) {
	w := newWorld(t)
	w.addWorker("a")
	step := tasks(2, 1000)
	step.Lasting, step.MayMiss = true, 1
	w.submit("job", step)
	w.lead()
	w.open()
	starts := w.accept()
	w.is.Equal(len(starts), 2)
	w.addWorker("b")
	startWave(w)
	running := map[string]jobscheduler.LookAnswer{
		"a": {
			Running: []jobscheduler.RunningTask{
				runningTask(starts[0].Task, starts[0].Run),
				runningTask(starts[1].Task, starts[1].Run),
			},
		},
	}
	stopped := make(map[int32]bool)
	for range 50 {
		w.pass(100 * time.Millisecond)
		listHosts(w)
		w.answerLooks(running)
		for _, stop := range takeAll[jobscheduler.Stop](w) {
			stopped[stop.Task.GetIndex()] = true
		}
		w.is.Equal(len(takeAll[jobscheduler.Maintain](w)), 0)
	}
	w.is.Equal(len(stopped), 1)
}

// A crashed host may be missing from a listing; a wave that counted it as done
// would be shown as completed too early.
func TestMissingHostIsNotCountedAsMaintained(t *testing.T) {
	w := newWorld(t)
	w.addWorker("b")
	w.lead()
	w.open()
	startWave(w)
	noted := 0
	for range 100 {
		w.pass(100 * time.Millisecond)
		for range takeAll[jobscheduler.ListHosts](w) {
			w.report(func() {
				w.sched.HostsListed(w.now, []jobscheduler.Host{
					{
						Name:  "host-b",
						Pool:  "p",
						State: jobscheduler.HostUp,
					},
				})
			})
		}
		w.answerLooks(nil)
		if n := len(takeAll[jobscheduler.NoteWave](w)); n > 0 {
			noted += n
			break
		}
	}
	w.is.True(noted > 0)
	w.is.True(w.now.Sub(time.Unix(1_000_000, 0)) > 8*time.Second)
}
