package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	internalPort = 7500
	controlPort  = 7600
	frontPort    = 7601
	readyPort    = 7602
	workerPort   = 7603
)

// rig is a small deployment: the processes of the system, and stand-ins for all others.
type rig struct {
	hub     *hub
	program string
	dir     string
	subnet  string
	cores   []*process
	fronts  []*process
	workers []*worker
	client  *http.Client
	pools   []string
	// version is the last version of the configuration that was sent.
	version int
	cloud   *cloud
	// listed is true if the platform lists the machines of the workers.
	listed bool
}

// process is a process of the system.
type process struct {
	rig                  *rig
	name, role, ip, zone string
	bootstrap            bool
	cmd                  *exec.Cmd
	exited               chan struct{}
	down                 bool
}

func (r *rig) ip(n int) string { return fmt.Sprintf("%s.%d", r.subnet, n) }

// newRig reserves a part of the loopback network in which the ports are free.
func newRig(h *hub, program, dir string, cores, fronts int) (*rig, error) {
	r := &rig{
		hub:     h,
		program: program,
		dir:     dir,
		client: &http.Client{
			Timeout: 4 * time.Second,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		},
	}
	for n := os.Getpid(); ; n += 7 {
		r.subnet = fmt.Sprintf("127.%d.%d", 100+n%120, 1+(n/120)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.ip(1), internalPort))
		if err == nil {
			_ = l.Close()
			break
		}
		if n > os.Getpid()+700 {
			return nil, err
		}
	}
	for i := range cores {
		r.cores = append(r.cores, &process{
			rig:       r,
			name:      fmt.Sprint("core-", i+1),
			role:      "core",
			ip:        r.ip(1 + i),
			zone:      fmt.Sprint("z", i%3),
			bootstrap: true,
		})
	}
	for i := range fronts {
		r.fronts = append(r.fronts, &process{
			rig:       r,
			name:      fmt.Sprint("front-", i+1),
			role:      "front",
			ip:        r.ip(11 + i),
			zone:      fmt.Sprint("z", i%3),
			bootstrap: true,
		})
	}
	var err error
	r.cloud, err = newCloud(r, r.ip(250))
	return r, err
}

func (r *rig) controls() []string {
	var list []string
	for _, p := range r.cores[:min(3, len(r.cores))] {
		list = append(list, fmt.Sprintf("%s:%d", p.ip, controlPort))
	}
	return list
}

