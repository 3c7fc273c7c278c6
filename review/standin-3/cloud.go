package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// cloud is a platform that lists and moves machines, and gives advice.
type cloud struct {
	hub     *hub
	address string
	server  *http.Server
	mu      sync.Mutex
	// turns holds the calls for advice that are handled or wait, one channel each, which is
	// closed when it is the turn of the call: one is handled at a time.
	turns []chan struct{}
	// skipsGone is true if the adviser decides nothing for a caller that has gone before the
	// turn of its call.
	skipsGone bool
	// upkeeps counts the calls for the upkeep of a machine in a wave, and inUpkeep holds the last
	// minions of the machines in upkeep, by machine. Both are guarded by hub.mu.
	upkeeps  map[string]int
	inUpkeep map[string]*life
	// silentUntil is until when the platform answers nothing and carries out nothing, in Unix
	// nanoseconds.
	silentUntil atomic.Int64
	// onUpkeep, if not nil, is called before a call for an upkeep is answered.
	onUpkeep func(times int)
}

func newCloud(h *hub, address string) (*cloud, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &cloud{
		hub:      h,
		upkeeps:  make(map[string]int),
		inUpkeep: make(map[string]*life),
		address:  listener.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", c.unlessSilent(c.list))
	mux.HandleFunc("POST /-/machine-move", c.unlessSilent(c.move))
	mux.HandleFunc("POST /-/machine-upkeep", c.unlessSilent(c.upkeep))
	mux.HandleFunc("POST /-/advise", c.advise)
	c.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// unlessSilent lets f handle calls except while the platform is silent.
func (c *cloud) unlessSilent(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.stayAway(r)
		f(w, r)
	}
}

// stayAway never answers a call that comes, or was carried out, while the platform is silent.
func (c *cloud) stayAway(r *http.Request) {
	if left := time.Until(time.Unix(0, c.silentUntil.Load())); left > 0 {
		c.hub.rec.notef("the platform does not answer %s", r.URL.Path)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func (c *cloud) close() { _ = c.server.Close() }

// list lists the machines of all minions that are up.
func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	rows := []any{}
	for _, l := range c.hub.lives {
		if !l.ended {
			rows = append(rows, map[string]any{
				"machine":  l.machine,
				"pool":     l.pool,
				"state":    "up",
				"zone":     l.zone,
				"labels":   l.labels,
				"capacity": l.capacity,
				"id":       l.id,
			})
		}
	}
	for name, l := range c.inUpkeep {
		rows = append(rows, map[string]any{
			"machine":  name,
			"pool":     l.pool,
			"state":    "upkeep",
			"zone":     l.zone,
			"labels":   l.labels,
			"capacity": l.capacity,
			"id":       "",
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"machines":        rows,
		"next_page_token": nil,
	})
}

// moveTime is how long a machine takes to join another pool.
const moveTime = 1500 * time.Millisecond

// move moves a machine to another pool: what its minion runs ends, and a new minion joins.
func (c *cloud) move(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var moved *life
	c.hub.mu.Lock()
	for _, l := range c.hub.lives {
		if !l.ended && l.machine == body.Machine {
			moved = l
		}
	}
	c.hub.mu.Unlock()
	if moved == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if moved.pool != body.Pool {
		moved.end("its machine moves to pool " + body.Pool)
		time.AfterFunc(moveTime, func() {
			next, err := c.hub.startLife(moved.id+"-moved", body.Pool, moved.zone, moved.address, moved.labels, moved.capacity)
			if err != nil {
				c.hub.rec.notef("the minion of a moved machine did not start: %v", err)
				return
			}
			c.hub.mu.Lock()
			defer c.hub.mu.Unlock()
			next.machine = moved.machine
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{}`))
}

// upkeepTime is how long the upkeep of a machine takes.
const upkeepTime = 2 * time.Second

// upkeep takes a machine down for its upkeep in a wave, once: if that is done, the call has no
// effect and is answered with 200 too.
func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h := c.hub
	var at *life
	h.mu.Lock()
	for _, l := range h.lives {
		if !l.ended && l.machine == body.Machine {
			at = l
		}
	}
	done := fmt.Sprint(body.Machine, " ", body.Wave)
	c.upkeeps[done]++
	times := c.upkeeps[done]
	if times == 1 && at != nil {
		c.inUpkeep[body.Machine] = at
	}
	h.mu.Unlock()
	h.rec.notef("%s orders the upkeep of %s, token %s, call %d", r.Header.Get("Duty-Holder"), body.Machine, r.Header.Get("Fencing-Token"), times)
	if at == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if times == 1 {
		at.end("its machine goes into upkeep")
		time.AfterFunc(upkeepTime, func() { c.bringUp(body.Machine, at) })
	}
	if c.onUpkeep != nil {
		c.onUpkeep(times)
	}
	c.stayAway(r)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{}`))
	h.rec.notef("the platform has answered 200 to call %d", times)
}

// bringUp starts the next minion on a machine after its upkeep.
func (c *cloud) bringUp(name string, former *life) {
	next, err := c.hub.startLife(former.id+"-next", former.pool, former.zone, former.address, former.labels, former.capacity)
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	delete(c.inUpkeep, name)
	if err != nil {
		c.hub.rec.notef("the minion did not start after the upkeep: %v", err)
		return
	}
	next.machine = name
}

// adviceTerms are the terms of a queue that needs advice.
type adviceTerms struct {
	decision, perMinion, validity time.Duration
}

// maxWaitingCalls is how many calls for advice may wait; any further ones get 429.
const maxWaitingCalls = 32

func (a adviceTerms) body() map[string]any {
	return map[string]any{
		"decision_ms":   a.decision.Milliseconds(),
		"per_worker_ms": a.perMinion.Milliseconds(),
		"validity_ms":   a.validity.Milliseconds(),
	}
}

// ticket is a ticket for one step in one life of a minion.
type ticket struct {
	step string
	life *life
	at   time.Time
}

// advise allows a step three quarters of the minions; which ones does not change.
func (c *cloud) advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h := c.hub
	sent := time.Now()
	turn := make(chan struct{})
	c.mu.Lock()
	if len(c.turns) > maxWaitingCalls {
		c.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	c.turns = append(c.turns, turn)
	if len(c.turns) == 1 {
		close(turn)
	}
	c.mu.Unlock()
	<-turn
	gone := r.Context().Err() != nil
	if !gone || !c.skipsGone {
		time.Sleep(h.advice.decision + time.Duration(len(body.Workers))*h.advice.perMinion)
	}
	c.mu.Lock()
	c.turns = c.turns[1:]
	if len(c.turns) > 0 {
		close(c.turns[0])
	}
	c.mu.Unlock()
	h.rec.notef("the adviser has decided on step %s for %d minions after %.1f s; the caller has gone: before its turn %v, by now %v", body.Step,
		len(body.Workers), time.Since(sent).Seconds(), gone, r.Context().Err() != nil)
	h.mu.Lock()
	allowed := []any{}
	for _, id := range body.Workers {
		for _, l := range h.lives {
			if l.id == id && !l.ended && !deniedBy(body.Step, id) {
				name := fmt.Sprintf("%s/%s/%d/%d", body.Step, id, l.bornMS, time.Now().UnixNano())
				h.tickets[name] = ticket{
					step: body.Step,
					life: l,
					at:   time.Now(),
				}
				allowed = append(allowed, []any{id, name})
			}
		}
	}
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"allowed":     allowed,
		"validity_ms": h.advice.validity.Milliseconds(),
	})
}

// deniedBy reports whether a step may not run on a minion.
func deniedBy(step, id string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(step))
	sum := int(hash.Sum32() % 5)
	return strings.Contains(id, fmt.Sprint("-", 2*sum))
}

// ticketValid reports whether a start carries a valid ticket; hub.mu is held.
func (l *life) ticketValid(o orderBody) bool {
	id, n, _ := splitTask(o.Task)
	t, ok := l.hub.tickets[o.Ticket]
	return ok && t.life == l && t.step == fmt.Sprintf("%s.%d.%d", id, n[0], n[1]) && time.Since(t.at) < l.hub.advice.validity
}
