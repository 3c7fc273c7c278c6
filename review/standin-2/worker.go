package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the time between two heartbeats of a worker (heartbeat_ms).
const heartbeatInterval = 500 * time.Millisecond

const (
	maxHold     = 6 * time.Second
	gangTimeout = 3 * time.Second
	stopTime    = 30 * time.Millisecond
	tick        = 5 * time.Millisecond
)

// worker is the place of a stand-in for a worker of the platform: its address stays, and one
// life after the other runs there.
type worker struct {
	hub     *hub
	id      string
	pool    string
	zone    string
	rack    string
	address string
	// controls are the control addresses to send heartbeats to.
	controls []string
	server   *http.Server

	mu   sync.Mutex
	life *life
	// silentUntil is until when nothing that is sent here is read, and nothing is sent.
	silentUntil time.Time
	// lateFor, if not zero, is after what time starts are executed; they get no answer.
	lateFor time.Duration
}

// life is one life of a worker, from its start to its crash.
type life struct {
	worker  *worker
	id      string
	began   time.Time
	born    int64
	fence   uint64
	leaseMS int64
	// lastLapse is when the lease has lapsed last before it was extended.
	lastLapse time.Time
	runs      map[string]*run
	// highest holds, by task, the highest run that was stopped or has ended here.
	highest  map[string]uint64
	ends     []end
	lastEnd  int64
	changed  chan struct{}
	dead     chan struct{}
	draining bool
	seq      uint64
}

type run struct {
	task    string
	number  uint64
	began   time.Time
	endsAt  time.Time
	stopAt  time.Time
	how     string
	step    *step
	lasting bool
	gang    bool
}

type end struct {
	number int64
	task   string
	run    uint64
	how    string
	at     time.Time
}

func newWorker(h *hub, id, pool, zone, rack, address string, controls []string) (*worker, error) {
	w := &worker{
		hub:      h,
		id:       id,
		pool:     pool,
		zone:     zone,
		rack:     rack,
		address:  address,
		controls: controls,
	}
	return w, w.start(id)
}

// start begins a life under the given id.
func (w *worker) start(id string) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	l := &life{
		worker:  w,
		id:      id,
		began:   time.Now(),
		born:    time.Now().UnixMilli(),
		runs:    make(map[string]*run),
		highest: make(map[string]uint64),
		changed: make(chan struct{}),
		dead:    make(chan struct{}),
	}
	w.life = l
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.serve(w.startRun))
	mux.HandleFunc("POST /-/run-stop", w.serve(w.stopRun))
	mux.HandleFunc("POST /-/hold", w.serve(w.hold))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
	}
	w.server = server
	w.mu.Unlock()
	w.hub.note("worker %s begins a life as %s, born %d", w.address, id, l.born)
	go func() { _ = server.Serve(listener) }()
	go w.run(l)
	go w.sendHeartbeats(l)
	return nil
}

// crash ends the life that the worker has; its runs end without a trace.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	w.life = nil
	server := w.server
	if l == nil {
		w.mu.Unlock()
		return
	}
	close(l.dead)
	w.hub.note("worker %s (%s) crashes with %d runs", w.address, l.id, len(l.runs))
	for _, r := range l.runs {
		w.hub.runEnded(l, r, "gone")
	}
	w.mu.Unlock()
	_ = server.Close()
}

// drain lets the worker report that it drains, and leave two seconds and a half later. Its
// successor begins at its address a second after that.
func (w *worker) drain() {
	w.mu.Lock()
	l := w.life
	if l == nil {
		w.mu.Unlock()
		return
	}
	l.draining = true
	w.hub.note("worker %s drains", l.id)
	w.mu.Unlock()
	time.AfterFunc(2500*time.Millisecond, func() {
		if w.current() != l {
			return
		}
		client := &http.Client{
			Timeout: time.Second,
		}
		status := post(client, "http://"+w.controls[0]+"/-/Instances.Deregister/"+l.id, fmt.Appendf(nil, `{"born":%d}`, l.born))
		w.hub.note("worker %s deregisters: %d", l.id, status)
		w.crash()
		time.AfterFunc(time.Second, func() {
			if w.current() == nil {
				_ = w.start(fmt.Sprintf("%s-d%d", w.id, time.Now().UnixMilli()%100000))
			}
		})
	})
}

