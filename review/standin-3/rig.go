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
	internalPort = 7300
	controlPort  = 7400
	frontPort    = 7401
	readyPort    = 7402
	minionPort   = 7403
	routeHost    = "jobs.example"
	graceTime    = 6 * time.Second
)

// process is one process of the project.
type process struct {
	rig      *rig
	name     string
	role     string
	ip       string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
	expected bool
}

// rig holds the processes of a small deployment.
type rig struct {
	rec     *record
	hub     *hub
	dir     string
	subnet  string
	cores   []*process
	fronts  []*process
	cloud   *cloud
	client  *http.Client
	version int
	// minions is how many minions setUp starts.
	minions int
}

var zones = []string{"z0", "z1", "z2"}

// newRig writes the settings of three core and two front machines; nothing runs yet.
func newRig(rec *record, dir string) (*rig, error) {
	r := &rig{
		rec:     rec,
		dir:     dir,
		minions: minions,
		subnet:  fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+(os.Getpid()/200)%200),
		client: &http.Client{
			Timeout: 4 * time.Second,
		},
	}
	var controls []string
	for i := range zones {
		controls = append(controls, fmt.Sprintf("%s.%d:%d", r.subnet, 1+i, controlPort))
	}
	r.hub = newHub(rec, controls)
	var err error
	if r.cloud, err = newCloud(r.hub, r.subnet+".250:0"); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		ip := fmt.Sprintf("%s.%d", r.subnet, 1+i)
		r.cores = append(r.cores, r.process(fmt.Sprint("core-", i), "core", ip, zone, controls))
	}
	for i := range 2 {
		ip := fmt.Sprintf("%s.%d", r.subnet, 11+i)
		r.fronts = append(r.fronts, r.process(fmt.Sprint("front-", i), "front", ip, zones[i], controls))
	}
	return r, nil
}

