package main

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepSpec is one step of a job, as a client sends it, and what the minions know of its tasks.
type stepSpec struct {
	Count         int     `json:"count"`
	CPU           int64   `json:"cpu,omitempty"`
	MemMB         int64   `json:"mem_mb,omitempty"`
	EstimateMS    float64 `json:"est_duration_ms,omitempty"`
	DependsOn     []int   `json:"depends_on,omitempty"`
	Checkpointing bool    `json:"checkpointing,omitempty"`
	Gang          bool    `json:"gang,omitempty"`
	SameRack      bool    `json:"same_rack,omitempty"`
	RequiredLabel string  `json:"required_label,omitempty"`
	DataRack      string  `json:"data_rack,omitempty"`
	MaxPerServer  int     `json:"max_per_server,omitempty"`
	Speculative   bool    `json:"speculative,omitempty"`
	LongRunning   bool    `json:"long_running,omitempty"`
	Image         string  `json:"image,omitempty"`
	Fills         bool    `json:"fills,omitempty"`
	MayMiss       int     `json:"may_miss,omitempty"`

	work  time.Duration
	fails bool
}

// jobSpec is a job as a client sends it, and what became of it.
type jobSpec struct {
	Spec        string     `json:"spec"`
	Steps       []stepSpec `json:"steps"`
	RepeatCount int        `json:"repeat_count,omitempty"`
	StartAtMS   int64      `json:"start_at_ms,omitempty"`
	IntervalMS  int64      `json:"interval_ms,omitempty"`

	id       string
	kind     string
	queue    string
	pools    []string
	tenant   string
	attempts int

	accepted    bool
	unknown     bool
	cancelSent  time.Time
	cancelAcked time.Time
	state       string
}

// taskState is what the checker knows of a task.
type taskState struct {
	job    *jobSpec
	active []*taskRun
	doneAt time.Time
	noted  bool
	starts []time.Time
	failed []*ending
	// failures counts the runs that have ended failed, taken note of or not.
	failures int
	history  []string
}

// hub holds the minions and checks what they see. mu guards all that changes.
type hub struct {
	rec      *record
	controls []string
	guarded  map[string]bool
	advised  map[string]bool
	ceiling  map[string]int64
	advice   adviceTerms

	mu          sync.Mutex
	lives       []*life
	jobs        map[string]*jobSpec
	tasks       map[string]*taskState
	checkpoints map[string]bool
	tickets     map[string]ticket
	used        map[string]int64
	starts      int
	quiet       bool
	// firstBeatAfter is how long after its start a minion sends its first heartbeat.
	firstBeatAfter time.Duration
}

func newHub(rec *record, controls []string) *hub {
	return &hub{
		rec:         rec,
		controls:    controls,
		guarded:     make(map[string]bool),
		advised:     make(map[string]bool),
		ceiling:     make(map[string]int64),
		jobs:        make(map[string]*jobSpec),
		tasks:       make(map[string]*taskState),
		checkpoints: make(map[string]bool),
		tickets:     make(map[string]ticket),
		used:        make(map[string]int64),
	}
}

// splitTask splits the name of a task into job, occurrence, step and index.
func splitTask(name string) (job string, n [3]int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", n, false
	}
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return "", n, false
		}
		n[i] = v
	}
	return parts[0], n, true
}

// specOf returns the step of a task that a client has sent; mu is held.
func (h *hub) specOf(task string) (stepSpec, bool) {
	id, n, ok := splitTask(task)
	j := h.jobs[id]
	if !ok || j == nil || n[1] >= len(j.Steps) || n[2] >= j.Steps[n[1]].Count || n[0] >= max(1, j.RepeatCount) {
		return stepSpec{}, false
	}
	return j.Steps[n[1]], true
}

func (h *hub) task(name string) *taskState {
	t, ok := h.tasks[name]
	if !ok {
		id, _, _ := splitTask(name)
		t = &taskState{
			job: h.jobs[id],
		}
		h.tasks[name] = t
	}
	return t
}

func (h *hub) note(r *taskRun, event string) {
	t := h.task(r.task)
	h.rec.notef("minion %s: %s run %d %s", r.minion.id, r.task, r.run, event)
	t.history = append(t.history, event)
}

