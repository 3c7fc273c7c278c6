package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the minions, as in the settings of the cases.
const (
	maxHold     = 6 * time.Second
	stopTime    = 100 * time.Millisecond
	gangTimeout = 3 * time.Second
	saveTime    = 500 * time.Millisecond
	startupTime = 200 * time.Millisecond
	maxEnds     = 500
	beatTime    = 1500 * time.Millisecond
)

// taskRun is one run of a task on a minion.
type taskRun struct {
	task    string
	run     uint64
	spec    stepSpec
	minion  *life
	startAt time.Time
	// workFrom is when the run has begun to work; zero while a gang is not complete.
	workFrom time.Time
	stopAt   time.Time
	saved    string
	saves    int
}

// ending is one entry of the list of ends.
type ending struct {
	number uint64
	task   string
	run    uint64
	how    string
	saved  string
	at     time.Time
	lapsed bool
}

// life is one incarnation of a minion.
type life struct {
	hub      *hub
	id       string
	pool     string
	zone     string
	labels   []string
	address  string
	born     time.Time
	bornMS   int64
	capacity amount
	guards   bool
	// machine is the name of the platform's machine.
	machine string
	server  *http.Server
	stopped chan struct{}
	once    sync.Once

	connsMu sync.Mutex
	conns   map[net.Conn]bool

	// The fields below are guarded by hub.mu.
	fence     uint64
	lease     time.Time
	runs      map[string]*taskRun
	highest   map[string]uint64
	ends      []*ending
	lastEnd   uint64
	seen      uint64
	sequence  uint64
	draining  bool
	drainAck  time.Time
	ended     bool
	changed   chan struct{}
	dark      bool
	late      func(path string) time.Duration
	beats     bool
	usedCores int64
	usedMem   int64
}

// amount is an amount of resources.
type amount struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1000 }

// startLife starts an incarnation that serves orders and sends heartbeats.
func (h *hub) startLife(id, pool, zone, address string, labels []string, capacity amount) (*life, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	l := &life{
		hub:      h,
		id:       id,
		pool:     pool,
		zone:     zone,
		labels:   labels,
		address:  address,
		born:     now,
		bornMS:   now.UnixMilli(),
		capacity: capacity,
		guards:   h.guarded[pool],
		stopped:  make(chan struct{}),
		runs:     make(map[string]*taskRun),
		highest:  make(map[string]uint64),
		changed:  make(chan struct{}),
		beats:    true,
	}
	l.machine = "machine-of-" + id
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", l.order(l.start))
	mux.HandleFunc("POST /-/run-stop", l.order(l.stop))
	mux.HandleFunc("POST /-/hold", l.order(l.hold))
	mux.HandleFunc("POST /-/pace", l.order(func(orderBody) (int, map[string]any) { return http.StatusOK, l.answer() }))
	l.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
		ConnState:         l.track,
	}
	go func() { _ = l.server.Serve(listener) }()
	go l.tick()
	go l.beat()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives = append(h.lives, l)
	h.rec.notef("minion %s at %s in pool %s, zone %s, begins", id, address, pool, zone)
	return l, nil
}

// track keeps the open connections, so that they can be reset.
func (l *life) track(c net.Conn, state http.ConnState) {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	if l.conns == nil {
		l.conns = make(map[net.Conn]bool)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.conns, c)
		return
	}
	l.conns[c] = true
}

// reset resets all open connections to the minion and returns their number.
func (l *life) reset() int {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	n := len(l.conns)
	clear(l.conns)
	return n
}

// end ends the incarnation: all that it runs is gone.
func (l *life) end(why string) {
	l.once.Do(func() {
		l.hub.mu.Lock()
		l.ended = true
		for _, r := range l.runs {
			l.hub.runGone(r, "gone")
		}
		l.runs = make(map[string]*taskRun)
		l.hub.mu.Unlock()
		l.hub.rec.notef("minion %s ends: %s", l.id, why)
		close(l.stopped)
		_ = l.server.Close()
	})
}

