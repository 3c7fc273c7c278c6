package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/scheduler"
	"github.com/heathermux/heathermux/internal/wire"
)

func manyTeams(n int) []team {
	teams := make([]team, 0, n)
	for i := range n {
		teams = append(teams, team{
			name:  fmt.Sprintf("team-%02d", i),
			share: int64(1 + i%4),
			limit: 1 << 40,
		})
	}
	return teams
}

// newLoadedFleet returns a fleet on which 71 teams have each queued a multiple of
// their share.
func newLoadedFleet(workers, multiple int) *fleet {
	f := newFleet(workers, manyTeams(71))
	for i := range 71 {
		// Shares are 1 to 4 and add up to 177.
		cores := 1 + i%7
		tasks := multiple * workers * 64 * (1 + i%4) / 177 / cores
		f.submitMany(tasks+1, fmt.Sprintf("team-%02d", i), size(int64(1000*cores), 1))
	}
	return f
}

// BenchmarkFillPass measures the first pass on an empty fleet with more tasks
// queued than fit.
func BenchmarkFillPass(b *testing.B) {
	for _, workers := range []int{50, 700, 6600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			placed := 0
			for b.Loop() {
				b.StopTimer()
				f := newLoadedFleet(workers, 2)
				b.StartTimer()
				placed = len(f.s.Step(f.now, scheduler.Pass{
					MayStart: true,
				}))
			}
			b.ReportMetric(float64(placed), "tasks/pass")
		})
	}
}

// BenchmarkSteadyPass measures a pass on a full fleet after one in a hundred tasks
// has ended.
func BenchmarkSteadyPass(b *testing.B) {
	for _, workers := range []int{50, 700, 6600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newLoadedFleet(workers, 2)
			for range 16 {
				f.round()
			}
			n := 0
			for b.Loop() {
				b.StopTimer()
				f.outcome = func(string, string) wire.TaskState {
					n++
					if n%100 == 0 {
						return wire.TaskState_TASK_STATE_SUCCEEDED
					}
					return wire.TaskState_TASK_STATE_UNSPECIFIED
				}
				f.pollAll()
				f.now = f.now.Add(scheduler.PollInterval)
				b.StartTimer()
				f.pass()
			}
		})
	}
}

// BenchmarkPoll measures the response to the poll of one worker that runs 20 tasks.
func BenchmarkPoll(b *testing.B) {
	f := newLoadedFleet(700, 2)
	f.round()
	f.round()
	for b.Loop() {
		f.sequence++
		f.poll(workerName(3))
	}
}

// BenchmarkUrgentStart measures, in simulated time, how long urgent tasks take to
// start on a full fleet.
func BenchmarkUrgentStart(b *testing.B) {
	var worst time.Duration
	for b.Loop() {
		f := newLoadedFleet(50, 2)
		f.round()
		f.round()
		at := f.now
		for i := range 50 {
			f.submit(&wire.Task{
				Id:     fmt.Sprint("urgent-", i),
				Team:   "team-00",
				Size:   size(4000, 2),
				Urgent: true,
			})
		}
		f.pass()
		f.round()
		for i := range 50 {
			if f.state(fmt.Sprint("urgent-", i)) != wire.TaskState_TASK_STATE_RUNNING {
				b.Fatal("urgent task is not running after one poll interval")
			}
		}
		worst = max(worst, f.now.Sub(at))
	}
	b.ReportMetric(worst.Seconds(), "sim-s/start")
}

// BenchmarkCancelQueued measures the cancellation of many queued tasks, with the
// pass that skips their queue entries.
func BenchmarkCancelQueued(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				f := newFleet(1, manyTeams(1))
				f.submitMany(n, "team-00", size(1000, 1))
				b.StartTimer()
				for i := range n {
					f.s.Step(f.now, scheduler.Cancel{
						ID:   fmt.Sprint("team-00-", i),
						Team: "team-00",
					})
				}
				f.pass()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/task")
		})
	}
}

// BenchmarkShareDistance reports how far the worst-off team and the average team
// are below their share on a full fleet whose tasks end and start all the time, as
// the mean over 40 s of simulated time.
func BenchmarkShareDistance(b *testing.B) {
	worst, mean, used := 0.0, 0.0, 0.0
	for b.Loop() {
		f := newLoadedFleet(50, 8)
		n := 0
		f.outcome = func(string, string) wire.TaskState {
			n++
			if n%16 == 0 {
				return wire.TaskState_TASK_STATE_SUCCEEDED
			}
			return wire.TaskState_TASK_STATE_UNSPECIFIED
		}
		use := make(map[string]int64)
		for range 80 {
			f.round()
			for team, cores := range f.use() {
				use[team] += cores
			}
		}
		worst, mean = shareShortfall(use, manyTeams(71))
		used = 0
		for _, cores := range use {
			used += float64(cores) / (80 * 50 * 64_000)
		}
	}
	b.ReportMetric(100*worst, "%-worst")
	b.ReportMetric(100*mean, "%-mean")
	b.ReportMetric(100*used, "%-used")
}

// shareShortfall returns by how much the teams are below their share of the cores
// in use, as the largest and the mean fraction of the share. Teams above their
// share count as 0.
func shareShortfall(use map[string]int64, teams []team) (worst, mean float64) {
	var total, weights int64
	for _, t := range teams {
		total += use[t.name]
		weights += t.share
	}
	for _, t := range teams {
		share := float64(total) * float64(t.share) / float64(weights)
		below := max(0, (share-float64(use[t.name]))/share)
		worst = max(worst, below)
		mean += below / float64(len(teams))
	}
	return worst, mean
}

// BenchmarkMemory reports the heap memory held for each worker and each queued task.
func BenchmarkMemory(b *testing.B) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		f := newFleet(6600, manyTeams(1))
		withWorkers := heap()
		f.submitMany(100_000, "team-00", size(1000, 1))
		f.actions = nil
		withTasks := heap()
		b.ReportMetric(float64(withWorkers-before)/6600, "B/worker")
		b.ReportMetric(float64(withTasks-withWorkers)/100_000, "B/task")
		runtime.KeepAlive(f)
	}
}

// BenchmarkAllHostsPolled measures AllHostsPolled, which runs in each pass of a new
// scheduler until its workers have polled, with the 6,600 hosts of the whole target
// fleet in the control state, one in eleven of them in this data centre.
func BenchmarkAllHostsPolled(b *testing.B) {
	snap := snapshot(6600, oneTeam)
	for i, h := range snap.GetHosts() {
		if i%11 != 0 {
			h.DataCentre = "other"
		}
	}
	s := scheduler.New(scheduler.Options{
		DataCentre: "dc",
		Epoch:      1,
		State:      controller.FromSnapshot(snap),
	})
	for b.Loop() {
		s.AllHostsPolled()
	}
}
