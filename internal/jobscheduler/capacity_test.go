package jobscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// withReserve adds a pool of hosts that are off, beside the one that works.
func (w *world) withReserve() {
	w.apply(&jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: 2,
				Queues: []*jobwire.Queue{
					{
						Name:        "q",
						Pool:        "p",
						Attempts:    2,
						Stretch:     1.6,
						TargetNanos: int64(600 * time.Millisecond),
					},
				},
				Pools: []*jobwire.Pool{
					{
						Name: "p",
					},
					{
						Name:    "off",
						Standby: true,
					},
				},
			},
		},
	})
}

// listHosts answers listings: a host for each worker, and reserve that are off.
func (w *world) listHosts(workers, reserve int) {
	var hosts []jobscheduler.Host
	for i := range workers {
		hosts = append(hosts, jobscheduler.Host{
			Name:   fmt.Sprint("host-", i),
			Pool:   "p",
			State:  jobscheduler.HostUp,
			Worker: fmt.Sprint("w", i),
		})
	}
	for i := range reserve {
		hosts = append(hosts, jobscheduler.Host{
			Name:  fmt.Sprint("off-", i),
			Pool:  "off",
			State: jobscheduler.HostUp,
		})
	}
	for range takeAll[jobscheduler.ListHosts](w) {
		w.report(func() { w.sched.HostsListed(w.now, hosts) })
	}
}

// A steady load must not look like a peak to a new leader, which learns of all
// open jobs at once: the peak that it believed in held most hosts in one pool.
func TestNewLeaderSeesNoPeakInOpenJobs(t *testing.T) {
	const workers, reserve, jobs = 12, 60, 20
	w := newWorld(t)
	w.withReserve()
	for i := range workers {
		w.addWorker(fmt.Sprint("w", i))
	}
	w.lead()
	w.open()
	started := 0
	running := make(map[string]jobscheduler.LookAnswer)
	for i := range jobs {
		// Five host-seconds come each second, which two fifths of the hosts serve.
		step := tasks(1, 4000)
		step.EstimateNanos = int64(2 * time.Second)
		w.submit(fmt.Sprint("job", i), step)
		w.pass(200 * time.Millisecond)
		for _, start := range w.accept() {
			answer := running[start.Target.ID]
			answer.Running = append(answer.Running, runningTask(start.Task, start.Run))
			running[start.Target.ID] = answer
			started++
		}
		w.answerLooks(running)
	}
	w.is.Equal(started, jobs)

	w.lead()
	moves := 0
	for range 80 {
		w.pass(50 * time.Millisecond)
		w.listHosts(workers, reserve)
		w.answerLooks(running)
		moves += len(takeAll[jobscheduler.MoveHost](w))
	}
	w.is.True(moves <= 4)
}
