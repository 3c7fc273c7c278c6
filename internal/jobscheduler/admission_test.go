package jobscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// play submits jobs of eight tasks at a rate for some seconds to one worker of
// eight cores, on which a task takes half a second, and returns how many are
// refused.
func play(t *testing.T, rate int, length time.Duration) (refused int, retry time.Duration) {
	w := newWorld(t)
	w.addWorker("a")
	w.lead()
	w.open()
	type running struct {
		start jobscheduler.Start
		until time.Time
	}
	var open []running
	number := uint64(0)
	const tick = 50 * time.Millisecond
	n := 0
	for begun := w.now; w.now.Sub(begun) < length; {
		for ; n < int(w.now.Sub(begun).Seconds()*float64(rate)); n++ {
			job := &jobwire.Job{
				Steps: []*jobwire.Step{tasks(8, 1000)},
			}
			ok := false
			w.keeper.View(func(s *jobkeeper.State) {
				w.sched.SetTime(w.now, w.now)
				var wait time.Duration
				wait, ok = w.sched.Refuse(s.Queue("q"), job)
				retry = max(retry, wait)
			})
			if ok {
				refused++
				continue
			}
			w.submit(fmt.Sprint("job", n), job.GetSteps()...)
		}
		w.pass(tick)
		for _, start := range w.accept() {
			open = append(open, running{
				start: start,
				until: w.now.Add(500 * time.Millisecond),
			})
		}
		answer := jobscheduler.LookAnswer{}
		var rest []running
		for _, r := range open {
			if r.until.After(w.now) {
				rest = append(rest, r)
				answer.Running = append(answer.Running, runningTask(r.start.Task, r.start.Run))
				continue
			}
			number++
			answer.Ended = append(answer.Ended, ended(number, r.start.Task, r.start.Run, jobwire.Ending_ENDING_DONE))
		}
		open = rest
		w.answerLooks(map[string]jobscheduler.LookAnswer{
			"a": answer,
		})
		w.record()
	}
	return refused, retry
}

// A load that the pool bears must not be refused, nor a peak whose last job is
// done within three times its objective of 1.4 s: here the work of 6 s comes in
// 3 s. One that the pool can't do for long must be, with a time to come back.
func TestRefuse(t *testing.T) {
	cases := map[string]struct {
		rate    int
		length  time.Duration
		refuses bool
	}{
		"a load that fits": {
			rate:   1,
			length: 20 * time.Second,
		},
		"a short peak of twice what fits": {
			rate:   4,
			length: 3 * time.Second,
		},
		"five times what fits for long": {
			rate:    10,
			length:  20 * time.Second,
			refuses: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			refused, retry := play(t, c.rate, c.length)
			w.is.Equal(refused > 0, c.refuses)
			if c.refuses {
				w.is.True(retry >= time.Second)
				w.is.True(retry <= 10*time.Second)
			}
		})
	}
}