// runStarted checks the start of a run; mu is held.
func (h *hub) runStarted(r *taskRun, o orderBody) {
	t := h.task(r.task)
	h.starts++
	h.note(r, "starts")
	id, n, _ := splitTask(r.task)
	j := t.job
	if len(t.active) > 0 && !r.spec.Speculative {
		other := t.active[0]
		h.rec.breakf("TWICE: %s run %d starts on minion %s (born %d) while run %d is at work on minion %s (born %d)", r.task, r.run,
			r.minion.id, r.minion.bornMS, other.run, other.minion.id, other.minion.bornMS)
	}
	if t.noted && !r.spec.Speculative && !r.spec.LongRunning {
		h.rec.breakf("TWICE: %s run %d starts after an end done that was taken note of", r.task, r.run)
	}
	t.active = append(t.active, r)
	if !r.spec.Gang {
		r.workFrom = time.Now()
	}
	for _, d := range r.spec.DependsOn {
		for i := range j.Steps[d].Count {
			if h.tasks[taskName(id, n[0], d, i)] == nil || h.tasks[taskName(id, n[0], d, i)].doneAt.IsZero() {
				h.rec.breakf("ORDER: %s run %d starts before task %d of step %d is done", r.task, r.run, i, d)
			}
		}
	}
	if j.RepeatCount > 0 {
		due := time.UnixMilli(j.StartAtMS + int64(n[0])*j.IntervalMS)
		if time.Until(due) > 250*time.Millisecond {
			h.rec.breakf("ORDER: %s run %d starts %v before its time", r.task, r.run, time.Until(due))
		}
	}
	if r.spec.RequiredLabel != "" && !slices.Contains(r.minion.labels, r.spec.RequiredLabel) {
		h.rec.breakf("ROUTE: %s starts on minion %s without the label", r.task, r.minion.id)
	}
	if !slices.Contains(j.pools, r.minion.pool) {
		h.rec.breakf("ROUTE: %s starts on minion %s of pool %s", r.task, r.minion.id, r.minion.pool)
	}
	if r.spec.MaxPerServer > 0 {
		same := 0
		for other := range r.minion.runs {
			if oid, m, _ := splitTask(other); oid == id && m[0] == n[0] && m[1] == n[1] {
				same++
			}
		}
		if same > r.spec.MaxPerServer {
			h.rec.breakf("ROUTE: %s is number %d of its step on minion %s", r.task, same, r.minion.id)
		}
	}
	if o.Checkpoint != "" && !h.ownCheckpoint(r, o.Checkpoint) {
		h.rec.breakf("UNASKED: %s run %d starts with checkpoint %q", r.task, r.run, o.Checkpoint)
	}
	t.starts = append(t.starts, time.Now())
	if !j.cancelAcked.IsZero() && time.Since(j.cancelAcked) > 3*time.Second {
		h.rec.breakf("UNASKED: %s run %d starts %v after the cancel was acknowledged", r.task, r.run, time.Since(j.cancelAcked))
	}
	if !r.minion.drainAck.IsZero() && time.Since(r.minion.drainAck) > 2*time.Second {
		h.rec.breakf("DRAIN: %s run %d starts on a draining minion", r.task, r.run)
	}
	h.used[j.tenant] += r.spec.CPU
	if limit := h.ceiling[j.tenant]; limit > 0 && float64(h.used[j.tenant]) > 1.1*float64(limit)+float64(r.spec.CPU) {
		h.rec.breakf("QUOTA: %s brings tenant %s to %d of %d", r.task, j.tenant, h.used[j.tenant], limit)
	}
}

// ownCheckpoint reports whether a checkpoint was made by the task or by a member of its gang.
func (h *hub) ownCheckpoint(r *taskRun, checkpoint string) bool {
	if !h.checkpoints[checkpoint] {
		return false
	}
	task, _, _ := strings.Cut(checkpoint, "/")
	if task == r.task {
		return true
	}
	id, n, _ := splitTask(r.task)
	oid, m, _ := splitTask(task)
	return r.spec.Gang && id == oid && n[0] == m[0] && n[1] == m[1]
}