func (p *process) settings() string {
	r := p.rig
	lines := []string{
		"node=" + p.name,
		"role=" + p.role,
		"machine_class=" + p.role,
		"ip=" + p.ip,
		"zone=" + p.zone,
		"region=r",
		"zones.z0=r",
		"zones.z1=r",
		"zones.z2=r",
		fmt.Sprintf("internal_ports=%d,%d", internalPort, internalPort+15),
		"seeds=" + strings.Join(r.controls(), ","),
		fmt.Sprintf("bootstrap=%v", p.bootstrap),
		"limits.memory_mb=280",
		"fault_tolerance.machines=1",
		"fault_tolerance.zones=1",
		"cloud.address=" + r.cloud.address,
		fmt.Sprintf("heartbeat_ms=%d", heartbeatInterval.Milliseconds()),
		"bounds.contact_ms=3000",
		"bounds.config_apply_ms=2000",
		fmt.Sprintf("bounds.max_hold_ms=%d", maxHold.Milliseconds()),
		"bounds.lease_ms=3000",
		"bounds.grace_s=6",
		"bounds.notice_ms=4500",
		"bounds.gang_timeout_ms=3000",
		"bounds.remote_slowdown=2",
		"control_mode=invoke",
	}
	if p.role == "core" {
		lines = append(lines, "serves=control", "loss_counts=true", fmt.Sprintf("listen.control=%s:%d", p.ip, controlPort), "data_dir="+filepath.Join(r.dir, "data-"+p.name))
	} else {
		lines = append(lines, "serves=front", fmt.Sprintf("listen.front=%s:%d", p.ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", p.ip, readyPort))
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process with the settings of the moment.
func (p *process) start() error {
	path := filepath.Join(p.rig.dir, p.name+".conf")
	if err := os.WriteFile(path, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.rig.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.rig.program, p.role)
	p.cmd.Env = append(os.Environ(), "HEATHERMUX_BOOT="+path)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.rig.hub.note("process %s starts, bootstrap %v", p.name, p.bootstrap)
	p.bootstrap, p.down = false, false
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.rig.hub.note("process %s gets signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.down = true
}

// terminate asks the process to end, and kills it after the grace period.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(6 * time.Second):
		p.kill()
	}
	p.down = true
}

// leader returns the core process that has begun the latest term, by its log.
func (r *rig) leader() *process {
	best, latest := r.cores[0], 0
	for _, p := range r.cores {
		log, _ := os.ReadFile(filepath.Join(r.dir, p.name+".log"))
		at := bytes.LastIndex(log, []byte("conductor: leads a new term"))
		if at < 0 {
			continue
		}
		line, _, _ := bytes.Cut(log[at:], []byte("\n"))
		var entry struct {
			Term int `json:"term"`
		}
		if i := bytes.IndexByte(line, ','); i >= 0 && json.Unmarshal(append([]byte("{"), line[i+1:]...), &entry) == nil && entry.Term > latest {
			best, latest = p, entry.Term
		}
	}
	return best
}

func (r *rig) close() {
	for _, p := range append(r.cores, r.fronts...) {
		if p.cmd != nil && p.exited != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.exited
		}
	}
	for _, w := range r.workers {
		w.crash()
	}
}

type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path_prefix"`
	Kind     string  `json:"kind"`
	Timeout  int     `json:"timeout_ms"`
	Target   int     `json:"target_latency_ms"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
	Public   bool    `json:"public"`
}

func (r *rig) route(name, service string) route {
	return route{
		Name:     name,
		Host:     "jobs.example",
		Prefix:   "/" + name + "/",
		Kind:     "non_idempotent",
		Timeout:  3000,
		Target:   600,
		Service:  service,
		Attempts: 3,
		Stretch:  2,
	}
}

// configure sends a configuration until it is acknowledged, and reports whether it was.
func (r *rig) configure(routes []route, within time.Duration) bool {
	r.version++
	type service struct {
		Name    string `json:"name"`
		Health  string `json:"health_path"`
		Conns   int    `json:"max_conns"`
		Proto   string `json:"protocol"`
		Guards  bool   `json:"enforces_capacity"`
		Standby bool   `json:"standby"`
	}
	var services []service
	for _, p := range r.pools {
		services = append(services, service{
			Name:    p,
			Health:  "/health",
			Conns:   64,
			Proto:   "h1",
			Standby: p == "spare",
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version":  r.version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "t", "api_keys": []string{"key-t"}, "priority": 1, "weight": 10, "ceiling": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
	client := &http.Client{
		Timeout: time.Second,
	}
	for until, n := time.Now().Add(within), 0; time.Now().Before(until); n++ {
		p := r.cores[n%len(r.cores)]
		status := post(client, fmt.Sprintf("http://%s:%d/-/Config.Replace", p.ip, controlPort), body)
		r.hub.note("configuration %d at %s: %d", r.version, p.name, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// call calls a front; the status is 0 without a response.
func (r *rig) call(n int, method, path, body string) (int, string) {
	p := r.fronts[n%len(r.fronts)]
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, frontPort, path), strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = "jobs.example"
	req.Header.Set("Authorization", "Token key-t")
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// submit hands a job in, up to five times, at one front after the other.
func (r *rig) submit(n int, j *job) bool {
	r.hub.add(j)
	for attempt := range 5 {
		r.hub.mu.Lock()
		j.maybe = true
		r.hub.mu.Unlock()
		status, _ := r.call(n+attempt, http.MethodPost, "/"+j.route+"/"+j.ID, j.body())
		r.hub.note("job %s handed in: %d", j.ID, status)
		r.hub.mu.Lock()
		if status == http.StatusOK {
			j.accepted = true
		}
		r.hub.mu.Unlock()
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job; it is "gone" after a 410, and empty without an answer.
func (r *rig) state(n int, j *job) string {
	status, text := r.call(n, http.MethodGet, "/"+j.route+"/"+j.ID, "")
	if status == http.StatusGone {
		return "gone"
	}
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return ""
	}
	return body.State
}
