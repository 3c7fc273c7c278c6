package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// step is a step of a job as it is sent.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"mem_mb"`
	EstimateMS  int   `json:"est_duration_ms"`
	DependsOn   []int `json:"depends_on,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	SameRack    bool  `json:"same_rack,omitempty"`
	Speculative bool  `json:"speculative,omitempty"`
	Lasting     bool  `json:"long_running,omitempty"`
	PerServer   int   `json:"max_per_server,omitempty"`
	MayMiss     int   `json:"may_miss,omitempty"`

	// millis is how long a task works.
	millis int
}

// job is a job that was sent.
type job struct {
	ID         string  `json:"-"`
	Spec       string  `json:"spec"`
	Steps      []*step `json:"steps"`
	Repeat     int     `json:"repeat_count,omitempty"`
	StartAtMS  int64   `json:"start_at_ms,omitempty"`
	IntervalMS int64   `json:"interval_ms,omitempty"`

	route    string
	accepted bool
	maybe    bool
	// cancelSent is true once a cancel was sent, cancelled is when it was acknowledged.
	cancelSent bool
	cancelled  time.Time
	state      string
}

// hub knows what was sent, and hears of all that runs. It is safe for concurrent use.
type hub struct {
	mu     sync.Mutex
	began  time.Time
	record *os.File
	jobs   map[string]*job
	// active holds the runs of each task that are in progress, with their workers.
	active map[string]map[string]time.Time
	// noted holds when an end done of a task was taken note of.
	noted     map[string]time.Time
	doneSteps map[string]map[int]bool
	failures  map[string]int
	lastStart map[string]time.Time
	lastEnd   map[string]time.Time
	gangs     map[string]*gang
	broken    []string
}

// gang is one run of all tasks of a step.
type gang struct {
	size    int
	present map[int]time.Time
	full    time.Time
	over    string
	overAt  time.Time
	first   time.Time
}

func newHub(record *os.File) *hub {
	return &hub{
		began:     time.Now(),
		record:    record,
		jobs:      make(map[string]*job),
		active:    make(map[string]map[string]time.Time),
		noted:     make(map[string]time.Time),
		doneSteps: make(map[string]map[int]bool),
		failures:  make(map[string]int),
		lastStart: make(map[string]time.Time),
		lastEnd:   make(map[string]time.Time),
		gangs:     make(map[string]*gang),
	}
}

func (h *hub) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notef(format, args...)
}

// notef writes a line of the record; h.mu is held.
func (h *hub) notef(format string, args ...any) {
	fmt.Fprintf(h.record, "%8.3f %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakf notes that a rule was broken; h.mu is held.
func (h *hub) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	h.broken = append(h.broken, text)
	h.notef("BROKEN %s", text)
}

func (h *hub) add(j *job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[j.ID] = j
}

func (j *job) body() string {
	data, _ := json.Marshal(j)
	return string(data)
}

func (h *hub) stepOf(task string) *step {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stepOfLocked(task)
}

func (h *hub) stepOfLocked(task string) *step {
	t, err := parseTask(task)
	if err != nil {
		return nil
	}
	j, ok := h.jobs[t.job]
	if !ok || t.step < 0 || t.step >= len(j.Steps) {
		return nil
	}
	return j.Steps[t.step]
}

func runName(l *life, r *run) string { return fmt.Sprintf("%d on %s born %d", r.number, l.id, l.born) }

func (h *hub) runStarted(l *life, r *run, o order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notef("start %s run %d on %s fence %d", r.task, r.number, l.id, o.Fence)
	t, err := parseTask(r.task)
	j := h.jobs[t.job]
	if err != nil || j == nil {
		h.breakf("UNASKED: %s was never sent", r.task)
		return
	}
	h.lastStart[r.task] = time.Now()
	if o.Spec != j.Spec {
		h.breakf("UNASKED: %s has another spec", r.task)
	}
	if !j.accepted && !j.maybe {
		h.breakf("REFUSED: %s starts though all attempts were refused", r.task)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > 3*time.Second {
		h.breakf("UNASKED: %s starts %v after the cancel of its job", r.task, time.Since(j.cancelled))
	}
	if j.StartAtMS > 0 {
		due := time.UnixMilli(j.StartAtMS + int64(t.k)*j.IntervalMS)
		if time.Until(due) > 250*time.Millisecond {
			h.breakf("ORDER: %s starts %v early", r.task, time.Until(due))
		}
	}
	for _, d := range j.Steps[t.step].DependsOn {
		if n := len(h.doneSteps[fmt.Sprintf("%s.%d.%d", t.job, t.k, d)]); n < j.Steps[d].Count {
			h.breakf("ORDER: %s starts with %d of %d tasks of step %d done", r.task, n, j.Steps[d].Count, d)
		}
	}
	if h.active[r.task] == nil {
		h.active[r.task] = make(map[string]time.Time)
	}
	if !r.lastingOrCopied() && !h.noted[r.task].IsZero() {
		h.breakf("TWICE: %s run %d starts %v after an end done was noted", r.task, r.number, time.Since(h.noted[r.task]))
	}
	h.active[r.task][runName(l, r)] = time.Now()
	if len(h.active[r.task]) > 1 && !r.step.Speculative {
		h.breakf("TWICE: %s has two runs at a time: %v", r.task, h.active[r.task])
	}
	if r.gang {
		key := fmt.Sprintf("%s/%d", stepName(t), r.number)
		g := h.gangs[key]
		if g == nil {
			g = &gang{
				size:    r.step.Count,
				present: make(map[int]time.Time),
				first:   time.Now(),
			}
			h.gangs[key] = g
		}
		g.present[t.number] = time.Now()
		if len(g.present) == g.size && g.full.IsZero() {
			g.full = time.Now()
		}
	}
}

func (r *run) lastingOrCopied() bool { return r.lasting || r.step != nil && r.step.Speculative }

// gangEnd returns how a member of a gang ends now, or an empty text.
func (h *hub) gangEnd(r *run, now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, _ := parseTask(r.task)
	g := h.gangs[fmt.Sprintf("%s/%d", stepName(t), r.number)]
	switch {
	case g == nil:
		return ""
	case g.over == "done":
		return "done"
	case g.over != "" && now.Sub(g.overAt) > 20*time.Millisecond:
		return "broken"
	case g.over != "":
		return ""
	case !g.full.IsZero() && !r.lasting && now.Sub(g.full) > time.Duration(r.step.millis)*time.Millisecond:
		g.over, g.overAt = "done", now
		return "done"
	case g.full.IsZero() && now.Sub(r.began) > gangTimeout:
		return "alone"
	}
	return ""
}

func (h *hub) runEnded(l *life, r *run, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notef("end %s run %d on %s: %s", r.task, r.number, l.id, how)
	delete(h.active[r.task], runName(l, r))
	h.lastEnd[r.task] = time.Now()
	t, err := parseTask(r.task)
	if err != nil {
		return
	}
	if r.gang {
		if g := h.gangs[fmt.Sprintf("%s/%d", stepName(t), r.number)]; g != nil && g.over == "" {
			g.over, g.overAt = how, time.Now()
		}
	}
	if how == "done" {
		key := stepName(t)
		if h.doneSteps[key] == nil {
			h.doneSteps[key] = make(map[int]bool)
		}
		h.doneSteps[key][t.number] = true
		if r.gang {
			for i := range r.step.Count {
				h.doneSteps[key][i] = true
			}
		}
	}
	if how == "failed" {
		h.failures[r.task]++
	}
}

// endNoted notes that an end was taken note of. It doesn't count if the lease has lapsed
// between the two.
func (h *hub) endNoted(l *life, e end) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lapsed := l.lastLapse.After(e.at) || l.clock(time.Now()) > l.leaseMS
	h.notef("noted %s run %d %s on %s, lapsed %v", e.task, e.run, e.how, l.id, lapsed)
	st := h.stepOfLocked(e.task)
	if e.how != "done" || lapsed || st == nil || st.Speculative || st.Lasting {
		return
	}
	if h.lastStart[e.task].After(e.at) {
		h.breakf("TWICE: %s was started %v after its run %d had ended done, which is noted now", e.task, h.lastStart[e.task].Sub(e.at), e.run)
	}
	if h.noted[e.task].IsZero() {
		h.noted[e.task] = time.Now()
	}
}
