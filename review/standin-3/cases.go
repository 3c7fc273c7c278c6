package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
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
	r.cloud.skipsGone = os.Getenv("DECIDE_ALL") == ""
	r.minions = 12
	queue := route("a", "/a/", "one")
	queue["advice"] = r.hub.advice.body()
	if _, err := r.setUp([]map[string]any{queue}, []map[string]any{service("one", true)},
		[]map[string]any{tenant("t1", keyOne, 0)}); err != nil {
		return err
	}
	var jobs []*jobSpec
	for n := range 10 {
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
		if !trouble {
			// The next one comes when this one is completed.
			await(20*time.Second, func() bool {
				time.Sleep(100 * time.Millisecond)
				return r.stateOf(j, keyOne, 0) == "completed"
			})
		}
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

// caseReplacedCore: one of three core machines is gone for good just after the first start, and
// an empty one comes at another address. The others never form a group.
func caseReplacedCore(r *rig, trouble bool) error {
	if err := r.start(); err != nil {
		return err
	}
	if trouble {
		time.Sleep(10 * time.Millisecond)
		r.cores[1].kill()
		time.Sleep(time.Second)
		ip := fmt.Sprintf("%s.4", r.subnet)
		controls := []string{r.hub.controls[0], fmt.Sprintf("%s:%d", ip, controlPort), r.hub.controls[2]}
		successor := r.process("core-3", "core", ip, zones[1], controls)
		successor.settings = strings.Replace(successor.settings, "bootstrap=true", "bootstrap=false", 1)
		r.cores[1], r.hub.controls = successor, controls
		// The settings of the other machines name the new seeds.
		for _, p := range []*process{r.cores[0], r.cores[2], r.fronts[0], r.fronts[1]} {
			if err := p.setSeeds(controls); err != nil {
				return err
			}
		}
		if err := successor.start(); err != nil {
			return err
		}
	}
	routes, services := []map[string]any{route("a", "/a/", "one")}, []map[string]any{service("one", true)}
	tenants := []map[string]any{tenant("t1", keyOne, 0)}
	served := false
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && !served; {
		r.version = 0
		served = r.configure(routes, services, tenants)
		status, _ := r.call(0, http.MethodGet, "/a/", keyOne, "")
		r.rec.notef("the first configuration is acknowledged: %v; a front answers %d", served, status)
	}
	if !served {
		r.rec.breakf("Fault: no request is served, and no configuration is acknowledged, for 60 s after the first start")
	}
	return nil
}

// caseLateCopy: a copy of a start is carried out late, by the next incarnation of the minion,
// after the task was done.
func caseLateCopy(r *rig, trouble bool) error {
	r.hub.guarded["one"] = true
	lives, err := r.setUp([]map[string]any{route("a", "/a/", "one")}, []map[string]any{service("one", true)},
		[]map[string]any{tenant("t1", keyOne, 0)})
	if err != nil {
		return err
	}
	var first atomic.Bool
	r.hub.mu.Lock()
	for _, l := range lives {
		l.late = func(path string) time.Duration {
			if trouble && path == "/-/run-start" && first.CompareAndSwap(false, true) {
				return 6 * time.Second
			}
			return 0
		}
	}
	r.hub.mu.Unlock()
	j := &jobSpec{
		id:       "5c0e7a21d94b36f8",
		Spec:     "settle",
		Steps:    []stepSpec{{Count: 1, CPU: 5000, MemMB: 2000, EstimateMS: 1000, work: time.Second}},
		attempts: 3,
		queue:    "/a/",
		pools:    []string{"one"},
		tenant:   "t1",
	}
	r.submit(j, keyOne)
	begin := time.Now()
	var run *taskRun
	number := 0
	if !await(5*time.Second, func() bool {
		run, number = r.runOf(taskName(j.id, 0, 0, 0), lives)
		return run != nil
	}) {
		return errSetup
	}
	if trouble {
		time.Sleep(time.Until(begin.Add(2200 * time.Millisecond)))
		lives[number].end("it crashes")
		time.Sleep(time.Until(begin.Add(5 * time.Second)))
		r.hub.mu.Lock()
		r.hub.firstBeatAfter = firstBeat
		r.hub.mu.Unlock()
		if _, err := r.minion(number); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(begin.Add(12 * time.Second)))
	r.rec.notef("the job is shown as %s", r.stateOf(j, keyOne, 0))
	return nil
}

// firstBeat is how long after its start a minion sends its first heartbeat in caseLateCopy; that
// is less than the time between two of them.
const firstBeat = 1400 * time.Millisecond
