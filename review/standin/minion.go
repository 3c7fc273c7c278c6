package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the setting heartbeat_ms.
	heartbeatInterval = 1500 * time.Millisecond
	// maxHold is the setting bounds.max_hold_ms.
	maxHold = 10 * time.Second
	// stopTime is how long a stop takes; the setting bounds.stop_ms allows more.
	stopTime = 100 * time.Millisecond
	// maxListedEnds is how many ends one answer to a hold lists; the others are listed
	// after these have been taken note of.
	maxListedEnds = 500
	// minionTick is how often a minion looks for runs that are over.
	minionTick = 5 * time.Millisecond
	// minionCPU and minionMemMB are the capacity of a minion, as on the users' sites.
	minionCPU   = 64000
	minionMemMB = 131072
)

// minion plays one minion. It keeps a lease, rejects what the pages say that it rejects,
// and guards its capacity. The spec of a task says what it does, see taskPlan.
type minion struct {
	id, service, zone, rack, address string

	born     time.Time
	controls []string
	rec      *record
	// link is the way to the minion's address; it outlives the minion.
	link   *link
	mux    *http.ServeMux
	cancel context.CancelFunc
	// silentFor is how long after its start the minion sends its first heartbeat.
	silentFor time.Duration

	mu       sync.Mutex
	fence    uint64
	deadline int64
	running  map[string]*activeTask
	// barred holds the highest run that ended or was stopped, by task.
	barred   map[string]uint64
	finished []*finishedTask
	ends     int
	seq      int
	// heartbeatAddress is the address that the last acknowledgement named, or came from if
	// it named none.
	heartbeatAddress string
}

// activeTask is a run at work.
type activeTask struct {
	run     uint64
	cpu     int64
	endsAt  time.Time
	how     string
	noted   *taskRun
	stopped bool
}

// finishedTask is the end of a run that no hold has taken note of.
type finishedTask struct {
	number int
	task   string
	noted  *taskRun
	// lapsed is true once the lease has lapsed since.
	lapsed bool
}

// taskPlan is what the spec of a job says of its tasks: "ms=2000 fail=1" means that each
// takes 2 s and that its first run fails by its own fault, and "cpu=500" that each takes 500
// thousandths of a core.
type taskPlan struct {
	duration time.Duration
	failures int
	cpu      int64
}

func parsePlan(spec string) taskPlan {
	plan := taskPlan{
		duration: time.Second,
		cpu:      taskCPU,
	}
	for _, field := range strings.Fields(spec) {
		key, value, _ := strings.Cut(field, "=")
		n, err := strconv.Atoi(value)
		switch {
		case err != nil:
		case key == "ms":
			plan.duration = time.Duration(n) * time.Millisecond
		case key == "fail":
			plan.failures = n
		case key == "cpu":
			plan.cpu = int64(n)
		}
	}
	return plan
}

// startMinion starts a minion behind its link.
func startMinion(m *minion) {
	m.born = time.Now()
	m.running, m.barred = make(map[string]*activeTask), make(map[string]uint64)
	m.mux = http.NewServeMux()
	m.mux.HandleFunc("POST /-/run-start", m.order(m.start))
	m.mux.HandleFunc("POST /-/run-stop", m.order(m.stop))
	m.mux.HandleFunc("POST /-/hold", m.order(m.hold))
	m.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.tick(ctx)
	go func() {
		sleep(ctx, m.silentFor)
		m.sendHeartbeats(ctx)
	}()
	m.link.connect(m)
}

// crash ends the minion without a word: what runs on it ends, and its address is silent.
func (m *minion) crash() {
	m.link.connect(nil)
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for task, a := range m.running {
		delete(m.running, task)
		m.rec.ended(a.noted, "crashed")
	}
}

// next starts the next incarnation of a crashed minion, under its id and at its address.
func (m *minion) next(silentFor time.Duration) *minion {
	later := &minion{
		id:        m.id,
		service:   m.service,
		zone:      m.zone,
		rack:      m.rack,
		address:   m.address,
		controls:  m.controls,
		rec:       m.rec,
		link:      m.link,
		silentFor: silentFor,
	}
	startMinion(later)
	return later
}

// clock returns the minion's clock in milliseconds.
func (m *minion) clock() int64 { return 1 + time.Since(m.born).Milliseconds() }