func (r *rig) process(name, role, ip, zone string, controls []string) *process {
	lines := []string{
		"node=" + name,
		"role=" + role,
		"machine_class=" + role,
		"ip=" + ip,
		"zone=" + zone,
		fmt.Sprintf("internal_ports=%d,%d", internalPort, internalPort+15),
		"seeds=" + strings.Join(controls, ","),
		"bootstrap=true",
		"limits.memory_mb=280",
		"fault_tolerance.machines=1",
		"fault_tolerance.zones=1",
		"fault_tolerance.regions=0",
		"discovery=registry",
		"entry=vip",
		"config_mode=highest",
		"control_mode=invoke",
		"contracts=base,drain,config,cost,recover,sched,tenants,quota,places,advice,upkeep,sharing",
		"advice=" + r.cloud.address,
		"cloud.address=" + r.cloud.address,
		"cloud.rate_per_s=64.0",
		"cloud.duty_per_s=64.0",
		fmt.Sprintf("heartbeat_ms=%d", beatTime.Milliseconds()),
		"bounds.seed_lag_s=3",
		"bounds.reuse_after_s=2",
		"bounds.contact_ms=3000",
		"bounds.ack_ms=4000",
		"bounds.catch_up_s=4",
		"bounds.drain_ms=2000",
		"bounds.grace_s=6",
		"bounds.config_apply_ms=2000",
		"bounds.evacuate_ms=5000",
		"bounds.recovery_s=12",
		fmt.Sprintf("bounds.max_hold_ms=%d", maxHold.Milliseconds()),
		"bounds.stop_ms=900",
		"bounds.gang_timeout_ms=3000",
		"bounds.cancel_ms=3000",
		"bounds.visible_ms=3000",
		"bounds.early_ms=250",
		"bounds.finish_s=14",
		"bounds.status_s=120",
		"bounds.remote_slowdown=2",
		"bounds.checkpoint_interval_s=0.5",
		"bounds.restore_ms=100",
		"bounds.notice_ms=4500",
		"bounds.move_s=1.5",
		"bounds.maintenance_s=2",
		"bounds.require_fencing=false",
		"bounds.lease_ms=3000",
		"bounds.pace_ms=100",
		"bounds.harm_ms=4000",
	}
	if role == "core" {
		lines = append(lines, "serves=control", fmt.Sprintf("listen.control=%s:%d", ip, controlPort), "data_dir="+filepath.Join(r.dir, "data-"+name))
	} else {
		lines = append(lines, "serves=front", fmt.Sprintf("listen.front=%s:%d", ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", ip, readyPort))
	}
	return &process{
		rig:      r,
		name:     name,
		role:     role,
		ip:       ip,
		settings: strings.Join(lines, "\n") + "\n",
	}
}

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	settings := filepath.Join(p.rig.dir, p.name+".conf")
	if err := os.WriteFile(settings, []byte(p.settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.rig.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/heathermux-platform", p.role)
	cmd.Env = append(os.Environ(), "HEATHERMUX_BOOT="+settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.rig.rec.notef("process %s starts", p.name)
	exited := make(chan struct{})
	p.cmd, p.exited, p.expected = cmd, exited, false
	go func() {
		_ = cmd.Wait()
		p.rig.hub.mu.Lock()
		expected := p.expected
		p.rig.hub.mu.Unlock()
		if !expected {
			p.rig.rec.breakf("Fault: process %s ends by itself: %v", p.name, cmd.ProcessState)
		}
		close(exited)
	}()
	p.settings = strings.Replace(p.settings, "bootstrap=true", "bootstrap=false", 1)
	return nil
}

// setSeeds writes the settings with other seeds, and tells the process so.
func (p *process) setSeeds(seeds []string) error {
	lines := strings.Split(p.settings, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "seeds=") {
			lines[i] = "seeds=" + strings.Join(seeds, ",")
		}
	}
	p.settings = strings.Join(lines, "\n")
	if err := os.WriteFile(filepath.Join(p.rig.dir, p.name+".conf"), []byte(p.settings), 0o600); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.rig.rec.notef("process %s gets signal %v", p.name, s)
	p.rig.hub.mu.Lock()
	p.expected = p.expected || s == syscall.SIGKILL || s == syscall.SIGTERM
	p.rig.hub.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// kill kills the process, frozen or not, and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// terminate stops the process as planned and waits for its end.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(graceTime):
		p.kill()
	}
}

func (r *rig) start() error {
	for _, p := range append(append([]*process{}, r.cores...), r.fronts...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all that was started.
func (r *rig) close() {
	for _, p := range append(append([]*process{}, r.cores...), r.fronts...) {
		p.kill()
	}
	r.hub.mu.Lock()
	lives := append([]*life{}, r.hub.lives...)
	r.hub.mu.Unlock()
	for _, l := range lives {
		l.end("the case is over")
	}
	r.cloud.close()
}

// leader returns the core process that has begun the latest term according to the logs.
func (r *rig) leader() *process {
	latest, leader := 0, r.cores[0]
	for _, p := range r.cores {
		data, err := os.ReadFile(filepath.Join(r.dir, p.name+".log"))
		start := bytes.LastIndex(data, []byte(`"msg":"conductor: leads a new term`))
		if err != nil || start < 0 {
			continue
		}
		line, _, _ := bytes.Cut(data[start:], []byte("\n"))
		var entry struct {
			Term int `json:"term"`
		}
		if json.Unmarshal(append([]byte("{"), line...), &entry) == nil && entry.Term > latest {
			latest, leader = entry.Term, p
		}
	}
	return leader
}

// configure sends a configuration until it is acknowledged.
func (r *rig) configure(routes, services, tenants []map[string]any) bool {
	r.version++
	body, err := json.Marshal(map[string]any{
		"version":  r.version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    262144,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"tenants": tenants,
	})
	if err != nil {
		return false
	}
	client := &http.Client{
		Timeout: time.Second,
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, address := range r.hub.controls {
			if status := post(client, "http://"+address+"/-/Config.Replace", string(body)); status == http.StatusOK {
				r.rec.notef("configuration %d is acknowledged", r.version)
				return true
			}
		}
	}
	return false
}

// call sends a request to a front and returns the status and the body; the status is 0 if
// there is no complete answer.
func (r *rig) call(front int, method, path, key, body string) (int, string) {
	address := net.JoinHostPort(r.fronts[front%len(r.fronts)].ip, fmt.Sprint(frontPort))
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		r.rec.notef("%s %s: no answer", method, path)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	if method != http.MethodGet {
		r.rec.notef("%s %s: %d", method, path, resp.StatusCode)
	}
	return resp.StatusCode, string(text)
}

// submit submits a job until it is accepted or refused for good.
func (r *rig) submit(j *jobSpec, key string) {
	data, err := json.Marshal(j)
	if err != nil {
		return
	}
	r.hub.mu.Lock()
	r.hub.jobs[j.id] = j
	r.hub.mu.Unlock()
	for attempt := range 6 {
		status, _ := r.call(attempt, http.MethodPost, j.queue+j.id, key, string(data))
		r.hub.mu.Lock()
		j.accepted = status == http.StatusOK
		j.unknown = j.unknown || status != http.StatusOK && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
		done := j.accepted
		r.hub.mu.Unlock()
		if done {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// cancel cancels a job until that is acknowledged.
func (r *rig) cancel(j *jobSpec, key string) {
	r.hub.mu.Lock()
	j.cancelSent = time.Now()
	r.hub.mu.Unlock()
	for attempt := range 20 {
		status, _ := r.call(attempt, http.MethodDelete, j.queue+j.id, key, "")
		if status == http.StatusOK || status == http.StatusGone {
			r.hub.mu.Lock()
			j.cancelAcked = time.Now()
			r.hub.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// stateOf returns the state of a job, or the status if it isn't told.
func (r *rig) stateOf(j *jobSpec, key string, front int) string {
	status, text := r.call(front, http.MethodGet, j.queue+j.id, key, "")
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
		return body.State
	}
	return fmt.Sprint(status)
}
