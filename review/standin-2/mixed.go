package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var errSetUp = errors.New("the deployment did not accept its configuration")

// startAll starts all processes and the given number of workers in each pool.
func (r *rig) startAll(workers int, pools ...string) error {
	r.pools = pools
	for _, p := range append(append([]*process{}, r.cores...), r.fronts...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for i, pool := range pools {
		for n := range workers {
			id := fmt.Sprintf("i-%s-%d", pool, n)
			address := fmt.Sprintf("%s:%d", r.ip(101+i*workers+n), workerPort)
			w, err := newWorker(r.hub, id, pool, fmt.Sprint("z", n%3), fmt.Sprintf("r%d-%d", i, n/4), address, r.controls())
			if err != nil {
				return err
			}
			r.workers = append(r.workers, w)
			if r.listed {
				r.cloud.add("m-"+id, pool, w.zone, w.rack, address, w)
			}
		}
	}
	return nil
}

// mixed plays random jobs of all kinds under random disruptions; it is a search, no case.
func mixed(r *rig, trouble bool, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 3))
	r.listed = true
	if err := r.startAll(5, "p0", "p1"); err != nil {
		return err
	}
	for n := range spareMachines {
		r.cloud.add(fmt.Sprint("m-spare-", n), "spare", fmt.Sprint("z", n%3), fmt.Sprintf("r9-%d", n/4), fmt.Sprintf("%s:%d", r.ip(201+n), workerPort), nil)
	}
	r.pools = append(r.pools, "spare")
	routes := []route{r.route("q0", "p0"), r.route("q1", "p1"), r.route("q2", "p0")}
	if !r.configure(routes, 15*time.Second) {
		return errSetUp
	}
	time.Sleep(1500 * time.Millisecond)
	var group sync.WaitGroup
	var mu sync.Mutex
	var jobs []*job
	stop := make(chan struct{})
	group.Go(func() {
		rnd := rand.New(rand.NewPCG(seed, 5))
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(120 * time.Millisecond):
			}
			j := randomJob(rnd, n)
			mu.Lock()
			jobs = append(jobs, j)
			mu.Unlock()
			cancelAfter := time.Duration(0)
			if rnd.IntN(12) == 0 {
				cancelAfter = time.Duration(rnd.IntN(2500)) * time.Millisecond
			}
			group.Go(func() {
				if !r.submit(n, j) || cancelAfter == 0 {
					return
				}
				time.Sleep(cancelAfter)
				r.cancel(n, j)
			})
		}
	})
	length := 25 * time.Second
	for end := time.Now().Add(length); time.Now().Before(end); {
		if trouble {
			r.disrupt(random, &group, routes)
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	close(stop)
	group.Wait()
	r.hub.note("all disruptions are over")
	r.awaitJobs(jobs, 45*time.Second)
	return nil
}

// manyEnds plays a job with many short tasks. The leader is killed while they run, so that each
// worker has more ends to list than fit into one answer.
func manyEnds(r *rig, trouble bool, seed uint64) error {
	if err := r.startAll(3, "p0"); err != nil {
		return err
	}
	if !r.configure([]route{r.route("q0", "p0")}, 15*time.Second) {
		return errSetUp
	}
	time.Sleep(1500 * time.Millisecond)
	j := batchJob(0x6000, 1)
	j.Steps[0].Count, j.Steps[0].CPU, j.Steps[0].MemMB, j.Steps[0].millis = 4000, 10, 1, 1500
	j.Steps = append(j.Steps, &step{
		Count:      4000,
		CPU:        10,
		MemMB:      1,
		EstimateMS: 1000,
		DependsOn:  []int{0},
		millis:     700,
	})
	if !r.submit(0, j) {
		return errNoStart
	}
	random := rand.New(rand.NewPCG(seed, 9))
	for range 4 {
		if trouble {
			time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
			p := r.leader()
			p.kill()
			time.Sleep(700 * time.Millisecond)
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	r.awaitJobs([]*job{j}, 60*time.Second)
	return nil
}

func (r *rig) cancel(n int, j *job) {
	r.hub.mu.Lock()
	j.cancelSent = true
	r.hub.mu.Unlock()
	for attempt := range 8 {
		status, _ := r.call(n+attempt, http.MethodDelete, "/"+j.route+"/"+j.ID, "")
		r.hub.note("cancel of %s: %d", j.ID, status)
		if status == http.StatusOK || status == http.StatusGone {
			r.hub.mu.Lock()
			j.cancelled = time.Now()
			r.hub.mu.Unlock()
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func randomJob(rnd *rand.Rand, n int) *job {
	j := &job{
		ID:    fmt.Sprintf("%016x", 0x1000+n),
		Spec:  fmt.Sprintf("spec <%d> & é", n),
		route: fmt.Sprint("q", rnd.IntN(3)),
	}
	steps := 1 + rnd.IntN(2)
	for i := range steps {
		st := &step{
			Count:  1 + rnd.IntN(4),
			CPU:    4000 + 1000*rnd.IntN(8),
			MemMB:  2000,
			millis: 200 + rnd.IntN(1200),
		}
		st.EstimateMS = st.millis
		switch rnd.IntN(6) {
		case 0, 1:
			st.Gang = st.Count > 1
			st.SameRack = rnd.IntN(2) == 0
		case 2:
			st.Speculative = true
		case 3:
			st.PerServer = 1
		}
		if i > 0 {
			st.DependsOn = []int{0}
		}
		j.Steps = append(j.Steps, st)
	}
	switch rnd.IntN(8) {
	case 0:
		j.Repeat = 1 + rnd.IntN(6)
		j.StartAtMS = time.Now().UnixMilli() + int64(rnd.IntN(3000))
		j.IntervalMS = int64(300 + rnd.IntN(2500))
	case 1:
		if n < 100 {
			j.Steps = j.Steps[:1]
			j.Steps[0].Lasting, j.Steps[0].Speculative, j.Steps[0].Gang, j.Steps[0].SameRack = true, false, rnd.IntN(3) == 0, false
			j.Steps[0].CPU = 2000
		}
	case 2:
		j.Steps[0].millis = 4000
	}
	return j
}

// disrupt begins one disruption, which ends in its own time.
func (r *rig) disrupt(rnd *rand.Rand, group *sync.WaitGroup, routes []route) {
	length := time.Duration(300+rnd.IntN(4500)) * time.Millisecond
	core := r.cores[rnd.IntN(len(r.cores))]
	kind := rnd.IntN(16)
	if kind <= 2 {
		core = r.leader()
	}
	w := r.workers[rnd.IntN(len(r.workers))]
	switch kind {
	case 0, 3:
		r.down(core, group, length, func() { core.kill() })
	case 1:
		r.down(core, group, min(length, 3*time.Second), func() { core.kill() })
	case 2:
		if core.down {
			return
		}
		core.down = true
		core.signal(syscall.SIGSTOP)
		group.Go(func() {
			time.Sleep(length)
			core.signal(syscall.SIGCONT)
			core.down = false
		})
	case 4:
		group.Go(func() {
			for _, p := range r.cores {
				if p.down {
					return
				}
			}
			for _, p := range r.cores {
				p.down = true
				p.kill()
			}
			time.Sleep(500 * time.Millisecond)
			for _, p := range r.cores {
				_ = p.start()
			}
		})
	case 5, 6:
		sameID, l := rnd.IntN(2) == 0, w.current()
		if l == nil {
			return
		}
		id := l.id
		if !sameID {
			id = fmt.Sprintf("%s-%d", w.id, time.Now().UnixMilli()%100000)
		}
		w.crash()
		if kind == 6 {
			length = length / 6
		}
		group.Go(func() {
			time.Sleep(length)
			_ = w.start(id)
		})
	case 7, 8:
		w.mu.Lock()
		w.silentUntil = time.Now().Add(length)
		w.mu.Unlock()
		r.hub.note("worker %s is silent for %v", w.id, length)
	case 9, 10:
		late := time.Duration(2000+rnd.IntN(6000)) * time.Millisecond
		w.mu.Lock()
		w.lateFor = late
		w.mu.Unlock()
		group.Go(func() {
			time.Sleep(length)
			w.mu.Lock()
			w.lateFor = 0
			w.mu.Unlock()
		})
	case 11:
		for _, p := range r.cores {
			if p.down {
				return
			}
		}
		r.down(core, group, time.Second, func() {
			core.kill()
			_ = os.RemoveAll(filepath.Join(r.dir, "data-"+core.name))
		})
		time.Sleep(6 * time.Second)
	case 12:
		routes[rnd.IntN(len(routes))].Service = fmt.Sprint("p", rnd.IntN(2))
		r.configure(routes, 5*time.Second)
	case 14:
		r.down(r.leader(), group, length, func() { r.leader().terminate() })
	case 15:
		w.drain()
	case 13:
		p := r.fronts[rnd.IntN(len(r.fronts))]
		r.down(p, group, length, func() { p.kill() })
	}
}

// down stops a process that is up, and starts it again later.
func (r *rig) down(p *process, group *sync.WaitGroup, length time.Duration, stop func()) {
	if p.down {
		return
	}
	p.down = true
	stop()
	group.Go(func() {
		time.Sleep(length)
		_ = p.start()
	})
}

// awaitJobs asks for all accepted jobs until they are completed, those that last run, or the time
// is over.
func (r *rig) awaitJobs(jobs []*job, within time.Duration) {
	for end := time.Now().Add(within); ; {
		open := 0
		for n, j := range jobs {
			r.hub.mu.Lock()
			settled := !j.accepted || j.cancelSent || j.state == "completed" || j.state == "failed"
			r.hub.mu.Unlock()
			if settled {
				continue
			}
			j.state = r.state(n, j)
			if j.state == "completed" {
				r.checkCompleted(j)
				continue
			}
			if j.Steps[0].Lasting && r.lastingRuns(j) >= j.Steps[0].Count {
				continue
			}
			open++
		}
		if open == 0 || time.Now().After(end) {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.hub.mu.Lock()
	defer r.hub.mu.Unlock()
	accepted := 0
	for _, j := range jobs {
		if !j.accepted || j.cancelSent {
			continue
		}
		accepted++
		switch {
		case j.state == "completed":
		case j.Steps[0].Lasting && r.lastingRunsLocked(j) >= j.Steps[0].Count:
		default:
			r.hub.breakf("LOST: job %s is %q, lasting %v", j.ID, j.state, j.Steps[0].Lasting)
		}
	}
	fmt.Println(len(jobs), "jobs,", accepted, "accepted")
}

func (r *rig) lastingRuns(j *job) int {
	r.hub.mu.Lock()
	defer r.hub.mu.Unlock()
	return r.lastingRunsLocked(j)
}

func (r *rig) lastingRunsLocked(j *job) int {
	n := 0
	for i := range j.Steps[0].Count {
		if len(r.hub.active[fmt.Sprintf("%s.0.0.%d", j.ID, i)]) > 0 {
			n++
		}
	}
	return n
}

// checkCompleted checks that all tasks of a completed job have ended done.
func (r *rig) checkCompleted(j *job) {
	r.hub.mu.Lock()
	defer r.hub.mu.Unlock()
	for k := range max(1, j.Repeat) {
		for i, st := range j.Steps {
			if n := len(r.hub.doneSteps[fmt.Sprintf("%s.%d.%d", j.ID, k, i)]); n < st.Count {
				r.hub.breakf("MIXED: job %s is completed, but %d of %d tasks of step %d, occurrence %d, are done", j.ID, n, st.Count, i, k)
			}
		}
	}
}
