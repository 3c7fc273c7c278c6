package jobscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// addStandbyPool configures a standby pool, whose hosts are off, beside the pool
// of the workers.
func (h *harness) addStandbyPool() {
	h.apply(&jobwire.Command{
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

// answerHostLists answers pending host listings with one host for each worker and
// a number of standby hosts that are off.
func (h *harness) answerHostLists(workers, reserve int) {
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
	for range takeAll[jobscheduler.ListHosts](h) {
		h.withScheduler(func() { h.sched.HostsListed(h.now, hosts) })
	}
}

// A new leader learns of all open jobs at once. It must not take a steady load
// for a peak, or it would keep most hosts in one pool.
func TestNewLeaderSeesNoPeakInOpenJobs(t *testing.T) {
	const workers, reserve, jobs = 12, 60, 20
	h := newHarness(t)
	h.addStandbyPool()
	for i := range workers {
		h.addWorker(fmt.Sprint("w", i))
	}
	h.startTerm()
	h.reconcileWorkers()
	started := 0
	running := make(map[string]jobscheduler.PollAnswer)
	for i := range jobs {
		// Five host-seconds come each second, which two fifths of the hosts serve.
		step := tasks(1, 4000)
		step.EstimateNanos = int64(2 * time.Second)
		h.submit(fmt.Sprint("job", i), step)
		h.advance(200 * time.Millisecond)
		for _, start := range h.acceptStarts() {
			answer := running[start.Target.ID]
			answer.Running = append(answer.Running, runningTask(start.Task, start.Run))
			running[start.Target.ID] = answer
			started++
		}
		h.answerPolls(running)
	}
	h.is.Equal(started, jobs)

	h.startTerm()
	moves := 0
	for range 80 {
		h.advance(50 * time.Millisecond)
		h.answerHostLists(workers, reserve)
		h.answerPolls(running)
		moves += len(takeAll[jobscheduler.MoveHost](h))
	}
	h.is.True(moves <= 4)
}

// A listing may have a host without a worker while one has registered there since and
// runs tasks. The host was moved by that listing, which ended them.
func TestHostListedWithoutWorkerIsListedAgainBeforeItMoves(t *testing.T) {
	const workers = 8
	h := newHarness(t)
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: 2,
				Pools: []*jobwire.Pool{
					{
						Name: "p",
					},
					{
						Name: "short",
					},
				},
			},
		},
	})
	for i := range workers {
		h.addWorker(fmt.Sprint("w", i))
	}
	h.startTerm()
	h.reconcileWorkers()
	host := jobscheduler.Host{
		Name:  "host",
		Pool:  "p",
		State: jobscheduler.HostUp,
	}
	registered, moves := false, 0
	for range 60 {
		h.advance(100 * time.Millisecond)
		for range takeAll[jobscheduler.ListHosts](h) {
			listed := []jobscheduler.Host{host}
			for i := range workers {
				listed = append(listed, jobscheduler.Host{
					Name:   fmt.Sprint("host-", i),
					Pool:   "p",
					State:  jobscheduler.HostUp,
					Worker: fmt.Sprint("w", i),
				})
			}
			h.withScheduler(func() { h.sched.HostsListed(h.now, listed) })
			if !registered {
				h.addWorker("late")
				registered, host.Worker = true, "late" // as the next listing has it
			}
		}
		h.answerPolls(nil)
		for _, m := range takeAll[jobscheduler.MoveHost](h) {
			h.is.True(m.Host != "host" || m.Worker.ID == "late")
			moves++
		}
	}
	h.is.True(registered && moves > 0)
}
