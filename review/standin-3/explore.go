package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	keyOne = "key-of-tenant-one"
	keyTwo = "key-of-tenant-two"
)

func route(name, prefix, pool string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 600, "priority": 0, "service": pool, "attempts": 3, "stretch": 2.0, "public": false,
	}
}

func service(name string, guards bool) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
		"cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": guards, "standby": false,
	}
}

func tenant(name, key string, ceiling int64) map[string]any {
	return map[string]any{
		"name": name, "api_keys": []string{key}, "priority": 1, "weight": 10,
		"ceiling": map[string]any{"cpu": ceiling, "mem_mb": 0, "gpu": 0},
	}
}

// explorer plays a random mix of jobs and disruptions, for the search for cases.
type explorer struct {
	rig    *rig
	random *rand.Rand
	mu     sync.Mutex
	jobs   []*jobSpec
	keys   map[string]string
	spots  []*spot
	only   string
	waves  int
}

// spot is a place for a minion.
type spot struct {
	id      string
	pool    string
	zone    string
	address string
	labels  []string
	life    *life
	busy    bool
	number  int
}

func (e *explorer) start(s *spot) error {
	l, err := e.rig.hub.startLife(s.id, s.pool, s.zone, s.address, s.labels, amount{
		CPU:   4000,
		MemMB: 8000,
	})
	s.life = l
	return err
}

