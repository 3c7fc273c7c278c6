package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"
)

// errSetup means that the deployment could not be set up.
var errSetup = errors.New("the configuration was not acknowledged, or a minion did not start")

// minions is how many minions the pool of most cases has.
const minions = 9

// setUp starts the processes, sends the configuration and starts the minions of one pool.
func (r *rig) setUp(routes []map[string]any, services []map[string]any, tenants []map[string]any) ([]*life, error) {
	if err := r.start(); err != nil {
		return nil, err
	}
	if !r.configure(routes, services, tenants) {
		return nil, errSetup
	}
	var lives []*life
	for i := range r.minions {
		l, err := r.minion(i)
		if err != nil {
			return nil, err
		}
		lives = append(lives, l)
	}
	time.Sleep(3 * time.Second)
	return lives, nil
}

// minion starts an incarnation of the minion with the given number.
func (r *rig) minion(i int) (*life, error) {
	size := amount{
		CPU:   64000,
		MemMB: 131072,
	}
	labels := []string{"a", fmt.Sprint("r", i/3)}
	return r.hub.startLife(fmt.Sprint("m-", i), "one", zones[i%len(zones)], fmt.Sprintf("%s.%d:%d", r.subnet, 101+i, minionPort), labels, size)
}

// runOf returns the run of a task that is at work, and the number of its minion.
func (r *rig) runOf(task string, lives []*life) (run *taskRun, number int) {
	r.hub.mu.Lock()
	defer r.hub.mu.Unlock()
	t := r.hub.tasks[task]
	if t == nil || len(t.active) == 0 {
		return nil, 0
	}
	for i, l := range lives {
		if t.active[0].minion == l {
			return t.active[0], i
		}
	}
	return nil, 0
}

// await calls done every few milliseconds until it returns true or the time is over.
func await(most time.Duration, done func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// crashes lets the minion crash that runs a task, some time after each start, and start again.
type crashes struct {
	count int
	// after is the time from the start of the run to the crash, down that until the minion
	// starts again under its id.
	after, down time.Duration
}

// crash carries out the crashes of a task. It returns how many there were.
func (r *rig) crash(task string, lives []*life, c crashes) int {
	for n := range c.count {
		var run *taskRun
		number := 0
		if !await(16*time.Second, func() bool {
			run, number = r.runOf(task, lives)
			return run != nil
		}) {
			return n
		}
		time.Sleep(time.Until(run.startAt.Add(c.after)))
		lives[number].end("it crashes")
		time.Sleep(c.down)
		next, err := r.minion(number)
		if err != nil {
			return n
		}
		lives[number] = next
	}
	return c.count
}

// caseCrashes: a job whose tasks never fail, on minions of which one at a time crashes, is
// shown as failed.
func caseCrashes(r *rig, trouble bool) error {
	r.hub.guarded["one"] = true
	lives, err := r.setUp([]map[string]any{route("a", "/a/", "one")}, []map[string]any{service("one", true)},
		[]map[string]any{tenant("t1", keyOne, 0)})
	if err != nil {
		return err
	}
	j := &jobSpec{
		id:       "5c0e7a21d94b36f8",
		Spec:     "settle",
		Steps:    []stepSpec{{Count: 1, CPU: 5000, MemMB: 2000, EstimateMS: 3000, work: 3 * time.Second}},
		attempts: 3,
		queue:    "/a/",
		pools:    []string{"one"},
		tenant:   "t1",
	}
	r.submit(j, keyOne)
	if trouble {
		n := r.crash(taskName(j.id, 0, 0, 0), lives, crashes{
			count: 5,
			after: 800 * time.Millisecond,
			down:  1500 * time.Millisecond,
		})
		r.rec.notef("there were %d crashes, one minion of %d down at a time", n, minions)
	}
	state := ""
	await(30*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		state = r.stateOf(j, keyOne, 0)
		return state == "completed" || state == "failed"
	})
	r.rec.notef("the job is shown as %s", state)
	r.hub.mu.Lock()
	defer r.hub.mu.Unlock()
	failures := r.hub.task(taskName(j.id, 0, 0, 0)).failures
	if state != "completed" {
		r.rec.breakf("LOST: the job is shown as %s; of its runs %d have ended failed", state, failures)
	}
	return nil
}

// replace lets the minion of a run end, and gives its address to a minion of another service.
func (r *rig) replace(number int, lives []*life, down time.Duration) error {
	old := lives[number]
	old.end("it ends, and its address goes to another service")
	time.Sleep(down)
	next, err := r.hub.startLife(old.id+"-other", "two", old.zone, old.address, old.labels, old.capacity)
	if err != nil {
		return err
	}
	lives[number] = next
	return nil
}