type orderBody struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// order returns the handler of an order. A dark minion answers nothing; an order that is to
// be carried out late gets no answer, and is carried out by whatever incarnation is at the
// address then, if the order names its id.
func (l *life) order(f func(orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var o orderBody
		if err := json.Unmarshal(data, &o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		l.hub.mu.Lock()
		dark, late := l.dark, l.late
		l.hub.mu.Unlock()
		if dark {
			l.waitDark(r)
			return
		}
		expected := r.Header.Get("Expect-Instance")
		if late != nil {
			if wait := late(r.URL.Path); wait > 0 {
				l.hub.rec.notef("minion %s: %s %s run %d gets no answer and is carried out %v later", l.id, r.URL.Path, o.Task, o.Run, wait)
				time.AfterFunc(wait, func() { l.hub.carryOut(l.address, expected, r.URL.Path, o) })
				select {
				case <-r.Context().Done():
				case <-l.stopped:
				}
				panic(http.ErrAbortHandler)
			}
		}
		if expected != "" && expected != l.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, answer := f(o)
		l.hub.mu.Lock()
		dark, ended := l.dark, l.ended
		l.hub.mu.Unlock()
		if ended {
			panic(http.ErrAbortHandler)
		}
		if dark {
			l.waitDark(r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (l *life) waitDark(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-l.stopped:
	}
	panic(http.ErrAbortHandler)
}

// answer returns the body that all answers have.
func (l *life) answer() map[string]any {
	return map[string]any{
		"server_time_ms": l.clock(),
	}
}

func (l *life) refusal(reason string) (int, map[string]any) {
	a := l.answer()
	a["reason"] = reason
	return http.StatusConflict, a
}

// obey checks the fencing token; hub.mu is held.
func (l *life) obey(fence uint64) bool {
	if fence < l.fence {
		return false
	}
	l.fence = fence
	return true
}

// extend extends the lease; hub.mu is held.
func (l *life) extend(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	end := time.Now().Add(min(time.Duration(deadlineMS-l.clock())*time.Millisecond, maxHold))
	if end.After(l.lease) {
		l.lease = end
	}
}

func (l *life) start(o orderBody) (int, map[string]any) {
	h := l.hub
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.ended {
		return http.StatusServiceUnavailable, l.answer()
	}
	if !l.obey(o.Fence) {
		h.rec.notef("minion %s refuses the start of %s run %d: fence %d", l.id, o.Task, o.Run, o.Fence)
		return l.refusal("fence")
	}
	if r, ok := l.runs[o.Task]; ok && r.run == o.Run {
		l.extend(o.DeadlineMS)
		return http.StatusOK, l.answer()
	}
	if o.DeadlineMS <= l.clock() {
		h.rec.notef("minion %s refuses the start of %s run %d: late", l.id, o.Task, o.Run)
		return l.refusal("late")
	}
	l.extend(o.DeadlineMS)
	if o.Run <= l.highest[o.Task] {
		h.rec.notef("minion %s refuses the start of %s run %d: old", l.id, o.Task, o.Run)
		return l.refusal("old")
	}
	spec, ok := h.specOf(o.Task)
	if !ok {
		h.rec.breakf("UNASKED: minion %s is told to start %s, which no client sent", l.id, o.Task)
		return http.StatusBadRequest, l.answer()
	}
	if h.advised[h.task(o.Task).job.queue] && !l.ticketValid(o) {
		h.rec.notef("minion %s refuses the start of %s run %d: ticket", l.id, o.Task, o.Run)
		return l.refusal("ticket")
	}
	cpu := spec.CPU
	if spec.Fills {
		cpu = 0
	}
	over := l.usedCores+cpu > l.capacity.CPU || l.usedMem+spec.MemMB > l.capacity.MemMB
	if over && l.guards {
		h.rec.notef("minion %s refuses the start of %s run %d: room", l.id, o.Task, o.Run)
		return l.refusal("room")
	}
	if over {
		h.rec.breakf("LIMIT: start of %s run %d brings minion %s to %d of %d", o.Task, o.Run, l.id, l.usedCores+cpu, l.capacity.CPU)
	}
	r := &taskRun{
		task:    o.Task,
		run:     o.Run,
		spec:    spec,
		minion:  l,
		startAt: time.Now(),
		saved:   o.Checkpoint,
	}
	l.runs[o.Task] = r
	l.usedCores += cpu
	l.usedMem += spec.MemMB
	h.runStarted(r, o)
	return http.StatusOK, l.answer()
}

func (l *life) stop(o orderBody) (int, map[string]any) {
	h := l.hub
	h.mu.Lock()
	defer h.mu.Unlock()
	if !l.obey(o.Fence) {
		return l.refusal("fence")
	}
	h.rec.notef("minion %s is told to stop %s run %d", l.id, o.Task, o.Run)
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	if r, ok := l.runs[o.Task]; ok && r.run == o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, l.answer()
}

func (l *life) hold(o orderBody) (int, map[string]any) {
	h := l.hub
	h.mu.Lock()
	if !l.obey(o.Fence) {
		defer h.mu.Unlock()
		return l.refusal("fence")
	}
	l.extend(o.DeadlineMS)
	l.seen = max(l.seen, o.LastSeen)
	kept := l.ends[:0]
	for _, e := range l.ends {
		if e.number <= o.LastSeen {
			h.endNoted(l, e)
			continue
		}
		kept = append(kept, e)
	}
	l.ends = kept
	changed := l.changed
	empty := len(l.ends) == 0
	h.mu.Unlock()
	if wait := min(o.WaitMS, 2000); wait > 0 && empty {
		select {
		case <-changed:
		case <-l.stopped:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a := l.answer()
	a["born"] = l.bornMS
	running, finished := []any{}, []any{}
	for _, r := range l.runs {
		running = append(running, []any{r.task, r.run, r.saved, r.percent(), 100})
	}
	for _, e := range l.ends[:min(len(l.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	a["running"], a["finished"] = running, finished
	return http.StatusOK, a
}

// percent is 100 for a lasting task at work.
func (r *taskRun) percent() int {
	if r.workFrom.IsZero() {
		return 0
	}
	if r.spec.LongRunning {
		if time.Since(r.workFrom) >= startupTime {
			return 100
		}
		return 0
	}
	return int(min(99, 100*time.Since(r.workFrom)/max(r.spec.work, time.Millisecond)))
}

// finish ends a run and lists its end; hub.mu is held.
func (l *life) finish(r *taskRun, how string) {
	delete(l.runs, r.task)
	if !r.spec.Fills {
		l.usedCores -= r.spec.CPU
	}
	l.usedMem -= r.spec.MemMB
	l.highest[r.task] = max(l.highest[r.task], r.run)
	l.lastEnd++
	saved := ""
	if r.spec.Checkpointing && how != "done" {
		saved = r.saved
	}
	e := &ending{
		number: l.lastEnd,
		task:   r.task,
		run:    r.run,
		how:    how,
		saved:  saved,
		at:     time.Now(),
	}
	l.ends = append(l.ends, e)
	close(l.changed)
	l.changed = make(chan struct{})
	l.hub.runEnded(r, e)
}

// tick ends runs whose time has come, every few milliseconds.
func (l *life) tick() {
	for {
		select {
		case <-l.stopped:
			return
		case <-time.After(4 * time.Millisecond):
		}
		l.hub.mu.Lock()
		l.update(time.Now())
		l.hub.mu.Unlock()
	}
}

func (l *life) update(now time.Time) {
	if !l.lease.IsZero() && now.After(l.lease) {
		l.lease = time.Time{}
		if len(l.runs) > 0 {
			l.hub.rec.notef("minion %s: the lease has lapsed with %d runs", l.id, len(l.runs))
		}
		for _, e := range l.ends {
			e.lapsed = true
		}
		for _, r := range l.runs {
			l.finish(r, "lapsed")
		}
		return
	}
	for _, r := range l.runs {
		switch {
		case l.runs[r.task] != r:
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			l.finish(r, "stopped")
		case r.workFrom.IsZero():
			l.hub.awaitGang(r, now)
		case r.spec.LongRunning:
		case now.Sub(r.workFrom) >= r.spec.work:
			if r.spec.fails {
				l.finish(r, "failed")
			} else {
				l.finish(r, "done")
			}
		case r.spec.Checkpointing && int(now.Sub(r.workFrom)/saveTime) > r.saves:
			r.saves = int(now.Sub(r.workFrom) / saveTime)
			r.saved = fmt.Sprintf("%s/%d/%d", r.task, r.run, r.saves)
			l.hub.checkpoints[r.saved] = true
		}
	}
}

// beat sends heartbeats until the incarnation ends.
func (l *life) beat() {
	client := &http.Client{
		Timeout: time.Second,
	}
	current := 0
	l.hub.mu.Lock()
	wait := l.hub.firstBeatAfter
	l.hub.mu.Unlock()
	time.Sleep(wait)
	for {
		l.hub.mu.Lock()
		silent := l.dark || !l.beats
		l.sequence++
		state := "ready"
		if l.draining {
			state = "draining"
		}
		body := map[string]any{
			"service":           l.pool,
			"address":           l.address,
			"zone":              l.zone,
			"version":           "v1",
			"slots":             8,
			"state":             state,
			"cold_remaining_ms": 0,
			"capacity":          l.capacity,
			"labels":            l.labels,
			"server_time_ms":    l.clock(),
			"born":              l.bornMS,
			"seq":               l.sequence,
		}
		l.hub.mu.Unlock()
		if !silent {
			data, err := json.Marshal(body)
			for range len(l.hub.controls) {
				address := l.hub.controls[current%len(l.hub.controls)]
				if err == nil && post(client, "http://"+address+"/-/Instances.Heartbeat/"+l.id, string(data)) == http.StatusOK {
					l.hub.mu.Lock()
					if state == "draining" && l.drainAck.IsZero() {
						l.drainAck = time.Now()
					}
					l.hub.mu.Unlock()
					break
				}
				current++
			}
		}
		select {
		case <-l.stopped:
			return
		case <-time.After(beatTime):
		}
	}
}

// leave tells a control address that the minion ends now, and ends it.
func (l *life) leave() {
	client := &http.Client{
		Timeout: time.Second,
	}
	for _, address := range l.hub.controls {
		if post(client, "http://"+address+"/-/Instances.Deregister/"+l.id, fmt.Sprintf(`{"born":%d}`, l.bornMS)) == http.StatusOK {
			break
		}
	}
	l.end("it leaves as planned")
}

// post sends a body and returns the status of the answer, 0 if there is none.
func post(client *http.Client, url, body string) int {
	resp, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