// current returns the life, or nil.
func (w *worker) current() *life {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

func (l *life) clock(now time.Time) int64 { return now.Sub(l.began).Milliseconds() }

type order struct {
	Task       string  `json:"task"`
	Run        uint64  `json:"run"`
	Spec       string  `json:"spec"`
	DeadlineMS *int64  `json:"deadline_ms"`
	Fence      uint64  `json:"fencing_token"`
	Checkpoint string  `json:"checkpoint"`
	LastSeen   int64   `json:"last_seen"`
	WaitMS     int64   `json:"wait_ms"`
	Ticket     *string `json:"ticket"`
}

type answer struct {
	Clock   int64  `json:"server_time_ms"`
	Born    int64  `json:"born,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Running []any  `json:"running,omitempty"`
	Ended   []any  `json:"finished,omitempty"`
}

// serve returns the handler of an order.
func (w *worker) serve(f func(l *life, o order) (int, answer)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var o order
		if err := json.Unmarshal(data, &o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		arrivedAt, held := w.life, false
		for time.Now().Before(w.silentUntil) {
			held = true
			w.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			w.mu.Lock()
		}
		l := w.life
		if held && (l != arrivedAt || l == nil) {
			// What was sent to a machine without power is lost.
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		late := w.lateFor
		w.mu.Unlock()
		if r.Context().Err() != nil || l == nil {
			return
		}
		if id := r.Header.Get("Expect-Instance"); id != "" && id != l.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if late > 0 && strings.HasSuffix(r.URL.Path, "run-start") {
			w.hub.note("order %s run %d to %s gets no answer and is executed after %v", o.Task, o.Run, l.id, late)
			id := l.id
			time.AfterFunc(late, func() {
				next := w.current()
				if next == nil || next.id != id {
					return
				}
				status, a := f(next, o)
				w.hub.note("late order %s run %d executed at %s, born %d: %d %s", o.Task, o.Run, next.id, next.born, status, a.Reason)
			})
			<-r.Context().Done()
			return
		}
		status, a := f(l, o)
		body, _ := json.Marshal(a)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_, _ = rw.Write(body)
	}
}

// obey checks the fence and takes the deadline of an order; w.mu is held.
func (l *life) obey(o order) bool {
	if o.Fence < l.fence {
		return false
	}
	l.fence = o.Fence
	return true
}

func (l *life) extend(o order) {
	if o.DeadlineMS == nil {
		return
	}
	if l.clock(time.Now()) > l.leaseMS {
		l.lastLapse = l.began.Add(time.Duration(l.leaseMS) * time.Millisecond)
	}
	l.leaseMS = max(l.leaseMS, min(*o.DeadlineMS, l.clock(time.Now())+maxHold.Milliseconds()))
}

func (w *worker) startRun(l *life, o order) (int, answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	a := answer{
		Clock: l.clock(now),
	}
	refuse := func(reason string) (int, answer) {
		a.Reason = reason
		return http.StatusConflict, a
	}
	if w.life != l {
		return http.StatusServiceUnavailable, a
	}
	if !l.obey(o) {
		return refuse("fence")
	}
	if r, ok := l.runs[o.Task]; ok {
		if r.number == o.Run {
			return http.StatusOK, a
		}
		l.extend(o)
		return refuse("old")
	}
	if o.Run <= l.highest[o.Task] {
		l.extend(o)
		return refuse("old")
	}
	if o.DeadlineMS == nil || *o.DeadlineMS <= l.clock(now) {
		return refuse("late")
	}
	l.extend(o)
	st := w.hub.stepOf(o.Task)
	r := &run{
		task:   o.Task,
		number: o.Run,
		began:  now,
		step:   st,
	}
	if st != nil {
		r.lasting, r.gang = st.Lasting, st.Gang
		r.endsAt = now.Add(time.Duration(st.millis) * time.Millisecond)
		r.how = "done"
	}
	l.runs[o.Task] = r
	w.hub.runStarted(l, r, o)
	return http.StatusOK, a
}

func (w *worker) stopRun(l *life, o order) (int, answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	a := answer{
		Clock: l.clock(now),
	}
	if w.life != l {
		return http.StatusServiceUnavailable, a
	}
	if !l.obey(o) {
		a.Reason = "fence"
		return http.StatusConflict, a
	}
	r, ok := l.runs[o.Task]
	switch {
	case ok && r.number <= o.Run:
		if r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
			w.hub.note("stop %s run %d on %s", o.Task, r.number, l.id)
		}
	}
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	return http.StatusOK, a
}

func (w *worker) hold(l *life, o order) (int, answer) {
	w.mu.Lock()
	if w.life != l {
		w.mu.Unlock()
		return http.StatusServiceUnavailable, answer{}
	}
	if !l.obey(o) {
		a := answer{
			Clock:  l.clock(time.Now()),
			Reason: "fence",
		}
		w.mu.Unlock()
		return http.StatusConflict, a
	}
	l.extend(o)
	kept := l.ends[:0]
	for _, e := range l.ends {
		if e.number <= o.LastSeen {
			w.hub.endNoted(l, e)
			continue
		}
		kept = append(kept, e)
	}
	l.ends = kept
	changed := l.changed
	waits := o.WaitMS > 0 && len(l.ends) == 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-l.dead:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	a := answer{
		Clock: l.clock(now),
		Born:  l.born,
	}
	for _, r := range l.runs {
		percent := 50
		if r.lasting && now.Sub(r.began) > 200*time.Millisecond {
			percent = 100
		}
		a.Running = append(a.Running, []any{r.task, r.number, "", percent, 10})
	}
	for _, e := range l.ends[:min(len(l.ends), 500)] {
		a.Ended = append(a.Ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, a
}

// endRun ends a run and lists its end; w.mu is held.
func (l *life) endRun(r *run, how string) {
	delete(l.runs, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.number)
	l.lastEnd++
	l.ends = append(l.ends, end{
		number: l.lastEnd,
		task:   r.task,
		run:    r.number,
		how:    how,
		at:     time.Now(),
	})
	close(l.changed)
	l.changed = make(chan struct{})
	l.worker.hub.runEnded(l, r, how)
}

// run lets the runs of a life end in time, until it is over.
func (w *worker) run(l *life) {
	for {
		select {
		case <-l.dead:
			return
		case <-time.After(tick):
		}
		w.mu.Lock()
		now := time.Now()
		lapsed := len(l.runs) > 0 && l.clock(now) > l.leaseMS
		for _, r := range l.runs {
			switch {
			case lapsed:
				l.endRun(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				l.endRun(r, "stopped")
			case r.gang:
				if how := w.hub.gangEnd(r, now); how != "" {
					l.endRun(r, how)
				}
			case !r.lasting && r.step != nil && now.After(r.endsAt):
				l.endRun(r, r.how)
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) sendHeartbeats(l *life) {
	client := &http.Client{
		Timeout: time.Second,
	}
	for current := 0; ; {
		w.mu.Lock()
		silent := time.Now().Before(w.silentUntil)
		l.seq++
		state := "ready"
		if l.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service":           w.pool,
			"address":           w.address,
			"zone":              w.zone,
			"version":           "v1",
			"slots":             8,
			"state":             state,
			"cold_remaining_ms": 0,
			"capacity":          map[string]int64{"cpu": 64000, "mem_mb": 131072, "gpu": 0},
			"labels":            []string{"a", w.rack},
			"server_time_ms":    l.clock(time.Now()),
			"born":              l.born,
			"seq":               l.seq,
		})
		w.mu.Unlock()
		for range w.controls {
			if silent || post(client, "http://"+w.controls[current%len(w.controls)]+"/-/Instances.Heartbeat/"+l.id, body) == http.StatusOK {
				break
			}
			current++
			select {
			case <-l.dead:
				return
			default:
			}
		}
		select {
		case <-l.dead:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// post returns the status of the response, or 0.
func post(client *http.Client, url string, body []byte) int {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// taskID is the name of a task in parts: JOB.K.STEP.INDEX.
type taskID struct {
	job             string
	k, step, number int
}

var errTask = errors.New("not the name of a task")

func parseTask(name string) (taskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskID{}, errTask
	}
	var n [3]int
	for i := range n {
		var err error
		if n[i], err = strconv.Atoi(parts[i+1]); err != nil {
			return taskID{}, errTask
		}
	}
	return taskID{
		job:    parts[0],
		k:      n[0],
		step:   n[1],
		number: n[2],
	}, nil
}

func stepName(t taskID) string { return fmt.Sprintf("%s.%d.%d", t.job, t.k, t.step) }