// orderBody is the body of all orders.
type orderBody struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// order returns the handler of an order, which is answered with what f returns.
func (m *minion) order(f func(o orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Expect-Instance"); id != "" && id != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o orderBody
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := f(o)
		body["server_time_ms"] = m.clock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{
		"reason": reason,
	}
}

// accept adopts a fencing token and a deadline; m.mu is held.
func (m *minion) accept(o orderBody) bool {
	if o.Fence < m.fence {
		return false
	}
	m.fence = o.Fence
	m.deadline = max(m.deadline, min(o.Deadline, m.clock()+maxHold.Milliseconds()))
	return true
}

func (m *minion) start(o orderBody) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accept(o) {
		return refusal("fence")
	}
	plan := parsePlan(o.Spec)
	active, ok := m.running[o.Task]
	used := int64(0)
	for _, a := range m.running {
		used += a.cpu
	}
	switch {
	case ok && active.run == o.Run && !active.stopped:
		return http.StatusOK, map[string]any{}
	case m.deadline <= m.clock():
		return refusal("late")
	case ok || o.Run <= m.barred[o.Task]:
		return refusal("old")
	case used+plan.cpu > minionCPU:
		return refusal("room")
	}
	started := &activeTask{
		run:    o.Run,
		cpu:    plan.cpu,
		endsAt: time.Now().Add(plan.duration),
		how:    "done",
		noted: &taskRun{
			task:   o.Task,
			run:    o.Run,
			minion: m.id,
			zone:   m.zone,
		},
	}
	if m.rec.startsOf(o.Task) < plan.failures {
		started.how = "failed"
	}
	m.running[o.Task] = started
	m.rec.started(started.noted)
	return http.StatusOK, map[string]any{}
}

func (m *minion) stop(o orderBody) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accept(o) {
		return refusal("fence")
	}
	m.barred[o.Task] = max(m.barred[o.Task], o.Run)
	if active, ok := m.running[o.Task]; ok && active.run <= o.Run && !active.stopped {
		active.stopped, active.how, active.endsAt = true, "stopped", time.Now().Add(stopTime)
	}
	return http.StatusOK, map[string]any{}
}

func (m *minion) hold(o orderBody) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accept(o) {
		return refusal("fence")
	}
	for len(m.finished) > 0 && m.finished[0].number <= o.LastSeen {
		if !m.finished[0].lapsed {
			m.rec.tookNote(m.finished[0].noted)
		}
		m.finished = m.finished[1:]
	}
	until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	for len(m.finished) == 0 && time.Now().Before(until) {
		m.mu.Unlock()
		time.Sleep(minionTick)
		m.mu.Lock()
	}
	running := [][]any{}
	for task, a := range m.running {
		running = append(running, []any{task, a.run, "", 50, a.cpu})
	}
	finished := [][]any{}
	for _, f := range m.finished[:min(len(m.finished), maxListedEnds)] {
		finished = append(finished, []any{f.number, f.task, f.noted.run, f.noted.how, ""})
	}
	return http.StatusOK, map[string]any{
		"born":     m.born.UnixMilli(),
		"running":  running,
		"finished": finished,
	}
}

// tick ends the runs that are over, and all when the lease has expired.
func (m *minion) tick(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(minionTick)
		m.mu.Lock()
		if m.deadline <= m.clock() {
			for _, f := range m.finished {
				f.lapsed = true
			}
		}
		for task, a := range m.running {
			switch {
			case m.deadline <= m.clock():
				m.end(task, a, "lapsed")
			case time.Now().After(a.endsAt):
				m.end(task, a, a.how)
			}
		}
		m.mu.Unlock()
	}
}

// end ends a run; m.mu is held.
func (m *minion) end(task string, a *activeTask, how string) {
	delete(m.running, task)
	m.barred[task] = max(m.barred[task], a.run)
	m.ends++
	m.rec.ended(a.noted, how)
	m.finished = append(m.finished, &finishedTask{
		number: m.ends,
		task:   task,
		noted:  a.noted,
	})
}

// heartbeat returns the body of the next heartbeat.
func (m *minion) heartbeat() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	return map[string]any{
		"service":           m.service,
		"address":           m.address,
		"zone":              m.zone,
		"version":           "v1",
		"slots":             8,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"capacity": map[string]int64{
			"cpu":    minionCPU,
			"mem_mb": minionMemMB,
			"gpu":    0,
		},
		"labels":         []string{"a", m.rack},
		"server_time_ms": m.clock(),
		"born":           m.born.UnixMilli(),
		"seq":            m.seq,
	}
}

func (m *minion) sendHeartbeats(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		body := m.heartbeat()
		for range m.controls {
			address := m.controls[next%len(m.controls)]
			if named := m.namedAddress(); named != "" {
				address = named
			}
			if m.postHeartbeat(ctx, address, body) {
				break
			}
			m.setNamedAddress("")
			next++
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (m *minion) namedAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heartbeatAddress
}

func (m *minion) setNamedAddress(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heartbeatAddress = address
}

// postHeartbeat reports whether a heartbeat was acknowledged within a second.
func (m *minion) postHeartbeat(ctx context.Context, address string, body map[string]any) bool {
	data, err := json.Marshal(body)
	if err != nil || m.link.isCut() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/-/Instances.Heartbeat/"+m.id, bytes.NewReader(data))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		HeartbeatAddress string `json:"heartbeat_addr"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	if answer.HeartbeatAddress == "" {
		// The node that leads names no other one.
		answer.HeartbeatAddress = address
	}
	m.setNamedAddress(answer.HeartbeatAddress)
	return true
}