// caseReplaced: a job whose minion is replaced twice never runs again, though all minions have
// room for it.
func caseReplaced(r *rig, trouble bool) error {
	r.hub.guarded["one"], r.hub.guarded["two"] = true, true
	lives, err := r.setUp([]map[string]any{route("a", "/a/", "one"), route("b", "/b/", "two")},
		[]map[string]any{service("one", true), service("two", true)}, []map[string]any{tenant("t1", keyOne, 0)})
	if err != nil {
		return err
	}
	lasting := &jobSpec{
		id:       "5c0e7a21d94b3601",
		Spec:     "watch",
		Steps:    []stepSpec{{Count: minions, CPU: 1000, MemMB: 1000, EstimateMS: 900, LongRunning: true, MayMiss: 1, work: time.Hour}},
		attempts: 3,
		queue:    "/a/",
		pools:    []string{"one"},
		tenant:   "t1",
	}
	r.submit(lasting, keyOne)
	time.Sleep(3 * time.Second)
	for i := range 3 {
		address := fmt.Sprintf("%s.%d:%d", r.subnet, 151+i, minionPort)
		if _, err := r.hub.startLife(fmt.Sprint("n-", i), "two", zones[i], address, lives[0].labels, lives[0].capacity); err != nil {
			return err
		}
	}
	r.submit(&jobSpec{
		id:       "5c0e7a21d94b3602",
		Spec:     "watch",
		Steps:    []stepSpec{{Count: 5, CPU: 1000, MemMB: 1000, EstimateMS: 900, LongRunning: true, MaxPerServer: 1, work: time.Hour}},
		attempts: 3,
		queue:    "/b/",
		pools:    []string{"two"},
		tenant:   "t1",
	}, keyOne)
	time.Sleep(3 * time.Second)
	j := &jobSpec{
		id:       "5c0e7a21d94b36f8",
		Spec:     "settle",
		Steps:    []stepSpec{{Count: 1, CPU: 5000, MemMB: 2000, EstimateMS: 3000, work: 3 * time.Second}},
		attempts: 3,
		queue:    "/a/",
		pools:    []string{"one"},
		tenant:   "t1",
	}
	r.submit(j, keyOne)
	task := taskName(j.id, 0, 0, 0)
	for n := 0; trouble && n < 2; n++ {
		var run *taskRun
		number := 0
		if !await(10*time.Second, func() bool {
			run, number = r.runOf(task, lives)
			return run != nil
		}) {
			break
		}
		time.Sleep(time.Until(run.startAt.Add(800 * time.Millisecond)))
		if err := r.replace(number, lives, 2*time.Second); err != nil {
			return err
		}
	}
	calm := time.Now()
	r.rec.notef("the disruption is over")
	state := ""
	await(60*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		state = r.stateOf(j, keyOne, 0)
		return state == "completed" || state == "failed"
	})
	r.rec.notef("the job is shown as %s", state)
	if state != "completed" {
		r.rec.breakf("LOST: %.1f s after the last disruption the job is shown as %s, and nothing of it runs", time.Since(calm).Seconds(), state)
	}
	return nil
}