func explore(r *rig, seed uint64, seconds int, only string) error {
	e := &explorer{
		rig:    r,
		random: rand.New(rand.NewPCG(seed, 3)),
		keys:   make(map[string]string),
		only:   only,
	}
	r.hub.guarded["one"], r.hub.guarded["two"] = seed%2 == 0, false
	r.hub.ceiling["t2"] = 6000
	if err := r.start(); err != nil {
		return err
	}
	services := []map[string]any{service("one", seed%2 == 0), service("two", false)}
	tenants := []map[string]any{tenant("t1", keyOne, 0), tenant("t2", keyTwo, 6000)}
	routes := []map[string]any{route("a", "/a/", "one"), route("b", "/b/", "two"), route("c", "/c/", "two"), route("d", "/d/", "one")}
	r.hub.advice = adviceTerms{
		decision:  40 * time.Millisecond,
		perMinion: 2 * time.Millisecond,
		validity:  3 * time.Second,
	}
	routes[3]["advice"] = r.hub.advice.body()
	r.hub.advised["/d/"] = true
	if !r.configure(routes, services, tenants) {
		return fmt.Errorf("the configuration was not acknowledged")
	}
	for i := range 9 {
		s := &spot{
			id:      fmt.Sprint("m-", i),
			pool:    []string{"one", "two"}[i%2],
			zone:    zones[i%3],
			address: fmt.Sprintf("%s.%d:%d", r.subnet, 101+i, minionPort),
			labels:  []string{[]string{"a", "b"}[i/2%2], fmt.Sprint("r", i/4)},
		}
		e.spots = append(e.spots, s)
		if err := e.start(s); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var group sync.WaitGroup
	group.Go(func() {
		for n := 1; time.Now().Before(end); n++ {
			j, key := e.job(n)
			group.Go(func() { e.play(j, key) })
			time.Sleep(time.Duration(60+e.random.IntN(120)) * time.Millisecond)
		}
	})
	group.Go(func() { e.disturb(end, routes, services, tenants) })
	group.Wait()
	e.finish()
	return nil
}

func (e *explorer) job(n int) (*jobSpec, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ms := func(least, most int) time.Duration {
		return time.Duration(least+e.random.IntN(most-least)) * time.Millisecond
	}
	step := func(count int, work time.Duration) stepSpec {
		return stepSpec{Count: count, CPU: 500, MemMB: 100, EstimateMS: float64(work.Milliseconds()), work: work}
	}
	j := &jobSpec{
		id:       fmt.Sprintf("%016x", uint64(n)<<32|uint64(e.random.Uint32())),
		Spec:     "payload",
		attempts: 3,
		queue:    "/a/",
		pools:    []string{"one"},
		tenant:   "t1",
	}
	key := keyOne
	if e.random.IntN(2) == 0 {
		j.queue, j.pools = "/b/", []string{"two"}
	}
	if e.random.IntN(3) == 0 {
		j.queue, j.pools = "/c/", []string{"two", "one"}
	}
	if e.random.IntN(5) == 0 {
		j.queue, j.pools = "/d/", []string{"one"}
	}
	if e.random.IntN(3) == 0 {
		j.tenant, key = "t2", keyTwo
	}
	switch e.random.IntN(16) {
	case 10, 11:
		j.kind = "gang2"
		j.Steps = []stepSpec{step(4, ms(500, 3000))}
		j.Steps[0].Gang, j.Steps[0].Checkpointing, j.Steps[0].MaxPerServer = true, true, 2
		if e.random.IntN(3) == 0 {
			j.RepeatCount, j.IntervalMS = 2, 1500
			j.StartAtMS = time.Now().Add(ms(300, 2000)).UnixMilli()
		}
	case 12:
		j.kind = "near"
		j.Steps = []stepSpec{step(2, ms(100, 1500))}
		j.Steps[0].DataRack = fmt.Sprint("r", e.random.IntN(3))
	case 13:
		j.kind = "timed2"
		j.Steps = []stepSpec{step(2, ms(1000, 2500))}
		j.RepeatCount, j.IntervalMS = 5, 700
		j.StartAtMS = time.Now().Add(ms(300, 3000)).UnixMilli()
	case 14:
		j.kind = "big"
		j.Steps = []stepSpec{step(1, ms(500, 1500)), step(6, ms(100, 300))}
		j.Steps[0].CPU = 3500
	case 15:
		j.kind = "gangfail"
		j.Steps = []stepSpec{step(2, ms(200, 700))}
		j.Steps[0].Gang, j.Steps[0].fails = true, true
	case 0, 1:
		j.kind = "batch"
		j.Steps = []stepSpec{step(2, ms(100, 600)), step(2, ms(100, 600))}
		j.Steps[1].DependsOn = []int{0}
	case 2:
		j.kind = "gang"
		j.Steps = []stepSpec{step(3, ms(300, 1500)), step(1, ms(100, 300))}
		j.Steps[0].Gang, j.Steps[0].SameRack, j.Steps[0].Checkpointing = true, e.random.IntN(2) == 0, true
		j.Steps[1].DependsOn = []int{0}
	case 3:
		j.kind = "timed"
		j.Steps = []stepSpec{step(1, ms(100, 900)), step(1, ms(100, 300))}
		j.Steps[1].DependsOn = []int{0}
		j.RepeatCount, j.IntervalMS = 4, 400
		j.StartAtMS = time.Now().Add(ms(300, 2000)).UnixMilli()
	case 4:
		j.kind = "label"
		j.Steps = []stepSpec{step(2, ms(100, 900))}
		j.Steps[0].RequiredLabel, j.Steps[0].MaxPerServer = "a", 1
		if j.queue == "/d/" {
			j.Steps[0].RequiredLabel = ""
		}
	case 5:
		j.kind = "lasting"
		j.Steps = []stepSpec{step(2, time.Hour)}
		j.Steps[0].LongRunning, j.Steps[0].MayMiss, j.Steps[0].MaxPerServer = true, 1, 1
	case 6:
		j.kind = "long"
		j.Steps = []stepSpec{step(2, ms(1500, 4000))}
		j.Steps[0].Checkpointing = true
	case 7:
		j.kind = "failing"
		j.Steps = []stepSpec{step(1, ms(50, 300))}
		j.Steps[0].fails = true
	case 8:
		j.kind = "speculative"
		j.Steps = []stepSpec{step(3, ms(100, 900))}
		j.Steps[0].Speculative = true
	case 9:
		j.kind = "fills"
		j.Steps = []stepSpec{step(1, ms(100, 900))}
		j.Steps[0].Fills = true
	}
	e.jobs = append(e.jobs, j)
	e.keys[j.id] = key
	return j, key
}

func (e *explorer) play(j *jobSpec, key string) {
	e.rig.submit(j, key)
	if j.kind == "lasting" {
		time.Sleep(6 * time.Second)
		e.rig.cancel(j, key)
	}
	if j.kind == "long" && strings.HasSuffix(j.id, "3") {
		e.rig.cancel(j, key)
	}
}

// disturb injects disruptions until the end, one or two at a time.
func (e *explorer) disturb(end time.Time, routes, services, tenants []map[string]any) {
	var group sync.WaitGroup
	defer group.Wait()
	for time.Now().Before(end) {
		e.mu.Lock()
		n, pause := e.random.IntN(17), time.Duration(300+e.random.IntN(2500))*time.Millisecond
		short := time.Duration(200+e.random.IntN(3500)) * time.Millisecond
		s := e.spots[e.random.IntN(len(e.spots))]
		core := e.rig.cores[e.random.IntN(3)]
		e.mu.Unlock()
		if e.only != "" && !strings.Contains(e.only, fmt.Sprintf(",%d,", n)) {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		switch n {
		case 0, 1:
			p := e.rig.leader()
			if n == 1 {
				p = core
			}
			e.exclusive(&group, func() {
				p.kill()
				time.Sleep(short / 2)
				_ = p.start()
				time.Sleep(3 * time.Second)
			})
		case 2:
			p := e.rig.leader()
			e.exclusive(&group, func() {
				p.signal(syscall.SIGSTOP)
				time.Sleep(short)
				p.signal(syscall.SIGCONT)
				time.Sleep(2 * time.Second)
			})
		case 3:
			p := e.rig.leader()
			e.exclusive(&group, func() {
				p.terminate()
				_ = p.start()
				time.Sleep(3 * time.Second)
			})
		case 4, 5:
			e.withSpot(&group, s, func() {
				s.life.end("it crashes")
				time.Sleep(short)
				if n == 5 {
					s.number++
					s.id = fmt.Sprintf("%s-%d", strings.SplitN(s.id, "_", 2)[0], 100*e.waves+s.number)
				}
				_ = e.start(s)
			})
		case 6:
			e.withSpot(&group, s, func() {
				e.set(s, func(l *life) { l.dark = true })
				time.Sleep(2 * short)
				e.set(s, func(l *life) { l.dark = false })
			})
		case 7, 8:
			e.withSpot(&group, s, func() {
				late := newLate(uint64(n) + uint64(short))
				e.set(s, func(l *life) { l.late = late })
				time.Sleep(short)
				if n == 8 {
					s.life.end("it crashes")
					time.Sleep(short / 4)
					_ = e.start(s)
					return
				}
				e.set(s, func(l *life) { l.late = nil })
			})
		case 9:
			e.withSpot(&group, s, func() {
				e.set(s, func(l *life) { l.draining = true })
				time.Sleep(3 * time.Second)
				s.life.leave()
				time.Sleep(short)
				s.number++
				_ = e.start(s)
			})
		case 10:
			e.mu.Lock()
			changed := append([]map[string]any{}, routes...)
			pool := []string{"one", "two"}[e.random.IntN(2)]
			changed[2] = route("c", "/c/", pool)
			if e.random.IntN(4) == 0 {
				changed = slices.Delete(changed, 2, 3)
			}
			e.mu.Unlock()
			e.rig.configure(changed, services, tenants)
		case 12, 13:
			e.rig.hub.mu.Lock()
			var names []string
			for _, l := range e.rig.hub.lives {
				if !l.ended && len(names) < 3 && e.random.IntN(4) == 0 {
					names = append(names, l.machine)
				}
			}
			e.waves++
			body, _ := json.Marshal(map[string]any{"wave": e.waves, "machines": names, "duration_s": 10, "ceiling": 1 + e.waves%2})
			e.rig.hub.mu.Unlock()
			client := &http.Client{Timeout: time.Second}
			for _, address := range e.rig.hub.controls {
				if post(client, "http://"+address+"/-/wave-start", string(body)) == http.StatusOK {
					break
				}
			}
		case 14:
			e.rig.cloud.silentUntil.Store(time.Now().Add(2 * short).UnixNano())
		case 15:
			group.Go(func() {
				for range 4 {
					e.rig.resetSome(4)
					time.Sleep(short / 8)
				}
			})
		case 16:
			e.withSpot(&group, s, func() {
				s.life.end("it crashes")
				time.Sleep(short / 40)
				_ = e.start(s)
			})
		case 11:
			zone := zones[int(short/time.Millisecond)%3]
			group.Go(func() {
				client := &http.Client{Timeout: time.Second}
				e.order(client, "/-/Evacuate.Start/"+zone)
				time.Sleep(short)
				e.order(client, "/-/Evacuate.Finish/"+zone)
			})
		}
		time.Sleep(pause)
	}
	e.rig.configure(routes, services, tenants)
}

func (e *explorer) order(client *http.Client, path string) {
	for range 40 {
		for _, address := range e.rig.hub.controls {
			if post(client, "http://"+address+path, "") == http.StatusOK {
				e.rig.rec.notef("%s is acknowledged", path)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (e *explorer) set(s *spot, f func(l *life)) {
	e.rig.hub.mu.Lock()
	defer e.rig.hub.mu.Unlock()
	f(s.life)
}

var coreBusy sync.Mutex

// exclusive disturbs the core, one at a time.
func (e *explorer) exclusive(group *sync.WaitGroup, f func()) {
	if !coreBusy.TryLock() {
		return
	}
	group.Go(func() {
		defer coreBusy.Unlock()
		f()
	})
}

func (e *explorer) withSpot(group *sync.WaitGroup, s *spot, f func()) {
	e.mu.Lock()
	busy := s.busy
	s.busy = true
	e.mu.Unlock()
	if busy {
		return
	}
	group.Go(func() {
		if e.find(s) {
			f()
		}
		e.mu.Lock()
		s.busy = false
		e.mu.Unlock()
	})
}

// find finds the minion that is up at a place, and reports whether there is one.
func (e *explorer) find(s *spot) bool {
	e.rig.hub.mu.Lock()
	defer e.rig.hub.mu.Unlock()
	for _, l := range e.rig.hub.lives {
		if l.address == s.address && !l.ended {
			s.life, s.id, s.pool = l, l.id, l.pool
			return true
		}
	}
	return false
}

// newLate returns which orders get no answer, and how much later they are carried out.
func newLate(seed uint64) func(string) time.Duration {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 9))
	return func(string) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(2) == 0 {
			return 0
		}
		return time.Duration(2000+random.IntN(10000)) * time.Millisecond
	}
}

// finish checks that all accepted jobs come to their end.
func (e *explorer) finish() {
	e.rig.rec.notef("the disruptions are over")
	pending := append([]*jobSpec{}, e.jobs...)
	for end := time.Now().Add(35 * time.Second); time.Now().Before(end) && len(pending) > 0; time.Sleep(300 * time.Millisecond) {
		rest := pending[:0]
		for i, j := range pending {
			if !j.accepted || j.kind == "lasting" && j.cancelAcked.IsZero() {
				continue
			}
			j.state = e.rig.stateOf(j, e.keys[j.id], i)
			if j.state != "completed" && j.state != "failed" && j.state != "cancelled" {
				rest = append(rest, j)
			}
		}
		pending = rest
	}
	e.rig.hub.checkBudgets()
	counts := make(map[string]int)
	for _, j := range e.jobs {
		counts[j.kind+" "+j.state]++
		if !j.accepted {
			counts["refused"]++
			if !j.unknown {
				for task, t := range e.rig.hub.tasks {
					if strings.HasPrefix(task, j.id) && len(t.history) > 0 {
						e.rig.rec.breakf("REFUSED: %s ran", task)
					}
				}
			}
			continue
		}
		want := "completed"
		if j.kind == "lasting" && j.cancelAcked.IsZero() {
			continue
		}
		switch {
		case !j.cancelAcked.IsZero():
			want = "cancelled"
		case j.kind == "failing", j.kind == "gangfail":
			want = "failed"
		}
		if j.state != want && (want != "cancelled" || j.state != "completed") {
			e.rig.rec.breakf("LOST: job %s (%s, queue %s, tenant %s) is %s, not %s", j.id, j.kind, j.queue, j.tenant, j.state, want)
		}
	}
	e.rig.rec.notef("jobs: %v, starts: %d", counts, e.rig.hub.starts)
	fmt.Println(counts, e.rig.hub.starts)
}
