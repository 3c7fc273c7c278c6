package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// cloud is a stand-in for the platform that lists machines, moves them and maintains them.
type cloud struct {
	rig     *rig
	address string

	mu       sync.Mutex
	machines []*machine
	// lives counts the workers that have begun on machines.
	lives int
}

// machine is a machine with a worker, or one that is off.
type machine struct {
	name, pool, state, zone, rack, address string
	worker                                 *worker
}

func newCloud(r *rig, ip string) (*cloud, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	c := &cloud{
		rig:     r,
		address: listener.Addr().String(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", c.list)
	mux.HandleFunc("POST /-/machine-move", c.order)
	mux.HandleFunc("POST /-/machine-upkeep", c.order)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = server.Serve(listener) }()
	return c, nil
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []any{}
	for _, m := range c.machines {
		id, state := "", m.state
		if m.worker != nil && state == "up" {
			if l := m.worker.current(); l != nil {
				id = l.id
			} else {
				state = "down"
			}
		}
		rows = append(rows, map[string]any{
			"machine":  m.name,
			"pool":     m.pool,
			"state":    state,
			"zone":     m.zone,
			"labels":   []string{"a", m.rack},
			"capacity": map[string]int{"cpu": 64000, "mem_mb": 131072, "gpu": 0},
			"id":       id,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"machines":        rows,
		"next_page_token": "",
	})
}

// order moves a machine to another pool; waves are not played.
func (c *cloud) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	data, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(data, &body)
	c.mu.Lock()
	defer c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	for _, m := range c.machines {
		if m.name != body.Machine {
			continue
		}
		switch {
		case m.pool == body.Pool && m.state != "down":
			c.rig.hub.note("platform: %s is on its way to %s or there", m.name, body.Pool)
		case m.state != "up" || m.worker != nil && m.worker.current() == nil:
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"reason":"busy"}`))
			return
		default:
			c.rig.hub.note("platform: %s moves from %s to %s", m.name, m.pool, body.Pool)
			c.move(m, body.Pool)
		}
		_, _ = w.Write([]byte("{}"))
		return
	}
	w.WriteHeader(http.StatusBadRequest)
	_, _ = w.Write([]byte("{}"))
}

// move ends what runs on a machine, and lets a new worker join the pool later; c.mu is held.
func (c *cloud) move(m *machine, pool string) {
	if m.worker != nil {
		m.worker.crash()
		m.worker = nil
	}
	m.pool, m.state = pool, "moving"
	c.lives++
	id := fmt.Sprintf("i-%s-%d", m.name, c.lives)
	time.AfterFunc(moveTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.state = "up"
		if pool == "spare" {
			return
		}
		var err error
		if m.worker, err = newWorker(c.rig.hub, id, pool, m.zone, m.rack, m.address, c.rig.controls()); err != nil {
			c.rig.hub.note("worker %s does not start: %v", id, err)
		}
	})
}

// add adds a machine with its worker, or one that is off.
func (c *cloud) add(name, pool, zone, rack, address string, w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, &machine{
		name:    name,
		pool:    pool,
		state:   "up",
		zone:    zone,
		rack:    rack,
		address: address,
		worker:  w,
	})
}

// workers returns the workers on machines that were moved.
func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*worker
	for _, m := range c.machines {
		if m.worker != nil {
			list = append(list, m.worker)
		}
	}
	return list
}