// caseFailing: a task that lasts and fails every few seconds is kept away from its two free
// minions for longer and longer.
func caseFailing(r *rig, trouble bool) error {
	r.hub.guarded["one"] = true
	lives, err := r.setUp([]map[string]any{route("a", "/a/", "one")}, []map[string]any{service("one", true)},
		[]map[string]any{tenant("t1", keyOne, 0)})
	if err != nil {
		return err
	}
	j := &jobSpec{
		id:       "5c0e7a21d94b36f8",
		Spec:     "watch",
		Steps:    []stepSpec{{Count: minions - 1, CPU: 1000, MemMB: 1000, EstimateMS: 900, LongRunning: true, MaxPerServer: 1, work: time.Hour}},
		attempts: 3,
		queue:    "/a/",
		pools:    []string{"one"},
		tenant:   "t1",
	}
	r.submit(j, keyOne)
	task := taskName(j.id, 0, 0, 0)
	begin := time.Now()
	ended := begin
	for time.Since(begin) < 85*time.Second {
		run, _ := r.runOf(task, lives)
		if run == nil {
			if gap := time.Since(ended); gap > 9*time.Second {
				r.rec.breakf("LOST: %s has not run for %.1f s since its last run; two minions without a task of its step have room", task, gap.Seconds())
				return nil
			}
			time.Sleep(5 * time.Millisecond)
			continue
		}
		ended = time.Now()
		if trouble && time.Since(run.startAt) > 3*time.Second {
			r.hub.mu.Lock()
			if run.minion.runs[task] == run {
				run.minion.finish(run, "failed")
			}
			r.hub.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// caseAdvice: of several jobs that come at once and need advice, none or few ever run.
func caseAdvice(r *rig, trouble bool) error {
	r.hub.guarded["one"] = true
	r.hub.advice = adviceTerms{
		decision:  400 * time.Millisecond,
		perMinion: 50 * time.Millisecond,
		validity:  5 * time.Second,
	}
	r.hub.advised["/a/"] = true
	r.cloud.skipsGone = os.Getenv("SKIP") != ""
	r.minions = 12
	queue := route("a", "/a/", "one")
	queue["advice"] = r.hub.advice.body()
	if _, err := r.setUp([]map[string]any{queue}, []map[string]any{service("one", true)},
		[]map[string]any{tenant("t1", keyOne, 0)}); err != nil {
		return err
	}
	count := 1
	if trouble {
		count = 10
	}
	var jobs []*jobSpec
	for n := range count {
		j := &jobSpec{
			id:       fmt.Sprintf("5c0e7a21d94b36%02x", n),
			Spec:     "settle",
			Steps:    []stepSpec{{Count: 4, CPU: 5000, MemMB: 2000, EstimateMS: 1000, work: time.Second}},
			attempts: 3,
			queue:    "/a/",
			pools:    []string{"one"},
			tenant:   "t1",
		}
		r.submit(j, keyOne)
		jobs = append(jobs, j)
	}
	var open []string
	await(80*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		open = nil
		for _, j := range jobs {
			if state := r.stateOf(j, keyOne, 0); state != "completed" {
				open = append(open, j.id+" "+state)
			}
		}
		return len(open) == 0
	})
	for _, state := range open {
		r.rec.breakf("LOST: job %s after 80 s", state)
	}
	return nil
}

// silence is how long the platform is silent in caseUpkeep.
const silence = 5 * time.Second

// caseUpkeep: the platform carries out an order for an upkeep and is silent for some seconds; when
// the order is repeated, the connections to half of the minions are reset.
func caseUpkeep(r *rig, trouble bool) error {
	r.hub.guarded["one"] = true
	var second atomic.Bool
	r.cloud.onUpkeep = func(times int) {
		switch {
		case times == 1 && trouble:
			r.cloud.silentUntil.Store(time.Now().Add(silence).UnixNano())
		case times > 1:
			second.Store(true)
		}
	}
	lives, err := r.setUp([]map[string]any{route("a", "/a/", "one")}, []map[string]any{service("one", true)},
		[]map[string]any{tenant("t1", keyOne, 0)})
	if err != nil {
		return err
	}
	r.submit(&jobSpec{
		id:       "5c0e7a21d94b36f8",
		Spec:     "watch",
		Steps:    []stepSpec{{Count: minions - 1, CPU: 1000, MemMB: 1000, EstimateMS: 900, LongRunning: true, MayMiss: 1, MaxPerServer: 1, work: time.Hour}},
		attempts: 3,
		queue:    "/a/",
		pools:    []string{"one"},
		tenant:   "t1",
	}, keyOne)
	time.Sleep(5 * time.Second)
	client := &http.Client{
		Timeout: time.Second,
	}
	body := fmt.Sprintf(`{"wave":1,"machines":[%q,%q],"duration_s":20,"ceiling":1}`, lives[0].machine, lives[1].machine)
	if !await(10*time.Second, func() bool {
		return post(client, "http://"+r.hub.controls[0]+"/-/wave-start", body) == http.StatusOK
	}) {
		return errSetup
	}
	if trouble {
		if !await(40*time.Second, second.Load) {
			r.rec.notef("no order was repeated")
		}
		for range 4 {
			r.resetSome((minions + 1) / 2)
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(15 * time.Second)
	return nil
}

// resetSome resets the connections to that many minions that are up, the newest ones.
func (r *rig) resetSome(count int) {
	r.hub.mu.Lock()
	var lives []*life
	for _, l := range slices.Backward(r.hub.lives) {
		if !l.ended && len(lives) < count {
			lives = append(lives, l)
		}
	}
	r.hub.mu.Unlock()
	n := 0
	for _, l := range lives {
		n += l.reset()
	}
	r.rec.notef("%d connections to %d minions are reset", n, len(lives))
}