func taskName(id string, occurrence, step, index int) string {
	return id + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

func (h *hub) drop(r *taskRun) {
	t := h.task(r.task)
	t.active = slices.DeleteFunc(t.active, func(other *taskRun) bool { return other == r })
	h.used[t.job.tenant] -= r.spec.CPU
}

// runEnded handles the end of a run; mu is held.
func (h *hub) runEnded(r *taskRun, e *ending) {
	t := h.task(r.task)
	h.drop(r)
	h.note(r, "ends "+e.how)
	switch e.how {
	case "done":
		t.doneAt = e.at
	case "failed":
		t.failures++
	}
	if r.spec.Gang && e.how != "broken" {
		// The members of a gang end done together.
		how := "broken"
		if e.how == "done" {
			how = "done"
		}
		for _, member := range h.members(r) {
			if member.minion.runs[member.task] == member {
				member.minion.finish(member, how)
			}
		}
	}
	if e.how == "alone" && t.job.cancelSent.IsZero() && h.quiet {
		h.rec.breakf("GANG: %s run %d ends alone", r.task, r.run)
	}
}

// members returns the other members of a gang in the same run; mu is held.
func (h *hub) members(r *taskRun) []*taskRun {
	id, n, _ := splitTask(r.task)
	var list []*taskRun
	for i := range r.spec.Count {
		if t, ok := h.tasks[taskName(id, n[0], n[1], i)]; ok && i != n[2] {
			for _, other := range t.active {
				if other.run == r.run && other.minion.runs[other.task] == other {
					list = append(list, other)
				}
			}
		}
	}
	return list
}

// awaitGang lets a gang work once it is complete; mu is held.
func (h *hub) awaitGang(r *taskRun, now time.Time) {
	members := h.members(r)
	if len(members) == r.spec.Count-1 {
		r.workFrom = now
		for _, m := range members {
			m.workFrom = now
		}
		return
	}
	if now.Sub(r.startAt) > gangTimeout {
		r.minion.finish(r, "alone")
	}
}

// runGone handles the end of a run with its minion; mu is held.
func (h *hub) runGone(r *taskRun, event string) {
	h.drop(r)
	h.note(r, event)
	if r.spec.Gang {
		for _, member := range h.members(r) {
			if member.minion != r.minion {
				member.minion.finish(member, "broken")
			}
		}
	}
}

// endNoted handles that an end was taken note of; mu is held.
func (h *hub) endNoted(l *life, e *ending) {
	t := h.task(e.task)
	h.rec.notef("minion %s: the end of %s run %d is taken note of", l.id, e.task, e.run)
	if e.how == "failed" && !e.lapsed {
		t.failed = append(t.failed, e)
	}
	if e.how != "done" || e.lapsed {
		return
	}
	t.noted = true
	spec, ok := h.specOf(e.task)
	if ok && !spec.Speculative && !spec.LongRunning {
		for _, r := range t.active {
			if r.startAt.After(e.at) {
				h.rec.breakf("TWICE: %s run %d started after run %d had ended done, which is taken note of now", e.task, r.run, e.run)
			}
		}
	}
}

// carryOut carries out a late order at an address.
func (h *hub) carryOut(address, expected, path string, o orderBody) {
	h.mu.Lock()
	var at *life
	for _, l := range h.lives {
		if l.address == address && !l.ended {
			at = l
		}
	}
	h.mu.Unlock()
	if at == nil || expected != "" && expected != at.id {
		h.rec.notef("late order %s %s run %d finds no minion", path, o.Task, o.Run)
		return
	}
	status := http.StatusOK
	switch path {
	case "/-/run-start":
		status, _ = at.start(o)
	case "/-/run-stop":
		status, _ = at.stop(o)
	case "/-/hold":
		o.WaitMS = 0
		status, _ = at.hold(o)
	}
	h.rec.notef("late order %s %s run %d is carried out on minion %s: %d", path, o.Task, o.Run, at.id, status)
}

// checkBudgets checks that no task was started after as many failed runs as its queue allows.
func (h *hub) checkBudgets() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, t := range h.tasks {
		for _, at := range t.starts {
			before := 0
			for _, e := range t.failed {
				if e.at.Before(at) {
					before++
				}
			}
			if spec, ok := h.specOf(name); ok && before >= t.job.attempts && !spec.LongRunning && !spec.Speculative {
				h.rec.breakf("BUDGET: %s starts after %d failed runs", name, before)
			}
		}
	}
}
